package ingress

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against work that goes on for a caller that has left, because the drain dropped a
// request behind the ones that are open on its connection.
func TestDrainNoticesDisconnectBehindDroppedRequest(t *testing.T) {
	cancelled := make(chan struct{}, 2)
	r := startServer(t, Limits{}, func(ctx context.Context, _ *Request) *Response {
		<-ctx.Done()
		cancelled <- struct{}{}
		return &Response{}
	})
	// A handler that is never cancelled must not outlive the test.
	t.Cleanup(func() { r.Abort(context.Canceled) })
	c, _ := r.dial(t)
	send(t, c, get("/1"), get("/2"))
	<-r.started
	<-r.started
	r.Drain()
	r.EndReuse()
	send(t, c, get("/3"))
	require.Eventually(t, func() bool { return r.DroppedPipelined() == 1 }, 5*time.Second, time.Millisecond)
	require.NoError(t, c.Close())
	requireWithin5s(t, "cancellation", cancelled)
}

// Guards against work that goes on for a caller that has left, because it had sent bytes
// that are no request behind the open ones.
func TestDisconnectBehindUnreadableRequestCancelsRunningRequests(t *testing.T) {
	cancelled := make(chan struct{}, 1)
	r := startServer(t, Limits{}, func(ctx context.Context, _ *Request) *Response {
		<-ctx.Done()
		cancelled <- struct{}{}
		return &Response{}
	})
	t.Cleanup(func() { r.Abort(context.Canceled) })
	c, _ := r.dial(t)
	send(t, c, get("/1"), "nonsense\r\n\r\n")
	<-r.started
	require.Eventually(t, func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		for c := range r.conns {
			c.mu.Lock()
			queued := len(c.open) == 2
			c.mu.Unlock()
			return queued
		}
		return false
	}, 5*time.Second, time.Millisecond)
	require.NoError(t, c.Close())
	requireWithin5s(t, "cancellation", cancelled)
}

// pausedConn pauses the goroutine that writes, after its bytes are on their way.
type pausedConn struct {
	*net.TCPConn
	resume chan struct{}
	once   sync.Once
}

func (c *pausedConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	c.once.Do(func() { <-c.resume })
	return n, err
}

// Guards against a planned stop that reads an order on a connection without open requests
// and drops it, because the response before it was written just before the stop began.
func TestDrainAcceptsRequestSentAfterResponseThatKeepsConnection(t *testing.T) {
	started := make(chan string, 8)
	s := New(Config{Limits: func() Limits { return Limits{} }, MaxConnections: 8, HeadBytes: testHeadBytes, BodyBytes: testBodyBytes, Handler: func(ctx context.Context, request *Request) *Response {
		started <- request.URL.Path
		return echo(ctx, request)
	}})
	l := listen(t)
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	raw, err := l.Accept()
	require.NoError(t, err)
	paused := &pausedConn{TCPConn: raw.(*net.TCPConn), resume: make(chan struct{})}
	s.startConn(paused)
	reader := bufio.NewReader(c)
	send(t, c, get("/1"))
	response, _ := read(t, reader)
	require.False(t, response.Close)
	<-started
	s.Drain()
	s.EndReuse()
	send(t, c, "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\norder")
	require.Eventually(t, func() bool { return len(started) == 1 || s.DroppedPipelined() == 1 }, 5*time.Second, time.Millisecond)
	close(paused.resume)
	response, err = http.ReadResponse(reader, nil)
	require.NoError(t, err, "the caller was told to keep the connection and gets no answer to an order that was read")
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.True(t, response.Close)
}

// Guards against a burst of new connections that all evict the same idle one, and exceed
// the limit.
func TestBurstOfConnectionsStaysWithinLimit(t *testing.T) {
	const limit, burst = 4, 16
	s := New(Config{Handler: echo, Limits: func() Limits { return Limits{} }, MaxConnections: limit, HeadBytes: testHeadBytes, BodyBytes: testBodyBytes})
	l := listen(t)
	connect := func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		raw, err := l.Accept()
		require.NoError(t, err)
		t.Cleanup(func() { _ = raw.Close() })
		return raw
	}
	for range limit {
		// An idle connection whose goroutine has no turn before the burst ends.
		c := newConn(s, connect())
		c.used, c.lastUsed = true, time.Now().Add(-time.Second)
		s.conns[c] = struct{}{}
	}
	for range burst {
		s.startConn(connect())
	}
	require.LessOrEqual(t, s.Connections(), 2*limit, "each eviction makes room for one connection")
}

// Guards against a caller that waits for 100 Continue and gets 400, because the write
// deadline of the response before has passed.
func TestContinueIsSentAfterWriteDeadlineOfEarlierResponse(t *testing.T) {
	r := startServer(t, Limits{}, echo)
	c, reader := r.dial(t)
	send(t, c, get("/1"))
	read(t, reader)
	r.mu.Lock()
	for c := range r.conns {
		// As it is once writeTimeout has passed since the response.
		require.NoError(t, c.raw.SetWriteDeadline(pastDeadline))
	}
	r.mu.Unlock()
	send(t, c, "POST /2 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n")
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusContinue, response.StatusCode)
	send(t, c, "order")
	_, body := read(t, reader)
	require.Equal(t, "/2order", body)
}

// Guards against a request that was read and ends without a response and without a line
// in the log.
func TestRequestDroppedByDrainIsReported(t *testing.T) {
	reported := make(chan string, 1)
	started, release := make(chan struct{}), make(chan struct{})
	s := New(Config{Limits: func() Limits { return Limits{} }, MaxConnections: 8, HeadBytes: testHeadBytes, BodyBytes: testBodyBytes,
		Unanswered: func(r *Request, _ error) { reported <- r.URL.Path },
		Handler: func(ctx context.Context, request *Request) *Response {
			close(started)
			<-release
			return echo(ctx, request)
		}})
	defer close(release)
	l := listen(t)
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	raw, err := l.Accept()
	require.NoError(t, err)
	s.startConn(raw)
	send(t, c, get("/1"))
	<-started
	s.Drain()
	s.EndReuse()
	send(t, c, get("/2"))
	require.Eventually(t, func() bool { return s.DroppedPipelined() == 1 }, 5*time.Second, time.Millisecond)
	select {
	case path := <-reported:
		require.Equal(t, "/2", path)
	case <-time.After(5 * time.Second):
		require.Fail(t, "the request that was dropped is not reported within 5 s")
	}
}

// Guards against work that goes on for a caller that has left, because the queue of its
// connection is full.
func TestDisconnectBehindFullQueueCancelsRunningRequests(t *testing.T) {
	const requests = maxPipelined + 2
	started, cancelled := make(chan struct{}, requests), make(chan struct{}, requests)
	r := startServer(t, Limits{}, func(ctx context.Context, _ *Request) *Response {
		started <- struct{}{}
		<-ctx.Done()
		cancelled <- struct{}{}
		return &Response{}
	})
	t.Cleanup(func() { r.Abort(context.Canceled) })
	c, _ := r.dial(t)
	for range requests {
		send(t, c, get("/"))
	}
	for range requests {
		requireWithin5s(t, "start", started)
	}
	require.NoError(t, c.Close())
	requireWithin5s(t, "cancellation", cancelled)
}

// pausedListener pauses between an accept and the return of Accept.
type pausedListener struct {
	*net.TCPListener
	accepted, resume chan struct{}
}

func (l *pausedListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err == nil {
		close(l.accepted)
		<-l.resume
	}
	return c, err
}

// Guards against a planned stop that ends while Serve has accepted a connection and has
// not started to serve it.
func TestWaitIncludesConnectionThatServeHasJustAccepted(t *testing.T) {
	handled := make(chan struct{}, 1)
	s := New(Config{Limits: func() Limits { return Limits{} }, MaxConnections: 8, HeadBytes: testHeadBytes, BodyBytes: testBodyBytes, Handler: func(ctx context.Context, request *Request) *Response {
		handled <- struct{}{}
		return echo(ctx, request)
	}})
	l := &pausedListener{TCPListener: listen(t), accepted: make(chan struct{}), resume: make(chan struct{})}
	go func() { _ = s.Serve(l) }()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	send(t, c, get("/1"))
	requireWithin5s(t, "accept", l.accepted)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.Drain()
		s.EndReuse()
		_ = s.StopAccepting(l.TCPListener)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		s.Wait(ctx)
	}()
	select {
	case <-ended:
	case <-time.After(100 * time.Millisecond):
	}
	select {
	case <-ended:
		close(l.resume)
		require.Fail(t, "the stop has ended before the accepted connection was served")
	default:
		close(l.resume)
	}
	requireWithin5s(t, "end of the stop", ended)
	require.Len(t, handled, 1)
}
