package ingress

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/upstream"
)

func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l.(*net.TCPListener)
}

// Guards against a planned stop that closes a connection whose request has arrived but
// was not read yet, because the process had other work.
func TestDrainKeepsConnectionsWithUnreadRequests(t *testing.T) {
	s := New(Config{Handler: echo, Limits: func() Limits { return Limits{} }, MaxConnections: 8})
	l := listen(t)
	caller, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = caller.Close() }()
	raw, err := l.Accept()
	require.NoError(t, err)
	c := newConn(s, raw)
	c.lastUsed = time.Now().Add(-time.Minute)
	send(t, caller, get("/a"))
	require.Eventually(t, func() bool { return !upstream.IsIdle(raw) }, 5*time.Second, time.Millisecond)
	require.False(t, c.closeIfIdle())
	s.Drain()
	s.EndReuse()
	c.serve()
	answer, err := io.ReadAll(caller)
	require.NoError(t, err)
	require.Contains(t, string(answer), "HTTP/1.1 200 OK")
	require.Contains(t, string(answer), "Connection: close")
}

// Guards against a planned stop that closes connections whose callers have just opened
// them to send a request.
func TestDrainWaitsForFirstRequestOfNewConnections(t *testing.T) {
	r := startServer(t, Limits{}, echo)
	c, reader := r.dial(t)
	require.Eventually(t, func() bool { return r.Connections() == 1 }, 5*time.Second, time.Millisecond)
	r.Drain()
	r.EndReuse()
	send(t, c, get("/a"))
	response, body := read(t, reader)
	require.Equal(t, "/a", body)
	require.True(t, response.Close)

	r.dial(t)
	require.Eventually(t, func() bool { return r.Connections() == 1 }, 5*time.Second, time.Millisecond)
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r.Wait(ctx)
	require.Zero(t, r.Connections(), "a connection without a request ends after newConnectionGrace")
	require.Less(t, time.Since(started), 4*time.Second)
}

// Guards against a planned stop that resets connections which the kernel has accepted
// and the process has not.
func TestStopAcceptingServesTheBacklog(t *testing.T) {
	const callers = 20
	s := New(Config{Handler: echo, Limits: func() Limits { return Limits{} }, MaxConnections: 2 * callers})
	l := listen(t)
	var conns []net.Conn
	for i := range callers {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		send(t, c, get(fmt.Sprint("/", i)))
		conns = append(conns, c)
	}
	s.Drain()
	s.EndReuse()
	require.NoError(t, s.StopAccepting(l))
	for i, c := range conns {
		answer, err := io.ReadAll(c)
		require.NoError(t, err)
		require.Contains(t, string(answer), fmt.Sprint("\r\n\r\n/", i))
	}
	_, err := net.Dial("tcp", l.Addr().String())
	require.Error(t, err)
}

// Guards against a planned stop that never ends a connection whose caller always has a
// request open, and cuts its last requests.
func TestDrainEndsConnectionThatPipelinesWithoutBreak(t *testing.T) {
	release := map[string]chan struct{}{"/1": make(chan struct{}), "/2": make(chan struct{})}
	r := startServer(t, Limits{}, func(ctx context.Context, request *Request) *Response {
		<-release[request.URL.Path]
		return echo(ctx, request)
	})
	c, reader := r.dial(t)
	send(t, c, get("/1"), get("/2"))
	<-r.started
	<-r.started
	r.Drain()
	r.EndReuse()
	for i := 1; i <= 2; i++ {
		send(t, c, get(fmt.Sprint("/", i+2)))
		require.Eventually(t, func() bool { return r.DroppedPipelined() == 1 }, 5*time.Second, time.Millisecond, "a request behind an open one is not accepted")
		close(release[fmt.Sprint("/", i)])
		response, body := read(t, reader)
		require.Equal(t, fmt.Sprint("/", i), body)
		require.Equal(t, i == 2, response.Close, "the response to the last request that was read when the drain began closes the connection")
	}
	_, err := reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.Empty(t, r.started, "requests behind the last one must not be handled")
}

// Guards against work that goes on for a caller that has left, because it had sent further
// requests behind the last one that was accepted.
func TestDrainNoticesDisconnectOfCallerThatPipelines(t *testing.T) {
	cancelled := make(chan struct{})
	r := startServer(t, Limits{}, func(ctx context.Context, request *Request) *Response {
		<-ctx.Done()
		close(cancelled)
		return &Response{}
	})
	r.Drain()
	r.EndReuse()
	c, _ := r.dial(t)
	send(t, c, get("/1"), get("/2"))
	<-r.started
	require.NoError(t, c.Close())
	select {
	case <-cancelled:
	case <-time.After(5 * time.Second):
		require.Fail(t, "the request goes on 5 s after its caller has left")
	}
}

// Guards against a planned stop that leaves idle connections open until it ends.
func TestEndReuseClosesIdleConnectionsAtOnce(t *testing.T) {
	r := startServer(t, Limits{}, echo)
	c, reader := r.dial(t)
	send(t, c, get("/1"))
	response, _ := read(t, reader)
	require.False(t, response.Close)
	r.Drain()
	r.EndReuse()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r.Wait(ctx)
	require.NoError(t, ctx.Err())
	require.Zero(t, r.Connections())
	_, err := reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}
