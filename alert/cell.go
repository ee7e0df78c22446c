package alert

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/catkinspring/catkinspring/configuration"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/measure"
	"github.com/catkinspring/catkinspring/problem"
)

// Cell is what the evaluator knows of all hosts at one moment.
type CellSnapshot struct {
	// Reports are the fresh reports by host.
	Reports map[fleet.HostID]*measure.Report
	// Active are the members that have to report.
	Active []fleet.HostID
	// Rates are the rates of the customers in requests a second.
	Rates map[fleet.Customer]float64
}

// filter selects series by the labels of a rule. An empty value matches all.
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

func (f filter) series(s *measure.Series) bool {
	return f.matches("route", string(s.Route)) && f.matches("customer", string(s.Customer)) && f.matches("kind", string(s.Kind))
}

// rate adds up the requests a second of all hosts for which count is true.
func (c *CellSnapshot) rate(f filter, count func(s *measure.Series) bool) float64 {
	total := uint64(0)
	for _, r := range c.Reports {
		for i := range r.Traffic.Counts {
			n := &r.Traffic.Counts[i]
			if f.series(&n.Series) && count(&n.Series) {
				total += n.Requests
			}
		}
	}
	return float64(total) / measure.WindowSeconds
}

// latency merges the histograms of all hosts that match.
func (c *CellSnapshot) latency(f filter) *hdrhistogram.Histogram {
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

// quantile returns a quantile in seconds, and whether anything was measured.
func (c *CellSnapshot) quantile(f filter, percent float64) (float64, bool) {
	h := c.latency(f)
	if h == nil || h.TotalCount() == 0 {
		return 0, false
	}
	return float64(h.ValueAtQuantile(percent)) / microsPerSecond, true
}

const (
	microsPerSecond = 1e6
	millisPerSecond = 1e3
	// minCustomerSamples is the number of answered requests in the window below
	// which a customer has no p99 of its own.
	minCustomerSamples = 20
)

// worstCustomer returns the highest p99 of a customer in seconds.
func (c *CellSnapshot) worstCustomer(f filter) (float64, bool) {
	worst, known := 0.0, false
	for customer := range c.Rates {
		one := filter{"customer": string(customer)}
		if route, given := f["route"]; given {
			one["route"] = route
		}
		h := c.latency(one)
		if h == nil || h.TotalCount() < minCustomerSamples {
			continue
		}
		worst, known = max(worst, float64(h.ValueAtQuantile(99))/microsPerSecond), true
	}
	return worst, known
}

// systemRefusals are the kinds of refusal that a customer within its rate must
// not see.
var systemRefusals = map[problem.Kind]bool{
	problem.KindRateExceeded: true, problem.KindNoCapacity: true, problem.KindQueueFull: true,
	problem.KindLeaseExpired: true, problem.KindClaimUnavailable: true, problem.KindKeySuspended: true,
	problem.KindDraining: true, problem.KindNotReady: true,
}

// wrongful returns the part of the requests that were refused although their
// customer sent, over all hosts, no more than its rate.
func (c *CellSnapshot) wrongful(f filter) (float64, bool) {
	all, refused := 0.0, 0.0
	for customer, rate := range c.Rates {
		if !f.matches("customer", string(customer)) {
			continue
		}
		one := filter{"customer": string(customer)}
		arrived := c.rate(one, func(*measure.Series) bool { return true })
		all += arrived
		if arrived <= rate {
			refused += c.rate(one, func(s *measure.Series) bool { return systemRefusals[s.Kind] && s.Outcome == problem.OutcomeNotRun })
		}
	}
	if all == 0 {
		return 0, false
	}
	return refused / all, true
}

type poolRegion struct {
	pool   fleet.Pool
	region fleet.Region
}

// capacity adds the work up over the hosts. All hosts list the same upstreams.
func (c *CellSnapshot) capacity(f filter) map[poolRegion]measure.Capacity {
	sums := map[poolRegion]measure.Capacity{}
	for _, r := range c.Reports {
		for _, part := range r.Capacity {
			if !f.matches("pool", string(part.Pool)) || !f.matches("region", string(part.Region)) {
				continue
			}
			key := poolRegion{part.Pool, part.Region}
			sum := sums[key]
			sum.Slots = max(sum.Slots, part.Slots)
			sum.InFlight += part.InFlight
			sums[key] = sum
		}
	}
	return sums
}

// headroom returns the free part of the slots of the fullest region.
func (c *CellSnapshot) headroom(f filter) (float64, bool) {
	slots, work := map[fleet.Region]int{}, map[fleet.Region]int{}
	for key, sum := range c.capacity(f) {
		slots[key.region] += sum.Slots
		work[key.region] += sum.InFlight
	}
	least, known := 1.0, false
	for region, n := range slots {
		if n > 0 {
			least, known = min(least, max(0, 1-float64(work[region])/float64(n))), true
		}
	}
	return least, known
}

// shifted returns the attempts a second that were made in another region.
func (c *CellSnapshot) shifted(f filter) float64 {
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

// hosts returns a figure of each host that matches.
func (c *CellSnapshot) hosts(f filter, figure func(*measure.Report) float64) []float64 {
	var figures []float64
	for id, r := range c.Reports {
		if f.matches("host", string(id)) {
			figures = append(figures, figure(r))
		}
	}
	return figures
}

// withoutLease counts the active members that report no lease or do not report.
func (c *CellSnapshot) withoutLease() float64 {
	count := 0
	for _, id := range c.Active {
		if r := c.Reports[id]; r == nil || r.LeaseMillis <= 0 {
			count++
		}
	}
	return float64(count)
}
