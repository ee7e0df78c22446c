package gateway

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// watchAfter is how long a request runs before its connection is watched.
	// Most requests are answered earlier and save the cost.
	watchAfter = 10 * time.Millisecond
	// The bounds of what is read and dropped from a caller after a refusal that
	// came before the end of its request. Closing with unread bytes would reset
	// the connection, and the caller would often lose the refusal.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 1 << 20
)

var past = time.Unix(1, 0)

// boundedListener refuses connections over a bound with a fixed response.
type boundedListener struct {
	net.Listener
	open    atomic.Int64
	bound   int64
	refusal []byte
}

func newBoundedListener(l net.Listener, bound int, refusal []byte) *boundedListener {
	return &boundedListener{Listener: l, bound: int64(bound), refusal: refusal}
}

// Accept returns the next connection within the bound.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.bound {
			return &callerConn{Conn: c, listener: l}, nil
		}
		l.open.Add(-1)
		// The response fits the empty send buffer, so this does not block.
		_, _ = c.Write(l.refusal)
		_ = c.Close()
	}
}

// callerConn is the connection of a caller.
type callerConn struct {
	net.Conn
	listener *boundedListener
	linger   atomic.Bool
	once     sync.Once
	closeErr error
}

// Close closes the connection. After a refusal it first reads what the caller
// still sends, within bounds.
func (c *callerConn) Close() error {
	c.once.Do(func() {
		if tcp, ok := c.Conn.(*net.TCPConn); ok && c.linger.Load() && tcp.CloseWrite() == nil {
			_ = tcp.SetReadDeadline(time.Now().Add(lingerTime))
			_, _ = io.CopyN(io.Discard, tcp, lingerBytes)
		}
		c.closeErr = c.Conn.Close()
		c.listener.open.Add(-1)
	})
	return c.closeErr
}

func lingerOnClose(c net.Conn) {
	if caller, ok := c.(*callerConn); ok {
		caller.linger.Store(true)
	}
}

// watchDisconnect cancels when the caller closes its connection during a
// request. The returned function ends the watch and must be called before the
// connection is read again; the server sets a new read deadline then.
func watchDisconnect(c net.Conn, cancel context.CancelFunc) (stop func()) {
	caller, ok := c.(*callerConn)
	if !ok {
		return func() {}
	}
	system, ok := caller.Conn.(syscall.Conn)
	if !ok {
		return func() {}
	}
	done := make(chan struct{})
	timer := time.AfterFunc(watchAfter, func() {
		defer close(done)
		if disconnected(system) {
			cancel()
		}
	})
	return func() {
		if timer.Stop() {
			return
		}
		_ = caller.Conn.SetReadDeadline(past)
		<-done
	}
}

// disconnected waits until the connection has ended, has bytes to read, or its
// read deadline is over, and reports the first.
func disconnected(system syscall.Conn) bool {
	raw, err := system.SyscallConn()
	if err != nil {
		return false
	}
	gone := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err == syscall.EAGAIN || err == syscall.EINTR {
			return false
		}
		gone = n <= 0
		return true
	})
	return err == nil && gone
}
