package upstream

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// IsIdle reports whether a connection is still open and has no unread bytes. Unread
// bytes between two requests belong to a late or duplicate response. It may be called
// while another goroutine reads.
func IsIdle(c net.Conn) bool {
	sys, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		_, _, peekErr = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && (peekErr == syscall.EAGAIN || peekErr == syscall.EWOULDBLOCK)
}

// UnsentBytes returns the bytes written to a connection that the other machine has not
// acknowledged; 0 if the system does not provide it.
func UnsentBytes(c net.Conn) int {
	sys, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return 0
	}
	unsent := 0
	err = raw.Control(func(fd uintptr) {
		if n, countErr := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); countErr == nil {
			unsent = n
		}
	})
	if err != nil {
		return 0
	}
	return unsent
}
