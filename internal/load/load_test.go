package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/internal/standin/upstream"
	"github.com/catkinspring/catkinspring/keys"
	"github.com/catkinspring/catkinspring/lookup"
)

// fakeEntryHost is a fake entry host. It answers lookups with lookupHosts and all
// other requests with answer.
type fakeEntryHost struct {
	mu          sync.Mutex
	requests    []*http.Request
	lookupHosts []netip.AddrPort
	answer      func(w http.ResponseWriter, r *http.Request)
}

func (h *fakeEntryHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == entryHostsPath {
		answer := lookup.Answer{MaxAgeSeconds: 5}
		for _, host := range h.lookupHosts {
			answer.EntryHosts = append(answer.EntryHosts, lookup.EntryHost{Address: host})
		}
		_ = json.NewEncoder(w).Encode(answer)
		return
	}
	h.mu.Lock()
	h.requests = append(h.requests, r)
	h.mu.Unlock()
	h.answer(w, r)
}

func (h *fakeEntryHost) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.requests)
}

func serve(t *testing.T, h *fakeEntryHost) netip.AddrPort {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

func refuse(status int, outcome string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Request-Outcome", outcome)
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(status)
	}
}

// answerLikeUpstream answers like the upstream stand-in, after change has modified the
// answer.
func answerLikeUpstream(change func(*upstream.Answer)) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		answer := upstream.Answer{
			RequestID: "r1.1", IdempotencyKey: r.Header.Get("Idempotency-Key"), Target: r.URL.RequestURI(),
			BodyHash: bodyHash(nil), Payload: upstream.Payload(r.URL.RequestURI(), defaultResponseBytes),
		}
		if change != nil {
			change(&answer)
		}
		w.Header().Set(upstream.RequestIDHeader, "r1")
		w.Header().Set("Request-Outcome", "run")
		_ = json.NewEncoder(w).Encode(answer)
	}
}

const scenarioText = `{
	"name": "test", "seed": 1, "entryHosts": ["%s"], "maxRetryAfter": "10ms", "attemptTimeout": "2s",
	"customers": [{"id": "c", "key": {"environment": "LOAD_TEST_KEY"}, "clients": ["192.0.2.1"],
		"streams": [{"name": "s", "route": "r", "path": "/r", "access": "keyed", "semantics": "%s",
			"rates": [{"for": "100ms", "perSecond": 20}]}]}]
}`

func runAgainst(t *testing.T, host netip.AddrPort, semantics string) *Result {
	t.Setenv("LOAD_TEST_KEY", keys.Generate().Reveal())
	s, problems := ParseScenario(fmt.Appendf(nil, scenarioText, host, semantics))
	require.Empty(t, problems)
	result, err := Run(context.Background(), s)
	require.NoError(t, err)
	require.NotEmpty(t, result.Records)
	return result
}

// Guards against a caller that retries an order under another idempotency key,
// retries it at the host that refused, or gives up after a closed port or an unknown
// outcome.
func TestOrderIsRetriedAtOtherHosts(t *testing.T) {
	first, second := &fakeEntryHost{answer: refuse(503, "not-run")}, &fakeEntryHost{answer: refuse(409, "unknown")}
	third := &fakeEntryHost{answer: answerLikeUpstream(nil)}
	closed := httptest.NewServer(http.NotFoundHandler())
	closedPort := netip.MustParseAddrPort(closed.Listener.Addr().String())
	closed.Close()
	first.lookupHosts = []netip.AddrPort{serve(t, first), closedPort, serve(t, second), serve(t, third)}
	result := runAgainst(t, first.lookupHosts[0], "at-most-once")
	for _, r := range result.Records {
		assert.Equal(t, Answered, r.Verdict, "%+v", r)
		assert.True(t, strings.HasPrefix(r.Target, "/r/"))
	}
	record := result.Records[0]
	require.Len(t, record.Attempts, 4)
	assert.Equal(t, FailureConnect, record.Attempts[1].Failure)
	assert.Equal(t, 3*len(result.Records), first.count()+second.count()+third.count())
	assert.Equal(t, record.OperationKey, first.requests[0].Header.Get("Idempotency-Key"))
	assert.Equal(t, record.OperationKey, third.requests[0].Header.Get("Idempotency-Key"))
}

// Guards against counting a request as answered when the response is truncated or
// belongs to another request.
func TestMismatchedAnswersAreWrong(t *testing.T) {
	changes := map[string]func(*upstream.Answer){
		"request id other.1": func(a *upstream.Answer) { a.RequestID = "other.1" },
		"target":             func(a *upstream.Answer) { a.Target = "/r/other" },
		"payload":            func(a *upstream.Answer) { a.Payload = a.Payload[1:] },
		"body hash":          func(a *upstream.Answer) { a.BodyHash = "0" },
		"idempotency key":    func(a *upstream.Answer) { a.IdempotencyKey = "other" },
	}
	for mismatch, change := range changes {
		h := &fakeEntryHost{answer: answerLikeUpstream(change)}
		h.lookupHosts = []netip.AddrPort{serve(t, h)}
		record := runAgainst(t, h.lookupHosts[0], "idempotent").Records[0]
		assert.Equal(t, Wrong, record.Verdict)
		assert.Equal(t, mismatch, record.Last().Mismatch)
	}
	h := &fakeEntryHost{answer: func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("short"))
	}}
	h.lookupHosts = []netip.AddrPort{serve(t, h)}
	record := runAgainst(t, h.lookupHosts[0], "idempotent").Records[0]
	assert.Equal(t, Unknown, record.Verdict)
	assert.Equal(t, FailureTruncated, record.Attempts[0].Failure)
}

// Guards against measuring latency from the time of sending instead of the intended
// start, which hides the delays of a slow system.
func TestLatencyCountsFromIntendedStart(t *testing.T) {
	r := Record{Intended: time.Unix(100, 0), End: time.Unix(103, 0), Verdict: Answered}
	r.Attempts = []Attempt{{Start: time.Unix(102, 0), Status: 200}}
	result := Result{Records: []Record{r}}
	assert.InDelta(t, 3*time.Second, result.Summaries()[0].Quantile(50), float64(10*time.Millisecond))
}

// Guards against arrival times that differ between runs with the same seed or do not
// depend on the seed, and against wrong rates.
func TestScheduleFollowsSeed(t *testing.T) {
	stream := Stream{Name: "a", Rates: []Rate{{For: 10 * time.Second, PerSecond: 50}, {For: 10 * time.Second, PerSecond: 5}}}
	first := arrivals(1, &stream)
	assert.Equal(t, first, arrivals(1, &stream))
	assert.NotEqual(t, first, arrivals(2, &stream))
	early := 0
	for _, a := range first {
		if a.at < 10*time.Second {
			early++
		}
	}
	assert.InDelta(t, 500, early, 100)
	assert.InDelta(t, 50, len(first)-early, 30)
}

// Guards against reporting only the first error of a scenario.
func TestScenarioErrors(t *testing.T) {
	_, problems := ParseScenario([]byte(`{
		"entryHosts": [], "attempts": 0, "unknown": 1,
		"customers": [{"id": "c", "clients": ["192.0.2.1"], "streams": [
			{"name": "s", "route": "r", "path": "r", "access": "keyed", "semantics": "sometimes"}]}]}`))
	var paths []string
	for _, p := range problems {
		paths = append(paths, p.Path)
	}
	assert.ElementsMatch(t, []string{
		"entryHosts", "attempts", "unknown", "customers[0].streams[0].path",
		"customers[0].streams[0].semantics", "customers[0].streams[0].key",
	}, paths)
}

// Guards against an attempt too close to the request's deadline: it would be recorded
// as a timeout, and the request as unknown although every attempt was refused as not
// run.
func TestNoAttemptAfterDeadline(t *testing.T) {
	s := &sender{arrival: &arrival{customer: &Customer{ClientDelay: 8 * time.Millisecond}}, run: &run{scenario: &Scenario{AttemptTimeout: 2 * time.Second}}}
	short, cancel := context.WithTimeout(context.Background(), answerMargin)
	defer cancel()
	assert.False(t, s.hasTime(short))
	assert.True(t, s.hasTime(context.Background()))
	assert.LessOrEqual(t, s.entryHostTimeout(short), answerMargin, "the timeout sent to an entry host exceeds the caller's")
	assert.Greater(t, s.entryHostTimeout(context.Background()), time.Second)
}
