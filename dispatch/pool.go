package dispatch

import (
	"bufio"
	"context"
	"github.com/catkinspring/catkinspring/internal/bytebudget"
	"github.com/catkinspring/catkinspring/upstream"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout = 20 * time.Second
	// ConnectTimeout limits the time to open a connection.
	ConnectTimeout = time.Second
	// maxHeaderBytes limits the header of a response; it is the size of a
	// connection's read buffer.
	maxHeaderBytes = 16 << 10
	// maxIdlePerUpstream limits the idle connections to one upstream. An upstream
	// has a few slots, so more connections can only be left over from a burst.
	maxIdlePerUpstream = 64
	// sweepInterval is the time between two sweeps for expired idle connections.
	sweepInterval = 5 * time.Second
)

// DialFunc opens a connection to an upstream.
type DialFunc func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

func dialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address.String())
}

// connection is one connection to an upstream. It is used by one exchange or is idle
// in the pool.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// account holds the memory of what the present exchange reads; nil between exchanges.
	account   *bytebudget.Account
	openedAt  time.Time
	idleSince time.Time
	reused    bool
}

// pool holds the idle connections by upstream address.
type pool struct {
	dial DialFunc
	// idle maps netip.AddrPort to *idleList.
	idle   sync.Map
	closed atomic.Bool
}

// idleList is the idle connections to one upstream.
type idleList struct {
	mu          sync.Mutex
	connections []*connection
	// minOpenedAt is when the last unresponsive connection was found. Connections
	// opened before may be unresponsive too and are not reused.
	minOpenedAt time.Time
}

func newPool(dial DialFunc) *pool {
	if dial == nil {
		dial = dialTCP
	}
	return &pool{dial: dial}
}

func (p *pool) idleListOf(address netip.AddrPort) *idleList {
	if list, ok := p.idle.Load(address); ok {
		return list.(*idleList)
	}
	list, _ := p.idle.LoadOrStore(address, &idleList{})
	return list.(*idleList)
}

// take returns the most recently used idle connection that looks usable, or nil.
func (p *pool) take(address netip.AddrPort) *connection {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		if time.Since(c.idleSince) < IdleTimeout && c.reader.Buffered() == 0 && upstream.IsIdle(c.Conn) {
			c.reused = true
			return c
		}
		_ = c.Close()
	}
}

func (p *pool) pop(address netip.AddrPort) *connection {
	list := p.idleListOf(address)
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
	c := &connection{Conn: raw, openedAt: time.Now()}
	c.reader = bufio.NewReaderSize(accountedReader{c}, maxHeaderBytes)
	return c, nil
}

// accountedReader reads from a connection and reserves the bytes that it returns.
type accountedReader struct{ connection *connection }

func (r accountedReader) Read(p []byte) (int, error) {
	n, err := r.connection.Conn.Read(p)
	if r.connection.account != nil {
		if reserveErr := r.connection.account.Reserve(int64(n)); reserveErr != nil {
			// The parser ignores an error that comes with bytes.
			return 0, reserveErr
		}
	}
	return n, err
}

// put makes a connection idle after an exchange without errors.
func (p *pool) put(address netip.AddrPort, c *connection) {
	if c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	c.idleSince = time.Now()
	if !p.addIdle(address, c) {
		_ = c.Close()
	}
}

func (p *pool) addIdle(address netip.AddrPort, c *connection) bool {
	list := p.idleListOf(address)
	list.mu.Lock()
	defer list.mu.Unlock()
	if p.closed.Load() || len(list.connections) >= maxIdlePerUpstream || c.openedAt.Before(list.minOpenedAt) {
		return false
	}
	list.connections = append(list.connections, c)
	return true
}

// discardConnections closes the idle connections to an upstream and prevents the
// reuse of those in use now. It is called when one of them was unresponsive: a
// middlebox that lost its state has often lost that of the others too.
func (p *pool) discardConnections(address netip.AddrPort) {
	list := p.idleListOf(address)
	list.mu.Lock()
	list.minOpenedAt = time.Now()
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

// sweep closes connections that were idle for IdleTimeout. Empty lists are kept:
// they are small, and the platform's host list limits their number.
func (p *pool) sweep(now time.Time) {
	p.idle.Range(func(_, list any) bool {
		list.(*idleList).closeIf(func(c *connection) bool { return now.Sub(c.idleSince) >= IdleTimeout })
		return true
	})
}

// close closes all idle connections and stops pooling.
func (p *pool) close() {
	p.closed.Store(true)
	p.idle.Range(func(_, list any) bool {
		list.(*idleList).closeIf(func(*connection) bool { return true })
		return true
	})
}
