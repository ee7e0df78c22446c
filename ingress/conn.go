package ingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/catkinspring/catkinspring/upstream"
)

const (
	// maxPipelined is the number of requests of one connection that may be queued
	// behind the one that is answered next.
	maxPipelined    = 16
	readBufferBytes = 4 << 10
	// newConnectionGrace is how long a connection without a request is not considered
	// idle: its caller has opened it to send one.
	newConnectionGrace = time.Second
	// lingerTime is how long linger waits for the caller to read the last response and
	// to close its side.
	lingerTime = 500 * time.Millisecond
	// maxDiscardedBytes bounds what is read behind the last request of a connection while
	// that request runs.
	maxDiscardedBytes = 1 << 20
)

// keepAlive detects callers whose machine is unresponsive. The kernel resets their
// connections after about 5 s.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// pastDeadline is a deadline that interrupts a read immediately.
var pastDeadline = time.Unix(1, 0)

// conn is a connection of a caller. One goroutine reads requests, another one writes
// the responses in the same order.
type conn struct {
	server *Server
	raw    net.Conn
	// limit bounds the bytes that reader may read.
	limit  *limitedReader
	reader *bufio.Reader

	// queue holds the requests in the order in which they were read.
	queue chan *pendingRequest
	// writeClosed is true once the sending side is closed; writeResponses sets it.
	writeClosed bool
	ctx         context.Context
	cancel      context.CancelFunc

	mu sync.Mutex
	// reading is true from the first byte of a request until it is accepted or refused.
	reading bool
	// open holds the accepted requests without a response, in order.
	open []*pendingRequest
	// writing is the request whose response is being written.
	writing *pendingRequest
	// readingStopped is true once incomplete requests are refused.
	readingStopped bool
	// closing is true once no further request is accepted.
	closing bool
	// closeRequested is true while closeIfIdle waits for the reader to end.
	closeRequested bool
	// lastUsed is when the last response was written or the connection opened.
	lastUsed time.Time
	// used is true once a response was written.
	used bool
}

// pendingRequest is an accepted request that is not answered yet.
type pendingRequest struct {
	// request is nil if the request could not be read.
	request  *Request
	response chan *Response
	// last is true if the connection is closed after the response.
	last bool
}

// ClosingError reports that a connection is being closed. It counts as a timeout, so
// that handleReadError does not cancel the accepted requests.
type ClosingError struct{}

func (*ClosingError) Error() string { return "the connection is being closed" }

// Timeout implements net.Error.
func (*ClosingError) Timeout() bool { return true }

// Temporary implements net.Error.
func (*ClosingError) Temporary() bool { return false }

func newConn(s *Server, raw net.Conn) *conn {
	if tcp, ok := raw.(*net.TCPConn); ok {
		// Without probes, requests of a caller that lost power would never be cancelled.
		_ = tcp.SetKeepAliveConfig(keepAlive)
	}
	c := &conn{server: s, raw: raw, lastUsed: time.Now(), queue: make(chan *pendingRequest, maxPipelined)}
	c.limit = &limitedReader{source: raw}
	c.reader = bufio.NewReaderSize(c.limit, readBufferBytes)
	c.ctx, c.cancel = context.WithCancel(s.work)
	return c
}

// serve handles the requests of a connection until it ends.
func (c *conn) serve() {
	defer func() { _ = c.raw.Close() }()
	defer c.cancel()
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.writeResponses()
	}()
	c.readRequests()
	close(c.queue)
	<-written
	if !c.writeClosed && upstream.UnsentBytes(c.raw) > 0 {
		c.closeWrite()
	}
	if c.writeClosed {
		c.linger()
	}
}

// linger discards what the caller still sends, at most until writeTimeout has passed or
// the caller has the last response. Closing a connection with unread bytes would reset
// it, and the caller might lose that response.
func (c *conn) linger() {
	for end := time.Now().Add(writeTimeout); ; {
		_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime))
		_, err := io.Copy(io.Discard, c.raw)
		if !isTimeout(err) || upstream.UnsentBytes(c.raw) == 0 || time.Now().After(end) {
			return
		}
	}
}

func isTimeout(err error) bool {
	var network net.Error
	return errors.As(err, &network) && network.Timeout()
}

// readRequests reads requests until the connection ends. If that fails because the
// caller disconnected, the accepted requests are cancelled.
func (c *conn) readRequests() {
	for {
		request, err := c.readRequest()
		if err != nil {
			c.handleReadError(err)
			return
		}
		p := &pendingRequest{request: request, response: make(chan *Response, 1), last: request.Close}
		if !c.accept(p) {
			c.reportUnanswered(p, &NotAcceptedError{})
			request.releaseMemory()
			c.watchForDisconnect()
			return
		}
		go func() {
			p.response <- c.server.config.Handler(c.ctx, request)
			request.releaseMemory()
		}()
		c.enqueue(p)
		if p.last {
			c.watchForDisconnect()
			return
		}
	}
}

// enqueue appends a request to the queue. While the queue is full, it cancels the
// accepted requests if the caller disconnects.
func (c *conn) enqueue(p *pendingRequest) {
	select {
	case c.queue <- p:
		return
	default:
	}
	// The next bytes stay in the buffer, which holds no more than this.
	c.limit.start(readBufferBytes+1, &HeaderTooLargeError{}, nil)
	_ = c.raw.SetReadDeadline(time.Time{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		_, err := c.reader.Peek(c.reader.Buffered() + 1)
		if err != nil && !isTimeout(err) && !errors.Is(err, bufio.ErrBufferFull) {
			c.cancel()
		}
	}()
	c.queue <- p
	_ = c.raw.SetReadDeadline(pastDeadline)
	<-watched
}

// watchForDisconnect cancels the accepted requests if the caller disconnects before
// the last response. What it sends behind the last request is discarded.
func (c *conn) watchForDisconnect() {
	_ = c.raw.SetReadDeadline(time.Time{})
	go func() {
		if _, err := io.CopyN(io.Discard, c.raw, maxDiscardedBytes); err != nil && !errors.Is(err, net.ErrClosed) {
			c.cancel()
		}
	}()
}

// awaitRequest waits for the first byte of a request. It returns a timeout if the
// connection has been idle for the given time or is being closed.
func (c *conn) awaitRequest(idleTimeout time.Duration) error {
	for {
		if err := c.setIdleDeadline(idleTimeout); err != nil {
			return err
		}
		_, err := c.reader.Peek(1)
		if err == nil {
			return c.beginReading()
		}
		if !isTimeout(err) {
			return err
		}
		if c.endIfIdle(idleTimeout) {
			return &ClosingError{}
		}
	}
}

// setIdleDeadline sets the time until which the connection may stay without a request.
// That time begins with the last response.
func (c *conn) setIdleDeadline(idleTimeout time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closing:
		return &ClosingError{}
	case c.closeRequested:
		return c.raw.SetReadDeadline(pastDeadline)
	case len(c.open) > 0 || c.writing != nil:
		return c.raw.SetReadDeadline(time.Now().Add(idleTimeout))
	}
	return c.raw.SetReadDeadline(c.lastUsed.Add(idleTimeout))
}

// beginReading notes that a request has begun to arrive.
func (c *conn) beginReading() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return &ClosingError{}
	}
	c.reading, c.closeRequested = true, false
	return nil
}

// endIfIdle reports whether the connection ends after a read timeout: it has no open
// request, nothing has arrived, and it was asked to close or has been idle for long.
func (c *conn) endIfIdle(idleTimeout time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return true
	}
	requested := c.closeRequested
	c.closeRequested = false
	if !upstream.IsIdle(c.raw) {
		c.lastUsed = time.Now()
		return false
	}
	if len(c.open) > 0 || c.writing != nil || !requested && time.Since(c.lastUsed) < idleTimeout {
		return false
	}
	c.closing = true
	return true
}

// accept decides whether a request that was read is handled. Once connections are not
// reused any more, it is accepted only if no other one is open on its connection, and
// then it is the last one; requests behind a response that closes the connection count
// as not sent.
func (c *conn) accept(p *pendingRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	reuseEnded := c.server.reuseEnded.Load()
	if c.closing || reuseEnded && len(c.open) > 0 {
		if c.server.draining.Load() && p.request != nil {
			c.server.droppedPipelined.Add(1)
		}
		return false
	}
	p.last = p.last || reuseEnded
	c.open = append(c.open, p)
	return true
}

// remove removes a request that was answered or given up.
func (c *conn) remove(p *pendingRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeOpen(p)
	if c.writing == p {
		c.writing = nil
	}
	c.lastUsed, c.used = time.Now(), true
}

// removeOpen removes a request from the open ones. c.mu must be held.
func (c *conn) removeOpen(p *pendingRequest) {
	c.open = slices.DeleteFunc(c.open, func(other *pendingRequest) bool { return other == p })
}

// openRequests returns the accepted requests without a response.
func (c *conn) openRequests() []*Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	var requests []*Request
	for _, p := range c.open {
		if p.request != nil {
			requests = append(requests, p.request)
		}
	}
	return requests
}

// unwritten returns the requests whose responses are not written.
func (c *conn) unwritten() []*Request {
	requests := c.openRequests()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing != nil && c.writing.request != nil {
		requests = append(requests, c.writing.request)
	}
	return requests
}

// closeIfIdle closes a connection without open requests, and reports whether it did.
// A request that has arrived but was not read counts as open.
func (c *conn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isIdle() || !c.used && time.Since(c.lastUsed) < newConnectionGrace || !upstream.IsIdle(c.raw) {
		return false
	}
	c.closeRequested = true
	_ = c.raw.SetReadDeadline(pastDeadline)
	return true
}

// isIdle reports whether no request is open or arriving. c.mu must be held.
func (c *conn) isIdle() bool {
	return len(c.open) == 0 && c.writing == nil && !c.reading && !c.closing
}

// idleFor returns how long the connection has been unused, and whether it is idle and
// was not asked to close yet.
func (c *conn) idleFor(now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.lastUsed), c.isIdle() && !c.closeRequested
}

// stopReading interrupts the reading of a request that is not complete.
func (c *conn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingStopped = true
	if c.reading {
		_ = c.raw.SetReadDeadline(pastDeadline)
	}
}

// setReadDeadline sets the deadline for the rest of a request, unless stopReading was
// called.
func (c *conn) setReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readingStopped {
		deadline = pastDeadline
	}
	return c.raw.SetReadDeadline(deadline)
}
