package ingress

import (
	"cmp"
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/catkinspring/catkinspring/internal/backlog"
	"github.com/catkinspring/catkinspring/internal/bytebudget"
)

// Server accepts and serves connections of callers.
type Server struct {
	config Config
	// bodies is the memory for the bodies of requests that are being read or handled.
	bodies *bytebudget.Budget
	// heads is the memory for the headers of requests that are being read or handled.
	heads *bytebudget.Budget

	// work ends when Abort gives up the open requests.
	work  context.Context
	abort context.CancelCauseFunc
	// draining is true once Drain was called, reuseEnded once EndReuse was.
	draining, reuseEnded atomic.Bool
	// droppedPipelined counts the requests that a drain has not accepted because another
	// one was open on their connection.
	droppedPipelined atomic.Int64

	mu    sync.Mutex
	conns map[*conn]struct{}
	group sync.WaitGroup
	// serving waits for calls of Serve.
	serving sync.WaitGroup
}

// Config configures a Server.
type Config struct {
	// Handler answers requests; it is called concurrently.
	Handler Handler
	// Unanswered, if set, is called for a request that was read and whose connection ends
	// without its whole response, unless the handler itself asked for that.
	Unanswered func(r *Request, cause error)
	// Limits returns the current limits; it is called concurrently.
	Limits func() Limits
	// MaxConnections is the maximum number of connections. When a further one
	// arrives, one that has long been idle is closed, or the new one if none is idle.
	MaxConnections int
	// Refused, if set, is called for each request that could not be read, with the status
	// of the response.
	Refused func(cause error, status int)
	// HeadBytes bounds the bytes of headers of requests that are read or handled at a time.
	// A parsed header takes about three times its bytes.
	HeadBytes int64
	// BodyBytes bounds the memory that bodies of requests hold together.
	BodyBytes int64
}

// New returns a server.
func New(c Config) *Server {
	s := &Server{config: c, bodies: bytebudget.New(c.BodyBytes), heads: bytebudget.New(c.HeadBytes), conns: make(map[*conn]struct{})}
	s.work, s.abort = context.WithCancelCause(context.Background())
	return s
}

// Serve accepts connections until the listener is closed or StopAccepting is called.
func (s *Server) Serve(l net.Listener) error {
	s.serving.Add(1)
	defer s.serving.Done()
	for {
		raw, err := l.Accept()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return nil
		}
		if err != nil {
			// The process may be out of descriptors for a moment.
			time.Sleep(acceptRetryInterval)
			continue
		}
		s.startConn(raw)
	}
}

// StopAccepting ends Serve, serves the connections that the kernel has already
// accepted, and closes the listener. Closing it alone would reset them.
func (s *Server) StopAccepting(l *net.TCPListener) error {
	err := l.SetDeadline(pastDeadline)
	s.serving.Wait()
	for {
		raw, acceptErr := backlog.Accept(l)
		if raw == nil {
			return errors.Join(err, acceptErr, l.Close())
		}
		s.startConn(raw)
	}
}

// acceptRetryInterval is the wait after a failed accept.
const acceptRetryInterval = 20 * time.Millisecond

func (s *Server) startConn(raw net.Conn) {
	c := newConn(s, raw)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.config.MaxConnections && !s.closeIdle(time.Now()) {
		_ = raw.Close()
		return
	}
	s.conns[c] = struct{}{}
	s.group.Add(1)
	go func() {
		defer s.group.Done()
		c.serve()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	}()
}

// evictionSampleSize is the number of connections among which the one to close for a
// new one is selected. The iteration order of a map is random, so the sample is good
// enough and avoids a scan of thousands of connections.
const evictionSampleSize = 32

// closeIdle closes the connection of a sample that has been idle for longest. s.mu
// must be held.
func (s *Server) closeIdle(now time.Time) bool {
	type candidate struct {
		conn *conn
		idle time.Duration
	}
	candidates := make([]candidate, 0, evictionSampleSize)
	sampled := 0
	for c := range s.conns {
		if idle, ok := c.idleFor(now); ok {
			candidates = append(candidates, candidate{c, idle})
		}
		if sampled++; sampled == evictionSampleSize {
			break
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.idle, a.idle) })
	return slices.ContainsFunc(candidates, func(c candidate) bool { return c.conn.closeIfIdle() })
}

// NearConnectionLimit reports whether more than half of MaxConnections are open.
// Responses after which callers do not reuse the connection should then close it.
func (s *Server) NearConnectionLimit() bool { return s.Connections() > s.config.MaxConnections/2 }

// Drain closes each connection after the response to its only open request. Callers may
// still use their connections until EndReuse is called: they may not know yet that the
// host leaves, and a request may be on its way.
func (s *Server) Drain() { s.draining.Store(true) }

// EndReuse closes idle connections, and each other one after its open requests: a request
// that is read behind an open one is not accepted. Drain must have been called.
func (s *Server) EndReuse() {
	s.reuseEnded.Store(true)
	s.closeAllIdle()
}

// Abort gives up the open requests: it cancels the contexts of their handlers with the
// given cause and refuses requests that are not complete. Their responses are still
// written.
func (s *Server) Abort(cause error) {
	s.abort(cause)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.stopReading()
	}
}

// Work returns the context from which those of handlers are derived.
func (s *Server) Work() context.Context { return s.work }

// DroppedPipelined returns the number of requests that a drain has not accepted because
// another one was open on their connection.
func (s *Server) DroppedPipelined() int64 { return s.droppedPipelined.Load() }

// closeAllIdle closes the idle connections.
func (s *Server) closeAllIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIfIdle()
	}
}

// BodyBytes returns the memory reserved for bodies of requests.
func (s *Server) BodyBytes() int64 { return s.bodies.Used() }

// HeadBytes returns the memory reserved for headers of requests.
func (s *Server) HeadBytes() int64 { return s.heads.Used() }

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// OpenRequests returns the accepted requests without a response.
func (s *Server) OpenRequests() []*Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	var open []*Request
	for c := range s.conns {
		open = append(open, c.openRequests()...)
	}
	return open
}

// UnwrittenRequests returns the requests whose responses are not written whole.
func (s *Server) UnwrittenRequests() []*Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	var unwritten []*Request
	for c := range s.conns {
		unwritten = append(unwritten, c.unwritten()...)
	}
	return unwritten
}

// closeIdleInterval is the interval in which Wait closes connections that have become
// idle.
const closeIdleInterval = 200 * time.Millisecond

// Wait waits until all connections are closed or the context ends. EndReuse must have been
// called.
func (s *Server) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.group.Wait()
	}()
	ticker := time.NewTicker(closeIdleInterval)
	defer ticker.Stop()
	for {
		s.closeAllIdle()
		select {
		case <-done:
			return
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
