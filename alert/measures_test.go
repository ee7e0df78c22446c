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

// Guards against a rule that is accepted although its measure does not exist.
func TestEveryAcceptedMeasureExists(t *testing.T) {
	for _, name := range configuration.AlertMetrics {
		require.NotNil(t, find(name), name)
	}
}

// Guards against a page that describes other measures than there are.
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

// report gathers what a host with the given requests reports.
func report(record func(c *measure.Collector)) *measure.Report {
	now := time.Unix(1000, 0)
	c := measure.NewCollector("ostland", func() time.Time { return now })
	record(c)
	now = now.Add(2 * time.Second)
	return &measure.Report{Traffic: c.Traffic()}
}

func answer(c *measure.Collector, customer fleet.Customer, count int, took time.Duration) {
	for range count {
		c.Finish(&requestlog.Trace{Customer: customer, Route: "ordre"}, requestlog.End{Status: 200, Outcome: problem.OutcomeRun, Elapsed: took})
	}
}

func refuse(c *measure.Collector, customer fleet.Customer, count int, kind problem.Kind) {
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

// Guards against quantiles that are averaged, rates that are not summed, and
// labels that are ignored.
func TestMeasuresAreMerged(t *testing.T) {
	c := &CellSnapshot{
		Rates: map[fleet.Customer]float64{"c1": 200, "c2": 1},
		Reports: map[fleet.HostID]*measure.Report{
			"a": report(func(m *measure.Collector) { answer(m, "c1", 990, 10*time.Millisecond) }),
			"b": report(func(m *measure.Collector) {
				answer(m, "c1", 10, time.Second)
				refuse(m, "c1", 100, problem.KindRateExceeded)
				refuse(m, "c2", 100, problem.KindRateExceeded)
				refuse(m, "c1", 30, problem.KindKeyInvalid)
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
	require.False(t, known, "no request, no latency")
	require.Equal(t, 1.0, c.withoutLease(), "the host that does not report")
	outage, known := find("store-outage-seconds").value(c, filter{})
	require.True(t, known)
	require.Equal(t, 4.0, outage)
}

// Guards against a threshold that is compared in another unit, and a label that
// matches nothing without being told.
func TestRulesThatDoNotFitAreRefused(t *testing.T) {
	for _, expression := range []string{
		`latency-p99 > 900`, `latency-p99 > 9%`, `requests > 9ms`, `headroom < 9s`, `shifted > 9Mbit`, `requests{region="r"} > 9`,
	} {
		_, err := newRule("alert a if " + expression + " for 0s")
		var wrong *RuleError
		require.ErrorAs(t, err, &wrong, expression)
	}
	r, err := newRule(`alert a if latency-p99 > 900ms for 0s`)
	require.NoError(t, err)
	require.Equal(t, 0.9, r.threshold)
}

// one is an evaluator that is alone in its cell.
type one struct {
	*Machine
	now machine.Now
}

func newOne(line string) *one {
	o := &one{Machine: New(fleet.Member{Host: "h"}), now: machine.Now{Instant: machine.Instant(time.Hour), WallMillis: 1_800_000_000_000}}
	o.Step(o.now, machine.ViewChanged{View: &fleet.View{Members: []fleet.ViewMember{{Member: o.self, State: fleet.StateActive}}}})
	o.Step(o.now, machine.LeaseChanged{ValidUntil: o.now.Instant.Add(time.Hour)})
	o.Step(o.now, SetRules{Revision: 1, Lines: []string{line}})
	return o
}

// run lets time pass with a number of answered requests a second; a negative one
// is a measure that is missing. It returns the events.
func (o *one) run(d time.Duration, figure float64) string {
	var kinds []string
	for range int(d / (50 * time.Millisecond)) {
		o.now.Instant = o.now.Instant.Add(50 * time.Millisecond)
		o.now.WallMillis += 50
		o.rules[0].measure = &Measure{value: func(*CellSnapshot, filter) (float64, bool) { return figure, figure >= 0 || math.IsNaN(figure) }}
		for _, out := range o.Step(o.now, machine.Tick{}) {
			switch out := out.(type) {
			case CollectReport:
				o.Step(o.now, ReportCollected{})
			case machine.Event:
				if out.Kind != EventEvaluator {
					kinds = append(kinds, out.Kind)
				}
			}
		}
	}
	return strings.Join(kinds, " ")
}

// Guards against values that are missing, not a number or exactly on the
// threshold being taken for something else than the page says.
func TestStatedBehaviourOfValues(t *testing.T) {
	const missing = -1
	o := newOne("alert a if requests > 5 for 4s")
	require.Empty(t, o.run(10*time.Second, 5), "exactly on the threshold does not hold for >")
	require.Empty(t, o.run(3*time.Second, 6))
	require.Empty(t, o.run(20*time.Second, missing), "the time of a missing value does not count")
	require.Empty(t, o.run(20*time.Second, math.NaN()), "not a number is missing")
	require.Equal(t, EventFired, o.run(3*time.Second, 6), "the time before it does")
	require.Empty(t, o.run(20*time.Second, missing), "a firing rule goes on to fire")
	require.Equal(t, EventCleared, o.run(2*time.Second, 5))
	require.Empty(t, o.run(3*time.Second, 6))
	require.Empty(t, o.run(2*time.Second, 5), "a gap starts the time again")
	require.Empty(t, o.run(3*time.Second, 6))

	exact := newOne("alert a if requests >= 5 for 0s")
	require.Equal(t, EventFired, exact.run(10*time.Second, 5))
	exact.Step(exact.now, SetRules{Revision: 2, Lines: []string{"alert c if requests > 5 for 0s"}})
	require.Equal(t, EventCleared, exact.run(2*time.Second, 5), "a rule that is withdrawn clears")
}
