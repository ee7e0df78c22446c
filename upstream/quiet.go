package upstream

import (
	"net"
	"syscall"
)

// Quiet reports whether an idle connection has neither ended nor received
// anything. Bytes on an idle connection are a late or second response.
func IsIdle(c net.Conn) bool {
	system, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false
	}
	var peeked error
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peeked = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && (peeked == syscall.EAGAIN || peeked == syscall.EWOULDBLOCK)
}
