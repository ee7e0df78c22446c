package gateway

import (
	"context"
	"fmt"
	"time"
)

// sweepInterval is how often a stopping gateway looks for idle connections.
const sweepInterval = 20 * time.Millisecond

// OpenConnectionsError reports connections that had to be closed while they were in
// use, because the time for a shutdown was over.
type OpenConnectionsError struct {
	Connections int
}

func (e *OpenConnectionsError) Error() string {
	return fmt.Sprintf("%d connections were in use at the end of the shutdown", e.Connections)
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
		g.connections.closeIdle()
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
