package gateway

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinspring/catkinspring/internal/backlog"
	"github.com/catkinspring/catkinspring/upstream"
)

const (
	// lingerTimeout and lingerBytes limit what is read and discarded from a caller
	// whose connection is closed before all that it sent was read. Closing with unread
	// bytes would reset the connection, and the caller would often lose the last
	// response.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 1 << 20
	// newConnectionGrace is how long a connection without a request is not considered
	// idle: its caller has opened it to send one.
	newConnectionGrace = time.Second
)

// boundedListener limits the open connections. It answers excess connections with
// a fixed response and closes them.
type boundedListener struct {
	net.Listener
	open    *connections
	maxOpen int
	refusal []byte
	// stopping is true once no connection may be accepted but those of the backlog.
	stopping atomic.Bool
}

// Accept returns the next connection within the limit.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.accept()
		if err != nil {
			return nil, err
		}
		if accepted := l.open.add(c, l.maxOpen); accepted != nil {
			return accepted, nil
		}
		// The response fits into the empty send buffer, so the write does not block.
		_, _ = c.Write(l.refusal)
		_ = c.Close()
	}
}

// accept returns the next connection. After stopAccepting it returns those of the
// backlog, closes the listener and returns io.EOF.
func (l *boundedListener) accept() (net.Conn, error) {
	if !l.stopping.Load() {
		c, err := l.Listener.Accept()
		if err == nil || !l.stopping.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
	}
	if socket, ok := l.Listener.(syscall.Conn); ok {
		if c, err := backlog.Accept(socket); c != nil || err != nil {
			return c, err
		}
	}
	if err := l.Close(); err != nil {
		return nil, err
	}
	return nil, io.EOF
}

// stopAccepting ends Accept once the connections of the backlog have been returned.
func (l *boundedListener) stopAccepting() error {
	l.stopping.Store(true)
	if socket, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		return socket.SetDeadline(expiredDeadline)
	}
	return l.Close()
}

// phase is what happens on a connection of a caller.
type phase int32

const (
	// phaseIdle means that no request is being read or answered.
	phaseIdle phase = iota
	phaseReading
	phaseAnswering
)

// connections holds the open connections of callers.
type connections struct {
	mu   sync.Mutex
	open map[*callerConn]struct{}
}

func newConnections() *connections {
	return &connections{open: map[*callerConn]struct{}{}}
}

// add returns the connection as a caller's, or nil if maxOpen are open.
func (s *connections) add(raw net.Conn, maxOpen int) *callerConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) >= maxOpen {
		return nil
	}
	c := &callerConn{Conn: raw, connections: s, opened: time.Now()}
	s.open[c] = struct{}{}
	return c
}

func (s *connections) remove(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// list returns the open connections.
func (s *connections) list() []*callerConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*callerConn, 0, len(s.open))
	for c := range s.open {
		list = append(list, c)
	}
	return list
}

// counts returns the number of open connections, and of those with a request.
func (s *connections) counts() (open, requests int) {
	for _, c := range s.list() {
		if phase(c.phase.Load()) != phaseIdle {
			requests++
		}
		open++
	}
	return open, requests
}

func (s *connections) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// sweep closes the idle connections and returns the number of requests that are
// being read or answered, or have arrived. Connections whose callers have had no time
// for a request count too.
func (s *connections) sweep() int {
	now, requests := time.Now(), 0
	for _, c := range s.list() {
		if !c.isIdle(now) {
			requests++
			continue
		}
		lingerOnClose(c)
		c.interruptRead()
	}
	return requests
}

// interruptReads makes the server answer requests that are still being read.
func (s *connections) interruptReads() {
	for _, c := range s.list() {
		if phase(c.phase.Load()) == phaseReading {
			c.interruptRead()
		}
	}
}

// abort ends the requests that are still read or answered. It may be repeated.
func (s *connections) abort() {
	for _, c := range s.list() {
		if request := c.call.Load(); request != nil {
			request.abort()
		}
	}
	s.interruptReads()
}

// callerConn is the connection of a caller.
type callerConn struct {
	net.Conn
	connections *connections
	opened      time.Time
	linger      atomic.Bool
	phase       atomic.Int32
	// used is true once a request was answered.
	used atomic.Bool
	// call is the request that is being answered, or nil.
	call     atomic.Pointer[call]
	once     sync.Once
	closeErr error
}

// trackPhase follows the states of the server's connections.
func trackPhase(c net.Conn, state fasthttp.ConnState) {
	caller, ok := c.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case fasthttp.StateActive:
		caller.phase.Store(int32(phaseReading))
	case fasthttp.StateIdle:
		caller.used.Store(true)
		caller.call.Store(nil)
		caller.phase.Store(int32(phaseIdle))
	}
}

// isIdle reports whether no request is being read or answered, or has arrived, and
// the caller has had time to send its first one.
func (c *callerConn) isIdle(now time.Time) bool {
	return phase(c.phase.Load()) == phaseIdle && (c.used.Load() || now.Sub(c.opened) >= newConnectionGrace) &&
		upstream.IsIdle(c.Conn)
}

// answering marks the connection's request as read.
func answering(c net.Conn, request *call) {
	if caller, ok := c.(*callerConn); ok {
		caller.call.Store(request)
		caller.phase.Store(int32(phaseAnswering))
	}
}

// interruptRead makes the server stop reading. It closes the connection if it is
// idle, and answers with 408 if a request was being read.
func (c *callerConn) interruptRead() {
	// An error means that the connection is closed.
	_ = c.SetReadDeadline(expiredDeadline)
}

// Close closes the connection. If lingering is enabled, it first reads and
// discards what the caller still sends, up to lingerTimeout and lingerBytes.
func (c *callerConn) Close() error {
	c.once.Do(func() {
		if tcp, ok := c.Conn.(*net.TCPConn); ok && c.linger.Load() && tcp.CloseWrite() == nil {
			_ = tcp.SetReadDeadline(time.Now().Add(lingerTimeout))
			_, _ = io.CopyN(io.Discard, tcp, lingerBytes)
		}
		c.closeErr = c.Conn.Close()
		c.connections.remove(c)
	})
	return c.closeErr
}

// lingerOnClose enables lingering, for callers that may have sent more than was read.
func lingerOnClose(c net.Conn) {
	if caller, ok := c.(*callerConn); ok {
		caller.linger.Store(true)
	}
}
