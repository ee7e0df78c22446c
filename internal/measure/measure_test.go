package measure

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/internal/demo"
	"github.com/catkinspring/catkinspring/internal/load"
	"github.com/catkinspring/catkinspring/internal/standin/platform"
	"github.com/catkinspring/catkinspring/internal/standin/upstream"
	"github.com/catkinspring/catkinspring/problem"
)

var runStart = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func atMillis(millis int) time.Time { return runStart.Add(time.Duration(millis) * time.Millisecond) }

// newObservation returns an observation of one customer with a rate of 2 and a burst
// of 2, whose requests were due at the given milliseconds and answered by one run each.
func newObservation(millis ...int) *observation {
	o := &observation{
		start: runStart, upstreamRecords: &demo.UpstreamRecords{}, storeCalls: map[platform.Call]int{platform.CallGet: 6, platform.CallCreate: 4},
		bound: map[fleet.Upstream]upstream.BoundUpstream{"u1": {Name: "u1", Region: "ostland", Slots: 2}},
		scenario: &Scenario{
			Deployment: Deployment{Regions: []fleet.Region{"ostland"}, Domains: 1, HostsPerDomain: 1},
			Customers:  []Customer{{ID: "skole", Rate: 2, Burst: 2}},
			Phases:     []Phase{{Name: "warm-up", For: time.Second, Uncounted: true}, {Name: "steady", For: time.Second}},
		},
	}
	for i, ms := range millis {
		id := string(rune('a' + i))
		o.records = append(o.records, load.Record{
			Customer: "skole", Keyed: true, Target: "/ordre/" + id, OperationKey: id, Intended: atMillis(ms), End: atMillis(ms + 100), Verdict: load.Answered,
			Attempts: []load.Attempt{{Start: atMillis(ms), End: atMillis(ms + 100), Status: 200, Outcome: problem.OutcomeRun, RequestID: id}},
		})
		end := atMillis(ms + 90)
		o.upstreamRecords.Runs = append(o.upstreamRecords.Runs, upstream.Run{
			RequestID: id, IdempotencyKey: id, Target: "/ordre/" + id, Upstream: "u1", Start: atMillis(ms + 10), End: &end, State: upstream.RunCompleted,
		})
	}
	return o
}

// refuse changes a request into one that was refused by rate and did not run.
func (o *observation) refuse(i int) {
	r := &o.records[i]
	r.Verdict = load.RefusedNotRun
	r.Attempts[0].Status, r.Attempts[0].Outcome, r.Attempts[0].Problem = 429, problem.OutcomeNotRun, string(problem.KindRateExceeded)
	o.upstreamRecords.Runs = append(o.upstreamRecords.Runs[:i], o.upstreamRecords.Runs[i+1:]...)
}

func firstValue(t *testing.T, o *observation, name string) float64 {
	t.Helper()
	row := o.computeColumn().row(name)
	require.NotNil(t, row, name)
	require.NotEmpty(t, row.Values, name)
	return row.Values[0]
}

const (
	rowDemo    = "wrongful refusals, customers always within their rate, as internal/demo"
	rowCentral = "wrongful refusals, central bucket over first attempts, customers that do not surge"
	rowSpare   = "wrongful refusals, possible besides all that was admitted, of keyed requests"
)

// Guards against faults in the table for a run without violations.
func TestFaultlessRun(t *testing.T) {
	o := newObservation(1000, 1500, 1900)
	for _, name := range []string{"duplicated", "lost", "wrong or truncated", "cut at hosts that nobody killed", rowDemo, rowCentral, rowSpare,
		"over-admission, requests (certain / by run starts)", `"not-run" that ran`} {
		assert.Zero(t, firstValue(t, o, name), name)
	}
	assert.Equal(t, 5.0, firstValue(t, o, "calls to the store a second (all / writes)"))
}

// Guards against checks that overlook a recorded fault.
func TestEachFaultIsCounted(t *testing.T) {
	cases := map[string]func(*observation){
		"duplicated": func(o *observation) {
			duplicate := o.upstreamRecords.Runs[0]
			duplicate.RequestID = "other"
			o.upstreamRecords.Runs = append(o.upstreamRecords.Runs, duplicate)
		},
		"lost":               func(o *observation) { o.upstreamRecords.Runs = o.upstreamRecords.Runs[1:] },
		"wrong or truncated": func(o *observation) { o.records[0].Verdict = load.Wrong },
		"cut at hosts that nobody killed": func(o *observation) {
			o.records[0].Attempts[0].Failure = load.FailureTruncated
		},
		`"not-run" that ran`: func(o *observation) { o.records[0].Attempts[0].Outcome = problem.OutcomeNotRun },
		rowDemo:              func(o *observation) { o.refuse(1) },
		rowCentral:           func(o *observation) { o.refuse(1) },
		rowSpare:             func(o *observation) { o.refuse(1) },
		"customers that do not surge: other refusals of first attempts": func(o *observation) {
			o.refuse(1)
			o.records[1].Attempts[0].Status, o.records[1].Attempts[0].Problem = 503, string(problem.KindNoCapacity)
		},
	}
	for name, injectFault := range cases {
		t.Run(name, func(t *testing.T) {
			o := newObservation(1000, 1500, 1900)
			injectFault(o)
			assert.Equal(t, 1.0, firstValue(t, o, name))
		})
	}
}

// Guards against admissions above rate and burst that no row shows.
func TestOverAdmissionIsCounted(t *testing.T) {
	o := newObservation(1000, 1000, 1000, 1000)
	assert.Greater(t, firstValue(t, o, "over-admission, requests (certain / by run starts)"), 1.0)
}

// Guards against refusals that count as wrongful although other requests of the
// customer, before or after them, used the tokens.
func TestRefusalWithoutSpareTokens(t *testing.T) {
	o := newObservation(1000, 1010, 1020)
	o.refuse(2)
	assert.Zero(t, firstValue(t, o, rowSpare), "both tokens were used before it")
	o = newObservation(1000, 1010, 1020)
	o.refuse(0)
	assert.Zero(t, firstValue(t, o, rowSpare), "both tokens were used right after it")
	assert.Equal(t, 1.0, firstValue(t, o, rowCentral), "a central bucket would have admitted the first request")
}

// Guards against latencies and refusals that include requests of the warm-up, and
// against losses during the warm-up that are not counted.
func TestUncountedPhase(t *testing.T) {
	o := newObservation(100, 1500)
	o.refuse(0)
	assert.Zero(t, firstValue(t, o, rowCentral))
	assert.Zero(t, firstValue(t, o, rowSpare))
	assert.Equal(t, 1.0, firstValue(t, o, "requests / answered"))
	o = newObservation(100, 1500)
	o.upstreamRecords.Runs = o.upstreamRecords.Runs[1:]
	assert.Equal(t, 1.0, firstValue(t, o, "lost"))
}

// Guards against a headroom that ignores the busiest second.
func TestHeadroom(t *testing.T) {
	o := newObservation(1000)
	end := atMillis(2000)
	o.upstreamRecords.Runs[0].Start, o.upstreamRecords.Runs[0].End = atMillis(1000), &end
	free, region := o.headroom()
	assert.InDelta(t, 0.5, free, 1e-9)
	assert.Equal(t, fleet.Region("ostland"), region)
}

// Guards against a ratio that the surging customer or an even number of customers
// distorts.
func TestWorstServed(t *testing.T) {
	o := newObservation(1000, 1000, 1000)
	for i, id := range []fleet.Customer{"quick", "usual", "slow"} {
		o.records[i].Customer = id
		o.records[i].End = atMillis(1000 + 100*(i+1))
	}
	o.scenario.Customers = []Customer{{ID: "quick", Rate: 1, Burst: 1}, {ID: "usual", Rate: 1, Burst: 1}, {ID: "slow", Rate: 1, Burst: 1}}
	name := "worst-served customer, whole run: p99 / median customer's p99"
	assert.InDelta(t, 1.5, firstValue(t, o, name), 0.01)
	o.scenario.Phases[1].Load = map[fleet.Customer]float64{"slow": 5}
	assert.InDelta(t, 2, firstValue(t, o, name), 0.01, "ratio of usual to quick")
	assert.Equal(t, "usual", o.computeColumn().row(name).Note)
}

// Guards against scenario files that do not parse, and against mistakes in them
// that would go unnoticed and measure something else.
func TestScenarioFiles(t *testing.T) {
	files, err := filepath.Glob("../../examples/scenarios/*.jsonc")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		s, err := ReadScenario(file, 2)
		require.NoError(t, err)
		shares := 0.0
		for _, stream := range s.Streams {
			shares += stream.Share
		}
		assert.InDelta(t, 1, shares, 1e-9, file)
	}
	text, err := os.ReadFile(files[0])
	require.NoError(t, err)
	bad := filepath.Join(t.TempDir(), "bad.jsonc")
	require.NoError(t, os.WriteFile(bad, bytes.Replace(text, []byte(`"kill-host"`), []byte(`"kil-host"`), 1), 0o600))
	_, err = ReadScenario(bad, 1)
	var scenarioErr *load.ScenarioError
	require.ErrorAs(t, err, &scenarioErr)
	assert.Contains(t, scenarioErr.Error(), "kill-host")
}

// Guards against a last recorded column that is lost or not matched by name, and
// against plots that fail for a column without values.
func TestResultsAreReadBack(t *testing.T) {
	o := newObservation(1000, 1500)
	own := o.computeColumn()
	results := &Results{Scenarios: map[string]ScenarioResults{"x": {Own: own}}}
	file := filepath.Join(t.TempDir(), "last.json")
	require.NoError(t, writeResults(file, results))
	last, err := readLastResults(file)
	require.NoError(t, err)
	var table bytes.Buffer
	require.NoError(t, writeTable(&table, o.scenario, own, nil, last.Scenarios["x"].Own))
	assert.Regexp(t, `duplicated +0 +- +0`, table.String())
	o.scenario.Name = "x"
	require.NoError(t, writePlots(t.TempDir(), []*Scenario{o.scenario}, results))
}
