package limitsim

import (
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/internal/faulttest"
	"github.com/catkinspring/catkinspring/limits"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/traffic"
)

// Attempt is an admission in progress.
type Attempt interface {
	// Poll returns false while the attempt waits.
	Poll() (bool, traffic.Admission, error)
}

// Driver is one way to enforce limits on a host.
type Driver interface {
	machine.Machine
	Begin(customer fleet.Customer) Attempt
	Holding(customer fleet.Customer) limits.Holding
}

// Variant makes the drivers of a world.
type Variant struct {
	Name string
	// Leases is true if hosts serve only while they hold a lease.
	Leases bool
	// New returns the driver of a host. Step gets the inputs of the host.
	New func(w *World, h *Host) Driver
}

// clock is the clock of a host.
type clock struct{ host *Host }

// Now returns the time of the host's current node.
func (c clock) Now() machine.Now { return c.host.node.Time() }

// Loans is the design of package limits.
var Loans = Variant{Name: "loans", Leases: true, New: func(w *World, h *Host) Driver {
	table := newTable(w, h)
	return &tableDriver{Table: table, Machine: limits.NewMachine(table, nil)}
}}

// Divided is Loans with the limits of small bursts divided over few hosts.
var Divided = Variant{Name: "divided", Leases: true, New: func(w *World, h *Host) Driver {
	table := newTable(w, h)
	return &tableDriver{Table: table, Machine: limits.NewMachine(table, limits.DivideSmall)}
}}

func newTable(w *World, h *Host) *limits.Table {
	node := func() *faulttest.Node { return h.node }
	return limits.NewTable(clock{h}, func(in machine.Input) {
		n := node()
		w.rig.After(0, func() {
			if n == node() {
				w.rig.Inject(n, in)
			}
		})
	})
}

type tableDriver struct {
	*limits.Table
	machine.Machine
}

// Begin starts an admission.
func (d *tableDriver) Begin(customer fleet.Customer) Attempt { return d.Table.Begin(customer) }
