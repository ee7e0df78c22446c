package dispatch

import (
	"bufio"
	"context"
	"github.com/catkinspring/catkinspring/upstream"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
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
	// idle maps netip.AddrPort to *idleList.
	idle sync.Map
	shut atomic.Bool
}

// idleList is the idle connections to one upstream.
type idleList struct {
	mu          sync.Mutex
	connections []*connection
	// trustedFrom is when the last silent connection was found. Connections that
	// were opened before it may be silent too.
	trustedFrom time.Time
}

func newPool(dial DialFunc) *pool {
	if dial == nil {
		dial = dialTCP
	}
	return &pool{dial: dial}
}

func (p *pool) of(address netip.AddrPort) *idleList {
	if list, ok := p.idle.Load(address); ok {
		return list.(*idleList)
	}
	list, _ := p.idle.LoadOrStore(address, &idleList{})
	return list.(*idleList)
}

// take returns an idle connection that looks usable, the most recently used
// one first, or nil.
func (p *pool) take(address netip.AddrPort) *connection {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		if time.Since(c.idleAt) < IdleTimeout && c.reader.Buffered() == 0 && upstream.IsIdle(c.Conn) {
			c.reused = true
			return c
		}
		_ = c.Close()
	}
}

func (p *pool) pop(address netip.AddrPort) *connection {
	list := p.of(address)
	list.mu.Lock()
	defer list.mu.Unlock()
	if len(list.connections) == 0 {
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
	list := p.of(address)
	list.mu.Lock()
	defer list.mu.Unlock()
	if p.shut.Load() || len(list.connections) >= maxIdlePerUpstream || c.opened.Before(list.trustedFrom) {
		return false
	}
	list.connections = append(list.connections, c)
	return true
}

// distrust closes the idle connections to an upstream and keeps those that are
// in use now from becoming idle. It is called when one of them was silent: the
// middlebox that lost its state has often lost that of the others too.
func (p *pool) distrust(address netip.AddrPort) {
	list := p.of(address)
	list.mu.Lock()
	list.trustedFrom = time.Now()
	list.mu.Unlock()
	list.closeIf(func(*connection) bool { return true })
}

// closeIf closes the idle connections for which a condition holds.
func (l *idleList) closeIf(condition func(*connection) bool) {
	var closing []*connection
	l.mu.Lock()
	l.connections = slices.DeleteFunc(l.connections, func(c *connection) bool {
		if condition(c) {
			closing = append(closing, c)
			return true
		}
		return false
	})
	l.mu.Unlock()
	for _, c := range closing {
		_ = c.Close()
	}
}

// sweep closes connections that were idle for IdleTimeout. The empty lists stay:
// they are small, and the platform's host list bounds their number.
func (p *pool) sweep(now time.Time) {
	p.idle.Range(func(_, list any) bool {
		list.(*idleList).closeIf(func(c *connection) bool { return now.Sub(c.idleAt) >= IdleTimeout })
		return true
	})
}

// close closes all idle connections and keeps no more.
func (p *pool) close() {
	p.shut.Store(true)
	p.idle.Range(func(_, list any) bool {
		list.(*idleList).closeIf(func(*connection) bool { return true })
		return true
	})
}
