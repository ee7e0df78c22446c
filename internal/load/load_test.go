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

// entryHost is an entry host that answers as its function says.
type entryHost struct {
	mu     sync.Mutex
	seen   []*http.Request
	hosts  []netip.AddrPort
	answer func(w http.ResponseWriter, r *http.Request)
}

func (h *entryHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == entryHostsPath {
		answer := lookup.Answer{MaxAgeSeconds: 5}
		for _, host := range h.hosts {
			answer.EntryHosts = append(answer.EntryHosts, lookup.EntryHost{Address: host})
		}
		_ = json.NewEncoder(w).Encode(answer)
		return
	}
	h.mu.Lock()
	h.seen = append(h.seen, r)
	h.mu.Unlock()
	h.answer(w, r)
}

func (h *entryHost) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.seen)
}

func serve(t *testing.T, h *entryHost) netip.AddrPort {
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

// answerOwn answers as the upstream stand-in does, with one field replaced.
func answerOwn(change func(*upstream.Answer)) func(http.ResponseWriter, *http.Request) {
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

// Guards against a caller that repeats an order under another key, stays with a
// host that refused, or gives up after a closed port or an unknown outcome.
func TestOrderIsRepeatedElsewhere(t *testing.T) {
	first, second := &entryHost{answer: refuse(503, "not-run")}, &entryHost{answer: refuse(409, "unknown")}
	third := &entryHost{answer: answerOwn(nil)}
	closed := httptest.NewServer(http.NotFoundHandler())
	gone := netip.MustParseAddrPort(closed.Listener.Addr().String())
	closed.Close()
	first.hosts = []netip.AddrPort{serve(t, first), gone, serve(t, second), serve(t, third)}
	result := runAgainst(t, first.hosts[0], "at-most-once")
	for _, r := range result.Records {
		assert.Equal(t, Answered, r.Verdict, "%+v", r)
		assert.True(t, strings.HasPrefix(r.Target, "/r/"))
	}
	record := result.Records[0]
	require.Len(t, record.Attempts, 4)
	assert.Equal(t, FailureConnect, record.Attempts[1].Failure)
	assert.Equal(t, 3*len(result.Records), first.count()+second.count()+third.count())
	assert.Equal(t, record.OperationKey, first.seen[0].Header.Get("Idempotency-Key"))
	assert.Equal(t, record.OperationKey, third.seen[0].Header.Get("Idempotency-Key"))
}

// Guards against answers of other requests, and cut ones, that count as answered.
func TestForeignAnswersAreWrong(t *testing.T) {
	changes := map[string]func(*upstream.Answer){
		"request id other.1": func(a *upstream.Answer) { a.RequestID = "other.1" },
		"target":             func(a *upstream.Answer) { a.Target = "/r/other" },
		"payload":            func(a *upstream.Answer) { a.Payload = a.Payload[1:] },
		"body hash":          func(a *upstream.Answer) { a.BodyHash = "0" },
		"idempotency key":    func(a *upstream.Answer) { a.IdempotencyKey = "other" },
	}
	for mismatch, change := range changes {
		h := &entryHost{answer: answerOwn(change)}
		h.hosts = []netip.AddrPort{serve(t, h)}
		record := runAgainst(t, h.hosts[0], "idempotent").Records[0]
		assert.Equal(t, Wrong, record.Verdict)
		assert.Equal(t, mismatch, record.Last().Mismatch)
	}
	h := &entryHost{answer: func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("short"))
	}}
	h.hosts = []netip.AddrPort{serve(t, h)}
	record := runAgainst(t, h.hosts[0], "idempotent").Records[0]
	assert.Equal(t, Unknown, record.Verdict)
	assert.Equal(t, FailureTruncated, record.Attempts[0].Failure)
}

// Guards against latency that is counted from the sending instead of the
// intended start, which hides the delays of a slow system.
func TestLatencyCountsFromIntendedStart(t *testing.T) {
	r := Record{Intended: time.Unix(100, 0), End: time.Unix(103, 0), Verdict: Answered}
	r.Attempts = []Attempt{{Start: time.Unix(102, 0), Status: 200}}
	result := Result{Records: []Record{r}}
	assert.InDelta(t, 3*time.Second, result.Summaries()[0].Quantile(50), float64(10*time.Millisecond))
}

// Guards against arrival times that differ between runs with the same seed, or
// that change when another stream is added.
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

// Guards against a scenario of which only the first error is told.
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

// Guards against an attempt after the end of a request's time: it would be
// recorded as a timeout, and a request that was refused for certain as unknown.
func TestNoAttemptAfterTheTime(t *testing.T) {
	s := &sender{arrival: &arrival{customer: &Customer{ClientDelay: 8 * time.Millisecond}}, run: &run{scenario: &Scenario{AttemptTimeout: 2 * time.Second}}}
	short, cancel := context.WithTimeout(context.Background(), answerMargin)
	defer cancel()
	assert.False(t, s.hasTime(short))
	assert.True(t, s.hasTime(context.Background()))
	assert.LessOrEqual(t, s.timeout(short), answerMargin, "an entry host must not be given more time than the caller has")
	assert.Greater(t, s.timeout(context.Background()), time.Second)
}
