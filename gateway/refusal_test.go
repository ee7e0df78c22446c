package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/catkinspring/catkinspring/keys"
	"github.com/catkinspring/catkinspring/operator"
	"github.com/catkinspring/catkinspring/problem"
)

const idempotencyHeader = "Idempotency-Key: k1\r\n"

// Guards against a check that is missing, out of order, or answers with the wrong
// kind, status or outcome, and against a refused request that reaches an upstream
// or keeps its token.
func TestRefusals(t *testing.T) {
	ran := false
	h := newHarness(t, func(*fasthttp.RequestCtx) { ran = true }, nil)
	unknownKey := "Authorization: Bearer " + keys.Generate().Reveal() + "\r\n"
	post := func(headers string) string { return "POST /orders HTTP/1.1\r\nHost: g\r\n" + headers + "\r\n" }
	ownKey := "Authorization: Bearer " + h.key.Reveal() + "\r\n"
	for _, test := range []struct {
		name    string
		request string
		kind    problem.Kind
		prepare func()
	}{
		{"no key", post(""), problem.KindKeyMissing, nil},
		{"two keys", post(ownKey + unknownKey), problem.KindKeyMissing, nil},
		{"basic authentication", post("Authorization: Basic abc\r\n"), problem.KindKeyMissing, nil},
		{"malformed key", post("Authorization: Bearer abc\r\n"), problem.KindKeyInvalid, nil},
		{"unknown key", post(unknownKey), problem.KindKeyInvalid, nil},
		{"wrong secret", post("Authorization: Bearer ck_" + h.key.ID() + keys.Generate().Reveal()[19:] + "\r\n"), problem.KindKeyInvalid, nil},
		{"no idempotency key", post(ownKey), problem.KindIdempotencyKeyMissing, nil},
		{"two idempotency keys", post(ownKey + idempotencyHeader + idempotencyHeader), problem.KindMalformed, nil},
		{"other customer's route", "GET /others HTTP/1.1\r\nHost: g\r\n" + ownKey + "\r\n", problem.KindCustomerNotAllowed, nil},
		{"unknown route", "GET /ordersx HTTP/1.1\r\nHost: g\r\n\r\n", problem.KindRouteUnknown, nil},
		{"method not forwarded", "TRACE /open HTTP/1.1\r\nHost: g\r\n\r\n", problem.KindMethodNotAllowed, nil},
		{"lookup method", "POST /v1/entry-hosts HTTP/1.1\r\nHost: g\r\n\r\n", problem.KindMethodNotAllowed, nil},
		{"body too large", "POST /open HTTP/1.1\r\nHost: g\r\nContent-Length: 1001\r\n\r\n" + strings.Repeat("a", 1001), problem.KindBodyTooLarge, nil},
		{"chunked body too large", "POST /open HTTP/1.1\r\nHost: g\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n" + strings.Repeat("a", 1001) + "\r\n0\r\n\r\n", problem.KindBodyTooLarge, nil},
		{"large body without key", "POST /reads HTTP/1.1\r\nHost: g\r\nContent-Length: 99999\r\n\r\n" + strings.Repeat("a", 99999), problem.KindKeyMissing, nil},
		{"header too large", "GET /open HTTP/1.1\r\nHost: g\r\nA: " + strings.Repeat("a", DefaultHeaderBytes) + "\r\n\r\n", problem.KindHeadersTooLarge, nil},
		{"not HTTP", "hello\r\n\r\n", problem.KindMalformed, nil},
		{"malformed timeout header", "GET /open HTTP/1.1\r\nHost: g\r\nX-Request-Timeout: soon\r\n\r\n", problem.KindMalformed, nil},
		{"key in path", "GET /open/" + h.key.Reveal() + " HTTP/1.1\r\nHost: g\r\n\r\n", problem.KindMalformed, nil},
		{"key in body", "POST /reads HTTP/1.1\r\nHost: g\r\n" + ownKey + "Content-Length: 43\r\n\r\n" + h.key.Secret(), problem.KindMalformed, nil},
		{"key as idempotency key", post(ownKey + "Idempotency-Key: " + h.key.Reveal() + "\r\n"), problem.KindMalformed, nil},
		{"invalid claim", post(ownKey + idempotencyHeader), problem.KindClaimUnavailable, func() { h.claimer.invalid = true }},
		{"invalid share", post(ownKey + idempotencyHeader), problem.KindLeaseExpired, func() { h.limiter.invalid.Store(true) }},
		{"rate exceeded", post(ownKey + idempotencyHeader), problem.KindRateExceeded, func() { h.limiter.admitErr = problem.NotRun(problem.KindRateExceeded, "rate exceeded") }},
		{"quarantined", post(ownKey + idempotencyHeader), problem.KindQuarantined, func() { h.quarantined.Store(true) }},
		{"lease expired", post(ownKey + idempotencyHeader), problem.KindLeaseExpired, func() { h.clock.setLease(0) }},
		{"deadline during admission", post(ownKey + idempotencyHeader), problem.KindDeadlineExceeded, func() {
			h.limiter.admitErr = context.DeadlineExceeded
			h.quarantined.Store(false)
			h.clock.setLease(time.Hour)
		}},
		{"suspended key", post(ownKey + idempotencyHeader), problem.KindKeySuspended, func() { h.suspended.Store(true) }},
		{"draining", post(ownKey + idempotencyHeader), problem.KindDraining, func() { h.draining.Store(true) }},
		{"lookup without configuration", "GET /v1/entry-hosts?route=open HTTP/1.1\r\nHost: g\r\n\r\n", problem.KindNotReady, func() { h.draining.Store(false); h.snapshot.Store(nil) }},
		{"no configuration", post(ownKey + idempotencyHeader), problem.KindNotReady, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			if test.prepare != nil {
				test.prepare()
			}
			r := h.sendRaw(t, test.request)
			requireProblem(t, r, test.kind, problem.OutcomeNotRun)
			require.NotContains(t, r.String(), h.key.Secret())
		})
	}
	require.False(t, ran)
	require.Equal(t, h.limiter.spent.Load(), h.limiter.refunded.Load())
	require.Equal(t, []string{"release", "release"}, h.claimer.endings())
}

// Guards against a connection reset that keeps the caller from reading the
// refusal of a body that the host did not read.
func TestRefusalOfUnreadBodyArrives(t *testing.T) {
	h := newHarness(t, echo, nil)
	const length = 900_000
	c, err := net.Dial("tcp", h.address)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.(*net.TCPConn).SetWriteBuffer(4096))
	_, err = c.Write([]byte("POST /open HTTP/1.1\r\nHost: g\r\nContent-Length: 900000\r\n\r\n" + strings.Repeat("a", length)))
	require.NoError(t, err)
	var r fasthttp.Response
	require.NoError(t, r.Read(bufio.NewReader(c)))
	requireProblem(t, &r, problem.KindBodyTooLarge, problem.OutcomeNotRun)
}

// Guards against callers that occupy a connection by sending slowly.
func TestSlowRequestsTimeOut(t *testing.T) {
	h := newHarness(t, echo, func(c *Config) { c.ReadTimeout = 50 * time.Millisecond })
	for _, request := range []string{"GET /open HTTP/1.1\r\nHost", "POST /open HTTP/1.1\r\nHost: g\r\nContent-Length: 5\r\n\r\nab"} {
		requireProblem(t, h.sendRaw(t, request), problem.KindRequestTimeout, problem.OutcomeNotRun)
	}
}

// Guards against request smuggling: requests whose boundaries an intermediary may
// parse differently, and paths that an upstream resolves to another route.
func TestSmugglingIsRefused(t *testing.T) {
	ran := false
	h := newHarness(t, func(*fasthttp.RequestCtx) { ran = true }, nil)
	for _, request := range []string{
		"POST /open HTTP/1.1\r\nHost: g\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST /open HTTP/1.1\r\nHost: g\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
		"POST /open HTTP/1.1\r\nHost: g\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab",
		"POST /open HTTP/1.1\r\nHost: g\r\nContent-Length: 2, 2\r\n\r\nab",
		"POST /open HTTP/1.1\r\nHost: g\r\nContent-Length: +2\r\n\r\nab",
		"POST /open HTTP/1.1\r\nHost: g\r\nContent-Length : 2\r\n\r\nab",
		"POST /open HTTP/1.1\r\nHost: g\r\nContent Length: 2\r\n\r\n",
		"POST /open HTTP/1.1\r\nHost: g\r\nA: b\r\n Content-Length: 2\r\n\r\n",
		"POST /open HTTP/1.1\r\nHost: g\r\nTransfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n",
		"POST /open HTTP/1.1\r\nHost: g\r\nTransfer-Encoding: identity\r\nContent-Length: 2\r\n\r\nab",
		"POST /open HTTP/1.1\r\nHost: g\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"POST /open HTTP/1.1\r\nHost: g\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST /open HTTP/1.0\r\nHost: g\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST /open HTTP/1.1\r\nHost: g\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n\r\n",
		"POST /open HTTP/1.1\r\nHost: g\r\nA: b\nContent-Length: 2\r\n\r\nab",
		"GET /open HTTP/1.1\r\nHost: g\r\nHost: h\r\n\r\n",
		"GET /open HTTP/1.1\r\n\r\n",
		"GET /open/../orders HTTP/1.1\r\nHost: g\r\n\r\n",
		"GET /open/%2e%2e/orders HTTP/1.1\r\nHost: g\r\n\r\n",
		"GET /open/..;a/orders HTTP/1.1\r\nHost: g\r\n\r\n",
		"GET /open%2f..%2forders HTTP/1.1\r\nHost: g\r\n\r\n",
		"GET /open\\..\\orders HTTP/1.1\r\nHost: g\r\n\r\n",
		"GET //orders HTTP/1.1\r\nHost: g\r\n\r\n",
		"GET /open/%zz HTTP/1.1\r\nHost: g\r\n\r\n",
	} {
		requireProblem(t, h.sendRaw(t, request), problem.KindMalformed, problem.OutcomeNotRun)
	}
	for _, encoded := range []string{"/%6frders", "/order%73/1"} {
		requireProblem(t, h.sendRaw(t, "GET "+encoded+" HTTP/1.1\r\nHost: g\r\n\r\n"), problem.KindKeyMissing, problem.OutcomeNotRun)
	}
	require.False(t, ran)
}

// Guards against a request that is smuggled in the body of a refused one.
func TestRefusedFramingClosesTheConnection(t *testing.T) {
	h := newHarness(t, echo, nil)
	c, err := net.Dial("tcp", h.address)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = c.Write([]byte("POST /open HTTP/1.1\r\nHost: g\r\nA: b\r\n Content-Length: 40\r\nContent-Length: 0\r\n\r\n" +
		"GET /open/hidden HTTP/1.1\r\nHost: g\r\n\r\n"))
	require.NoError(t, err)
	reader := bufio.NewReader(c)
	var first, second fasthttp.Response
	require.NoError(t, first.Read(reader))
	require.True(t, first.ConnectionClose())
	require.Error(t, second.Read(reader))
}

// Guards against a host that accepts connections until it runs out of memory, and
// against a refusal that callers can't read.
func TestConnectionsAreBounded(t *testing.T) {
	h := newHarness(t, echo, func(c *Config) { c.MaxConnections = 1 })
	first, err := net.Dial("tcp", h.address)
	require.NoError(t, err)
	_, err = first.Write([]byte("GET /open HTTP/1.1\r\nHost: g\r\n\r\n"))
	require.NoError(t, err)
	var response fasthttp.Response
	require.NoError(t, response.Read(bufio.NewReader(first)))
	second, err := net.Dial("tcp", h.address)
	require.NoError(t, err)
	defer second.Close()
	require.NoError(t, response.Read(bufio.NewReader(second)))
	require.Equal(t, fasthttp.StatusServiceUnavailable, response.StatusCode())
	require.Contains(t, string(response.Body()), problemTypePrefix+string(problem.KindQueueFull))
	require.NoError(t, first.Close())
	require.Eventually(t, func() bool { return h.sendRaw(t, "GET /open HTTP/1.1\r\nHost: g\r\n\r\n").StatusCode() == 201 },
		5*time.Second, time.Millisecond)
}

// Guards against refusals that are not counted, metrics that a scraper can't
// parse, and keys in the readiness response.
func TestOperatorEndpoints(t *testing.T) {
	h := newHarness(t, echo, nil)
	h.sendRaw(t, "GET /nowhere HTTP/1.1\r\nHost: g\r\n\r\n")
	h.sendRaw(t, "GET /open HTTP/1.1\r\nHost: g\r\n\r\n")
	metrics.GetOrRegisterGauge("a-b", h.Registry).Update(7)
	var ready error = problem.NotRun(problem.KindNotReady, "no lease "+h.key.Reveal())
	operators := operator.New(operator.Config{
		Ready: func() error { return ready },
		Metrics: func() []byte {
			var text bytes.Buffer
			operator.WriteMetrics(&text, h.Registry)
			return text.Bytes()
		},
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = operators.Serve(listener) }()
	defer func() { _ = operators.Shutdown(context.Background()) }()
	get := func(path string) (int, string) {
		status, body, err := fasthttp.Get(nil, "http://"+listener.Addr().String()+path)
		require.NoError(t, err)
		return status, string(body)
	}
	status, _ := get("/livez")
	require.Equal(t, 200, status)
	status, body := get("/readyz")
	require.Equal(t, 503, status)
	require.NotContains(t, body, h.key.Secret())
	ready = nil
	status, _ = get("/readyz")
	require.Equal(t, 200, status)
	_, body = get("/metrics")
	for _, line := range []string{
		"# TYPE catkinspring_a_b gauge\ncatkinspring_a_b 7\n",
		"# TYPE catkinspring_gateway_refusals_route_unknown_not_run counter\ncatkinspring_gateway_refusals_route_unknown_not_run 1\n",
		"catkinspring_gateway_responses_2xx 1\n", "# TYPE catkinspring_gateway_connections gauge\n",
		"catkinspring_gateway_latency_microseconds{quantile=\"0.999\"} ",
		"catkinspring_gateway_latency_microseconds_count 1\n",
	} {
		require.Contains(t, body, line)
	}
}

// Guards against a refusal that is lost because its connection is reset: the caller has
// sent more than was read.
func TestRefusalOfAmbiguousFramingIsDelivered(t *testing.T) {
	h := newHarness(t, echo, nil)
	c := dialGateway(t, h.address)
	_, err := c.Write([]byte("POST /open HTTP/1.1\r\nHost: g\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
		strings.Repeat("a", 4*DefaultHeaderBytes)))
	require.NoError(t, err)
	reader := bufio.NewReader(c)
	response := &fasthttp.Response{}
	require.NoError(t, response.Read(reader))
	requireProblem(t, response, problem.KindMalformed, problem.OutcomeNotRun)
	_, err = reader.ReadByte()
	require.Equal(t, io.EOF, err)
}
