package requestlog

import (
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/keys"
	"github.com/catkinspring/catkinspring/problem"
	"github.com/catkinspring/catkinspring/timeline"
	"github.com/catkinspring/catkinspring/traffic"
)

func newLog(size int) (*Log, *timeline.Ring) {
	ring := timeline.NewRing("h1", &timeline.Clock{}, size, keys.Redact)
	return NewLog(ring, "ostland", metrics.NewRegistry()), ring
}

func target(region fleet.Region) traffic.Target {
	return traffic.Target{Name: "u1", Location: fleet.Location{Region: region, FailureDomain: "d"}}
}

var answered = End{Status: 200, Outcome: problem.OutcomeRun, Elapsed: time.Millisecond}

// Guards against events that do not tell an operator what happened to a request.
func TestEventSentences(t *testing.T) {
	l, ring := newLog(64)
	trace := &Trace{ID: "r1", Started: time.Now(), Customer: "c1", Route: "ordre"}
	trace.Admitted(120 * time.Millisecond)
	trace.Claimed(2 * time.Millisecond)
	trace.Attempted(target("ostland"), traffic.ResultConnectFailed, false, time.Millisecond)
	trace.Attempted(target("vestland"), traffic.ResultFailed, true, 30*time.Millisecond)
	trace.ResponseBroken("field")
	trace.NotRetried("it may have run, and the route is at-most-once")
	l.Finish(trace, End{Status: 502, Outcome: problem.OutcomeUnknown, Kind: problem.KindUpstreamFailed, Detail: "the exchange with the upstream failed", Elapsed: 155 * time.Millisecond})
	var lines []string
	events := ring.Select(timeline.Filter{Request: "r1"}, 64)
	for _, e := range events {
		lines = append(lines, e.Text)
	}
	require.Equal(t, []string{
		"It waited 120.0 ms for a token of the customer's rate from another host and got one.",
		"The owner of the operation's id granted the claim after 2.0 ms, so this host alone may run the operation.",
		"Attempt 1 went to upstream u1 in ostland/d: no connection could be opened after 1.0 ms. Nothing of the request was written.",
		"Attempt 2 went to upstream u1 in vestland/d, shifted there because no upstream of region ostland had room: the exchange broke off or the response was not complete after 30.0 ms. The response was broken: field.",
		"No further attempt was made: it may have run, and the route is at-most-once.",
		"The request of customer c1 on route ordre was refused with status 502 (upstream-failed) after 155.0 ms: the exchange with the upstream failed. It is unknown whether it ran.",
	}, lines)
	require.Equal(t, KindUnknown, events[5].Kind)
	require.NotEmpty(t, Reason(problem.Kind(events[5].Subject)))
}

// Guards against ordinary requests that fill the log, and against shifted or
// retried requests that are not kept.
func TestSampling(t *testing.T) {
	l, _ := newLog(64)
	for range 2 * SampleInterval {
		l.Finish(&Trace{ID: "plain", Customer: "c1"}, answered)
	}
	require.Equal(t, int64(2), l.kept.Count())
	shifted := &Trace{ID: "shifted", Customer: "c2"}
	shifted.Attempted(target("vestland"), traffic.ResultAnswered, true, time.Millisecond)
	l.Finish(shifted, answered)
	retried := &Trace{ID: "retried", Customer: "c3"}
	retried.Attempted(target("ostland"), traffic.ResultShed, true, time.Millisecond)
	retried.Attempted(target("ostland"), traffic.ResultAnswered, true, time.Millisecond)
	l.Finish(retried, answered)
	require.Equal(t, int64(4), l.kept.Count())
}

// Guards against a flood from one customer that hides the refusals of another.
func TestKeptRequestsAreBoundedPerCustomer(t *testing.T) {
	l, ring := newLog(8192)
	refused := End{Status: 429, Kind: problem.KindRateExceeded, Outcome: problem.OutcomeNotRun}
	firstSecond := time.Now().Unix()
	for range 5000 {
		l.Finish(&Trace{ID: "flood", Customer: "c1"}, refused)
	}
	l.Finish(&Trace{ID: "other", Customer: "c2"}, refused)
	seconds := time.Now().Unix() - firstSecond + 1
	require.LessOrEqual(t, l.kept.Count(), seconds*maxKeptPerSecond+1)
	require.Equal(t, int64(5001), l.kept.Count()+l.dropped.Count())
	require.Len(t, ring.Select(timeline.Filter{Request: "other"}, 10), 1)
}

// Guards against recording a key in an event.
func TestNoKeyIsKept(t *testing.T) {
	l, ring := newLog(64)
	key := keys.Generate()
	trace := &Trace{ID: "r" + key.Reveal()}
	trace.NotRetried(key.Reveal())
	l.Finish(trace, End{Kind: problem.KindMalformed, Outcome: problem.OutcomeNotRun, Detail: key.Reveal()})
	for _, e := range ring.Select(timeline.Filter{}, 64) {
		require.False(t, strings.Contains(e.Text+e.Request+e.Subject, key.Secret()))
	}
}

// Guards against a panic when a step is added to a nil or a full trace.
func TestTraceBounds(t *testing.T) {
	var nilTrace *Trace
	nilTrace.Admitted(0)
	nilTrace.Attempted(target("r"), traffic.ResultShed, true, 0)
	nilTrace.ResponseBroken("field")
	(&Trace{}).ResponseBroken("field")
	full := &Trace{}
	for range 2 * maxSteps {
		full.Attempted(target("r"), traffic.ResultShed, true, 0)
	}
	require.Equal(t, maxSteps, full.count)
}

// BenchmarkFinish measures the cost of an ordinary request.
func BenchmarkFinish(b *testing.B) {
	l, _ := newLog(8192)
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		trace := &Trace{ID: "plain", Customer: "c1"}
		trace.Attempted(target("ostland"), traffic.ResultAnswered, true, time.Millisecond)
		for p.Next() {
			l.Finish(trace, answered)
		}
	})
}
