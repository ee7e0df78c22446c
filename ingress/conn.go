package ingress

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxAhead bounds the requests of one connection that are read before the
	// first of them is answered.
	maxAhead = 16
	// defaultHeaderBytes, defaultIdle and defaultHeaderTimeout hold until there is
	// a configuration.
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 8 << 20
	defaultIdle          = 15 * time.Second
	defaultHeaderTimeout = 3 * time.Second
	// bodyTimeout bounds the time to receive a body.
	bodyTimeout = 10 * time.Second
	// writeTimeout bounds the time to send a response to a caller that reads
	// slowly.
	writeTimeout = 10 * time.Second
	readBuffer   = 4 << 10
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// conn is one connection of a caller.
type conn struct {
	server *Server
	raw    net.Conn
	limit  *headerLimit
	reader *bufio.Reader

	// queue holds the requests that were read, in order.
	queue chan *pending
	// ended is set by the writer before it returns.
	ended  bool
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// unanswered counts requests that were read and not answered yet, including
	// one that is being read.
	unanswered int
	closing    bool
	// usedAt is when the last response was written, or the start.
	usedAt time.Time
}

// pending is a request that was read.
type pending struct {
	response chan *Response
	// last is true if the connection ends after the response.
	last bool
}

// headerLimit bounds what may be read for one header.
type headerLimit struct {
	source io.Reader
	left   int64
	// err is the error of the last read. The parser reports a line that was cut by
	// it as malformed.
	err error
}

// HeaderTooLargeError reports a header above the limit.
type HeaderTooLargeError struct{}

func (*HeaderTooLargeError) Error() string { return "the header is larger than allowed" }

func (l *headerLimit) Read(p []byte) (int, error) {
	if l.left <= 0 {
		l.err = &HeaderTooLargeError{}
		return 0, l.err
	}
	if int64(len(p)) > l.left {
		p = p[:l.left]
	}
	n, err := l.source.Read(p)
	l.left -= int64(n)
	l.err = err
	return n, err
}

func newConn(s *Server, raw net.Conn) *conn {
	if tcp, ok := raw.(*net.TCPConn); ok {
		// Without probes a caller that lost its power holds its requests for good.
		_ = tcp.SetKeepAliveConfig(keepAlive)
	}
	c := &conn{server: s, raw: raw, usedAt: time.Now(), queue: make(chan *pending, maxAhead)}
	c.limit = &headerLimit{source: raw}
	c.reader = bufio.NewReaderSize(c.limit, readBuffer)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

func (c *conn) serve() {
	defer func() { _ = c.raw.Close() }()
	defer c.cancel()
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.writeAll()
	}()
	c.readAll()
	close(c.queue)
	<-written
	if c.ended {
		c.linger()
	}
}

// linger reads what the caller still sends. Closing a connection with unread
// bytes would reset it, and the caller might lose the last response.
func (c *conn) linger() {
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, c.raw)
}

// readAll reads requests until the connection ends. When it fails because the
// caller left, the running requests are cancelled.
func (c *conn) readAll() {
	for {
		request, last, err := c.read()
		if err != nil {
			c.readFailed(err)
			return
		}
		p := &pending{response: make(chan *Response, 1), last: last}
		go func() { p.response <- c.server.config.Handler(c.ctx, request) }()
		c.queue <- p
		if last {
			c.watchEnd()
			return
		}
	}
}

// watchEnd notices a caller that leaves before the last response.
func (c *conn) watchEnd() {
	c.limit.left = 1
	_ = c.raw.SetReadDeadline(time.Time{})
	go func() {
		if _, err := c.reader.Peek(1); err != nil && !errors.Is(err, net.ErrClosed) {
			c.cancel()
		}
	}()
}

// refusal answers a request that could not be read.
func (c *conn) refusal(status int) {
	p := &pending{response: make(chan *Response, 1), last: true}
	p.response <- &Response{Status: status, Header: http.Header{}, Close: true}
	c.begin()
	c.queue <- p
}

func (c *conn) readFailed(err error) {
	var large *HeaderTooLargeError
	var body *http.MaxBytesError
	var bad *badRequestError
	var slow *slowRequestError
	var network net.Error
	switch {
	case errors.As(err, &large):
		c.refusal(http.StatusRequestHeaderFieldsTooLarge)
	case errors.As(err, &body):
		c.refusal(http.StatusRequestEntityTooLarge)
	case errors.As(err, &bad):
		c.refusal(http.StatusBadRequest)
	case errors.As(err, &slow):
		c.refusal(http.StatusRequestTimeout)
	case errors.As(err, &network) && network.Timeout():
		// An idle connection. Requests that were read before are still answered.
	default:
		c.cancel()
	}
}

// badRequestError reports a request that is not valid HTTP.
type badRequestError struct{ cause error }

func (e *badRequestError) Error() string { return "malformed request: " + e.cause.Error() }
func (e *badRequestError) Unwrap() error { return e.cause }

// errClosing ends the reading of a connection that is being closed.
var errClosing net.Error = &closingError{}

type closingError struct{}

func (*closingError) Error() string   { return "the connection is being closed" }
func (*closingError) Timeout() bool   { return true }
func (*closingError) Temporary() bool { return false }

// read reads one request. last is true if no further one follows on the
// connection.
func (c *conn) read() (r *Request, last bool, err error) {
	limits := c.server.config.Limits()
	c.limit.left = int64(orDefault(limits.HeaderBytes, defaultHeaderBytes)) + readBuffer
	if err := c.raw.SetReadDeadline(time.Now().Add(orDefault(limits.IdleTimeout, defaultIdle))); err != nil {
		return nil, false, err
	}
	if c.isClosing() {
		return nil, false, errClosing
	}
	if _, err := c.reader.Peek(1); err != nil {
		return nil, false, err
	}
	received := time.Now()
	if !c.begin() {
		return nil, false, errClosing
	}
	if err := c.raw.SetReadDeadline(received.Add(orDefault(limits.HeaderTimeout, defaultHeaderTimeout))); err != nil {
		return nil, false, err
	}
	parsed, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, false, c.classify(err)
	}
	body, err := c.readBody(parsed, orDefault(limits.BodyBytes, defaultBodyBytes))
	if err != nil {
		return nil, false, err
	}
	return &Request{Request: parsed, Body: body, Received: received}, parsed.Close, nil
}

// classify tells a malformed request from one that did not arrive whole.
func (c *conn) classify(err error) error {
	var network net.Error
	switch {
	case errors.As(c.limit.err, &network) && network.Timeout():
		return &slowRequestError{}
	case c.limit.err != nil:
		return c.limit.err
	}
	return &badRequestError{cause: err}
}

// slowRequestError reports a request that did not arrive in time.
type slowRequestError struct{}

func (*slowRequestError) Error() string { return "the request did not arrive in time" }

func (c *conn) readBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		if _, err := io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, err
		}
	}
	if err := c.raw.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return nil, err
	}
	c.limit.left = limit + readBuffer
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, c.classify(err)
	}
	if int64(len(body)) > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	return body, nil
}

func orDefault[T int | int64 | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

// begin counts a request that is being read. It returns false if the connection
// is being closed.
func (c *conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.unanswered++
	return true
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// closeIfUnused ends a connection on which no request is being read or answered,
// and reports whether it did.
func (c *conn) closeIfUnused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unanswered > 0 || c.closing {
		return false
	}
	c.closing = true
	_ = c.raw.SetReadDeadline(time.Now())
	return true
}

// unusedFor returns how long no request has been read or answered.
func (c *conn) unusedFor(now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.usedAt), c.unanswered == 0 && !c.closing
}

// writeAll writes the responses in the order of the requests. A response that
// closes the connection is the last one: requests behind it count as not read.
func (c *conn) writeAll() {
	failed := false
	for p := range c.queue {
		if failed {
			continue
		}
		response := <-p.response
		ends := c.ends(p, response)
		if response.Status == 0 || c.write(response, ends) != nil {
			failed = true
		}
		c.mu.Lock()
		c.unanswered--
		c.usedAt = time.Now()
		c.mu.Unlock()
		if failed || ends {
			failed = true
			c.end()
		} else if c.server.isDraining() {
			c.closeIfUnused()
		}
	}
}

// ends reports whether the connection ends after a response. While the server
// drains, or if the response asks for it, it is the response to the last request
// that was read, because those behind it may run already.
func (c *conn) ends(p *pending, response *Response) bool {
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

// end closes the sending side and stops the reader. The running requests behind
// the last response are cancelled.
func (c *conn) end() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	c.ended = true
	c.cancel()
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.raw.SetReadDeadline(time.Now())
}

// lingerTime is how long a caller has to read the last response.
const lingerTime = 500 * time.Millisecond

func (c *conn) write(r *Response, last bool) error {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString("HTTP/1.1 " + strconv.Itoa(r.Status) + " " + http.StatusText(r.Status) + "\r\n")
	_ = r.Header.Write(&b) // a bytes.Buffer takes every write
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
