package alert

import (
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/configuration"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/measure"
	"github.com/catkinspring/catkinspring/problem"
	"github.com/catkinspring/catkinspring/requestlog"
)

// Guards against accepting a rule whose measure does not exist.
func TestEveryAcceptedMeasureExists(t *testing.T) {
	for _, name := range configuration.AlertMetrics {
		require.NotNil(t, findMeasure(name), name)
	}
}

// Guards against documentation that does not match the implemented measures.
func TestMeasuresAreDocumented(t *testing.T) {
	text, err := os.ReadFile("../docs/operators/alerts.md")
	require.NoError(t, err)
	for _, m := range Measures {
		labels := strings.Join(m.Labels, ", ")
		if labels == "" {
			labels = "none"
		}
		row := "| `" + m.Name + "` | " + string(m.Unit) + " | " + labels + " | " + m.Description + " | " + m.Aggregation + " |"
		require.Contains(t, string(text), row)
	}
	require.Equal(t, len(Measures), strings.Count(string(text), "\n| `"), "rows of the table")
}

// newReport returns the report of a host for the requests that record adds.
func newReport(record func(c *measure.Collector)) *measure.Report {
	now := time.Unix(1000, 0)
	c := measure.NewCollector("ostland", func() time.Time { return now })
	record(c)
	now = now.Add(2 * time.Second)
	return &measure.Report{Traffic: c.Traffic()}
}

func recordAnswers(c *measure.Collector, customer fleet.Customer, count int, took time.Duration) {
	for range count {
		c.Finish(&requestlog.Trace{Customer: customer, Route: "ordre"}, requestlog.End{Status: 200, Outcome: problem.OutcomeRun, Elapsed: took})
	}
}

func recordRefusals(c *measure.Collector, customer fleet.Customer, count int, kind problem.Kind) {
	for range count {
		c.Finish(&requestlog.Trace{Customer: customer, Route: "ordre"}, requestlog.End{Kind: kind, Outcome: problem.OutcomeNotRun})
	}
}

func value(t *testing.T, c *CellSnapshot, expression string) (float64, bool) {
	t.Helper()
	r, err := newRule("alert a if " + expression + " for 0s")
	require.NoError(t, err)
	return r.measure.value(c, r.filter)
}

// Guards against averaging quantiles, not summing rates, and ignoring labels.
func TestMeasuresAreMerged(t *testing.T) {
	c := &CellSnapshot{
		Rates: map[fleet.Customer]float64{"c1": 200, "c2": 1},
		Reports: map[fleet.HostID]*measure.Report{
			"a": newReport(func(m *measure.Collector) { recordAnswers(m, "c1", 990, 10*time.Millisecond) }),
			"b": newReport(func(m *measure.Collector) {
				recordAnswers(m, "c1", 10, time.Second)
				recordRefusals(m, "c1", 100, problem.KindRateExceeded)
				recordRefusals(m, "c2", 100, problem.KindRateExceeded)
				recordRefusals(m, "c1", 30, problem.KindKeyInvalid)
			}),
		},
		Active: []fleet.HostID{"a", "b", "gone"},
	}
	c.Reports["a"].LeaseMillis, c.Reports["a"].StoreOutageMillis = 3000, 4000
	c.Reports["b"].LeaseMillis, c.Reports["b"].StoreOutageMillis = 9000, -1
	c.Reports["a"].Capacity = []measure.Capacity{{Pool: "p", Region: "r", Slots: 10, InFlight: 3}, {Pool: "p", Region: "s", Slots: 10}}
	c.Reports["b"].Capacity = []measure.Capacity{{Pool: "p", Region: "r", Slots: 10, InFlight: 5}, {Pool: "p", Region: "s", Slots: 10}}
	for expression, want := range map[string]float64{
		`requests > 1`:                         123,
		`requests{customer="c2"} > 1`:          10,
		`refused{kind="key-invalid"} > 1`:      3,
		`errors > 1`:                           0,
		`latency-p50 > 1ms`:                    0.010,
		`latency-p99 > 1ms`:                    0.010,
		`latency-p999 > 1ms`:                   1,
		`worst-customer-p99 > 1s`:              0.010,
		`lease-seconds > 1s`:                   3,
		`lease-seconds{host="b"} > 1s`:         9,
		`headroom < 10%`:                       0.2,
		`headroom{region="s"} < 10%`:           1,
		`in-flight > 1`:                        8,
		`wrongful-refusals{customer="c1"} > 1`: 100.0 / 1130,
		`wrongful-refusals{customer="c2"} > 1`: 0,
	} {
		got, known := value(t, c, expression)
		require.True(t, known, expression)
		require.InEpsilon(t, 1+want, 1+got, 0.01, expression)
	}
	_, known := value(t, c, `latency-p99{route="none"} > 1s`)
	require.False(t, known, "latency without requests")
	require.Equal(t, 1.0, c.hostsWithoutLease(), "the host that does not report counts")
	outage, known := findMeasure("store-outage-seconds").value(c, filter{})
	require.True(t, known)
	require.Equal(t, 4.0, outage)
}

// Guards against comparing a threshold in the wrong unit, and against silently
// accepting a label that the measure does not have.
func TestInvalidRulesAreRejected(t *testing.T) {
	for _, expression := range []string{
		`latency-p99 > 900`, `latency-p99 > 9%`, `requests > 9ms`, `headroom < 9s`, `shifted > 9Mbit`, `requests{region="r"} > 9`,
	} {
		_, err := newRule("alert a if " + expression + " for 0s")
		var ruleError *RuleError
		require.ErrorAs(t, err, &ruleError, expression)
	}
	r, err := newRule(`alert a if latency-p99 > 900ms for 0s`)
	require.NoError(t, err)
	require.Equal(t, 0.9, r.threshold)
}

// soloEvaluator is the evaluator of a cell with one member.
type soloEvaluator struct {
	*Machine
	now machine.Now
}

func newSoloEvaluator(line string) *soloEvaluator {
	e := &soloEvaluator{Machine: New(fleet.Member{Host: "h"}), now: machine.Now{Instant: machine.Instant(time.Hour), WallMillis: 1_800_000_000_000}}
	e.Step(e.now, machine.ViewChanged{View: &fleet.View{Members: []fleet.ViewMember{{Member: e.self, State: fleet.StateActive}}}})
	e.Step(e.now, machine.LeaseChanged{ValidUntil: e.now.Instant.Add(time.Hour)})
	e.Step(e.now, SetRules{Revision: 1, Lines: []string{line}})
	return e
}

// run advances the time while the rule measures the given value; a negative
// value means that it is missing. It returns the kinds of the recorded events.
func (e *soloEvaluator) run(d time.Duration, measured float64) string {
	var kinds []string
	for range int(d / (50 * time.Millisecond)) {
		e.now.Instant = e.now.Instant.Add(50 * time.Millisecond)
		e.now.WallMillis += 50
		e.rules[0].measure = &Measure{value: func(*CellSnapshot, filter) (float64, bool) { return measured, measured >= 0 || math.IsNaN(measured) }}
		for _, out := range e.Step(e.now, machine.Tick{}) {
			switch out := out.(type) {
			case CollectReport:
				e.Step(e.now, ReportCollected{})
			case machine.Event:
				if out.Kind != EventEvaluator {
					kinds = append(kinds, out.Kind)
				}
			}
		}
	}
	return strings.Join(kinds, " ")
}

// Guards against treating values that are missing, NaN or equal to the threshold
// differently from the documentation.
func TestMissingAndThresholdValues(t *testing.T) {
	const missing = -1
	e := newSoloEvaluator("alert a if requests > 5 for 4s")
	require.Empty(t, e.run(10*time.Second, 5), "a value equal to the threshold does not satisfy >")
	require.Empty(t, e.run(3*time.Second, 6))
	require.Empty(t, e.run(20*time.Second, missing), "time with a missing value does not count")
	require.Empty(t, e.run(20*time.Second, math.NaN()), "NaN counts as missing")
	require.Equal(t, EventFired, e.run(3*time.Second, 6), "time before the missing values counts")
	require.Empty(t, e.run(20*time.Second, missing), "a firing rule keeps firing without a value")
	require.Equal(t, EventCleared, e.run(2*time.Second, 5))
	require.Empty(t, e.run(3*time.Second, 6))
	require.Empty(t, e.run(2*time.Second, 5), "a value below the threshold restarts the time")
	require.Empty(t, e.run(3*time.Second, 6))

	equal := newSoloEvaluator("alert a if requests >= 5 for 0s")
	require.Equal(t, EventFired, equal.run(10*time.Second, 5))
	equal.Step(equal.now, SetRules{Revision: 2, Lines: []string{"alert c if requests > 5 for 0s"}})
	require.Equal(t, EventCleared, equal.run(2*time.Second, 5), "a removed rule clears")
}
