package naive

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/valyala/fasthttp"

	"github.com/catkinspring/catkinspring/configuration"
	"github.com/catkinspring/catkinspring/fleet"
)

// Guards against a host that admits more or less than an even share of a
// customer's rate and burst.
func TestEvenSplit(t *testing.T) {
	h := &Host{buckets: map[fleet.Customer]*tokenBucket{}}
	c := &configuration.Customer{ID: "skole", Rate: 12, Burst: 24}
	now := time.Unix(0, 0)
	count := func(n int) (admitted int) {
		for range n {
			if h.admit(c, 12, now) {
				admitted++
			}
		}
		return admitted
	}
	assert.Equal(t, 2, count(5), "a twelfth of the burst")
	now = now.Add(time.Second)
	assert.Equal(t, 1, count(5), "a twelfth of the rate")
}

// Guards against a naive host that does not retry a failed at-most-once request.
// Such retries are the fault that claims prevent, so the comparison needs them.
func TestRetryWhateverTheSemantics(t *testing.T) {
	var runs atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		assert.Empty(t, r.Header.Get("Authorization"), "the key must not reach an upstream")
		w.WriteHeader(http.StatusInternalServerError)
	}))
	defer server.Close()
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	h := &Host{client: fasthttp.Client{MaxIdemponentCallAttempts: 1}}
	route := &configuration.Route{Pool: "p", Semantics: configuration.SemanticsAtMostOnce, TimeoutMillis: 10_000}
	s := &state{upstreams: map[fleet.Pool][]netip.AddrPort{"p": {address}}}
	var ctx fasthttp.RequestCtx
	ctx.Request.SetRequestURI("http://entry.example/ordre/1")
	ctx.Request.Header.SetMethod(http.MethodPost)
	ctx.Request.Header.Set("Authorization", "Bearer x")
	h.forward(&ctx, s, route, "id")
	assert.EqualValues(t, maxAttempts, runs.Load())
	assert.Equal(t, http.StatusBadGateway, ctx.Response.StatusCode())
	assert.Equal(t, "unknown", string(ctx.Response.Header.Peek("Request-Outcome")))
}
