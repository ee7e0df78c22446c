package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/catkinspring/catkinspring/configuration"
	"github.com/catkinspring/catkinspring/dispatch"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/keys"
	"github.com/catkinspring/catkinspring/lookup"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/problem"
	"github.com/catkinspring/catkinspring/traffic"
)

// fakeClock is a Clock with a fixed time and a Lease whose end a test can set.
type fakeClock struct{ leaseUntil atomic.Int64 }

func (*fakeClock) Now() machine.Now                   { return machine.Now{Instant: 1000, WallMillis: 1_800_000_000_000} }
func (c *fakeClock) ValidUntil() machine.Instant      { return machine.Instant(c.leaseUntil.Load()) }
func (c *fakeClock) setLease(remaining time.Duration) { c.leaseUntil.Store(1000 + int64(remaining)) }

// fakeLimiter is a Limiter that counts spent and refunded tokens.
type fakeLimiter struct {
	admitErr        error
	spent, refunded atomic.Int64
	invalid         atomic.Bool
	// onAdmit runs in each Admit, while the request is queued.
	onAdmit func()
}

func (l *fakeLimiter) Admit(context.Context, fleet.Customer) (traffic.Admission, error) {
	if l.onAdmit != nil {
		l.onAdmit()
	}
	if l.admitErr != nil {
		return nil, l.admitErr
	}
	l.spent.Add(1)
	return l, nil
}
func (l *fakeLimiter) Valid() bool { return !l.invalid.Load() }
func (l *fakeLimiter) Refund()     { l.refunded.Add(1) }

// fakeClaimer grants each operation once and records how the claims ended.
type fakeClaimer struct {
	mu      sync.Mutex
	granted map[traffic.OperationID]bool
	results map[traffic.OperationID]traffic.OperationResult
	ended   []string
	invalid bool
}

type fakeClaim struct {
	claimer *fakeClaimer
	id      traffic.OperationID
}

func newFakeClaimer() *fakeClaimer {
	return &fakeClaimer{granted: map[traffic.OperationID]bool{}, results: map[traffic.OperationID]traffic.OperationResult{}}
}

func (c *fakeClaimer) Claim(_ context.Context, op traffic.Operation) (traffic.Claim, *traffic.OperationResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if result, ok := c.results[op.ID]; ok {
		return nil, &result, nil
	}
	if c.granted[op.ID] {
		return nil, nil, problem.New(problem.KindOperationUnknown, problem.OutcomeUnknown, "an earlier attempt may have run")
	}
	c.granted[op.ID] = true
	return &fakeClaim{claimer: c, id: op.ID}, nil, nil
}

func (c *fakeClaimer) endings() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.ended)
}

func (c *fakeClaim) end(ending string, change func()) {
	c.claimer.mu.Lock()
	defer c.claimer.mu.Unlock()
	c.claimer.ended = append(c.claimer.ended, ending)
	change()
}

func (c *fakeClaim) Valid() bool { return !c.claimer.invalid }
func (c *fakeClaim) Complete(result traffic.OperationResult) {
	c.end("complete", func() { c.claimer.results[c.id] = result })
}
func (c *fakeClaim) Release() { c.end("release", func() { delete(c.claimer.granted, c.id) }) }
func (c *fakeClaim) Abandon() { c.end("abandon", func() {}) }

// fixedPlacer is a Placer that always chooses the same upstream.
type fixedPlacer struct{ address netip.AddrPort }

func (p fixedPlacer) Acquire(context.Context, traffic.SlotRequest) (traffic.Slot, error) {
	return p, nil
}
func (p fixedPlacer) Target() traffic.Target { return traffic.Target{Name: "u1", Address: p.address} }
func (fixedPlacer) Release(traffic.Report)   {}

// harness runs a gateway and an upstream on the loopback interface.
type harness struct {
	*Gateway
	clock       *fakeClock
	limiter     *fakeLimiter
	claimer     *fakeClaimer
	key         keys.Key
	snapshot    atomic.Pointer[configuration.Snapshot]
	view        atomic.Pointer[fleet.View]
	suspended   atomic.Bool
	draining    atomic.Bool
	quarantined atomic.Bool
	address     string

	upstreamAddress netip.AddrPort
	upstream        *fasthttp.Server
}

// newHarness starts an upstream with the given handler and a gateway whose
// configuration the test may modify.
func newHarness(t testing.TB, upstream fasthttp.RequestHandler, modify func(*Config)) *harness {
	h := &harness{clock: &fakeClock{}, limiter: &fakeLimiter{}, claimer: newFakeClaimer(), key: keys.Generate()}
	h.clock.setLease(time.Hour)
	h.snapshot.Store(h.configuration(h.key))
	h.upstream = &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		upstream(ctx)
		ctx.Response.Header.SetBytesV(dispatch.HeaderRequestID, ctx.Request.Header.Peek(dispatch.HeaderRequestID))
	}, MaxRequestBodySize: 16 << 20}
	upstreamListener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = h.upstream.Serve(upstreamListener) }()

	h.upstreamAddress = upstreamListener.Addr().(*net.TCPAddr).AddrPort()

	config := Config{
		Snapshot: h.snapshot.Load, View: h.view.Load, LookupBuilder: lookup.NewBuilder(nil, 5*time.Second),
		Lease: h.clock, Clock: h.clock, Limiter: h.limiter, Claimer: h.claimer,
		Dispatcher: dispatch.New(dispatch.Config{
			Placer: fixedPlacer{h.upstreamAddress}, Clock: h.clock, Registry: metrics.NewRegistry(),
		}),
		Quarantined:  func(uint64) bool { return h.quarantined.Load() },
		KeySuspended: func(string) bool { return h.suspended.Load() },
		Draining:     h.draining.Load,
		Registry:     metrics.NewRegistry(),
		Logger:       zerolog.Nop(),
	}
	if modify != nil {
		modify(&config)
	}
	h.Gateway = New(config)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = h.Serve(listener) }()
	h.address = listener.Addr().String()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = h.Shutdown(ctx)
		_ = h.upstream.ShutdownWithContext(ctx)
	})
	return h
}

func (h *harness) configuration(key keys.Key) *configuration.Snapshot {
	const timeoutMillis = 5000
	route := func(name fleet.Route, access configuration.Access, semantics configuration.Semantics) configuration.Route {
		return configuration.Route{
			Name: name, PathPrefix: "/" + string(name), Pool: "p", Access: access, Semantics: semantics,
			MaxBodyBytes: 1000, TimeoutMillis: timeoutMillis,
		}
	}
	s := &configuration.Snapshot{
		Revision: 1,
		Routes: []configuration.Route{
			route("open", configuration.AccessOpen, configuration.SemanticsIdempotent),
			route("reads", configuration.AccessKeyed, configuration.SemanticsIdempotent),
			route("orders", configuration.AccessKeyed, configuration.SemanticsAtMostOnce),
			route("others", configuration.AccessKeyed, configuration.SemanticsIdempotent),
		},
		Customers: []configuration.Customer{
			{ID: "c1", Keys: []configuration.Key{{ID: key.ID(), Digest: key.Digest().Hex()}}, Rate: 1, Burst: 1, Weight: 1},
		},
	}
	s.Routes[3].Customers = []fleet.Customer{"c2"}
	s.Index()
	return s
}

// withdrawKey publishes a configuration with another key in place of the harness's.
func (h *harness) withdrawKey() { h.snapshot.Store(h.configuration(keys.Generate())) }

// sendRaw writes the request to a new connection and returns the first response.
func (h *harness) sendRaw(t testing.TB, request string) *fasthttp.Response {
	c, err := net.Dial("tcp", h.address)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetDeadline(time.Now().Add(15*time.Second)))
	_, err = c.Write([]byte(request))
	require.NoError(t, err)
	response := &fasthttp.Response{}
	require.NoError(t, response.Read(bufio.NewReader(c)))
	return response
}

// send sends a request with the harness's key and additional header lines.
func (h *harness) send(t testing.TB, method, target, headers, body string) *fasthttp.Response {
	return h.sendRaw(t, method+" "+target+" HTTP/1.1\r\nHost: gateway\r\nAuthorization: Bearer "+h.key.Reveal()+
		"\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n"+headers+"\r\n"+body)
}

func echo(ctx *fasthttp.RequestCtx) {
	ctx.SetStatusCode(fasthttp.StatusCreated)
	ctx.SetBody(append([]byte("echo "), ctx.Request.Body()...))
}

// requireProblem checks that a response is a complete problem document with the
// given kind and outcome.
func requireProblem(t *testing.T, r *fasthttp.Response, kind problem.Kind, outcome problem.Outcome) {
	t.Helper()
	var d problemDocument
	require.NoError(t, json.Unmarshal(r.Body(), &d), "%s", r)
	require.Equal(t, problemTypePrefix+string(kind), d.Type, "%s", d.Detail)
	require.Equal(t, outcome, d.Outcome)
	require.Equal(t, r.StatusCode(), d.Status)
	require.Equal(t, problem.New(kind, outcome, "").Status(), d.Status)
	require.NotEmpty(t, d.Title)
	require.NotEmpty(t, d.Detail)
	require.Equal(t, contentTypeProblem, string(r.Header.ContentType()))
	require.Equal(t, string(outcome), string(r.Header.Peek(headerOutcome)))
	require.Equal(t, d.RequestID, string(r.Header.Peek("X-Request-Id")))
	if d.Status == 429 || d.Status == 503 {
		require.NotEmpty(t, r.Header.Peek("Retry-After"))
	}
}
