package limitsim

import (
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/limits"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/problem"
	"github.com/catkinspring/catkinspring/traffic"
)

// farFuture is the end of the lease in a baseline without leases.
const farFuture = 1 << 62

// Static gives each host a fixed share of every limit.
var Static = Variant{Name: "static split", New: func(w *World, h *Host) Driver {
	table := newTable(w, h)
	table.SetLease(farFuture)
	return &tableDriver{Table: table, Machine: &staticMachine{table: table, own: fleet.TotalWeight / int64(len(w.hosts))}}
}}

type staticMachine struct {
	table *limits.Table
	own   int64
}

// Step applies the limits.
func (m *staticMachine) Step(_ machine.Now, in machine.Input) []machine.Output {
	if in, ok := in.(limits.SetCustomers); ok {
		for _, c := range in.Customers {
			m.table.SetLimit(c.ID, c.Rate, c.Burst)
			m.table.SetOwn(c.ID, m.own)
		}
	}
	return nil
}

// Central keeps one counter on the host World.Center. Every admission is a request to
// it, which waits for the answer for at most limits.MaxWait.
var Central = Variant{Name: "central counter", New: func(w *World, h *Host) Driver {
	table := newTable(w, h)
	table.SetLease(farFuture)
	d := &centralDriver{world: w, host: h, table: table, open: map[uint64]*centralAttempt{}}
	return d
}}

type centralRequest struct {
	Sequence uint64
	Customer fleet.Customer
}

// MessageNumber returns a number that no module uses.
func (centralRequest) MessageNumber() uint16 { return 65000 }

type centralAnswer struct {
	Sequence uint64
	Admitted bool
}

// MessageNumber returns a number that no module uses.
func (centralAnswer) MessageNumber() uint16 { return 65001 }

type centralDriver struct {
	world    *World
	host     *Host
	table    *limits.Table
	sequence uint64
	open     map[uint64]*centralAttempt
}

type centralAttempt struct {
	world    *World
	deadline machine.Instant
	done     bool
	admitted bool
}

// centralCall is the input that starts an admission.
type centralCall struct{ request centralRequest }

// MachineInput marks centralCall as an input.
func (centralCall) MachineInput() {}

// Begin sends a request to the central counter.
func (d *centralDriver) Begin(customer fleet.Customer) Attempt {
	d.sequence++
	x := &centralAttempt{world: d.world, deadline: d.world.rig.Now().Add(limits.MaxWait)}
	d.open[d.sequence] = x
	d.world.rig.Inject(d.host.node, centralCall{centralRequest{Sequence: d.sequence, Customer: customer}})
	return x
}

// Holding returns nothing: the baseline has no shares.
func (d *centralDriver) Holding(fleet.Customer) limits.Holding { return limits.Holding{} }

// Step sends and answers requests, and handles answers.
func (d *centralDriver) Step(_ machine.Now, in machine.Input) []machine.Output {
	switch in := in.(type) {
	case limits.SetCustomers:
		for _, c := range in.Customers {
			d.table.SetLimit(c.ID, c.Rate, c.Burst)
			if d.world.Center == d.host.ID {
				d.table.SetOwn(c.ID, fleet.TotalWeight)
			}
		}
	case centralCall:
		if d.world.Center != d.host.ID {
			return []machine.Output{machine.Send{To: d.world.Center, Message: in.request}}
		}
		d.settle(centralAnswer{Sequence: in.request.Sequence, Admitted: d.count(in.request)})
	case machine.Received:
		switch m := in.Message.(type) {
		case centralRequest:
			answer := centralAnswer{Sequence: m.Sequence, Admitted: d.count(m)}
			return []machine.Output{machine.Send{To: in.From.Host, Message: answer}}
		case centralAnswer:
			d.settle(m)
		}
	}
	return nil
}

// count spends a token of the central counter.
func (d *centralDriver) count(request centralRequest) bool {
	if d.world.Center != d.host.ID || d.table.Holding(request.Customer).Tokens < 1 {
		return false
	}
	_, admission, _ := d.table.Begin(request.Customer).Poll()
	if admission == nil {
		return false
	}
	d.world.checkAdmission(d.host, d.world.customer(request.Customer))
	return true
}

// becomeCenter takes over the central counter with an empty bucket.
func (d *centralDriver) becomeCenter() {
	for _, c := range d.world.customers {
		d.table.SetOwn(c.ID, fleet.TotalWeight)
	}
}

func (d *centralDriver) settle(answer centralAnswer) {
	if x := d.open[answer.Sequence]; x != nil {
		x.done, x.admitted = true, answer.Admitted
		delete(d.open, answer.Sequence)
	}
}

// Poll returns the answer of the central counter, or a refusal after the deadline.
func (x *centralAttempt) Poll() (bool, traffic.Admission, error) {
	switch {
	case !x.done && x.world.rig.Now() < x.deadline:
		return false, nil, nil
	case x.done && x.admitted:
		return true, centralAdmission{}, nil
	default:
		x.admitted = false
		return true, nil, problem.NotRun(problem.KindRateExceeded, "no token from the central counter").WithRetryAfter(time.Second)
	}
}

// centralAdmission is an admission that was checked when the counter admitted it.
type centralAdmission struct{}

// Valid returns true, because the counter has admitted the request.
func (centralAdmission) Valid() bool { return true }

// Refund does nothing.
func (centralAdmission) Refund() {}
