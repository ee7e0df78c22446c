package gateway

import (
	"context"
	"net"
	"syscall"
	"time"
)

// disconnectWatchDelay is how long a request runs before its connection is
// watched. Most requests are answered earlier and avoid the cost.
const disconnectWatchDelay = 10 * time.Millisecond

// expiredDeadline is a read deadline in the past, which unblocks a pending read.
var expiredDeadline = time.Unix(1, 0)

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
