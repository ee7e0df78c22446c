package demo

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/internal/load"
	"github.com/catkinspring/catkinspring/internal/standin/upstream"
	"github.com/catkinspring/catkinspring/problem"
)

var epoch = time.Unix(1_800_000_000, 0)

func at(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }

// validEvidence returns evidence of two answered requests that violates no guarantee.
func validEvidence() *evidence {
	attempt := func(id string, seconds float64) []load.Attempt {
		return []load.Attempt{{Start: at(seconds), End: at(seconds + 0.1), Status: 200, Outcome: problem.OutcomeRun, RequestID: id}}
	}
	return &evidence{
		events: events{
			withdrawn: at(0), withdrawnKey: "k2", drained: at(0), refusedInTime: 1,
			stopped: at(0), stoppedAddress: "127.0.0.1:1", killed: at(0), killedAddress: "127.0.0.1:2",
		},
		plan:      plan{drained: "u1"},
		customers: []CustomerSpec{{ID: "c", Rate: 1, Burst: 2}},
		records: []load.Record{
			{Customer: "c", Target: "/read", Keyed: true, KeyID: "k1", Verdict: load.Answered, Attempts: attempt("r1", 1)},
			{Customer: "c", Target: "/order", Keyed: true, KeyID: "k2", OperationKey: "o", Verdict: load.Answered, Attempts: attempt("r2", 2)},
		},
		upstreams: &UpstreamRecords{
			Runs: []upstream.Run{
				{RequestID: "r1", Target: "/read", Upstream: "u1", Start: at(1), State: upstream.RunCompleted},
				{RequestID: "r2", Target: "/order", IdempotencyKey: "o", Upstream: "u2", Start: at(2), State: upstream.RunCompleted},
			},
			Drained: map[string]int{"admin": 1},
		},
		drainedAdmin: "admin",
	}
}

// Guards against checks that never fail: each change violates exactly the guarantee
// that it is listed under.
func TestChecksDetectViolations(t *testing.T) {
	run := func(e *evidence, r upstream.Run) { e.upstreams.Runs = append(e.upstreams.Runs, r) }
	cases := map[string]func(*evidence){
		"duplicated": func(e *evidence) {
			run(e, upstream.Run{RequestID: "r2.1", Target: "/order", IdempotencyKey: "o", Start: at(2)})
		},
		`"not-run" that ran`: func(e *evidence) {
			refused := load.Attempt{Status: 503, Outcome: problem.OutcomeNotRun, RequestID: "r1"}
			e.records[0].Attempts = append([]load.Attempt{refused}, e.records[0].Attempts...)
		},
		"lost (answered, never run)": func(e *evidence) { e.upstreams.Runs[1].State = upstream.RunCancelled },
		"wrong or truncated success": func(e *evidence) { e.records[0].Verdict = load.Wrong },
		"wrong customer":             func(e *evidence) { e.upstreams.Runs[0].Customer = "other" },
		"keys seen by upstreams":     func(e *evidence) { e.upstreams.Sightings = 1 },
		"key worked after withdrawal + 3 s": func(e *evidence) {
			e.records[1].Attempts[0].Start, e.upstreams.Runs[1].Start = at(3.1), at(3.2)
		},
		"work on draining upstream after 3 s": func(e *evidence) { e.upstreams.Drained["admin"] = 2 },
		"cut by the planned stop": func(e *evidence) {
			e.records[0].Attempts = append([]load.Attempt{failedAt("127.0.0.1:1", load.FailureTruncated)}, e.records[0].Attempts...)
		},
		"connection failures at running hosts": func(e *evidence) {
			e.records[0].Attempts = append([]load.Attempt{failedAt("127.0.0.1:3", load.FailureLost)}, e.records[0].Attempts...)
		},
		"revision went down": func(e *evidence) { e.decreases = []string{"host a went from revision 2 to 1"} },
		"over-admission c":   func(e *evidence) { e.customers[0].Burst = 0.5 },
	}
	for guarantee, change := range cases {
		e := validEvidence()
		change(e)
		err := e.writeTable(&bytes.Buffer{}, &load.Result{})
		var broken *ViolationError
		require.ErrorAs(t, err, &broken, guarantee)
		assert.Equal(t, []string{guarantee}, broken.Rows)
	}
	require.NoError(t, validEvidence().writeTable(&bytes.Buffer{}, &load.Result{}))
	e := validEvidence()
	e.records[0].Attempts = append([]load.Attempt{failedAt("127.0.0.1:2", load.FailureConnect)}, e.records[0].Attempts...)
	require.NoError(t, e.writeTable(&bytes.Buffer{}, &load.Result{}), "failures at the killed host are expected")
}

func failedAt(host string, f load.Failure) load.Attempt {
	a := load.Attempt{Start: at(0.5), End: at(0.6), Failure: f}
	a.Host.UnmarshalText([]byte(host))
	return a
}

// Guards against a limit check that misses an excess inside a window, or reports one
// because requests that were admitted at different times start at the same time.
func TestExcess(t *testing.T) {
	point := func(seconds float64) admissionInterval { return admissionInterval{from: at(seconds), to: at(seconds)} }
	assert.Zero(t, excess([]admissionInterval{point(0), point(0), point(1), point(2)}, 1, 2))
	assert.InDelta(t, 1, excess([]admissionInterval{point(9), point(0), point(9), point(9)}, 1, 2), 1e-9)
	wide := []admissionInterval{{at(0), at(9)}, {at(4), at(9)}, {at(8), at(9)}}
	assert.Zero(t, excess(wide, 1, 2))
	assert.InDelta(t, 1, excess(startPoints(wide), 1, 2), 1e-9)
}

// Guards against missing wrongful refusals, and against counting justified ones.
func TestWrongfulRefusals(t *testing.T) {
	e := validEvidence()
	e.customers = []CustomerSpec{{ID: "c", Rate: 1, Burst: 1}}
	e.events.start = at(0)
	first, second := &e.records[0].Attempts[0], &e.records[1].Attempts[0]
	first.Start, second.Start = at(1), at(4.5)
	second.Status, second.Outcome = 429, problem.OutcomeNotRun
	assert.Equal(t, wrongfulRefusals{admitted: 2, refused: 1}, e.wrongful())
	second.Start = at(2.5)
	assert.Equal(t, wrongfulRefusals{admitted: 2, refused: 1, duringStartup: 1}, e.wrongful())
	second.Start = at(1.5)
	assert.Zero(t, e.wrongful(), "the customer exceeds its rate")
	second.Status = 503
	assert.Equal(t, wrongfulRefusals{admitted: 1}, e.wrongful())
}
