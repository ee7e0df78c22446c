package gateway

import (
	"context"
	"fmt"
	"time"
)

const (
	// sweepInterval is how often a stopping gateway looks for idle connections.
	sweepInterval = 20 * time.Millisecond
	// readGrace is how long a draining gateway waits for the rest of a request. The
	// request is refused in any case, so that it can only delay the stop.
	readGrace = 2 * time.Second
)

// OpenConnectionsError reports connections that had to be closed while they were in
// use, because the time for a shutdown was over.
type OpenConnectionsError struct {
	Connections int
}

func (e *OpenConnectionsError) Error() string {
	return fmt.Sprintf("%d connections were in use at the end of the shutdown", e.Connections)
}

// Drain accepts no further connections, closes idle ones and waits until every request
// that was received has its whole response, or the context ends. It returns the number
// of the other requests. Config.Draining must be true, so that new requests on open
// connections are refused.
func (g *Gateway) Drain(ctx context.Context) int {
	if err := g.stopAccepting(); err != nil {
		g.Logger.Warn().Err(err).Msg("ending the callers' listener")
	}
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	grace := time.NewTimer(readGrace)
	defer grace.Stop()
	graceOver := false
	for {
		requests := g.connections.sweep()
		if requests == 0 {
			return 0
		}
		if graceOver {
			g.connections.interruptReads()
		}
		select {
		case <-ticker.C:
		case <-grace.C:
			graceOver = true
		case <-ctx.Done():
			return requests
		}
	}
}

// Shutdown serves the connections that the kernel has accepted already, accepts no
// further ones, and closes each connection once it is idle. When the context ends, it
// closes the remaining ones and returns *OpenConnectionsError.
func (g *Gateway) Shutdown(ctx context.Context) error {
	if err := g.stopAccepting(); err != nil {
		return err
	}
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		g.connections.sweep()
		open := g.connections.list()
		if len(open) == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			for _, c := range open {
				// The server closes the connection too, and may have done so already.
				_ = c.Conn.Close()
			}
			return &OpenConnectionsError{Connections: len(open)}
		}
	}
}

// listen registers the listener of Serve.
func (g *Gateway) listen(l *boundedListener) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listener = l
	if g.stopping {
		return l.stopAccepting()
	}
	return nil
}

func (g *Gateway) stopAccepting() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopping {
		return nil
	}
	g.stopping = true
	if g.listener == nil {
		return nil
	}
	return g.listener.stopAccepting()
}
