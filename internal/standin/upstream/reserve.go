package upstream

import (
	"net/netip"
	"syscall"

	"github.com/rotisserie/eris"
)

// reservation keeps a port bound without listening on it. While the upstream has
// no listener, connections to the port are refused, and the operating system
// assigns the port to no other socket, so that a restart can listen on it again.
type reservation struct {
	socket  int
	address string
}

// reserve binds an IPv4 address. Port 0 picks a free port.
func reserve(address string) (*reservation, error) {
	requested, err := netip.ParseAddrPort(address)
	if err != nil || !requested.Addr().Is4() {
		return nil, &ConfigError{Detail: address + " is not an IPv4 address with a port"}
	}
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, eris.Wrap(err, "socket")
	}
	r := &reservation{socket: socket}
	if err := r.bind(requested); err != nil {
		r.release()
		return nil, eris.Wrapf(err, "bind %s", address)
	}
	return r, nil
}

func (r *reservation) bind(requested netip.AddrPort) error {
	// The listener can share the port only if both sockets have this option.
	if err := syscall.SetsockoptInt(r.socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return err
	}
	if err := syscall.Bind(r.socket, &syscall.SockaddrInet4{Port: int(requested.Port()), Addr: requested.Addr().As4()}); err != nil {
		return err
	}
	name, err := syscall.Getsockname(r.socket)
	if err != nil {
		return err
	}
	if bound, ok := name.(*syscall.SockaddrInet4); ok {
		r.address = netip.AddrPortFrom(netip.AddrFrom4(bound.Addr), uint16(bound.Port)).String()
	}
	return nil
}

func (r *reservation) release() {
	// The socket is released even on an error.
	_ = syscall.Close(r.socket)
}
