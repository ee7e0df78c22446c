package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testBodyBytes is the memory for bodies in tests.
const testBodyBytes = 1 << 20

// testHeadBytes bounds the headers of requests in tests.
const testHeadBytes = 1 << 20

// testServer is a running Server that reports the path of each request it starts.
type testServer struct {
	*Server
	address string
	started chan string
}

func startServer(t *testing.T, limits Limits, handler Handler) *testServer {
	t.Helper()
	r := &testServer{started: make(chan string, 64)}
	r.Server = New(Config{
		Limits: func() Limits { return limits }, MaxConnections: 8, HeadBytes: testHeadBytes, BodyBytes: testBodyBytes,
		Handler: func(ctx context.Context, request *Request) *Response {
			r.started <- request.URL.Path
			return handler(ctx, request)
		},
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r.address = l.Addr().String()
	done := make(chan error, 1)
	go func() { done <- r.Serve(l) }()
	t.Cleanup(func() {
		require.NoError(t, l.Close())
		require.NoError(t, <-done)
	})
	return r
}

func (r *testServer) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", r.address)
	require.NoError(t, err)
	require.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	t.Cleanup(func() { _ = c.Close() })
	return c, bufio.NewReader(c)
}

func send(t *testing.T, c io.Writer, texts ...string) {
	t.Helper()
	_, err := io.WriteString(c, strings.Join(texts, ""))
	require.NoError(t, err)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func read(t *testing.T, r *bufio.Reader) (*http.Response, string) {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response, string(body)
}

func echo(_ context.Context, r *Request) *Response {
	return &Response{Status: 200, Header: http.Header{}, Body: []byte(r.URL.Path + string(r.Body))}
}

func requireWithin5s(t *testing.T, what string, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(5 * time.Second):
		require.Fail(t, what+" did not happen within 5 s")
	}
}

// Guards against pipelined requests that run one after the other, and against
// responses out of order.
func TestPipelinedRequestsRunConcurrentlyAndAreAnsweredInOrder(t *testing.T) {
	release := make(chan struct{})
	r := startServer(t, Limits{}, func(ctx context.Context, request *Request) *Response {
		if request.URL.Path == "/1" {
			<-release
		}
		return echo(ctx, request)
	})
	c, reader := r.dial(t)
	send(t, c, get("/1"), get("/2"), get("/3"))
	for range 3 {
		<-r.started
	}
	close(release)
	for i := range 3 {
		_, body := read(t, reader)
		require.Equal(t, fmt.Sprintf("/%d", i+1), body)
	}
}

// Guards against requests that continue to run after their caller disconnected, also
// if a further request was pipelined behind the running one.
func TestDisconnectCancelsRunningRequests(t *testing.T) {
	for _, pipelined := range []bool{false, true} {
		cancelled := make(chan struct{}, 2)
		r := startServer(t, Limits{}, func(ctx context.Context, _ *Request) *Response {
			<-ctx.Done()
			cancelled <- struct{}{}
			return &Response{}
		})
		c, _ := r.dial(t)
		send(t, c, get("/1"))
		if pipelined {
			send(t, c, get("/2"))
			<-r.started
		}
		<-r.started
		require.NoError(t, c.Close())
		requireWithin5s(t, "cancellation", cancelled)
	}
}

func TestBodiesWithContentLengthAndChunked(t *testing.T) {
	r := startServer(t, Limits{}, echo)
	c, reader := r.dial(t)
	send(t, c, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
	_, body := read(t, reader)
	require.Equal(t, "/aabc", body)
	send(t, c, "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n1\r\nf\r\n0\r\n\r\n")
	_, body = read(t, reader)
	require.Equal(t, "/bdef", body)
	send(t, c, "POST /c HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n")
	interim, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusContinue, interim.StatusCode)
	send(t, c, "x")
	_, body = read(t, reader)
	require.Equal(t, "/cx", body)
}

// Guards against a shutdown that interrupts a request or accepts requests after the
// last response.
func TestDrainAnswersReadRequestsAndClosesConnections(t *testing.T) {
	release := make(chan struct{})
	r := startServer(t, Limits{}, func(ctx context.Context, request *Request) *Response {
		if request.URL.Path != "/idle" {
			<-release
		}
		return echo(ctx, request)
	})
	busy, busyReader := r.dial(t)
	idle, idleReader := r.dial(t)
	send(t, idle, get("/idle"))
	read(t, idleReader)
	<-r.started
	send(t, busy, get("/1"), get("/2"))
	<-r.started
	<-r.started
	require.Eventually(t, func() bool { return r.Connections() == 2 }, 5*time.Second, time.Millisecond)
	r.Drain()
	send(t, idle, get("/idle"))
	response, body := read(t, idleReader)
	require.Equal(t, "/idle", body, "an idle connection must serve one more request")
	require.True(t, response.Close)
	_, err := idleReader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	r.EndReuse()
	close(release)
	_, body = read(t, busyReader)
	require.Equal(t, "/1", body)
	response, body = read(t, busyReader)
	require.Equal(t, "/2", body)
	require.True(t, response.Close)
	_, err = busyReader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r.Wait(ctx)
	require.Zero(t, r.Connections())
}

// Guards against callers that exhaust the host's memory or hold connections with
// large, slow or missing requests.
func TestConfiguredLimitsAreEnforced(t *testing.T) {
	limits := Limits{HeaderBytes: 1 << 10, BodyBytes: 16, HeaderTimeout: 100 * time.Millisecond, IdleTimeout: 300 * time.Millisecond}
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"header":    {"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 1<<14) + "\r\n\r\n", 431},
		"body":      {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 17\r\n\r\n" + strings.Repeat("x", 17), 413},
		"malformed": {"nonsense\r\n\r\n", 400},
	} {
		t.Run(name, func(t *testing.T) {
			r := startServer(t, limits, echo)
			conn, reader := r.dial(t)
			send(t, conn, c.text)
			response, _ := read(t, reader)
			require.Equal(t, c.status, response.StatusCode)
			require.True(t, response.Close)
		})
	}
	t.Run("slow header", func(t *testing.T) {
		r := startServer(t, limits, echo)
		conn, reader := r.dial(t)
		send(t, conn, "GET / HT")
		response, _ := read(t, reader)
		require.Equal(t, http.StatusRequestTimeout, response.StatusCode)
	})
	t.Run("idle", func(t *testing.T) {
		r := startServer(t, limits, echo)
		conn, reader := r.dial(t)
		send(t, conn, get("/1"))
		read(t, reader)
		time.Sleep(240 * time.Millisecond) // four fifths of the idle timeout
		send(t, conn, get("/2"))
		read(t, reader)
		_, err := reader.ReadByte()
		require.ErrorIs(t, err, io.EOF)
	})
}

// Guards against a response to a request that the handler did not answer, because
// its caller will send it again.
func TestResponseWithoutStatusClosesConnection(t *testing.T) {
	r := startServer(t, Limits{}, func(context.Context, *Request) *Response { return &Response{} })
	c, reader := r.dial(t)
	send(t, c, get("/1"))
	_, err := reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// Guards against callers that are rejected while others hold idle connections, and
// against an unlimited number of connections.
func TestIdleConnectionsAreClosedForNewOnes(t *testing.T) {
	release := make(chan struct{})
	r := startServer(t, Limits{}, func(ctx context.Context, request *Request) *Response {
		if request.URL.Path == "/busy" {
			<-release
		}
		return echo(ctx, request)
	})
	var busy []*bufio.Reader
	for i := range 8 {
		c, reader := r.dial(t)
		if i < 7 {
			send(t, c, get("/busy"))
			<-r.started
			busy = append(busy, reader)
			continue
		}
		send(t, c, get("/idle"))
		read(t, reader)
	}
	require.Eventually(t, func() bool {
		c, reader := r.dial(t)
		if _, err := io.WriteString(c, get("/new")); err != nil {
			return false
		}
		response, err := http.ReadResponse(reader, nil)
		return err == nil && response.StatusCode == 200
	}, 5*time.Second, time.Millisecond)
	require.LessOrEqual(t, r.Connections(), 9)
	close(release)
	for _, reader := range busy {
		_, body := read(t, reader)
		require.Equal(t, "/busy", body)
	}
}

func TestConnectionsInUseAreNotClosedForNewOnes(t *testing.T) {
	release := make(chan struct{})
	r := startServer(t, Limits{}, func(ctx context.Context, request *Request) *Response {
		<-release
		return echo(ctx, request)
	})
	for range 8 {
		c, _ := r.dial(t)
		send(t, c, get("/1"))
		<-r.started
	}
	_, reader := r.dial(t)
	_, err := reader.ReadByte()
	require.Error(t, err)
	require.Equal(t, 8, r.Connections())
	close(release)
}

// Guards against an idle timeout that runs while a request is open, so that its response
// is followed by the close of a connection that its caller uses again.
func TestIdleTimeoutBeginsWithTheResponse(t *testing.T) {
	release := make(chan struct{})
	const idleTimeout = 100 * time.Millisecond
	r := startServer(t, Limits{IdleTimeout: idleTimeout}, func(ctx context.Context, request *Request) *Response {
		<-release
		return echo(ctx, request)
	})
	c, reader := r.dial(t)
	send(t, c, get("/1"))
	<-r.started
	<-time.After(2 * idleTimeout)
	close(release)
	response, _ := read(t, reader)
	require.False(t, response.Close)
	send(t, c, get("/2"))
	_, body := read(t, reader)
	require.Equal(t, "/2", body)
	_, err := reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}
