package upstream

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinspring/catkinspring/internal/httpcheck"
)

const (
	// connectTimeout bounds opening a connection: two round trips between regions
	// (2 x 110 ms) and one SYN retransmission, less than a second later.
	connectTimeout = 400 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the upstream does not
	// state its own timeout.
	defaultIdleTimeout = 8 * time.Second
	// idleMargin is subtracted from the upstream's own idle timeout, so that a request
	// does not cross its close on the way: more than a round trip between regions.
	idleMargin = time.Second
	// maxIdlePerUpstream bounds the idle connections to one upstream. An upstream has a
	// few slots and accepts a few hundred connections from all hosts together.
	maxIdlePerUpstream = 8
	// unacknowledgedTimeout is the time after which the kernel ends a connection whose
	// peer does not acknowledge sent data. It leaves room for a round trip between regions
	// (110 ms) and two lost packets (retransmitted after 0.3 and 0.6 s).
	unacknowledgedTimeout = 800 * time.Millisecond
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 8 << 10
)

// keepAlive detects idle connections to an unresponsive machine. The kernel resets them
// after about 4 s.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}

// connection is a connection to an upstream with its read buffer.
type connection struct {
	net.Conn
	// checked checks the headers that reader reads.
	checked *httpcheck.Reader
	// limit bounds the bytes that reader may read.
	limit  *limitedReader
	reader *bufio.Reader
	// used is true if the connection has carried a request.
	used bool
	// reusableUntil is until when the idle connection may be reused. The upstream may
	// close it soon after.
	reusableUntil time.Time
	// refused are the hashed IDs of the requests that were refused on this connection.
	refused []uint64
}

// maxRefused is the number of refusals after which a connection is not reused, which bounds
// the memory for their IDs.
const maxRefused = 64

// noteRefusal notes that a request was refused on the connection. A copy of the refusal may
// follow; it would be taken for the answer to the same request if that were sent on this
// connection again.
func (c *connection) noteRefusal(requestID string) {
	c.refused = append(c.refused, xxhash.Sum64String(requestID))
}

func (c *connection) hasRefused(requestID string) bool {
	return len(c.refused) > 0 && slices.Contains(c.refused, xxhash.Sum64String(requestID))
}

// pool holds the idle connections by address, the most recently used last.
type pool struct {
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[netip.AddrPort][]*connection
}

func newPool() *pool {
	return &pool{
		dialer: net.Dialer{Timeout: connectTimeout, KeepAliveConfig: keepAlive, Control: setUserTimeout},
		idle:   make(map[netip.AddrPort][]*connection),
	}
}

// setUserTimeout sets unacknowledgedTimeout on a socket (TCP_USER_TIMEOUT). Keep-alive
// probes do not detect an unresponsive machine while sent data is unacknowledged.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	return setTimeout(c, unacknowledgedTimeout)
}

// take returns an idle connection that is still open, has received nothing and on which the
// request was not refused, or nil.
func (p *pool) take(address netip.AddrPort, requestID string, now time.Time) *connection {
	for {
		c := p.pop(address, requestID)
		if c == nil {
			return nil
		}
		if now.Before(c.reusableUntil) && c.reader.Buffered() == 0 && IsIdle(c.Conn) {
			return c
		}
		_ = c.Close()
	}
}

// pop removes and returns the most recently used idle connection on which a request was not
// refused, or nil.
func (p *pool) pop(address netip.AddrPort, requestID string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i := len(list) - 1; i >= 0; i-- {
		c := list[i]
		if c.hasRefused(requestID) {
			continue
		}
		if len(list) == 1 {
			delete(p.idle, address)
		} else {
			p.idle[address] = slices.Delete(list, i, i+1)
		}
		return c
	}
	return nil
}

func (p *pool) open(ctx context.Context, address netip.AddrPort) (*connection, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	return newConnection(raw), nil
}

func newConnection(raw net.Conn) *connection {
	raw = httpcheck.SharedFailureConn(raw)
	checked := httpcheck.NewReader(raw)
	limit := &limitedReader{source: checked}
	return &connection{Conn: raw, checked: checked, limit: limit, reader: bufio.NewReaderSize(limit, readBufferBytes)}
}

// put makes a connection available for reuse, for at most idleFor.
func (p *pool) put(address netip.AddrPort, c *connection, idleFor time.Duration, now time.Time) {
	if idleFor <= 0 || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	c.used = true
	c.reusableUntil = now.Add(idleFor)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdlePerUpstream {
		_ = c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// closeIdle closes the idle connections to an address.
func (p *pool) closeIdle(address netip.AddrPort) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// closeExpired closes connections that their upstreams may be about to close.
func (p *pool) closeExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.reusableUntil) {
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
