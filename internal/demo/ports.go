package demo

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
)

// Ports are below the usual ephemeral port ranges, so that no outgoing connection
// takes a port after it was allocated and before it is used.
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

// portAllocator allocates each port at most once.
type portAllocator struct {
	mu    sync.Mutex
	taken map[uint16]bool
}

// freePort returns a loopback address whose port is free for TCP and UDP. Another
// program may still take the port before it is used.
func (p *portAllocator) freePort() (netip.AddrPort, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.taken == nil {
		p.taken = map[uint16]bool{}
	}
	for range portAttempts {
		// Random, so that programs that run at the same time choose different ports.
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
