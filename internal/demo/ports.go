package demo

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
)

// Ports are taken from below the usual ranges of ephemeral ports, so that no
// outgoing connection gets a port between its choice and its use.
const (
	firstPort    = 12_000
	lastPort     = 32_000
	portAttempts = 2_000
)

// PortError reports that no free port was found.
type PortError struct{}

func (*PortError) Error() string {
	return fmt.Sprintf("no free port between %d and %d", firstPort, lastPort)
}

var loopback = netip.AddrFrom4([4]byte{127, 0, 0, 1})

// ports hands out each port once.
type ports struct {
	mu    sync.Mutex
	taken map[uint16]bool
}

// free returns a loopback address whose port is free for TCP and UDP. Another
// program may still take the port before it is used.
func (p *ports) free() (netip.AddrPort, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.taken == nil {
		p.taken = map[uint16]bool{}
	}
	for range portAttempts {
		// The choice only has to differ from those of other programs.
		port := uint16(firstPort + rand.IntN(lastPort-firstPort))
		address := netip.AddrPortFrom(loopback, port)
		if !p.taken[port] && unused(address.String()) {
			p.taken[port] = true
			return address, nil
		}
	}
	return netip.AddrPort{}, &PortError{}
}

func unused(address string) bool {
	stream, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = stream.Close() }()
	packets, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return packets.Close() == nil
}
