package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// maxResponseBytes bounds a response, which is held until it is complete.
	maxResponseBytes = 16 << 20
	// joinedBody is the size up to which header and body leave in one write.
	joinedBody = 16 << 10
	// maxForeignResponses bounds the responses to other requests that are skipped
	// on a connection while waiting for the right one.
	maxForeignResponses = 2
)

// ForeignResponseError reports a response to another request.
type ForeignResponseError struct {
	Got string
}

func (e *ForeignResponseError) Error() string { return "response to another request: " + e.Got }

// TooLargeError reports a response above the bound.
type TooLargeError struct{}

func (*TooLargeError) Error() string {
	return "the response is larger than " + strconv.Itoa(maxResponseBytes) + " bytes"
}

// past is a deadline that interrupts reads and writes at once.
var past = time.Unix(1, 0)

// Client sends requests to upstreams. It is safe for concurrent use.
type Client struct {
	codec Codec
	pool  *pool
}

// NewClient returns a client.
func NewClient(codec Codec) *Client { return &Client{codec: codec, pool: newPool()} }

// Forget closes the unused connections to an upstream that is gone.
func (c *Client) CloseIdle(t Target) { c.pool.forget(t.Address) }

// refuseTimeout bounds the question whether an upstream refuses connections.
const refuseTimeout = 300 * time.Millisecond

// Refuses reports whether an upstream's machine answers that nothing listens at
// its address, which means that its process has ended.
func (c *Client) RefusesConnections(t Target) bool {
	ctx, cancel := context.WithTimeout(context.Background(), refuseTimeout)
	defer cancel()
	conn, err := c.pool.open(ctx, t.Address)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Sweep closes connections that have been unused for long.
func (c *Client) CloseExpired(now time.Time) { c.pool.sweep(now) }

// Exchange makes one attempt of a request. The context ends when the caller
// leaves or the time is over; the exchange is broken off then.
func (c *Client) Exchange(ctx context.Context, t Target, r *Request, a Attempt) Result {
	started := time.Now()
	e := exchange{client: c, ctx: ctx, target: t, request: r, attempt: a, started: started}
	result := e.run()
	result.Took = time.Since(started)
	return result
}

type exchange struct {
	client  *Client
	ctx     context.Context
	target  Target
	request *Request
	attempt Attempt
	started time.Time
}

func (e *exchange) run() Result {
	conn := e.client.pool.take(e.target.Address, e.started)
	if conn == nil {
		opened, err := e.client.pool.open(e.ctx, e.target.Address)
		if err != nil {
			if e.ctx.Err() != nil {
				return Result{Outcome: Cancelled, Err: err}
			}
			return Result{Outcome: Unreachable, Err: err}
		}
		conn = opened
	}
	stop := context.AfterFunc(e.ctx, func() { _ = conn.SetDeadline(past) })
	result, keep := e.on(conn)
	interrupted := !stop()
	if result.Unresponsive {
		// The unused connections lead to the same machine.
		e.client.CloseIdle(e.target)
	}
	result.Reused = conn.used
	if interrupted || keep <= 0 {
		_ = conn.Close()
		return result
	}
	e.client.pool.put(e.target.Address, conn, keep, time.Now())
	return result
}

// on runs the exchange on a connection and returns how long the connection may
// be kept.
func (e *exchange) on(conn *connection) (Result, time.Duration) {
	written := make(chan error, 1)
	head, rest := e.encode()
	whole := true
	if rest == nil {
		if n, err := conn.Write(head); err != nil {
			if n == 0 && e.ctx.Err() == nil {
				return Result{Outcome: Unreachable, Err: err}, 0
			}
			// The upstream may have answered and closed without reading everything.
			written <- err
			whole = false
		}
	} else {
		// An upstream may answer before it has read a long body.
		go func() {
			_, err := conn.Write(head)
			if err == nil {
				_, err = conn.Write(rest)
			}
			written <- err
		}()
	}
	response, keep, err := e.read(conn)
	if rest != nil {
		select {
		case werr := <-written:
			whole = werr == nil
			err = withSilence(err, werr)
		default:
			// The rest of the body is still due on this connection, so it can't carry
			// another request.
			whole = false
			_ = conn.SetDeadline(past)
			err = withSilence(err, <-written)
		}
	}
	if err != nil {
		return e.failed(err), 0
	}
	if !whole || conn.reader.Buffered() > 0 {
		keep = 0
	}
	switch {
	case response.WrongTarget:
		return Result{Outcome: Misdirected, Response: response}, keep
	case response.NotRun:
		return Result{Outcome: Refused, Response: response}, keep
	}
	return Result{Outcome: Answered, Response: response}, keep
}

// withSilence adds to the error of a read that the machine was silent. The kernel
// tells the end of a connection either to the write or to the read.
func withSilence(read, write error) error {
	if read != nil && errors.Is(write, syscall.ETIMEDOUT) {
		return errors.Join(read, write)
	}
	return read
}

// keepFor returns how long an unused connection may be kept.
func keepFor(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdle
}

// encode returns the header of the request, with a short body behind it, and the
// body if it is long.
func (e *exchange) encode() (head, rest []byte) {
	header := e.request.Header.Clone()
	e.client.codec.SetAttempt(header, e.attempt)
	var b bytes.Buffer
	b.Grow(1<<10 + min(len(e.request.Body), joinedBody))
	b.WriteString(e.request.Method + " " + e.request.Target + " HTTP/1.1\r\nHost: " + e.request.Host + "\r\n")
	header.Del("Content-Length")
	_ = header.Write(&b) // a bytes.Buffer takes every write
	if len(e.request.Body) > 0 || e.request.Method != http.MethodGet && e.request.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(e.request.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	if len(e.request.Body) <= joinedBody {
		b.Write(e.request.Body)
		return b.Bytes(), nil
	}
	return b.Bytes(), e.request.Body
}

// read reads the response to the request and skips late responses to others. It
// returns how long the connection may be kept.
func (e *exchange) read(conn *connection) (*Response, time.Duration, error) {
	for skipped := 0; ; skipped++ {
		response, keep, err := e.readOne(conn.reader)
		if err != nil {
			return nil, 0, err
		}
		if response.RequestID == e.request.ID {
			if skipped > 0 {
				// A connection with a surplus response may have another one.
				keep = 0
			}
			return response, keep, nil
		}
		if skipped == maxForeignResponses || keep <= 0 {
			return nil, 0, &ForeignResponseError{Got: response.RequestID}
		}
	}
}

func (e *exchange) readOne(reader *bufio.Reader) (*Response, time.Duration, error) {
	method := http.Request{Method: e.request.Method}
	raw, err := http.ReadResponse(reader, &method)
	for err == nil && raw.StatusCode >= 100 && raw.StatusCode < 200 {
		raw, err = http.ReadResponse(reader, &method)
	}
	if err != nil {
		return nil, 0, err
	}
	body, err := io.ReadAll(io.LimitReader(raw.Body, maxResponseBytes+1))
	if err != nil {
		return nil, 0, err
	}
	if len(body) > maxResponseBytes {
		return nil, 0, &TooLargeError{}
	}
	keep := time.Duration(0)
	if !raw.Close {
		keep = keepFor(raw.Header)
	}
	RemoveConnectionHeaders(raw.Header)
	response := &Response{Status: raw.StatusCode, Header: raw.Header, Body: body, Fields: e.client.codec.Response(raw)}
	return response, keep, nil
}

func (e *exchange) failed(err error) Result {
	switch {
	case errors.Is(e.ctx.Err(), context.Canceled):
		return Result{Outcome: Cancelled, Err: err}
	case errors.Is(err, os.ErrDeadlineExceeded) || e.ctx.Err() != nil:
		return Result{Outcome: TimedOut, Err: err}
	}
	return Result{Outcome: Broken, Err: err, Unresponsive: errors.Is(err, syscall.ETIMEDOUT)}
}

// RemoveConnectionHeaders removes the headers that concern one connection only.
func RemoveConnectionHeaders(h http.Header) {
	for _, value := range h.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range []string{
		"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
	} {
		h.Del(name)
	}
}
