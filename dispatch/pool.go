package dispatch

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout = 20 * time.Second
	// ConnectTimeout bounds the opening of a connection.
	ConnectTimeout = time.Second
	// maxHeaderBytes bounds the header of a response; it is the size of a
	// connection's read buffer.
	maxHeaderBytes = 16 << 10
	// maxIdlePerUpstream bounds the unused connections to one upstream. An
	// upstream has a few slots, so more are left over from a burst.
	maxIdlePerUpstream = 64
	// sweepInterval is the time between two sweeps for unused connections.
	sweepInterval = 5 * time.Second
)

// DialFunc opens a connection to an upstream.
type DialFunc func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

func dialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address.String())
}

// connection is one connection to an upstream. It belongs to one exchange, or
// is idle in the pool.
type connection struct {
	net.Conn
	reader *bufio.Reader
	opened time.Time
	idleAt time.Time
	reused bool
}

// pool holds the idle connections by upstream address.
type pool struct {
	dial DialFunc

	mu   sync.Mutex
	idle map[netip.AddrPort]*idleList
	shut bool
}

type idleList struct {
	connections []*connection
	// trustedFrom is when the last silent connection was found. Connections that
	// were opened before it may be silent too.
	trustedFrom time.Time
}

func newPool(dial DialFunc) *pool {
	if dial == nil {
		dial = dialTCP
	}
	return &pool{dial: dial, idle: map[netip.AddrPort]*idleList{}}
}

// take returns an idle connection that looks usable, the most recently used
// one first, or nil.
func (p *pool) take(address netip.AddrPort) *connection {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		if time.Since(c.idleAt) < IdleTimeout && c.reader.Buffered() == 0 && quiet(c.Conn) {
			c.reused = true
			return c
		}
		_ = c.Close()
	}
}

func (p *pool) pop(address netip.AddrPort) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if list == nil || len(list.connections) == 0 {
		return nil
	}
	last := len(list.connections) - 1
	c := list.connections[last]
	list.connections[last] = nil
	list.connections = list.connections[:last]
	return c
}

// open opens a new connection.
func (p *pool) open(ctx context.Context, address netip.AddrPort) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, ConnectTimeout)
	defer cancel()
	raw, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: raw, reader: bufio.NewReaderSize(raw, maxHeaderBytes), opened: time.Now()}, nil
}

// put makes a connection idle after a faultless exchange.
func (p *pool) put(address netip.AddrPort, c *connection) {
	if c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	c.idleAt = time.Now()
	if !p.keep(address, c) {
		_ = c.Close()
	}
}

func (p *pool) keep(address netip.AddrPort, c *connection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if list == nil {
		list = &idleList{}
		p.idle[address] = list
	}
	if p.shut || len(list.connections) >= maxIdlePerUpstream || c.opened.Before(list.trustedFrom) {
		return false
	}
	list.connections = append(list.connections, c)
	return true
}

// distrust closes the idle connections to an upstream and keeps those that are
// in use now from becoming idle. It is called when one of them was silent: the
// middlebox that lost its state has often lost that of the others too.
func (p *pool) distrust(address netip.AddrPort) {
	p.mu.Lock()
	list := p.idle[address]
	if list == nil {
		list = &idleList{}
		p.idle[address] = list
	}
	list.trustedFrom = time.Now()
	closing := list.connections
	list.connections = nil
	p.mu.Unlock()
	for _, c := range closing {
		_ = c.Close()
	}
}

// sweep closes connections that were idle for IdleTimeout.
func (p *pool) sweep(now time.Time) {
	var closing []*connection
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list.connections[:0]
		for _, c := range list.connections {
			if now.Sub(c.idleAt) < IdleTimeout {
				kept = append(kept, c)
			} else {
				closing = append(closing, c)
			}
		}
		clear(list.connections[len(kept):])
		list.connections = kept
		if len(kept) == 0 && now.Sub(list.trustedFrom) > time.Hour {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range closing {
		_ = c.Close()
	}
}

// close closes all idle connections and keeps no more.
func (p *pool) close() {
	p.mu.Lock()
	lists := p.idle
	p.idle = map[netip.AddrPort]*idleList{}
	p.shut = true
	p.mu.Unlock()
	for _, list := range lists {
		for _, c := range list.connections {
			_ = c.Close()
		}
	}
}
