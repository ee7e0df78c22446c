package dispatch

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// ProbeTimeout limits the duration of a probe.
const ProbeTimeout = time.Second

// probeResult is the result of a probe on a new connection to an upstream.
type probeResult uint8

const (
	// probeFailed means that the upstream is unreachable or that the probe was
	// inconclusive.
	probeFailed probeResult = iota
	// probeRefused means that the upstream's host refuses new connections.
	probeRefused
	// probeResponded means that the upstream responded on a new connection.
	probeResponded
)

// prober probes upstreams on new connections. Concurrent exchanges that need a probe
// of the same upstream share it.
type prober struct {
	pool *pool

	mu      sync.Mutex
	running map[netip.AddrPort]*runningProbe
}

type runningProbe struct {
	done   chan struct{}
	result probeResult
}

func newProber(p *pool) *prober {
	return &prober{pool: p, running: map[netip.AddrPort]*runningProbe{}}
}

// probe requests the health of an upstream on a new connection. Any valid response head
// counts, whatever its status, because it shows that the network path and the process
// work. Other bytes, such as a response with an impossible status, do not count.
func (p *prober) probe(address netip.AddrPort) probeResult {
	p.mu.Lock()
	if r, ok := p.running[address]; ok {
		p.mu.Unlock()
		<-r.done
		return r.result
	}
	r := &runningProbe{done: make(chan struct{})}
	p.running[address] = r
	p.mu.Unlock()

	defer func() {
		p.mu.Lock()
		delete(p.running, address)
		p.mu.Unlock()
		close(r.done)
	}()
	r.result = p.probeOnce(address)
	return r.result
}

func (p *prober) probeOnce(address netip.AddrPort) probeResult {
	ctx, cancel := context.WithTimeout(context.Background(), ProbeTimeout)
	defer cancel()
	c, err := p.pool.open(ctx, address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return probeRefused
	}
	if err != nil {
		return probeFailed
	}
	defer c.Close()
	deadline, _ := ctx.Deadline()
	if c.SetDeadline(deadline) != nil {
		return probeFailed
	}
	if _, err := io.WriteString(c, "GET /health HTTP/1.1\r\nHost: "+address.String()+"\r\nConnection: close\r\n\r\n"); err != nil {
		return probeFailed
	}
	if _, err := readHead(c.reader); err != nil {
		return probeFailed
	}
	return probeResponded
}
