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

// past is a deadline that interrupts reads and writes at once.
var past = time.Unix(1, 0)

// joinedBody is the size up to which a body is copied behind its header, so
// that both leave in one write.
const joinedBody = 16 << 10

// exchange is one attempt of a request at one upstream.
type exchange struct {
	d       *Dispatcher
	request *Request
	ctx     context.Context
	target  traffic.Target
	// id is the request id of this attempt. Attempts have different ids, so that
	// the response to an earlier one is recognised.
	id string
	// mayRetry is true if a failure after the write can be followed by another
	// attempt.
	mayRetry bool

	response *fasthttp.Response
	started  time.Time
	// wrote is true once a byte may have been written.
	wrote bool
	// retire keeps the connection from being used again.
	retire bool
	silent bool
}

// outcome is how an exchange ended.
type outcome struct {
	result traffic.Result
	err    error
	// refused is the error of the last check; nothing was written.
	refused error
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
	finish := func(reuse bool) {
		if closed {
			return
		}
		closed = true
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
	stop := context.AfterFunc(e.ctx, func() { _ = c.SetDeadline(past) })
	out := e.exchangeOn(c, header, body)
	interrupted := !stop()
	unused := !e.wrote && out.refused != nil
	finish(!interrupted && !e.retire && (unused || out.err == nil && e.wrote))
	return out
}

func (e *exchange) exchangeOn(c *connection, header *fasthttp.RequestHeader, body []byte) outcome {
	header.Set(HeaderRequestID, e.id)
	if e.request.Customer != "" {
		header.Set(HeaderCustomer, string(e.request.Customer))
	}
	header.Set(HeaderDeadline, strconv.FormatInt(e.d.upstreamDeadline(e.request), 10))
	head := e.d.buffers.get()
	defer e.d.buffers.put(head)
	head.B = header.AppendBytes(head.B[:0])
	if len(body) <= joinedBody {
		head.B = append(head.B, body...)
		body = nil
	}

	if err := e.ctx.Err(); err != nil {
		e.retire = true
		return outcome{result: traffic.ResultCancelled, err: err}
	}
	if err := e.request.LastCheck(); err != nil {
		return outcome{result: traffic.ResultUnused, refused: err}
	}
	flight := e.d.flights.ForUpstream(e.target.Name)
	flight.Add(e.request.Fingerprint)
	defer flight.Remove(e.request.Fingerprint)
	if err := e.write(c, head.B, body); err != nil {
		return e.writeFailed(c, err)
	}
	h, err := e.read(c)
	if err != nil {
		return e.failed(err)
	}
	return answered(h)
}

// write writes the request. If it returns an error and wrote is false, no byte
// reached the connection.
func (e *exchange) write(c *connection, head, body []byte) (err error) {
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

func (e *exchange) writeFailed(c *connection, err error) outcome {
	e.retire = true
	if !e.wrote {
		if e.ctx.Err() != nil {
			return outcome{result: traffic.ResultCancelled, err: err}
		}
		return outcome{result: traffic.ResultConnectionFault, err: err}
	}
	// An upstream may answer and close without reading the whole request, for
	// example when it sheds. Its response is in the receive buffer then.
	if !timedOut(err) {
		if h, err := e.read(c); err == nil {
			return answered(h)
		}
	}
	return e.failed(err)
}

// read reads the response. An error means that there is none that may be
// passed on.
func (e *exchange) read(c *connection) (head, error) {
	if err := e.awaitFirstByte(c); err != nil {
		return head{}, err
	}
	h, err := readHead(c.reader)
	if err != nil {
		return head{}, err
	}
	if string(h.requestID) != e.id {
		e.d.metrics.crossed.Inc(1)
		return head{}, &MismatchedResponseError{Missing: h.requestID == nil}
	}
	isHead := e.request.Message.Header.IsHead()
	if !h.delimited(isHead) {
		return head{}, &UndelimitedResponseError{}
	}
	e.response.SkipBody = isHead
	if err := e.response.ReadLimitBody(c.reader, e.d.maxResponseBytes); err != nil {
		if timedOut(err) || errors.Is(err, fasthttp.ErrBodyTooLarge) {
			return head{}, err
		}
		return head{}, &TruncatedResponseError{Cause: err}
	}
	if c.reader.Buffered() > 0 {
		// Bytes behind the response belong to no request.
		e.retire = true
		e.d.metrics.surplus.Inc(1)
	}
	if e.response.ConnectionClose() {
		e.retire = true
	}
	return h, nil
}

// answered classifies a complete response.
func answered(h head) outcome {
	if h.status != fasthttp.StatusServiceUnavailable || !h.notRun {
		return outcome{result: traffic.ResultAnswered}
	}
	if h.draining {
		return outcome{result: traffic.ResultDraining}
	}
	return outcome{result: traffic.ResultShed}
}

// awaitFirstByte waits for the response to begin. When the route's bound has
// passed on a connection that was used before, it probes the upstream with a new
// one; if that works the connection is taken to be silent. On a new connection
// the upstream itself is slow, whatever it answers to a probe. An idempotent
// request is tried again, any other keeps waiting, because its answer is worth
// more than an early "unknown".
func (e *exchange) awaitFirstByte(c *connection) error {
	bound := e.request.Route.FirstByteTimeout()
	until := time.Now().Add(bound)
	if bound <= 0 || !until.Before(e.request.Deadline) {
		_, err := c.reader.Peek(1)
		return err
	}
	if err := c.SetReadDeadline(until); err != nil {
		return err
	}
	if err := e.ctx.Err(); err != nil {
		return err
	}
	_, err := c.reader.Peek(1)
	if err == nil || !timedOut(err) || e.ctx.Err() != nil {
		return e.restoreDeadline(c, err)
	}
	e.retire = true
	e.silent = c.reused && e.d.prober.probe(e.target.Address) == probeWorks
	if e.silent {
		e.d.metrics.silent.Inc(1)
		e.d.pool.distrust(e.target.Address)
	}
	// A read past its deadline fails without looking, so the deadline is moved
	// before the connection is asked for an answer that came meanwhile.
	if err := e.restoreDeadline(c, nil); err != nil {
		return err
	}
	if e.mayRetry && upstream.IsIdle(c.Conn) && e.d.budget.spend() {
		return &FirstByteTimeoutError{Unresponsive: e.silent}
	}
	_, err = c.reader.Peek(1)
	return err
}

// restoreDeadline replaces the first-byte bound by the request's deadline,
// unless the wait already failed.
func (e *exchange) restoreDeadline(c *connection, err error) error {
	if err != nil {
		return err
	}
	if err := c.SetReadDeadline(e.request.Deadline); err != nil {
		return err
	}
	return e.ctx.Err()
}

// failed classifies an exchange that ended without a usable response after
// something was written.
func (e *exchange) failed(err error) outcome {
	e.retire = true
	var firstByte *FirstByteTimeoutError
	switch {
	case errors.As(err, &firstByte) && firstByte.Unresponsive:
		return outcome{result: traffic.ResultConnectionFault, err: err}
	case errors.As(err, &firstByte):
		return outcome{result: traffic.ResultTimedOut, err: err}
	case errors.Is(e.ctx.Err(), context.Canceled):
		return outcome{result: traffic.ResultCancelled, err: err}
	case timedOut(err) || e.ctx.Err() != nil:
		if e.silent {
			return outcome{result: traffic.ResultConnectionFault, err: err}
		}
		return outcome{result: traffic.ResultTimedOut, err: err}
	case broken(err):
		return outcome{result: e.d.brokenResult(e), err: err}
	default:
		return outcome{result: traffic.ResultFailed, err: err}
	}
}

func timedOut(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded)
}

// broken reports whether the connection ended, by reset or end of file.
func broken(err error) bool {
	var operation *net.OpError
	var truncated *TruncatedResponseError
	return errors.Is(err, io.EOF) || errors.As(err, &operation) || errors.As(err, &truncated)
}
