package limitsim

import (
	"slices"
	"time"

	"github.com/catkinspring/catkinspring/internal/faulttest"
	"github.com/catkinspring/catkinspring/limits"
)

const (
	matrixHosts  = 6
	matrixLease  = 2200 * time.Millisecond
	matrixLength = 9 * time.Second
	// longFaultTime is how long cuts, long pauses and lost leases last: until the lease has
	// ended and the share was reassigned.
	longFaultTime = 5800 * time.Millisecond
)

// Scenario is a world in the fault matrix.
type Scenario struct{ *World }

var _ faulttest.Scenario = Scenario{}

// NewScenario returns a world of six hosts in three regions with uneven demand close
// to the limits of its customers, one of which sends three times that demand.
func NewScenario(seed uint64, v Variant) Scenario {
	w := NewWorld(Options{
		Seed:    seed,
		Variant: v,
		Regions: 3,
		Hosts:   matrixHosts,
		Near:    3 * time.Millisecond,
		Far:     35 * time.Millisecond,
		Lease:   matrixLease,
		// A share is reassigned as soon as the margin for clock drift allows it.
		Reassign: matrixLease/100 + 100*time.Millisecond,
		Customers: []limits.CustomerLimit{
			{ID: "busy", Rate: 30, Burst: 30},
			{ID: "over", Rate: 12, Burst: 24},
			{ID: "small", Rate: 3, Burst: 3},
		},
		Load:      0.95,
		Profile:   []float64{0.05, 0.6, 0.05, 0.15, 0, 0.15},
		Refunds:   0.05,
		CheckSums: true,
		// An increase from 0 takes effect after the duration of a loan and margins.
		NoTokensFor: limits.LoanDuration + 200*time.Millisecond,
	})
	w.Surge(1, 3)
	return Scenario{w}
}

// Run runs the scenario.
func (s Scenario) Run() { s.rig.Run(matrixLength) }

// Check returns the violations.
func (s Scenario) Check() []string { return s.Violations() }

// fault returns a fault on a world.
func fault(name string, apply func(w *World)) faulttest.Fault {
	return faulttest.Fault{Name: name, Apply: func(s faulttest.Scenario) { apply(s.(Scenario).World) }}
}

// PairFaults are the faults that the matrix also runs in pairs.
var PairFaults = faultsByName("kill-lender", "replace-borrower", "pause-past-loan", "pause-past-lease", "pause-lender-past-lease",
	"one-way-cut", "slow", "duplicate", "late", "lease-lost", "rates-up-down")

func faultsByName(names ...string) []faulttest.Fault {
	var found []faulttest.Fault
	for _, f := range Faults {
		if slices.Contains(names, f.Name) {
			found = append(found, f)
		}
	}
	return found
}

// Faults are the faults of the matrix. Host 1 has most of the demand and
// borrows; the others lend.
var Faults = []faulttest.Fault{
	fault("kill-borrower", func(w *World) { w.Kill(w.Host(1)) }),
	fault("kill-lender", func(w *World) { w.Kill(w.Host(4)) }),
	fault("replace-borrower", func(w *World) { w.Replace(w.Host(1)) }),
	fault("replace-lender", func(w *World) { w.Replace(w.Host(4)) }),
	fault("pause-past-loan", func(w *World) { w.Pause(w.Host(1), 2300*time.Millisecond) }),
	fault("pause-past-lease", func(w *World) { w.Pause(w.Host(1), longFaultTime) }),
	fault("pause-lender-past-loan", func(w *World) { w.Pause(w.Host(2), 2300*time.Millisecond) }),
	fault("pause-lender-past-lease", func(w *World) { w.Pause(w.Host(2), longFaultTime) }),
	fault("cut", func(w *World) { w.Cut(w.Host(1), w.Host(2), true); w.HealAfter(longFaultTime) }),
	fault("one-way-cut", func(w *World) { w.cutFrom(w.Host(1)); w.HealAfter(longFaultTime) }),
	fault("one-way-cut-to", func(w *World) { w.cutTo(w.Host(1)); w.HealAfter(longFaultTime) }),
	fault("region-cut", func(w *World) { w.CutRegion(w.Host(0).Region); w.HealAfter(longFaultTime) }),
	fault("slow", func(w *World) { w.slowAll(w.Host(1), 1900*time.Millisecond); w.HealAfter(longFaultTime) }),
	fault("drop", func(w *World) { w.rig.DropNext(12) }),
	fault("duplicate", func(w *World) { w.rig.DuplicateNext(40) }),
	fault("reorder", func(w *World) { w.rig.DelayNext(1500 * time.Millisecond) }),
	fault("late", func(w *World) { w.rig.DelayNext(2500 * time.Millisecond) }),
	fault("lease-lost", func(w *World) { w.LoseLease(w.Host(3), longFaultTime) }),
	fault("leave", func(w *World) { w.Leave(w.Host(1)) }),
	fault("rates-up-down", func(w *World) {
		w.SetRates(2)
		w.rig.After(400*time.Millisecond, func() { w.SetRates(0.5) })
	}),
	fault("rates-down-up", func(w *World) {
		w.SetRates(0.4)
		w.rig.After(400*time.Millisecond, func() { w.SetRates(1) })
	}),
	fault("surge", func(w *World) { w.Burst(4, 0, 60, 300*time.Millisecond) }),
}

// cutFrom cuts the messages that a host sends, cutTo those that are sent to it.
func (w *World) cutFrom(h *Host) {
	for _, other := range w.hosts {
		if other != h {
			w.Cut(h, other, false)
		}
	}
}

func (w *World) cutTo(h *Host) {
	for _, other := range w.hosts {
		if other != h {
			w.Cut(other, h, false)
		}
	}
}

// slowAll delays every message from and to a host.
func (w *World) slowAll(h *Host, delay time.Duration) {
	for _, other := range w.hosts {
		if other != h {
			w.rig.DelayLink(h.ID, other.ID, delay)
			w.rig.DelayLink(other.ID, h.ID, delay)
		}
	}
}
