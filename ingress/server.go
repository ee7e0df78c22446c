package ingress

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/catkinspring/catkinspring/internal/bytebudget"
)

// Server accepts and serves connections of callers.
type Server struct {
	config Config
	// bodies is the memory for the bodies of requests that are being read or handled.
	bodies *bytebudget.Budget

	mu       sync.Mutex
	conns    map[*conn]struct{}
	draining bool
	group    sync.WaitGroup
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
	// BodyBytes bounds the memory that bodies of requests hold together.
	BodyBytes int64
}

// New returns a server.
func New(c Config) *Server {
	return &Server{config: c, bodies: bytebudget.New(c.BodyBytes), conns: make(map[*conn]struct{})}
}

// Serve accepts connections until the listener is closed or StopAccepting is called.
func (s *Server) Serve(l net.Listener) error {
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
	err := l.SetDeadline(time.Unix(1, 0))
	raw, rawErr := l.SyscallConn()
	err = errors.Join(err, rawErr)
	if rawErr == nil {
		err = errors.Join(err, raw.Control(func(fd uintptr) {
			for {
				accepted, _, acceptErr := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
				if acceptErr != nil {
					return // usually EAGAIN: the backlog is empty
				}
				s.startAccepted(accepted)
			}
		}))
	}
	return errors.Join(err, l.Close())
}

// startAccepted serves a connection that was accepted by a system call.
func (s *Server) startAccepted(fd int) {
	file := os.NewFile(uintptr(fd), "caller")
	defer func() { _ = file.Close() }()
	// FileConn duplicates the descriptor.
	if raw, err := net.FileConn(file); err == nil {
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
	var oldest *conn
	longest, sampled := time.Duration(-1), 0
	for c := range s.conns {
		if idle, ok := c.idleFor(now); ok && idle > longest {
			oldest, longest = c, idle
		}
		if sampled++; sampled == evictionSampleSize {
			break
		}
	}
	return oldest != nil && oldest.closeIfIdle()
}

// NearConnectionLimit reports whether more than half of MaxConnections are open.
// Responses after which callers do not reuse the connection should then close it.
func (s *Server) NearConnectionLimit() bool { return s.Connections() > s.config.MaxConnections/2 }

// Drain closes idle connections at once, and the others after the responses to the
// requests that have arrived. New connections may still send their first request.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	s.closeAllIdle()
}

// closeAllIdle closes the idle connections. s.mu must be held.
func (s *Server) closeAllIdle() {
	for c := range s.conns {
		c.closeIfIdle()
	}
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// BodyBytes returns the memory reserved for bodies of requests.
func (s *Server) BodyBytes() int64 { return s.bodies.Used() }

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// OpenRequests returns the requests that were read and are not answered yet.
func (s *Server) OpenRequests() []*Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	var open []*Request
	for c := range s.conns {
		open = append(open, c.openRequests()...)
	}
	return open
}

// closeIdleInterval is the interval in which Wait closes connections that have become
// idle without a response, because their callers have sent nothing.
const closeIdleInterval = 200 * time.Millisecond

// Wait waits until all connections are closed or the context ends. Drain must have
// been called.
func (s *Server) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.group.Wait()
	}()
	ticker := time.NewTicker(closeIdleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.mu.Lock()
			s.closeAllIdle()
			s.mu.Unlock()
		}
	}
}
