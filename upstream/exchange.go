package upstream

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/catkinspring/catkinspring/internal/bytebudget"
	"github.com/catkinspring/catkinspring/internal/httpcheck"
)

const (
	// maxBodyBytes bounds the body of a response, which is buffered until complete.
	maxBodyBytes = 8 << 20
	// maxHeaderBytes bounds the headers of a response, those of interim (1xx) responses
	// before it included.
	maxHeaderBytes = 32 << 10
	// maxFramingBytes bounds the chunk headers and the trailer of a response, beyond as
	// many bytes as its content has.
	maxFramingBytes = 256 << 10
	// maxInterimResponses bounds the interim responses before the final one.
	maxInterimResponses = 8
	// maxJoinedBodyBytes is the body size up to which header and body are sent in one write.
	maxJoinedBodyBytes = 16 << 10
	// maxForeignResponses is the number of responses to other requests that are skipped
	// on a connection while reading the expected one.
	maxForeignResponses = 2
)

// ForeignResponseError reports a response to another request.
type ForeignResponseError struct {
	// Got is the request ID of the response.
	Got string
}

func (e *ForeignResponseError) Error() string { return "response to another request: " + e.Got }

// TooLargeError reports a response of which a part exceeds its bound.
type TooLargeError struct {
	// Part is the part of the response, Bound its bound in bytes.
	Part  string
	Bound int64
}

func (e *TooLargeError) Error() string {
	return "the " + e.Part + " of the response is larger than " + strconv.FormatInt(e.Bound, 10) + " bytes"
}

// InterimResponsesError reports more than maxInterimResponses interim responses.
type InterimResponsesError struct{}

func (*InterimResponsesError) Error() string {
	return "more than " + strconv.Itoa(maxInterimResponses) + " interim responses"
}

// The parts of a response.
const (
	partHeader = "header"
	partBody   = "body"
)

// limitedReader limits the bytes that may be read for one part of a response.
type limitedReader struct {
	source    io.Reader
	part      string
	bound     int64
	remaining int64
}

// start begins a part of a response.
func (l *limitedReader) start(part string, bound int64) {
	l.part, l.bound, l.remaining = part, bound, bound
}

// atStart reports whether nothing has been read since the header began.
func (l *limitedReader) atStart() bool { return l.part == partHeader && l.remaining == l.bound }

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, &TooLargeError{Part: l.part, Bound: l.bound}
	}
	n, err := l.source.Read(p[:min(int64(len(p)), l.remaining)])
	l.remaining -= int64(n)
	return n, err
}

// framedBody is the body of a response. It bounds the bytes of its framing, of which a
// body in chunks of one byte has several for each byte of content.
type framedBody struct {
	io.Reader
	conn *connection
	// framing and content are the numbers of bytes read of each.
	framing, content int64
}

func (b *framedBody) Read(p []byte) (int, error) {
	before := b.unread()
	n, err := b.Reader.Read(p)
	b.content += int64(n)
	b.framing += before - b.unread() - int64(n)
	if b.framing > b.content+maxFramingBytes {
		return n, &TooLargeError{Part: "framing", Bound: b.content + maxFramingBytes}
	}
	return n, err
}

// unread returns the bytes that may still be read from the connection for the body.
func (b *framedBody) unread() int64 { return b.conn.limit.remaining + int64(b.conn.reader.Buffered()) }

// pastDeadline is a deadline that interrupts reads and writes immediately.
var pastDeadline = time.Unix(1, 0)

// Client sends requests to upstreams. It is safe for concurrent use.
type Client struct {
	codec Codec
	pool  *pool
	// responses is the memory for the bodies of responses that are being read.
	responses *bytebudget.Budget
}

// NewClient returns a client without open connections. Bodies that are being read hold
// at most responseBytes together.
func NewClient(codec Codec, responseBytes int64) *Client {
	return &Client{codec: codec, pool: newPool(), responses: bytebudget.New(responseBytes)}
}

// ResponseBytes returns the bytes reserved for bodies that are being read.
func (c *Client) ResponseBytes() int64 { return c.responses.Used() }

// CloseIdle closes the idle connections to an upstream that was removed.
func (c *Client) CloseIdle(t Target) { c.pool.closeIdle(t.Address) }

// refusalProbeTimeout bounds the connection attempt of RefusesConnections.
const refusalProbeTimeout = 300 * time.Millisecond

// RefusesConnections reports whether an upstream's machine refuses connections at its
// address, which means that the process of the upstream has ended.
func (c *Client) RefusesConnections(t Target) bool {
	ctx, cancel := context.WithTimeout(context.Background(), refusalProbeTimeout)
	defer cancel()
	conn, err := c.pool.open(ctx, t.Address)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// CloseExpired closes idle connections that their upstreams may be about to close.
func (c *Client) CloseExpired(now time.Time) { c.pool.closeExpired(now) }

// Exchange makes one attempt at a request. It is aborted when the context ends.
func (c *Client) Exchange(ctx context.Context, t Target, r *Request, a Attempt) Result {
	started := time.Now()
	e := exchange{client: c, ctx: ctx, target: t, request: r, attempt: a, started: started}
	result := e.run()
	result.Took = time.Since(started)
	return result
}

// exchange is one attempt at a request.
type exchange struct {
	client  *Client
	ctx     context.Context
	target  Target
	request *Request
	attempt Attempt
	started time.Time
}

func (e *exchange) run() Result {
	// A response without an ID may belong to an earlier request, so a request without
	// one uses a connection of its own.
	mayShare := e.request.ID != ""
	var conn *connection
	if mayShare {
		conn = e.client.pool.take(e.target.Address, e.request.ID, e.started)
	}
	if conn == nil {
		opened, err := e.client.pool.open(e.ctx, e.target.Address)
		if err != nil {
			if errors.Is(e.ctx.Err(), context.Canceled) {
				return Result{Outcome: Cancelled, Err: err}
			}
			return Result{Outcome: Unreachable, Err: err, Unresponsive: timedOutConnecting(err), Rejected: rejected(err)}
		}
		conn = opened
	}
	stop := context.AfterFunc(e.ctx, func() { _ = conn.SetDeadline(pastDeadline) })
	result, idleFor := e.runOn(conn)
	interrupted := !stop()
	if result.Unresponsive {
		// The idle connections go to the same machine.
		e.client.CloseIdle(e.target)
	}
	result.Reused = conn.used
	if result.Outcome == Refused || result.Outcome == Misdirected {
		conn.noteRefusal(e.request.ID)
	}
	if interrupted || idleFor <= 0 || !mayShare || len(conn.refused) >= maxRefused {
		_ = conn.Close()
		return result
	}
	e.client.pool.put(e.target.Address, conn, idleFor, time.Now())
	return result
}

// timedOutConnecting reports whether a machine did not answer a new connection at all.
func timedOutConnecting(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, syscall.ETIMEDOUT)
}

// rejected reports whether a machine ended a connection on its own.
func rejected(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// runOn runs the exchange on a connection and returns how long the connection may
// then stay idle; 0 means that it can't be reused.
func (e *exchange) runOn(conn *connection) (Result, time.Duration) {
	written := make(chan error, 1)
	head, body := e.encode()
	sentWhole := true
	var watch *silenceWatch
	if body == nil {
		if n, err := conn.Write(head); err != nil {
			if n == 0 && e.ctx.Err() == nil {
				return Result{Outcome: Unreachable, Err: err, Rejected: rejected(err)}, 0
			}
			// The upstream may have answered and closed without reading the whole request.
			written <- err
			sentWhole = false
		}
	} else {
		watch = watchSilence(conn.Conn)
		// An upstream may answer before it has read a long body.
		go func() {
			_, err := conn.Write(head)
			if err == nil {
				_, err = conn.Write(body)
			}
			written <- err
		}()
	}
	response, idleFor, err := e.read(conn)
	silent := watch.end()
	if body != nil {
		select {
		case writeErr := <-written:
			sentWhole = writeErr == nil
		default:
			// Part of the body has not been sent yet, so the connection can't carry another
			// request.
			sentWhole = false
			_ = conn.SetDeadline(pastDeadline)
			<-written
		}
	}
	if err != nil && silent && e.ctx.Err() == nil {
		return Result{Outcome: Broken, Err: &SilentError{}, Unresponsive: true}, 0
	}
	if err != nil {
		result := e.classifyError(err)
		result.Rejected = rejected(err) || conn.limit.atStart() && errors.Is(err, io.ErrUnexpectedEOF)
		return result, 0
	}
	if !sentWhole || conn.reader.Buffered() > 0 {
		idleFor = 0
	}
	if response.WrongTarget || response.NotRun {
		response.Release()
	}
	switch {
	case response.WrongTarget:
		return Result{Outcome: Misdirected, Response: response}, idleFor
	case response.NotRun:
		return Result{Outcome: Refused, Response: response}, idleFor
	}
	return Result{Outcome: Answered, Response: response}, idleFor
}

// idleTimeout returns how long a connection may stay idle, by the Keep-Alive header of
// a response.
func idleTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdleTimeout
}

// encode returns the header of the request, including a short body, and separately a
// long body.
func (e *exchange) encode() (head, body []byte) {
	header := e.request.Header.Clone()
	e.client.codec.SetAttempt(header, e.attempt)
	var b bytes.Buffer
	b.Grow(1<<10 + min(len(e.request.Body), maxJoinedBodyBytes))
	b.WriteString(e.request.Method + " " + e.request.Target + " HTTP/1.1\r\nHost: " + e.request.Host + "\r\n")
	header.Del("Content-Length")
	_ = header.Write(&b) // writes to a bytes.Buffer do not fail
	if len(e.request.Body) > 0 || e.request.Method != http.MethodGet && e.request.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(e.request.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	if len(e.request.Body) <= maxJoinedBodyBytes {
		b.Write(e.request.Body)
		return b.Bytes(), nil
	}
	return b.Bytes(), e.request.Body
}

// read reads the response to the request and skips late responses to others. It
// returns how long the connection may stay idle.
func (e *exchange) read(conn *connection) (*Response, time.Duration, error) {
	for skipped := 0; ; skipped++ {
		response, idleFor, err := e.readOne(conn)
		if err != nil {
			return nil, 0, err
		}
		if response.RequestID == e.request.ID {
			if skipped > 0 {
				// More unexpected responses may follow on this connection.
				idleFor = 0
			}
			return response, idleFor, nil
		}
		response.Release()
		if skipped == maxForeignResponses || idleFor <= 0 {
			return nil, 0, &ForeignResponseError{Got: response.RequestID}
		}
	}
}

// readOne reads the next final response, skipping interim (1xx) ones.
func (e *exchange) readOne(conn *connection) (*Response, time.Duration, error) {
	conn.limit.start(partHeader, maxHeaderBytes)
	raw, err := e.readHeader(conn)
	if err != nil {
		return nil, 0, err
	}
	conn.limit.start(partBody, 2*maxBodyBytes+maxFramingBytes)
	length := raw.ContentLength
	if raw.Body == http.NoBody {
		// A response to HEAD announces the length of a body that does not follow.
		length = 0
	}
	memory := e.client.responses.Open()
	body, err := bytebudget.ReadAll(&framedBody{Reader: raw.Body, conn: conn}, length, maxBodyBytes, memory)
	if err == nil {
		// The trailer is not passed on, but a broken one makes the response as doubtful as a
		// broken header.
		err = httpcheck.FieldNames(raw.Trailer)
	}
	if err != nil {
		memory.Release()
		return nil, 0, err
	}
	idleFor := time.Duration(0)
	if !raw.Close {
		idleFor = idleTimeout(raw.Header)
	}
	RemoveConnectionHeaders(raw.Header)
	response := &Response{Status: raw.StatusCode, Header: raw.Header, Body: body, Fields: e.client.codec.Response(raw), memory: memory}
	return response, idleFor, nil
}

// readHeader reads headers up to that of a final response. It returns *httpcheck.StatusError
// or *httpcheck.FieldError for those that http.ReadResponse accepts, but HTTP does not define.
func (e *exchange) readHeader(conn *connection) (*http.Response, error) {
	methodOnly := http.Request{Method: e.request.Method}
	for range maxInterimResponses + 1 {
		// Bytes of the header may have been read with an earlier response.
		buffered, _ := conn.reader.Peek(conn.reader.Buffered())
		if err := conn.checked.Begin(buffered); err != nil {
			return nil, err
		}
		raw, err := http.ReadResponse(conn.reader, &methodOnly)
		if err := cmp.Or(conn.checked.Err(), err); err != nil {
			return nil, err
		}
		if raw.StatusCode >= 200 {
			return raw, nil
		}
	}
	return nil, &InterimResponsesError{}
}

// classifyError returns the result of an exchange whose response could not be read.
func (e *exchange) classifyError(err error) Result {
	switch {
	case errors.Is(e.ctx.Err(), context.Canceled):
		return Result{Outcome: Cancelled, Err: err}
	case errors.Is(err, os.ErrDeadlineExceeded) || e.ctx.Err() != nil:
		return Result{Outcome: TimedOut, Err: err}
	}
	return Result{Outcome: Broken, Err: err, Unresponsive: errors.Is(err, syscall.ETIMEDOUT)}
}

// RemoveConnectionHeaders removes the hop-by-hop headers, including those that are
// listed in Connection.
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
