package upstream

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// conn is a connection of an upstream. On a silent connection nothing passes in
// either direction, as after a middlebox has dropped its state.
type conn struct {
	net.Conn
	upstream *Upstream
	silent   atomic.Bool
	// clientClosed is true after the client closed its end.
	clientClosed atomic.Bool
	removeOnce   sync.Once
}

// Read discards the data that arrives on a silent connection.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for err == nil && c.silent.Load() {
		n, err = c.Conn.Read(b)
	}
	if err != nil && !isTimeout(err) {
		c.clientClosed.Store(true)
	}
	if c.silent.Load() {
		n = 0
	}
	return n, err
}

// Write sends nothing on a silent connection and reports success.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close hides the close of a silent connection from the client, because a
// middlebox that dropped the connection would not forward it either.
func (c *conn) Close() error {
	if c.silent.Load() && !c.clientClosed.Load() {
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
	for !c.clientClosed.Load() {
		if _, err := c.Read(buffer); err != nil {
			return
		}
	}
}

// abort closes the connection, even if it is silent.
func (c *conn) abort() error {
	err := c.Conn.Close()
	c.removeOnce.Do(func() { c.upstream.removeConn(c) })
	return err
}

// resetOnClose makes the next close send a TCP reset instead of a FIN.
func (c *conn) resetOnClose() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// If the connection is already broken, the close that follows fails.
		_ = tcp.SetLinger(0)
	}
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// listener accepts the connections of one upstream, one at a time, each after
// acceptDelay.
type listener struct {
	net.Listener
	upstream    *Upstream
	acceptDelay time.Duration
}

// Accept returns the next connection and closes those beyond the limit.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.acceptDelay > 0 {
			time.Sleep(l.acceptDelay)
		}
		c := &conn{Conn: accepted, upstream: l.upstream}
		if l.upstream.admit(c, l) {
			return c, nil
		}
		// The connection was never used, so its close error does not matter.
		_ = accepted.Close()
	}
}
