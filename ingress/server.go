package ingress

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// Server accepts connections of callers.
type Server struct {
	config Config

	mu       sync.Mutex
	open     map[*conn]struct{}
	draining bool
	group    sync.WaitGroup
}

// Config holds what a Server needs.
type Config struct {
	// Handler answers requests; it is called concurrently.
	Handler Handler
	// Limits returns the limits in force; it may be called concurrently.
	Limits func() Limits
	// MaxConnections bounds the connections. For a further one, one that has been
	// unused for long is closed, or the new one if all are in use.
	MaxConnections int
}

// New returns a server.
func New(c Config) *Server {
	return &Server{config: c, open: make(map[*conn]struct{})}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		raw, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Descriptors may be used up for a moment.
			time.Sleep(acceptRetry)
			continue
		}
		s.start(raw)
	}
}

// acceptRetry is the pause after a failed accept.
const acceptRetry = 20 * time.Millisecond

func (s *Server) start(raw net.Conn) {
	c := newConn(s, raw)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) >= s.config.MaxConnections && !s.closeUnused(time.Now()) {
		_ = raw.Close()
		return
	}
	s.open[c] = struct{}{}
	s.group.Add(1)
	go func() {
		defer s.group.Done()
		c.serve()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.open, c)
	}()
}

// evictSample is the number of connections among which the one that is closed for
// a new one is chosen. The order of a map is random, so the choice is good enough
// and does not cost a look at thousands of connections.
const evictSample = 32

// closeUnused closes the longest unused of some connections. The caller holds the
// lock.
func (s *Server) closeUnused(now time.Time) bool {
	var oldest *conn
	longest, looked := time.Duration(-1), 0
	for c := range s.open {
		if unused, ok := c.unusedFor(now); ok && unused > longest {
			oldest, longest = c, unused
		}
		if looked++; looked == evictSample {
			break
		}
	}
	return oldest != nil && oldest.closeIfUnused()
}

// Crowded reports whether more than half of the connections that may be open are.
// Responses that their callers do not follow up on a connection should close it
// then.
func (s *Server) NearConnectionLimit() bool { return s.Connections() > s.config.MaxConnections/2 }

// Drain ends each connection after the responses to the requests that were read,
// and unused ones at once.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for c := range s.open {
		c.closeIfUnused()
	}
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Wait waits until all connections have ended or the context ends.
func (s *Server) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.group.Wait()
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
