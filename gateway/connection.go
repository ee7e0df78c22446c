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
	// disconnectWatchDelay is how long a request runs before its connection is
	// watched. Most requests are answered earlier and avoid the cost.
	disconnectWatchDelay = 10 * time.Millisecond
	// lingerTimeout and lingerBytes limit what is read and discarded from a caller
	// that is refused before the end of its request. Closing with unread bytes would
	// reset the connection, and the caller would often lose the refusal.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 1 << 20
)

// expiredDeadline is a read deadline in the past, which unblocks a pending read.
var expiredDeadline = time.Unix(1, 0)

// boundedListener limits the open connections. It answers excess connections with
// a fixed response and closes them.
type boundedListener struct {
	net.Listener
	open    atomic.Int64
	maxOpen int64
	refusal []byte
}

func newBoundedListener(l net.Listener, maxOpen int, refusal []byte) *boundedListener {
	return &boundedListener{Listener: l, maxOpen: int64(maxOpen), refusal: refusal}
}

// Accept returns the next connection within the limit.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.maxOpen {
			return &callerConn{Conn: c, listener: l}, nil
		}
		l.open.Add(-1)
		// The response fits into the empty send buffer, so the write does not block.
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

// Close closes the connection. If lingering is enabled, it first reads and
// discards what the caller still sends, up to lingerTimeout and lingerBytes.
func (c *callerConn) Close() error {
	c.once.Do(func() {
		if tcp, ok := c.Conn.(*net.TCPConn); ok && c.linger.Load() && tcp.CloseWrite() == nil {
			_ = tcp.SetReadDeadline(time.Now().Add(lingerTimeout))
			_, _ = io.CopyN(io.Discard, tcp, lingerBytes)
		}
		c.closeErr = c.Conn.Close()
		c.listener.open.Add(-1)
	})
	return c.closeErr
}

// lingerOnClose enables lingering, after a request that was not read to its end.
func lingerOnClose(c net.Conn) {
	if caller, ok := c.(*callerConn); ok {
		caller.linger.Store(true)
	}
}

// watchDisconnect calls cancel if the caller closes its connection during a
// request. The returned function stops the watch and must be called before the
// connection is read again. It leaves an expired read deadline, which the server
// replaces.
func watchDisconnect(c net.Conn, cancel context.CancelFunc) (stop func()) {
	caller, ok := c.(*callerConn)
	if !ok {
		return func() {}
	}
	socket, ok := caller.Conn.(syscall.Conn)
	if !ok {
		return func() {}
	}
	done := make(chan struct{})
	timer := time.AfterFunc(disconnectWatchDelay, func() {
		defer close(done)
		if disconnected(socket) {
			cancel()
		}
	})
	return func() {
		if timer.Stop() {
			return
		}
		_ = caller.Conn.SetReadDeadline(expiredDeadline)
		<-done
	}
}

// disconnected waits until the connection is closed, has bytes to read, or its
// read deadline expires. It reports whether the connection was closed.
func disconnected(socket syscall.Conn) bool {
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		n, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err == syscall.EAGAIN || err == syscall.EINTR {
			return false
		}
		closed = n <= 0
		return true
	})
	return err == nil && closed
}
