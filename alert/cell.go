package alert

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/catkinspring/catkinspring/configuration"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/measure"
	"github.com/catkinspring/catkinspring/problem"
)

// CellSnapshot is the evaluator's snapshot of the metrics of all hosts.
type CellSnapshot struct {
	// Reports holds the recent reports by host.
	Reports map[fleet.HostID]*measure.Report
	// Active lists the members that are expected to report.
	Active []fleet.HostID
	// Rates holds the configured rates of the customers in requests per second.
	Rates map[fleet.Customer]float64
}

// filter selects series by the labels of a rule. A label that the rule does not
// set matches every value.
type filter map[string]string

func newFilter(labels []configuration.Label) filter {
	f := filter{}
	for _, l := range labels {
		f[l.Name] = l.Value
	}
	return f
}

func (f filter) matches(name, value string) bool {
	want, given := f[name]
	return !given || want == value
}

func (f filter) matchesSeries(s *measure.Series) bool {
	return f.matches("route", string(s.Route)) && f.matches("customer", string(s.Customer)) && f.matches("kind", string(s.Kind))
}

// rate returns the requests per second, summed over all hosts, of the series
// that match the filter and for which include returns true.
func (c *CellSnapshot) rate(f filter, include func(s *measure.Series) bool) float64 {
	total := uint64(0)
	for _, r := range c.Reports {
		for i := range r.Traffic.Counts {
			n := &r.Traffic.Counts[i]
			if f.matchesSeries(&n.Series) && include(&n.Series) {
				total += n.Requests
			}
		}
	}
	return float64(total) / measure.WindowSeconds
}

// mergedLatency merges the matching latency histograms of all hosts. It returns nil
// if there are none.
func (c *CellSnapshot) mergedLatency(f filter) *hdrhistogram.Histogram {
	var merged *hdrhistogram.Histogram
	for _, r := range c.Reports {
		for i := range r.Traffic.Latencies {
			l := &r.Traffic.Latencies[i]
			if !f.matches("route", string(l.Route)) || !f.matches("customer", string(l.Customer)) {
				continue
			}
			h := l.Decode()
			switch {
			case h == nil:
			case merged == nil:
				merged = h
			default:
				merged.Merge(h)
			}
		}
	}
	return merged
}

// quantile returns a latency quantile in seconds, and false without any sample.
func (c *CellSnapshot) quantile(f filter, percent float64) (float64, bool) {
	h := c.mergedLatency(f)
	if h == nil || h.TotalCount() == 0 {
		return 0, false
	}
	return float64(h.ValueAtQuantile(percent)) / microsPerSecond, true
}

const (
	microsPerSecond = 1e6
	millisPerSecond = 1e3
	// minCustomerSamples is the number of answered requests in the window below
	// which no p99 is computed for a customer.
	minCustomerSamples = 20
)

// worstCustomerP99 returns the highest p99 latency of any customer in seconds.
func (c *CellSnapshot) worstCustomerP99(f filter) (float64, bool) {
	worst, known := 0.0, false
	for customer := range c.Rates {
		customerFilter := filter{"customer": string(customer)}
		if route, given := f["route"]; given {
			customerFilter["route"] = route
		}
		h := c.mergedLatency(customerFilter)
		if h == nil || h.TotalCount() < minCustomerSamples {
			continue
		}
		worst, known = max(worst, float64(h.ValueAtQuantile(99))/microsPerSecond), true
	}
	return worst, known
}

// systemRefusals are the kinds of refusal that a customer within its rate must
// not get.
var systemRefusals = map[problem.Kind]bool{
	problem.KindRateExceeded: true, problem.KindNoCapacity: true, problem.KindQueueFull: true,
	problem.KindLeaseExpired: true, problem.KindClaimUnavailable: true, problem.KindKeySuspended: true,
	problem.KindDraining: true, problem.KindNotReady: true,
}

// wrongfulRefusals returns the fraction of requests that were refused although their
// customer did not exceed its rate, summed over all hosts.
func (c *CellSnapshot) wrongfulRefusals(f filter) (float64, bool) {
	total, refused := 0.0, 0.0
	for customer, rate := range c.Rates {
		if !f.matches("customer", string(customer)) {
			continue
		}
		customerFilter := filter{"customer": string(customer)}
		arrivalRate := c.rate(customerFilter, func(*measure.Series) bool { return true })
		total += arrivalRate
		if arrivalRate <= rate {
			refused += c.rate(customerFilter, func(s *measure.Series) bool { return systemRefusals[s.Kind] && s.Outcome == problem.OutcomeNotRun })
		}
	}
	if total == 0 {
		return 0, false
	}
	return refused / total, true
}

type poolRegion struct {
	pool   fleet.Pool
	region fleet.Region
}

// capacity sums the requests in flight over the hosts. Slots are not summed, because
// all hosts list the same upstreams.
func (c *CellSnapshot) capacity(f filter) map[poolRegion]measure.Capacity {
	sums := map[poolRegion]measure.Capacity{}
	for _, r := range c.Reports {
		for _, reported := range r.Capacity {
			if !f.matches("pool", string(reported.Pool)) || !f.matches("region", string(reported.Region)) {
				continue
			}
			key := poolRegion{reported.Pool, reported.Region}
			sum := sums[key]
			sum.Slots = max(sum.Slots, reported.Slots)
			sum.InFlight += reported.InFlight
			sums[key] = sum
		}
	}
	return sums
}

// headroom returns the fraction of free slots in the fullest region.
func (c *CellSnapshot) headroom(f filter) (float64, bool) {
	slots, inFlight := map[fleet.Region]int{}, map[fleet.Region]int{}
	for key, sum := range c.capacity(f) {
		slots[key.region] += sum.Slots
		inFlight[key.region] += sum.InFlight
	}
	least, known := 1.0, false
	for region, n := range slots {
		if n > 0 {
			least, known = min(least, max(0, 1-float64(inFlight[region])/float64(n))), true
		}
	}
	return least, known
}

// shiftedRate returns the attempts per second that were sent to another region.
func (c *CellSnapshot) shiftedRate(f filter) float64 {
	total := uint64(0)
	for _, r := range c.Reports {
		for _, s := range r.Traffic.Shifts {
			if f.matches("route", string(s.Route)) && f.matches("from", string(s.From)) && f.matches("to", string(s.To)) {
				total += s.Attempts
			}
		}
	}
	return float64(total) / measure.WindowSeconds
}

// hostValues returns one value for each host that matches the filter.
func (c *CellSnapshot) hostValues(f filter, valueOf func(*measure.Report) float64) []float64 {
	var values []float64
	for id, r := range c.Reports {
		if f.matches("host", string(id)) {
			values = append(values, valueOf(r))
		}
	}
	return values
}

// hostsWithoutLease counts the active members that report no valid lease or do not
// report at all.
func (c *CellSnapshot) hostsWithoutLease() float64 {
	count := 0
	for _, id := range c.Active {
		if r := c.Reports[id]; r == nil || r.LeaseMillis <= 0 {
			count++
		}
	}
	return float64(count)
}
