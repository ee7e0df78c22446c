package host

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/catkinspring/catkinspring/alert"
	"github.com/catkinspring/catkinspring/configuration"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/measure"
	"github.com/catkinspring/catkinspring/operator"
	"github.com/catkinspring/catkinspring/problem"
)

// quarantineEvent is the kind of the events that package dispatch records when a
// fingerprint is quarantined.
const quarantineEvent = "quarantine"

// quarantineRetention is how long the time of a quarantine event is kept. A
// quarantine lasts 10 min unless it is renewed.
const quarantineRetention = time.Hour

// handleEvent stores the quarantine times that the status shows, and logs alerts.
func (h *Host) handleEvent(now machine.Now, e machine.Event) {
	switch {
	case e.Kind == quarantineEvent:
		h.quarantineTimes.Range(func(fingerprint, at any) bool {
			if now.WallMillis-at.(int64) > quarantineRetention.Milliseconds() {
				h.quarantineTimes.Delete(fingerprint)
			}
			return true
		})
		h.quarantineTimes.Store(e.Subject, now.WallMillis)
	case strings.HasPrefix(e.Kind, "alert."):
		h.log.Warn().Str("kind", e.Kind).Str("subject", e.Subject).Msg(e.Text)
	}
}

func alertRules(s *configuration.Snapshot) alert.SetRules {
	in := alert.SetRules{Revision: s.Revision, Lines: s.AlertRules, Rates: map[fleet.Customer]float64{}}
	for i := range s.Customers {
		in.Rates[s.Customers[i].ID] = s.Customers[i].Rate
	}
	return in
}

func (h *Host) alertOutput(now machine.Now, out machine.Output) {
	switch out := out.(type) {
	case alert.CollectReport:
		// Merging histograms takes milliseconds and must not block the loop.
		go func() { h.loop.Post(h.modules.alert, alert.ReportCollected{Report: h.report(now)}) }()
	case alert.CurrentAlerts:
		h.state.alerts.Store(&out)
	}
}

// report collects the host's own measurements.
func (h *Host) report(now machine.Now) measure.Report {
	return measure.Report{
		Traffic:           h.measures.Traffic(),
		Capacity:          h.capacity(),
		LeaseMillis:       max(0, h.state.ValidUntil().Sub(now.Instant).Milliseconds()),
		StoreOutageMillis: h.storeOutage(now),
		DrainMillis:       millisSince(now, h.state.drainSince.Load()),
		Quarantined:       len(h.quarantine.Fingerprints()),
	}
}

// millisSince returns the milliseconds since an instant, or 0 if it is not set.
func millisSince(now machine.Now, instant int64) int64 {
	if instant == 0 {
		return 0
	}
	return now.Instant.Sub(machine.Instant(instant)).Milliseconds()
}

// storeOutage returns how long the store has been unreachable, in milliseconds.
// It returns -1 if the host has not called the store within a lease duration,
// which is normal: the members of a cell read the roster for each other.
func (h *Host) storeOutage(now machine.Now) int64 {
	lastResult := h.state.lastStoreResult.Load()
	if lastResult == 0 || now.Instant.Sub(machine.Instant(lastResult)) > h.settings.Lease.Duration {
		return -1
	}
	return millisSince(now, h.state.storeDownSince.Load())
}

type poolRegion struct {
	pool   fleet.Pool
	region fleet.Region
}

// capacity sums the slots, and this host's requests in flight, by pool and region.
func (h *Host) capacity() []measure.Capacity {
	knownUpstreams := h.state.upstreams.Load()
	if knownUpstreams == nil {
		return nil
	}
	inFlight := map[fleet.Upstream]int{}
	for _, work := range h.placement.InFlight() {
		inFlight[work.Upstream] = work.InFlight
	}
	sums := map[poolRegion]measure.Capacity{}
	for i := range *knownUpstreams {
		u := &(*knownUpstreams)[i]
		key := poolRegion{u.Pool, u.Location.Region}
		sum := sums[key]
		sum.Pool, sum.Region = key.pool, key.region
		sum.InFlight += inFlight[u.Name]
		if u.Leaving {
			sum.Leaving++
		} else {
			sum.Upstreams++
			sum.Slots += u.Slots
		}
		sums[key] = sum
	}
	list := make([]measure.Capacity, 0, len(sums))
	for _, sum := range sums {
		list = append(list, sum)
	}
	slices.SortFunc(list, func(a, b measure.Capacity) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Region, b.Region))
	})
	return list
}

// addTraffic adds the host's own traffic metrics to its status.
func (h *Host) addTraffic(s *operator.Status) {
	traffic := h.measures.Traffic()
	s.Shares = h.shares(&traffic)
	for _, sum := range h.capacity() {
		s.Capacity = append(s.Capacity, operator.Capacity{
			Pool: sum.Pool, Region: sum.Region, Slots: sum.Slots, Upstreams: sum.Upstreams,
			Leaving: sum.Leaving, InFlight: sum.InFlight,
		})
	}
	for _, shift := range traffic.Shifts {
		s.Shifts = append(s.Shifts, operator.Shift{
			Route: shift.Route, From: shift.From, To: shift.To, PerSecond: float64(shift.Attempts) / measure.WindowSeconds,
		})
	}
	for _, fingerprint := range h.quarantine.Fingerprints() {
		name := fmt.Sprintf("%016x", fingerprint)
		at, _ := h.quarantineTimes.Load(name)
		millis, _ := at.(int64)
		s.Quarantined = append(s.Quarantined, operator.Quarantined{Fingerprint: name, SinceMillis: millis})
	}
}

// shares returns this host's base share of each customer's rate, and the requests
// admitted and refused per second in the measurement window.
func (h *Host) shares(traffic *measure.Traffic) []operator.Share {
	snapshot, view := h.state.snapshot.Load(), h.state.view.Load()
	if snapshot == nil || view == nil {
		return nil
	}
	fraction := 0.0
	if self := view.Find(h.self.Host); self != nil {
		fraction = float64(self.Weight) / fleet.TotalWeight
	}
	admitted, refused := map[fleet.Customer]uint64{}, map[fleet.Customer]uint64{}
	for i := range traffic.Counts {
		count := &traffic.Counts[i]
		if count.Series.Sent {
			admitted[count.Series.Customer] += count.Requests
		} else if count.Series.Kind != "" && count.Series.Outcome == problem.OutcomeNotRun {
			refused[count.Series.Customer] += count.Requests
		}
	}
	shares := make([]operator.Share, 0, len(snapshot.Customers))
	for i := range snapshot.Customers {
		c := &snapshot.Customers[i]
		shares = append(shares, operator.Share{
			Customer: c.ID, Rate: c.Rate, Burst: c.Burst, Fraction: fraction,
			Admitted: float64(admitted[c.ID]) / measure.WindowSeconds,
			Refused:  float64(refused[c.ID]) / measure.WindowSeconds,
		})
	}
	return shares
}

// addAlerts adds the firing alerts, and the host that evaluates the alert rules, to
// the status.
func (h *Host) addAlerts(s *operator.Status) {
	current := h.state.alerts.Load()
	if current == nil {
		return
	}
	s.AlertEvaluator = current.Evaluator
	for _, f := range current.Firing {
		s.Alerts = append(s.Alerts, operator.Alert{
			Name: f.Name, Severity: f.Severity, Rule: f.Line, Value: f.Value, SinceMillis: f.SinceMillis,
		})
	}
}
