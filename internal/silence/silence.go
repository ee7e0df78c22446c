// Package silence simulates a machine without power for tests on loopback.
package silence

import (
	"errors"
	"net"

	"golang.org/x/sys/unix"
)

// Start makes the kernel drop all that arrives on a connection, without an
// acknowledgement.
func Start(c *net.TCPConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(drop)), Filter: &drop[0]})
	})
	return errors.Join(err, optionErr)
}
