package ingress

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/catkinspring/catkinspring/internal/bytebudget"
)

const (
	// The defaults apply until there is a configuration, and where it sets no value.
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 8 << 20
	defaultIdleTimeout   = 15 * time.Second
	defaultHeaderTimeout = 3 * time.Second
	// bodyTimeout is the timeout for receiving a body.
	bodyTimeout = 10 * time.Second
	// maxFramingBytes bounds the chunk headers and the trailer of a body. net/http
	// itself rejects bodies with much more framing than content.
	maxFramingBytes = 256 << 10
	// memoryRetryAfter is the Retry-After when requests hold their part of the memory:
	// about the time in which a request is answered.
	memoryRetryAfter = 400 * time.Millisecond
)

// limitedReader limits the bytes that may be read for one header or body.
type limitedReader struct {
	source    io.Reader
	remaining int64
	// exceeded is the error of a read beyond the limit.
	exceeded error
	// account holds the memory for what is read; nil if it is reserved elsewhere.
	account *bytebudget.Account
	// err is the error of the last read. The parser reports a line that it truncated
	// as malformed.
	err error
}

// HeaderTooLargeError reports a header that exceeds the limit.
type HeaderTooLargeError struct{}

func (*HeaderTooLargeError) Error() string { return "the header is larger than allowed" }

// start begins a header or body of at most limit bytes.
func (l *limitedReader) start(limit int64, exceeded error, account *bytebudget.Account) {
	l.remaining, l.exceeded, l.account = limit, exceeded, account
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
	if l.account != nil {
		if reserveErr := l.account.Reserve(int64(n)); reserveErr != nil {
			err = reserveErr
		}
	}
	l.err = err
	return n, err
}

// badRequestError reports a request that is not valid HTTP.
type badRequestError struct{ cause error }

func (e *badRequestError) Error() string { return "malformed request: " + e.cause.Error() }
func (e *badRequestError) Unwrap() error { return e.cause }

// readRequest reads one request.
func (c *conn) readRequest() (*Request, error) {
	head := c.server.heads.Open()
	request, err := c.readWithHead(head)
	if err != nil {
		head.Release()
	}
	return request, err
}

// readWithHead reads one request and reserves the memory of its header.
func (c *conn) readWithHead(head *bytebudget.Account) (*Request, error) {
	limits := c.server.config.Limits()
	c.limit.start(int64(orDefault(limits.HeaderBytes, defaultHeaderBytes))+readBufferBytes, &HeaderTooLargeError{}, head)
	if err := c.awaitRequest(orDefault(limits.IdleTimeout, defaultIdleTimeout)); err != nil {
		return nil, err
	}
	received := time.Now()
	if err := c.setReadDeadline(received.Add(orDefault(limits.HeaderTimeout, defaultHeaderTimeout))); err != nil {
		return nil, err
	}
	parsed, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, c.classifyReadError(err)
	}
	body, memory, err := c.readBody(parsed, orDefault(limits.BodyBytes, defaultBodyBytes))
	if err != nil {
		return nil, err
	}
	return &Request{Request: parsed, Body: body, Received: received, head: head, memory: memory}, nil
}

// refuse queues an error response to a request that could not be read.
func (c *conn) refuse(cause error, status int, retryAfter time.Duration) {
	if report := c.server.config.Refused; report != nil {
		report(cause, status)
	}
	p := &pendingRequest{response: make(chan *Response, 1), last: true}
	p.response <- Refuse(status, retryAfter)
	if c.accept(p) {
		c.enqueue(p)
		c.watchForDisconnect()
	}
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
		c.refuse(err, http.StatusRequestHeaderFieldsTooLarge, 0)
	case errors.As(err, &body):
		c.refuse(err, http.StatusRequestEntityTooLarge, 0)
	case errors.As(err, &memory) && memory.Never():
		// It will never fit here, but another host may have more memory.
		c.refuse(err, http.StatusServiceUnavailable, 0)
	case errors.As(err, &memory):
		// Nothing was sent upstream, so the request has not run.
		c.refuse(err, http.StatusServiceUnavailable, memoryRetryAfter)
	case errors.As(err, &bad):
		c.refuse(err, http.StatusBadRequest, 0)
	case errors.As(err, &slow):
		c.refuse(err, http.StatusRequestTimeout, 0)
	case errors.As(err, &network) && network.Timeout():
		// The connection is idle. Requests that were read before are still answered.
	default:
		c.cancel()
	}
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
	if err := c.setReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return nil, nil, err
	}
	c.limit.start(limit+maxFramingBytes, &http.MaxBytesError{Limit: limit}, nil)
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
	conn net.Conn
	body io.Reader
	sent bool
}

func (r *continueReader) Read(p []byte) (int, error) {
	if !r.sent {
		r.sent = true
		if err := r.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return 0, err
		}
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
