package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// connectTimeout bounds the opening of a connection: two round trips between
	// regions (2 x 110 ms) and one repeated opening packet less than a second later.
	connectTimeout = 400 * time.Millisecond
	// defaultIdle is how long an unused connection is kept if the upstream does not
	// say how long it keeps it.
	defaultIdle = 8 * time.Second
	// idleMargin is subtracted from the upstream's own bound, so that a request
	// does not cross its close: more than a round trip between regions.
	idleMargin = time.Second
	// maxIdlePerUpstream bounds the unused connections to one upstream. Upstreams
	// have a few slots and a few hundred connections for all hosts together.
	maxIdlePerUpstream = 8
	// unacknowledgedTimeout is the time after which the kernel ends a connection whose
	// upstream's machine does not acknowledge what was sent. It leaves room for a round
	// trip between regions (110 ms) and two lost packets (repeated after 0.3 and 0.6 s).
	unacknowledgedTimeout = 800 * time.Millisecond
	// readBufferBytes bounds the header of a response.
	readBufferBytes = 8 << 10
)

// keepAlive finds connections to an upstream that went silent. The kernel resets
// them after about 4 s.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}

type connection struct {
	net.Conn
	reader *bufio.Reader
	used   bool
	// until is when the upstream may close the unused connection.
	until time.Time
}

// pool holds the unused connections by address, the last used one last.
type pool struct {
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[netip.AddrPort][]*connection
}

func newPool() *pool {
	return &pool{
		dialer: net.Dialer{Timeout: connectTimeout, KeepAliveConfig: keepAlive, Control: boundUnacknowledged},
		idle:   make(map[netip.AddrPort][]*connection),
	}
}

// boundUnacknowledged sets unacknowledgedTimeout on a socket. Keep-alive probes do
// not find a silent machine while a request to it is not acknowledged.
func boundUnacknowledged(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// take returns an unused connection on which nothing has arrived, or nil.
func (p *pool) take(address netip.AddrPort, now time.Time) *connection {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		if now.Before(c.until) && c.reader.Buffered() == 0 && IsIdle(c.Conn) {
			return c
		}
		_ = c.Close()
	}
}

func (p *pool) pop(address netip.AddrPort) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	if len(list) == 1 {
		delete(p.idle, address)
	} else {
		p.idle[address] = list[:len(list)-1]
	}
	return c
}

func (p *pool) open(ctx context.Context, address netip.AddrPort) (*connection, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	return &connection{Conn: raw, reader: bufio.NewReaderSize(raw, readBufferBytes)}, nil
}

func (p *pool) put(address netip.AddrPort, c *connection, keep time.Duration, now time.Time) {
	if keep <= 0 || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	c.used = true
	c.until = now.Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdlePerUpstream {
		_ = c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// forget closes the unused connections to an address.
func (p *pool) forget(address netip.AddrPort) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// sweep closes connections that their upstreams are about to close.
func (p *pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.until) {
				kept = append(kept, c)
			} else {
				_ = c.Close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
}
