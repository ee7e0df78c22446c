package alert

import (
	"slices"

	"github.com/catkinspring/catkinspring/configuration"
	"github.com/catkinspring/catkinspring/measure"
	"github.com/catkinspring/catkinspring/problem"
)

// Unit is the unit of a measure.
type Unit string

// The units. A threshold in ms is converted to seconds, one in % to a fraction of 1.
const (
	UnitPerSecond Unit = "requests a second"
	UnitRequests  Unit = "requests"
	UnitHosts     Unit = "hosts"
	UnitSeconds   Unit = "seconds"
	UnitFraction  Unit = "part of 1"
)

// Measure is a metric of the whole cell that a rule compares with a threshold. It
// implements the metric that configuration.AlertRule.Metric names.
type Measure struct {
	Name   string
	Unit   Unit
	Labels []string
	// Description says what is measured and Aggregation how the values of the hosts
	// are combined. A test checks that docs/operators/alerts.md has the same texts.
	Description string
	Aggregation string
	value       func(c *CellSnapshot, f filter) (float64, bool)
}

func alwaysKnown(value float64) (float64, bool) { return value, true }

func quantile(percent float64) func(*CellSnapshot, filter) (float64, bool) {
	return func(c *CellSnapshot, f filter) (float64, bool) { return c.quantile(f, percent) }
}

const (
	aggregationSum       = "sum over the hosts"
	aggregationHistogram = "quantile of the merged histograms of all hosts"
)

// Measures lists all measures, sorted by name.
var Measures = []Measure{
	{"admitted", UnitPerSecond, []string{"route", "customer"}, "requests that were sent to an upstream", aggregationSum,
		func(c *CellSnapshot, f filter) (float64, bool) {
			return alwaysKnown(c.rate(f, func(s *measure.Series) bool { return s.Sent }))
		}},
	{"drain-seconds", UnitSeconds, []string{"host"}, "time since the planned stop of a host began; 0 without one", "largest over the hosts",
		func(c *CellSnapshot, f filter) (float64, bool) {
			return largest(c.hostValues(f, func(r *measure.Report) float64 { return float64(r.DrainMillis) / millisPerSecond }))
		}},
	{"errors", UnitPerSecond, []string{"route", "customer", "kind"}, "requests that ended with an unknown outcome, a failed upstream, or a 5xx response of an upstream", aggregationSum,
		func(c *CellSnapshot, f filter) (float64, bool) { return alwaysKnown(c.rate(f, isError)) }},
	{"headroom", UnitFraction, []string{"region", "pool"}, "free part of the slots of the fullest region that matches", "slots once, work summed over the hosts, then the smallest region",
		func(c *CellSnapshot, f filter) (float64, bool) { return c.headroom(f) }},
	{"hosts-without-lease", UnitHosts, nil, "active members that report no valid lease, or do not report for 6 s", "count over the members",
		func(c *CellSnapshot, _ filter) (float64, bool) { return alwaysKnown(c.hostsWithoutLease()) }},
	{"in-flight", UnitRequests, []string{"region", "pool"}, "requests that upstreams are working on", aggregationSum,
		func(c *CellSnapshot, f filter) (float64, bool) {
			sum := 0
			for _, entry := range c.capacity(f) {
				sum += entry.InFlight
			}
			return alwaysKnown(float64(sum))
		}},
	{"latency-p50", UnitSeconds, []string{"route", "customer"}, "median latency of answered requests; missing without any", aggregationHistogram, quantile(50)},
	{"latency-p99", UnitSeconds, []string{"route", "customer"}, "99th percentile of the latency of answered requests; missing without any", aggregationHistogram, quantile(99)},
	{"latency-p999", UnitSeconds, []string{"route", "customer"}, "99.9th percentile of the latency of answered requests; missing without any", aggregationHistogram, quantile(99.9)},
	{"lease-seconds", UnitSeconds, []string{"host"}, "rest of the host lease", "smallest over the hosts",
		func(c *CellSnapshot, f filter) (float64, bool) {
			return smallest(c.hostValues(f, func(r *measure.Report) float64 { return float64(r.LeaseMillis) / millisPerSecond }))
		}},
	{"quarantined", UnitRequests, nil, "kinds of request that are refused because upstreams crashed under them", "largest over the hosts, which exchange their lists",
		func(c *CellSnapshot, f filter) (float64, bool) {
			return largest(c.hostValues(f, func(r *measure.Report) float64 { return float64(r.Quarantined) }))
		}},
	{"refused", UnitPerSecond, []string{"route", "customer", "kind"}, "requests that were refused and did not run; kind is the last part of the problem type", aggregationSum,
		func(c *CellSnapshot, f filter) (float64, bool) {
			return alwaysKnown(c.rate(f, func(s *measure.Series) bool { return s.Kind != "" && s.Outcome == problem.OutcomeNotRun }))
		}},
	{"requests", UnitPerSecond, []string{"route", "customer"}, "requests that ended, whatever their end", aggregationSum,
		func(c *CellSnapshot, f filter) (float64, bool) {
			return alwaysKnown(c.rate(f, func(*measure.Series) bool { return true }))
		}},
	{"shifted", UnitPerSecond, []string{"route", "from", "to"}, "attempts at upstreams of another region than the entry host's", aggregationSum,
		func(c *CellSnapshot, f filter) (float64, bool) { return alwaysKnown(c.shiftedRate(f)) }},
	{"store-outage-seconds", UnitSeconds, nil, "time since the object store stopped answering; 0 while it answers one host", "smallest over the hosts that called it within the lease duration",
		func(c *CellSnapshot, f filter) (float64, bool) {
			outages := c.hostValues(f, func(r *measure.Report) float64 { return float64(r.StoreOutageMillis) / millisPerSecond })
			return smallest(slices.DeleteFunc(outages, func(v float64) bool { return v < 0 }))
		}},
	{"worst-customer-p99", UnitSeconds, []string{"route"}, "highest 99th percentile of the latency of a customer with at least 20 answered requests in the window; missing without one", aggregationHistogram + ", by customer, then the largest",
		func(c *CellSnapshot, f filter) (float64, bool) { return c.worstCustomerP99(f) }},
	{"wrongful-refusals", UnitFraction, []string{"customer"}, "part of the requests that were refused by the system although their customer sent no more than its rate; missing without requests", "requests summed over the hosts and compared with the customer's rate",
		func(c *CellSnapshot, f filter) (float64, bool) { return c.wrongfulRefusals(f) }},
}

// errorKinds are the refusals that an upstream or the system caused after the request
// was sent.
var errorKinds = map[problem.Kind]bool{
	problem.KindUpstreamFailed: true, problem.KindResponseTruncated: true,
	problem.KindDeadlineExceeded: true, problem.KindInternal: true,
}

func isError(s *measure.Series) bool {
	return s.ServerError || s.Outcome == problem.OutcomeUnknown || errorKinds[s.Kind]
}

func largest(values []float64) (float64, bool) {
	if len(values) == 0 {
		return 0, false
	}
	return slices.Max(values), true
}

func smallest(values []float64) (float64, bool) {
	if len(values) == 0 {
		return 0, false
	}
	return slices.Min(values), true
}

// findMeasure returns a measure by name, or nil.
func findMeasure(name string) *Measure {
	for i := range Measures {
		if Measures[i].Name == name {
			return &Measures[i]
		}
	}
	return nil
}

// RuleError reports a rule that is well formed but can't be evaluated.
type RuleError struct {
	Reason string
}

func (e *RuleError) Error() string { return e.Reason }

// rule is a configured rule, parsed and bound to its measure.
type rule struct {
	line      string
	parsed    configuration.AlertRule
	measure   *Measure
	filter    filter
	threshold float64
}

// newRule parses a rule. It returns *RuleError if the measure does not exist or does
// not support a label or the unit.
func newRule(line string) (*rule, error) {
	parsed, err := configuration.ParseAlertRule(line)
	if err != nil {
		return nil, err
	}
	m := findMeasure(parsed.Metric)
	if m == nil {
		return nil, &RuleError{Reason: "measure " + parsed.Metric + " does not exist"}
	}
	for _, l := range parsed.Labels {
		if !slices.Contains(m.Labels, l.Name) {
			return nil, &RuleError{Reason: "measure " + m.Name + " has no label " + l.Name}
		}
	}
	threshold, ok := convertThreshold(parsed.Threshold, parsed.Unit, m.Unit)
	if !ok {
		return nil, &RuleError{Reason: "unit " + parsed.Unit + " does not fit measure " + m.Name + ", which is in " + string(m.Unit)}
	}
	return &rule{line: line, parsed: parsed, measure: m, filter: newFilter(parsed.Labels), threshold: threshold}, nil
}

// convertThreshold converts a threshold to the unit of a measure. Durations need a
// unit, because 900 may mean seconds or milliseconds.
func convertThreshold(threshold float64, from string, to Unit) (float64, bool) {
	switch {
	case to == UnitSeconds && from == "ms":
		return threshold / millisPerSecond, true
	case to == UnitSeconds && from == "s":
		return threshold, true
	case to == UnitFraction && from == "%":
		return threshold / 100, true
	case to != UnitSeconds && from == "":
		return threshold, true
	}
	return 0, false
}

// holds compares a value with the threshold. A value equal to the threshold satisfies
// only >=, <= and ==.
func (r *rule) holds(value float64) bool {
	switch r.parsed.Operator {
	case "<":
		return value < r.threshold
	case "<=":
		return value <= r.threshold
	case ">":
		return value > r.threshold
	case ">=":
		return value >= r.threshold
	case "==":
		return value == r.threshold
	default:
		return value != r.threshold
	}
}
