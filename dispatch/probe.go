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

// ProbeTimeout bounds a probe with a new connection.
const ProbeTimeout = time.Second

// probeResult says what a new connection to an upstream found.
type probeResult uint8

const (
	// probeFailed means that nothing was learned, or that the upstream is
	// unreachable.
	probeFailed probeResult = iota
	// probeRefused means that the upstream's host refuses new connections.
	probeRefused
	// probeWorks means that the upstream answered on a new connection.
	probeWorks
)

// prober probes upstreams with new connections. Exchanges that need the same
// upstream probed at the same time share one probe.
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

// probe asks an upstream for its health on a new connection. Any response
// counts: the question is whether the path and the process work.
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
	r.result = p.ask(address)
	return r.result
}

func (p *prober) ask(address netip.AddrPort) probeResult {
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
	if _, err := c.reader.Peek(1); err != nil {
		return probeFailed
	}
	return probeWorks
}
