// Package backlog accepts the connections that the kernel holds for a listener that
// accepts no more. Closing the listener alone would reset them.
package backlog

import (
	"errors"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// Accept returns the next connection of a listener's backlog without waiting, or nil
// if the backlog is empty.
func Accept(listener syscall.Conn) (net.Conn, error) {
	raw, err := listener.SyscallConn()
	if err != nil {
		return nil, err
	}
	accepted := -1
	var acceptErr error
	err = raw.Control(func(fd uintptr) {
		for {
			accepted, _, acceptErr = unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if !errors.Is(acceptErr, unix.EINTR) && !errors.Is(acceptErr, unix.ECONNABORTED) {
				return
			}
		}
	})
	if err = errors.Join(err, acceptErr); err != nil {
		if errors.Is(err, unix.EAGAIN) {
			return nil, nil
		}
		return nil, err
	}
	file := os.NewFile(uintptr(accepted), "caller")
	defer func() { _ = file.Close() }()
	// FileConn duplicates the descriptor.
	return net.FileConn(file)
}
