package ingress

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/catkinspring/catkinspring/internal/bytebudget"
	"github.com/catkinspring/catkinspring/upstream"
)

const (
	// maxPipelined is the number of requests of one connection that may be queued
	// behind the one that is answered next.
	maxPipelined = 16
	// The defaults apply until there is a configuration, and where it sets no value.
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 8 << 20
	defaultIdleTimeout   = 15 * time.Second
	defaultHeaderTimeout = 3 * time.Second
	// bodyTimeout is the timeout for receiving a body.
	bodyTimeout = 10 * time.Second
	// writeTimeout is the timeout for sending a response to a caller that reads
	// slowly.
	writeTimeout    = 10 * time.Second
	readBufferBytes = 4 << 10
	// maxFramingBytes bounds the chunk headers and the trailer of a body. net/http
	// itself rejects bodies with much more framing than content.
	maxFramingBytes = 256 << 10
	// memoryRetryAfter is the Retry-After when bodies hold their part of the memory:
	// about the time in which a request is answered.
	memoryRetryAfter = 400 * time.Millisecond
)

// keepAlive detects callers whose machine is unresponsive. The kernel resets their
// connections after about 5 s.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// conn is a connection of a caller.
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
	// unanswered counts the requests that are being read or not answered yet.
	unanswered int
	// open holds the requests that were read and are not answered yet, in order.
	open    []*pendingRequest
	closing bool
	// lastUsed is when the last response was written or the connection opened.
	lastUsed time.Time
	// used is true once a response was written.
	used bool
}

// pendingRequest is a request that was read and is not answered yet.
type pendingRequest struct {
	// request is nil if the request could not be read.
	request  *Request
	response chan *Response
	// last is true if the connection is closed after the response.
	last bool
}

// limitedReader limits the bytes that may be read for one header or body.
type limitedReader struct {
	source    io.Reader
	remaining int64
	// exceeded is the error of a read beyond the limit.
	exceeded error
	// err is the error of the last read. The parser reports a line that it truncated
	// as malformed.
	err error
}

// HeaderTooLargeError reports a header that exceeds the limit.
type HeaderTooLargeError struct{}

func (*HeaderTooLargeError) Error() string { return "the header is larger than allowed" }

// start begins a header or body of at most limit bytes.
func (l *limitedReader) start(limit int64, exceeded error) {
	l.remaining, l.exceeded = limit, exceeded
}

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		l.err = l.exceeded
		return 0, l.err
	}
	if int64(len(p)) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.source.Read(p)
	l.remaining -= int64(n)
	l.err = err
	return n, err
}

func newConn(s *Server, raw net.Conn) *conn {
	if tcp, ok := raw.(*net.TCPConn); ok {
		// Without probes, requests of a caller that lost power would never be cancelled.
		_ = tcp.SetKeepAliveConfig(keepAlive)
	}
	c := &conn{server: s, raw: raw, lastUsed: time.Now(), queue: make(chan *pendingRequest, maxPipelined)}
	c.limit = &limitedReader{source: raw}
	c.reader = bufio.NewReaderSize(c.limit, readBufferBytes)
	c.ctx, c.cancel = context.WithCancel(context.Background())
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
	if c.writeClosed {
		c.linger()
	}
}

// linger discards what the caller still sends. Closing a connection with unread
// bytes would reset it, and the caller might lose the last response.
func (c *conn) linger() {
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, c.raw)
}

// readRequests reads requests until the connection ends. If that fails because the
// caller disconnected, the running requests are cancelled.
func (c *conn) readRequests() {
	for {
		request, last, err := c.readRequest()
		if err != nil {
			c.handleReadError(err)
			return
		}
		p := &pendingRequest{request: request, response: make(chan *Response, 1), last: last}
		c.addOpen(p)
		go func() {
			p.response <- c.server.config.Handler(c.ctx, request)
			request.memory.Release()
		}()
		c.queue <- p
		if last {
			c.watchForDisconnect()
			return
		}
	}
}

// watchForDisconnect cancels the running requests if the caller disconnects before
// the last response.
func (c *conn) watchForDisconnect() {
	c.limit.start(1, &HeaderTooLargeError{})
	_ = c.raw.SetReadDeadline(time.Time{})
	go func() {
		if _, err := c.reader.Peek(1); err != nil && !errors.Is(err, net.ErrClosed) {
			c.cancel()
		}
	}()
}

// refuse queues an error response to a request that could not be read.
func (c *conn) refuse(status int, retryAfter time.Duration) {
	p := &pendingRequest{response: make(chan *Response, 1), last: true}
	p.response <- Refuse(status, retryAfter)
	c.beginRequest()
	c.queue <- p
}

// handleReadError refuses the request that could not be read, or cancels the running
// requests if the connection failed.
func (c *conn) handleReadError(err error) {
	var large *HeaderTooLargeError
	var body *http.MaxBytesError
	var memory *bytebudget.ExceededError
	var bad *badRequestError
	var slow *slowRequestError
	var network net.Error
	switch {
	case errors.As(err, &large):
		c.refuse(http.StatusRequestHeaderFieldsTooLarge, 0)
	case errors.As(err, &body):
		c.refuse(http.StatusRequestEntityTooLarge, 0)
	case errors.As(err, &memory):
		// Nothing was sent upstream, so the request has not run.
		c.refuse(http.StatusServiceUnavailable, memoryRetryAfter)
	case errors.As(err, &bad):
		c.refuse(http.StatusBadRequest, 0)
	case errors.As(err, &slow):
		c.refuse(http.StatusRequestTimeout, 0)
	case errors.As(err, &network) && network.Timeout():
		// The connection is idle. Requests that were read before are still answered.
	default:
		c.cancel()
	}
}

// ConnectionEndedError reports a request behind a response that ended the connection.
type ConnectionEndedError struct{}

func (*ConnectionEndedError) Error() string { return "an earlier response ended the connection" }

// badRequestError reports a request that is not valid HTTP.
type badRequestError struct{ cause error }

func (e *badRequestError) Error() string { return "malformed request: " + e.cause.Error() }
func (e *badRequestError) Unwrap() error { return e.cause }

// errClosing stops the reading of a connection that is being closed. It counts as a
// timeout, so that handleReadError does not cancel the running requests.
var errClosing net.Error = &closingError{}

type closingError struct{}

func (*closingError) Error() string   { return "the connection is being closed" }
func (*closingError) Timeout() bool   { return true }
func (*closingError) Temporary() bool { return false }

// readRequest reads one request. last is true if it is the last request of the
// connection.
func (c *conn) readRequest() (r *Request, last bool, err error) {
	limits := c.server.config.Limits()
	c.limit.start(int64(orDefault(limits.HeaderBytes, defaultHeaderBytes))+readBufferBytes, &HeaderTooLargeError{})
	if err := c.raw.SetReadDeadline(time.Now().Add(orDefault(limits.IdleTimeout, defaultIdleTimeout))); err != nil {
		return nil, false, err
	}
	if c.isClosing() {
		return nil, false, errClosing
	}
	if _, err := c.reader.Peek(1); err != nil {
		return nil, false, err
	}
	received := time.Now()
	if !c.beginRequest() {
		return nil, false, errClosing
	}
	if err := c.raw.SetReadDeadline(received.Add(orDefault(limits.HeaderTimeout, defaultHeaderTimeout))); err != nil {
		return nil, false, err
	}
	parsed, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, false, c.classifyReadError(err)
	}
	body, memory, err := c.readBody(parsed, orDefault(limits.BodyBytes, defaultBodyBytes))
	if err != nil {
		return nil, false, err
	}
	return &Request{Request: parsed, Body: body, Received: received, memory: memory}, parsed.Close, nil
}

// classifyReadError distinguishes a malformed request from an incomplete one.
func (c *conn) classifyReadError(err error) error {
	var network net.Error
	switch {
	case errors.As(c.limit.err, &network) && network.Timeout():
		return &slowRequestError{}
	case c.limit.err != nil:
		return c.limit.err
	}
	return &badRequestError{cause: err}
}

// slowRequestError reports a request that was not received in time.
type slowRequestError struct{}

func (*slowRequestError) Error() string { return "the request did not arrive in time" }

// readBody reads the body of a request and returns its reservation.
func (c *conn) readBody(r *http.Request, limit int64) ([]byte, *bytebudget.Account, error) {
	memory := c.server.bodies.Open()
	if r.ContentLength == 0 {
		return nil, memory, nil
	}
	if err := c.raw.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return nil, nil, err
	}
	c.limit.start(limit+maxFramingBytes, &http.MaxBytesError{Limit: limit})
	body, err := bytebudget.ReadAll(c.bodyReader(r), r.ContentLength, limit, memory)
	if err == nil {
		return body, memory, nil
	}
	memory.Release()
	var tooLarge *http.MaxBytesError
	var exceeded *bytebudget.ExceededError
	if errors.As(err, &tooLarge) || errors.As(err, &exceeded) {
		return nil, nil, err
	}
	return nil, nil, c.classifyReadError(err)
}

// bodyReader returns the body of a request. A caller that waits for 100 Continue is
// asked for the body by the first read, for which memory is reserved then.
func (c *conn) bodyReader(r *http.Request) io.Reader {
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		return &continueReader{conn: c.raw, body: r.Body}
	}
	return r.Body
}

// continueReader sends 100 Continue before the first read of a body.
type continueReader struct {
	conn io.Writer
	body io.Reader
	sent bool
}

func (r *continueReader) Read(p []byte) (int, error) {
	if !r.sent {
		r.sent = true
		if _, err := io.WriteString(r.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return 0, err
		}
	}
	return r.body.Read(p)
}

func orDefault[T int | int64 | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

// beginRequest counts a request that is being read. It returns false if the
// connection is being closed.
func (c *conn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.unanswered++
	return true
}

// addOpen adds a request that was read.
func (c *conn) addOpen(p *pendingRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open = append(c.open, p)
}

// removeOpen removes a request that was answered or dropped.
func (c *conn) removeOpen(p *pendingRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open = slices.DeleteFunc(c.open, func(other *pendingRequest) bool { return other == p })
}

// openRequests returns the requests that were read and are not answered yet.
func (c *conn) openRequests() []*Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	requests := make([]*Request, 0, len(c.open))
	for _, p := range c.open {
		requests = append(requests, p.request)
	}
	return requests
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// newConnectionGrace is how long a connection without a request is not considered
// idle: its caller has opened it to send one.
const newConnectionGrace = time.Second

// closeIfIdle closes a connection without unanswered requests, and reports whether
// it did. A request that has arrived but was not read counts as unanswered.
func (c *conn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unanswered > 0 || c.closing || !c.used && time.Since(c.lastUsed) < newConnectionGrace {
		return false
	}
	if !upstream.IsIdle(c.raw) {
		return false
	}
	c.closing = true
	_ = c.raw.SetReadDeadline(time.Now())
	return true
}

// idleFor returns how long the connection has been unused, and whether it is idle.
func (c *conn) idleFor(now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.lastUsed), c.unanswered == 0 && !c.closing
}

// writeResponses writes the responses in the order of the requests. A response that
// closes the connection is the last one: later requests get no response.
func (c *conn) writeResponses() {
	done := false
	for p := range c.queue {
		if done {
			c.dropRequest(p)
			continue
		}
		response := <-p.response
		closesAfter := c.closesAfter(p, response)
		if response.Status == 0 {
			done = true
		} else if err := c.writeResponse(response, closesAfter); err != nil {
			done = true
			c.reportUnanswered(p, err)
		}
		c.removeOpen(p)
		response.release()
		c.mu.Lock()
		c.unanswered--
		c.lastUsed, c.used = time.Now(), true
		c.mu.Unlock()
		if done || closesAfter {
			done = true
			c.closeWrite()
		} else if c.server.isDraining() {
			c.closeIfIdle()
		}
	}
}

// dropRequest gives up a request behind a response that ended the connection.
func (c *conn) dropRequest(p *pendingRequest) {
	c.reportUnanswered(p, &ConnectionEndedError{})
	go func() {
		(<-p.response).release()
		c.removeOpen(p)
	}()
}

// reportUnanswered reports a request whose connection ends without its whole response.
func (c *conn) reportUnanswered(p *pendingRequest, cause error) {
	if report := c.server.config.Unanswered; report != nil && p.request != nil {
		report(p.request, cause)
	}
}

// closesAfter reports whether the connection is closed after a response. If the
// server drains or the response requests it, that is once no other request is
// unanswered, because pipelined requests may already be running.
func (c *conn) closesAfter(p *pendingRequest, response *Response) bool {
	if p.last {
		return true
	}
	if !response.Close && !c.server.isDraining() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unanswered > 1 {
		return false
	}
	c.closing = true
	return true
}

// closeWrite closes the sending side, stops the reader and cancels the requests that
// still run.
func (c *conn) closeWrite() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	c.writeClosed = true
	c.cancel()
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.raw.SetReadDeadline(time.Now())
}

// lingerTime is how long linger waits for the caller to read the last response.
const lingerTime = 500 * time.Millisecond

func (c *conn) writeResponse(r *Response, last bool) error {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString("HTTP/1.1 " + strconv.Itoa(r.Status) + " " + http.StatusText(r.Status) + "\r\n")
	_ = r.Header.Write(&b) // writes to a bytes.Buffer never fail
	b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	if last {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	if err := c.raw.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := c.raw.Write(b.Bytes())
	return err
}
