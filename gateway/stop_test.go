package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/catkinspring/catkinspring/dispatch"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/problem"
	"github.com/catkinspring/catkinspring/traffic"
)

const openRequest = "GET /open HTTP/1.1\r\nHost: g\r\n\r\n"

// lateListener accepts no connection until its deadline is set, as a busy process does.
type lateListener struct {
	*net.TCPListener
	once    sync.Once
	stopped chan struct{}
}

func (l *lateListener) Accept() (net.Conn, error) {
	<-l.stopped
	return l.TCPListener.Accept()
}

func (l *lateListener) SetDeadline(t time.Time) error {
	defer l.once.Do(func() { close(l.stopped) })
	return l.TCPListener.SetDeadline(t)
}

func (l *lateListener) Close() error {
	defer l.once.Do(func() { close(l.stopped) })
	return l.TCPListener.Close()
}

func dialGateway(t *testing.T, address string) net.Conn {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(15*time.Second)))
	return c
}

func shutdownGateway(t *testing.T, g *Gateway) chan error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	done := make(chan error, 1)
	go func() { done <- g.Shutdown(ctx) }()
	return done
}

// Guards against a shutdown that resets connections which the kernel has accepted
// and the gateway has not.
func TestShutdownAnswersTheBacklog(t *testing.T) {
	h := newHarness(t, echo, nil)
	h.draining.Store(true)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &lateListener{TCPListener: inner.(*net.TCPListener), stopped: make(chan struct{})}
	g := New(h.Gateway.Config)
	served := make(chan error, 1)
	go func() { served <- g.Serve(l) }()
	const callers = 10
	var conns []net.Conn
	for range callers {
		c := dialGateway(t, inner.Addr().String())
		_, err := c.Write([]byte(openRequest))
		require.NoError(t, err)
		conns = append(conns, c)
	}
	done := shutdownGateway(t, g)
	answered := 0
	for _, c := range conns {
		response := &fasthttp.Response{}
		if response.Read(bufio.NewReader(c)) == nil {
			requireProblem(t, response, problem.KindDraining, problem.OutcomeNotRun)
			answered++
		}
	}
	require.Equal(t, callers, answered, "answered connections of the backlog")
	require.NoError(t, <-done)
	require.NoError(t, <-served)
	_, err = net.Dial("tcp", inner.Addr().String())
	require.Error(t, err)
}

// Guards against a shutdown that closes a kept connection whose request has arrived
// and was not read yet, because the process had other work.
func TestShutdownKeepsConnectionsWithUnreadRequests(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	caller := dialGateway(t, l.Addr().String())
	raw, err := l.Accept()
	require.NoError(t, err)
	open := newConnections()
	c := open.add(raw, 1)
	t.Cleanup(func() { _ = c.Close() })
	require.False(t, c.isIdle(c.opened), "opened just now")
	require.True(t, c.isIdle(c.opened.Add(newConnectionGrace)))
	trackPhase(c, fasthttp.StateIdle)
	require.True(t, c.isIdle(c.opened), "used before")
	_, err = caller.Write([]byte(openRequest))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return !c.isIdle(time.Now()) }, 5*time.Second, time.Millisecond)
	require.Equal(t, 1, open.sweep())
	answer := make([]byte, len(openRequest))
	_, err = raw.Read(answer)
	require.NoError(t, err, "the connection is still read")
}

// Guards against a planned stop that closes a connection with unread pipelined
// requests, which resets it and destroys the response before them.
func TestStopDeliversTheResponseBeforePipelinedRequests(t *testing.T) {
	body := bytes.Repeat([]byte("a"), 1<<20)
	arrived, answer := make(chan struct{}), make(chan struct{})
	h := newHarness(t, func(ctx *fasthttp.RequestCtx) {
		close(arrived)
		<-answer
		ctx.SetBody(body)
	}, nil)
	c := dialGateway(t, h.address)
	require.NoError(t, c.(*net.TCPConn).SetReadBuffer(64<<10))
	_, err := c.Write(bytes.Repeat([]byte(openRequest), 2*DefaultHeaderBytes/len(openRequest)))
	require.NoError(t, err)
	<-arrived
	h.draining.Store(true)
	close(answer)
	response := &fasthttp.Response{}
	reader := bufio.NewReader(c)
	require.NoError(t, response.Read(reader))
	require.Equal(t, fasthttp.StatusOK, response.StatusCode())
	require.Len(t, response.Body(), len(body))
	require.True(t, response.ConnectionClose())
	_, err = reader.ReadByte()
	require.Equal(t, io.EOF, err)
}

func drainGateway(t *testing.T, h *harness) chan int {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	h.draining.Store(true)
	done := make(chan int, 1)
	go func() { done <- h.Drain(ctx) }()
	return done
}

// Guards against a planned stop that overlooks requests which wait for a token, for a
// claim or for the caller to read the response.
func TestDrainCountsRequestsFromReadToWritten(t *testing.T) {
	admitted, admit := make(chan struct{}), make(chan struct{})
	h := newHarness(t, echo, nil)
	h.limiter.onAdmit = func() {
		close(admitted)
		<-admit
	}
	c := dialGateway(t, h.address)
	_, err := c.Write([]byte("GET /reads HTTP/1.1\r\nHost: g\r\nAuthorization: Bearer " + h.key.Reveal() + "\r\n\r\n"))
	require.NoError(t, err)
	<-admitted
	h.draining.Store(true)
	over, cancel := context.WithCancel(context.Background())
	cancel()
	require.Equal(t, 1, h.Drain(over), "waits for a token")
	done := drainGateway(t, h)
	close(admit)
	response := &fasthttp.Response{}
	require.NoError(t, response.Read(bufio.NewReader(c)))
	require.Equal(t, fasthttp.StatusCreated, response.StatusCode())
	require.Zero(t, <-done)

	written := make(chan struct{})
	body := make([]byte, 7<<20)
	h = newHarness(t, func(ctx *fasthttp.RequestCtx) { ctx.SetBody(body) }, func(config *Config) {
		config.Dispatcher = closeAfter(config.Dispatcher, written)
	})
	c = dialGateway(t, h.address)
	require.NoError(t, c.(*net.TCPConn).SetReadBuffer(64<<10))
	_, err = c.Write([]byte(openRequest))
	require.NoError(t, err)
	<-written
	h.draining.Store(true)
	require.Equal(t, 1, h.Drain(over), "the caller has not read the response")
	done = drainGateway(t, h)
	require.NoError(t, response.Read(bufio.NewReader(c)))
	require.Len(t, response.Body(), len(body))
	require.Zero(t, <-done)
}

// closeAfter closes a channel when a request was dispatched.
func closeAfter(next Dispatcher, dispatched chan struct{}) Dispatcher {
	return dispatcherFunc(func(ctx context.Context, r *dispatch.Request, into *fasthttp.Response) error {
		defer close(dispatched)
		return next.Dispatch(ctx, r, into)
	})
}

// Guards against a planned stop that waits for the rest of a request which it refuses
// anyway, or closes its connection without an answer.
func TestDrainAnswersHalfSentRequests(t *testing.T) {
	h := newHarness(t, echo, nil)
	c := dialGateway(t, h.address)
	_, err := c.Write([]byte("POST /open HTTP/1.1\r\nHost: g\r\nContent-Length: 9\r\n\r\nhalf"))
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		open := h.connections.list()
		return len(open) == 1 && phase(open[0].phase.Load()) == phaseReading
	}, 5*time.Second, time.Millisecond)
	done := drainGateway(t, h)
	response := &fasthttp.Response{}
	require.NoError(t, response.Read(bufio.NewReader(c)))
	requireProblem(t, response, problem.KindRequestTimeout, problem.OutcomeNotRun)
	require.Zero(t, <-done)
}

// waitingLimiter is a Limiter without tokens.
type waitingLimiter struct{ waiting chan struct{} }

func (l waitingLimiter) Admit(ctx context.Context, _ fleet.Customer) (traffic.Admission, error) {
	close(l.waiting)
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against a planned stop that cuts requests at its end without a final answer,
// with a wrong outcome or without a log line.
func TestAbortAnswersRunningRequests(t *testing.T) {
	var log bytes.Buffer
	arrived, release := make(chan struct{}), make(chan struct{})
	waiting := make(chan struct{})
	upstream := func(*fasthttp.RequestCtx) {
		close(arrived)
		<-release
	}
	start := func(modify func(*Config), path, headers string, begun chan struct{}) (*harness, net.Conn) {
		h := newHarness(t, upstream, modify)
		c := dialGateway(t, h.address)
		_, err := c.Write([]byte("POST " + path + " HTTP/1.1\r\nHost: g\r\nAuthorization: Bearer " + h.key.Reveal() +
			"\r\nContent-Length: 0\r\n" + headers + "\r\n"))
		require.NoError(t, err)
		<-begun
		return h, c
	}
	running, runningCaller := start(func(c *Config) { c.Logger = zerolog.New(&log) }, "/orders", idempotencyHeader, arrived)
	t.Cleanup(func() { close(release) })
	queued, queuedCaller := start(func(c *Config) { c.Limiter = waitingLimiter{waiting} }, "/reads", "", waiting)

	over, cancel := context.WithCancel(context.Background())
	cancel()
	for _, h := range []*harness{running, queued} {
		h.draining.Store(true)
		require.Equal(t, 1, h.Drain(over))
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		t.Cleanup(cancel)
		require.Zero(t, h.Abort(ctx))
	}
	response := &fasthttp.Response{}
	require.NoError(t, response.Read(bufio.NewReader(runningCaller)))
	requireProblem(t, response, problem.KindDeadlineExceeded, problem.OutcomeUnknown)
	require.Equal(t, []string{"abandon"}, running.claimer.endings())
	require.Contains(t, log.String(), string(response.Header.Peek(dispatch.HeaderRequestID)))
	require.Contains(t, log.String(), `"passed_on":true,"upstream":"u1"`)
	require.NoError(t, response.Read(bufio.NewReader(queuedCaller)))
	requireProblem(t, response, problem.KindDraining, problem.OutcomeNotRun)
}

// Guards against a response that is cut because its caller does not read it, and has
// no log line.
func TestAbortLogsResponsesThatAreCut(t *testing.T) {
	var log bytes.Buffer
	written := make(chan struct{})
	h := newHarness(t, func(ctx *fasthttp.RequestCtx) { ctx.SetBody(make([]byte, 7<<20)) }, func(c *Config) {
		c.Logger = zerolog.New(&log)
		c.Dispatcher = closeAfter(c.Dispatcher, written)
	})
	c := dialGateway(t, h.address)
	_, err := c.Write([]byte(openRequest))
	require.NoError(t, err)
	<-written
	h.draining.Store(true)
	over, cancel := context.WithCancel(context.Background())
	cancel()
	require.Equal(t, 1, h.Drain(over))
	require.Equal(t, 1, h.Abort(over))
	require.Regexp(t, `"request":"[-0-9a-f]+","age":.*"route":"open",.*"passed_on":true,"upstream":"u1","message":"response cut by the planned stop"`, log.String())
	require.Equal(t, StopCounts{Connections: 1, Requests: 1}, h.StopCounts())
	var open *OpenConnectionsError
	require.ErrorAs(t, h.Shutdown(over), &open)
}
