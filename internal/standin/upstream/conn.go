package upstream

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// conn is a connection of an upstream that can turn silent.
type conn struct {
	net.Conn
	upstream *Upstream
	silent   atomic.Bool
	// gone is true after the client's end was closed.
	gone   atomic.Bool
	closed sync.Once
}

// Read drops what arrives on a silent connection.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for err == nil && c.silent.Load() {
		n, err = c.Conn.Read(b)
	}
	if err != nil && !isTimeout(err) {
		c.gone.Store(true)
	}
	if c.silent.Load() {
		n = 0
	}
	return n, err
}

// Write pretends success on a silent connection and sends nothing.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close hides the end of a silent connection from the client: the middlebox that
// lost the connection would not pass it on either.
func (c *conn) Close() error {
	if c.silent.Load() && !c.gone.Load() {
		go c.discard()
		return nil
	}
	return c.abort()
}

// discard reads until the client closes or the upstream crashes.
func (c *conn) discard() {
	defer func() { _ = c.abort() }()
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return
	}
	buffer := make([]byte, 512)
	for !c.gone.Load() {
		if _, err := c.Read(buffer); err != nil {
			return
		}
	}
}

// abort closes the connection whether it is silent or not.
func (c *conn) abort() error {
	err := c.Conn.Close()
	c.closed.Do(func() { c.upstream.forget(c) })
	return err
}

// reset makes the next close send a reset instead of an orderly end.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// The close that follows reports a connection that is already broken.
		_ = tcp.SetLinger(0)
	}
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// listener accepts the connections of one upstream, one at a time, each at the
// cost of a new connection.
type listener struct {
	net.Listener
	upstream *Upstream
	cost     time.Duration
}

// Accept closes connections beyond the limit at once and waits for the next.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.cost > 0 {
			time.Sleep(l.cost)
		}
		c := &conn{Conn: accepted, upstream: l.upstream}
		if l.upstream.admit(c, l) {
			return c, nil
		}
		// The connection was never used; its close has nothing to tell.
		_ = accepted.Close()
	}
}
