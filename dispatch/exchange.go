package dispatch

import (
	"context"
	"errors"
	"github.com/catkinspring/catkinspring/upstream"
	"io"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinspring/catkinspring/traffic"
)

// expiredDeadline is a deadline that interrupts reads and writes immediately.
var expiredDeadline = time.Unix(1, 0)

// maxCoalescedBody is the size in bytes up to which a body is copied behind its
// header, so that both go out in one write.
const maxCoalescedBody = 16 << 10

// exchange is one attempt of a request at one upstream.
type exchange struct {
	d       *Dispatcher
	request *Request
	ctx     context.Context
	target  traffic.Target
	// id is the request ID of this attempt. Each attempt has its own ID, so that the
	// response to an earlier one is recognised.
	id string
	// mayRetry is true if the request may be retried after a failure that follows
	// the write.
	mayRetry bool

	response *fasthttp.Response
	started  time.Time
	// wrote is true once a byte may have been written.
	wrote bool
	// noReuse is true if the connection must be closed after the exchange.
	noReuse      bool
	unresponsive bool
}

// outcome is the result of an exchange.
type outcome struct {
	result traffic.Result
	err    error
	// checkErr is the error of Request.LastCheck; nothing was written.
	checkErr error
}

// isBroken reports whether an attempt that may have run ended without a whole response, other
// than by a timeout or by the caller.
func (o outcome) isBroken(wrote bool) bool {
	if !wrote || o.err == nil || isTimeout(o.err) {
		return false
	}
	return o.result == traffic.ResultFailed || o.result == traffic.ResultConnectionFault || o.result == traffic.ResultCrashSuspected
}

// run carries out the exchange on a pooled or new connection.
func (e *exchange) run(header *fasthttp.RequestHeader, body []byte) outcome {
	c := e.d.pool.take(e.target.Address)
	if c == nil {
		var err error
		if c, err = e.d.pool.open(e.ctx, e.target.Address); err != nil {
			if e.ctx.Err() != nil {
				return outcome{result: traffic.ResultCancelled, err: err}
			}
			return outcome{result: traffic.ResultConnectFailed, err: err}
		}
	}
	closed := false
	c.account = e.d.responses.Open()
	finish := func(reuse bool) {
		if closed {
			return
		}
		closed = true
		c.account.Release()
		c.account = nil
		if reuse {
			e.d.pool.put(e.target.Address, c)
		} else {
			_ = c.Close()
		}
	}
	// A panic below must not leave the connection open.
	defer finish(false)

	if c.SetDeadline(e.request.Deadline) != nil {
		return outcome{result: traffic.ResultConnectionFault, err: net.ErrClosed}
	}
	stop := context.AfterFunc(e.ctx, func() { _ = c.SetDeadline(expiredDeadline) })
	out := e.runOn(c, header, body)
	interrupted := !stop()
	unused := !e.wrote && out.checkErr != nil
	finish(!interrupted && !e.noReuse && (unused || out.err == nil && e.wrote))
	return out
}

func (e *exchange) runOn(c *connection, header *fasthttp.RequestHeader, body []byte) outcome {
	header.Set(HeaderRequestID, e.id)
	if e.request.Customer != "" {
		header.Set(HeaderCustomer, string(e.request.Customer))
	}
	header.Set(HeaderDeadline, strconv.FormatInt(e.d.upstreamDeadline(e.request), 10))
	buf := e.d.bufferPool.get()
	defer e.d.bufferPool.put(buf)
	buf.B = header.AppendBytes(buf.B[:0])
	if len(body) <= maxCoalescedBody {
		buf.B = append(buf.B, body...)
		body = nil
	}

	if err := e.ctx.Err(); err != nil {
		e.noReuse = true
		return outcome{result: traffic.ResultCancelled, err: err}
	}
	if err := e.request.LastCheck(); err != nil {
		return outcome{result: traffic.ResultUnused, checkErr: err}
	}
	inFlight := e.d.inFlightRequests.ForUpstream(e.target.Name)
	inFlight.Add(e.request.Fingerprint)
	defer inFlight.Remove(e.request.Fingerprint)
	if err := e.write(c, buf.B, body); err != nil {
		return e.handleWriteFailure(c, err)
	}
	h, err := e.read(c)
	if err != nil {
		return e.classifyFailure(err)
	}
	return classifyResponse(h)
}

// write writes the request. If it returns an error and wrote is false, no byte
// reached the connection.
func (e *exchange) write(c *connection, head, body []byte) (err error) {
	e.request.upstream.Store(&e.target.Name)
	before := e.request.written.Swap(true)
	e.wrote = true
	e.started = time.Now()
	var n int64
	if body == nil {
		var written int
		written, err = c.Write(head)
		n = int64(written)
	} else {
		buffers := net.Buffers{head, body}
		n, err = buffers.WriteTo(c.Conn)
	}
	if err != nil && n == 0 {
		e.wrote = false
		e.request.written.Store(before)
	}
	return err
}

func (e *exchange) handleWriteFailure(c *connection, err error) outcome {
	e.noReuse = true
	if !e.wrote {
		if e.ctx.Err() != nil {
			return outcome{result: traffic.ResultCancelled, err: err}
		}
		return outcome{result: traffic.ResultConnectionFault, err: err}
	}
	// An upstream may respond and close without reading the whole request, for
	// example when it sheds load. The response is then in the receive buffer.
	if !isTimeout(err) {
		if h, err := e.read(c); err == nil {
			return classifyResponse(h)
		}
	}
	return e.classifyFailure(err)
}

// read reads and validates the response. After an error no part of it may be
// passed on.
func (e *exchange) read(c *connection) (responseHead, error) {
	if err := e.awaitFirstByte(c); err != nil {
		return responseHead{}, err
	}
	h, err := readHead(c.reader)
	if err != nil {
		return responseHead{}, err
	}
	if string(h.requestID) != e.id {
		e.d.metrics.mismatchedResponses.Inc(1)
		return responseHead{}, &MismatchedResponseError{Missing: h.requestID == nil}
	}
	isHead := e.request.Message.Header.IsHead()
	if !h.delimited(isHead) {
		return responseHead{}, &UndelimitedResponseError{}
	}
	e.response.SkipBody = isHead
	if err := e.readResponse(c, h); err != nil {
		var malformed *MalformedResponseError
		if isTimeout(err) || errors.Is(err, fasthttp.ErrBodyTooLarge) || errors.As(err, &malformed) {
			return responseHead{}, err
		}
		return responseHead{}, &TruncatedResponseError{Cause: err}
	}
	if c.reader.Buffered() > 0 {
		// Bytes after the response belong to no request.
		e.noReuse = true
		e.d.metrics.surplusBytes.Inc(1)
	}
	if e.response.ConnectionClose() {
		e.noReuse = true
	}
	return h, nil
}

// readResponse reads the response whose head has been checked. It checks the trailer, of
// which the codec accepts names with spaces.
func (e *exchange) readResponse(c *connection, h responseHead) error {
	if err := e.response.Header.Read(c.reader); err != nil {
		return err
	}
	if !h.hasBody(e.response.SkipBody) {
		return nil
	}
	if err := e.response.ReadBody(c.reader, e.d.maxResponseBytes); err != nil || !h.chunked {
		return err
	}
	if err := checkTrailer(c.reader); err != nil {
		return err
	}
	return e.response.Header.ReadTrailer(c.reader)
}

// classifyResponse classifies a complete response.
func classifyResponse(h responseHead) outcome {
	if h.status != fasthttp.StatusServiceUnavailable || !h.notRun {
		return outcome{result: traffic.ResultAnswered}
	}
	if h.draining {
		return outcome{result: traffic.ResultDraining}
	}
	return outcome{result: traffic.ResultShed}
}

// awaitFirstByte waits for the first byte of the response. If the route's
// first-byte timeout passes on a reused connection, it probes the upstream on a new
// connection; if that works, the reused one is considered unresponsive. On a new
// connection the upstream itself is slow, whatever a probe finds. An idempotent
// request is retried. Any other request keeps waiting, because its response is worth more
// than an early "unknown" outcome.
func (e *exchange) awaitFirstByte(c *connection) error {
	timeout := e.request.Route.FirstByteTimeout()
	deadline := time.Now().Add(timeout)
	if timeout <= 0 || !deadline.Before(e.request.Deadline) {
		_, err := c.reader.Peek(1)
		return err
	}
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}
	if err := e.ctx.Err(); err != nil {
		return err
	}
	_, err := c.reader.Peek(1)
	if err == nil || !isTimeout(err) || e.ctx.Err() != nil {
		return e.restoreDeadline(c, err)
	}
	e.noReuse = true
	e.unresponsive = c.reused && e.d.prober.probe(e.target.Address) == probeResponded
	if e.unresponsive {
		e.d.metrics.unresponsive.Inc(1)
		e.d.pool.discardConnections(e.target.Address)
	}
	// A read after its deadline fails even if data is available, so the deadline is
	// moved before checking for a response that arrived in the meantime.
	if err := e.restoreDeadline(c, nil); err != nil {
		return err
	}
	if e.mayRetry && upstream.IsIdle(c.Conn) && e.d.retryBudget.withdraw() {
		return &FirstByteTimeoutError{Unresponsive: e.unresponsive}
	}
	_, err = c.reader.Peek(1)
	return err
}

// restoreDeadline sets the read deadline back to the request's deadline, unless the
// wait already failed.
func (e *exchange) restoreDeadline(c *connection, err error) error {
	if err != nil {
		return err
	}
	if err := c.SetReadDeadline(e.request.Deadline); err != nil {
		return err
	}
	return e.ctx.Err()
}

// classifyFailure classifies an exchange that ended without a usable response after
// at least one byte was written.
func (e *exchange) classifyFailure(err error) outcome {
	e.noReuse = true
	var firstByte *FirstByteTimeoutError
	switch {
	case errors.As(err, &firstByte) && firstByte.Unresponsive:
		return outcome{result: traffic.ResultConnectionFault, err: err}
	case errors.As(err, &firstByte):
		return outcome{result: traffic.ResultTimedOut, err: err}
	case errors.Is(e.ctx.Err(), context.Canceled):
		return outcome{result: traffic.ResultCancelled, err: err}
	case isTimeout(err) || e.ctx.Err() != nil:
		if e.unresponsive {
			return outcome{result: traffic.ResultConnectionFault, err: err}
		}
		return outcome{result: traffic.ResultTimedOut, err: err}
	case isConnectionError(err):
		return outcome{result: e.d.classifyBrokenConnection(e), err: err}
	default:
		return outcome{result: traffic.ResultFailed, err: err}
	}
}

func isTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded)
}

// isConnectionError reports whether the connection ended, by reset or end of file.
func isConnectionError(err error) bool {
	var operation *net.OpError
	var truncated *TruncatedResponseError
	return errors.Is(err, io.EOF) || errors.As(err, &operation) || errors.As(err, &truncated)
}
