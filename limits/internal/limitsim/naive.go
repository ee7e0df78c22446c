package limitsim

import (
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/limits"
	"github.com/catkinspring/catkinspring/machine"
)

// Naive is the design of loans without its precautions: the borrower starts with a
// full bucket, and the lender subtracts the loan only after the borrower confirmed
// it. The fault matrix must find that it admits too much.
var Naive = Variant{Name: "naive loans", Leases: true, New: func(w *World, h *Host) Driver {
	table := newTable(w, h)
	return &tableDriver{Table: table, Machine: &naiveMachine{table: table, view: &fleet.View{}}}
}}

type naiveRequest struct {
	Customer fleet.Customer
	Units    int64
}

// MessageNumber returns a number that no module uses.
func (naiveRequest) MessageNumber() uint16 { return 65010 }

type naiveLoan struct {
	Customer fleet.Customer
	ID       uint64
	Units    int64
}

// MessageNumber returns a number that no module uses.
func (naiveLoan) MessageNumber() uint16 { return 65011 }

type naiveConfirmation naiveLoan

// MessageNumber returns a number that no module uses.
func (naiveConfirmation) MessageNumber() uint16 { return 65012 }

type naiveLent struct {
	naiveConfirmation
	until machine.Instant
}

type naiveMachine struct {
	table       *limits.Table
	view        *fleet.View
	weight      int64
	customers   []limits.CustomerLimit
	lent        []naiveLent
	id          uint64
	lastRequest machine.Instant
}

// Step lends and borrows.
func (m *naiveMachine) Step(now machine.Now, in machine.Input) []machine.Output {
	switch in := in.(type) {
	case machine.Tick:
		m.expire(now.Instant)
		return m.borrow(now.Instant)
	case machine.ViewChanged:
		m.view = in.View
		if self := in.View.Find(in.View.Self.Host); self != nil {
			m.weight = int64(self.Weight)
		}
		m.publish()
	case machine.LeaseChanged:
		m.table.SetLease(in.ValidUntil)
	case limits.SetCustomers:
		m.customers = in.Customers
		for _, c := range in.Customers {
			m.table.SetLimit(c.ID, c.Rate, c.Burst)
		}
		m.publish()
	case machine.Received:
		return m.receive(now.Instant, in)
	}
	return nil
}

func (m *naiveMachine) receive(now machine.Instant, in machine.Received) []machine.Output {
	switch message := in.Message.(type) {
	case naiveRequest:
		units := min(message.Units, m.own(message.Customer))
		if units <= 0 || m.table.Observe(message.Customer, true).Waiting > 0 {
			return nil
		}
		m.id++
		loan := naiveLoan{Customer: message.Customer, ID: m.id, Units: units}
		return []machine.Output{machine.Send{To: in.From.Host, Message: loan}}
	case naiveLoan:
		key := limits.LoanKey{Lender: in.From, ID: message.ID}
		until := now.Add(limits.LoanDuration)
		m.table.AddLoan(message.Customer, key, message.Units, float64(message.Units), until)
		return []machine.Output{machine.Send{To: in.From.Host, Message: naiveConfirmation(message)}}
	case naiveConfirmation:
		m.lent = append(m.lent, naiveLent{naiveConfirmation: message, until: now.Add(limits.LoanDuration)})
		m.table.Withdraw(message.Customer, message.Units, limits.HeldUnits{Own: m.own(message.Customer)}, 0)
	}
	return nil
}

func (m *naiveMachine) borrow(now machine.Instant) []machine.Output {
	var out []machine.Output
	if now.Sub(m.lastRequest) < limits.MaxWait {
		return nil
	}
	for _, c := range m.customers {
		if m.table.Observe(c.ID, true).Waiting == 0 {
			continue
		}
		m.lastRequest = now
		for i := range m.view.Members {
			if peer := m.view.Members[i].Member; peer != m.view.Self {
				out = append(out, machine.Send{To: peer.Host, Message: naiveRequest{Customer: c.ID, Units: m.weight / 2}})
			}
		}
	}
	return out
}

func (m *naiveMachine) expire(now machine.Instant) {
	kept := m.lent[:0]
	for _, l := range m.lent {
		if now < l.until {
			kept = append(kept, l)
		}
	}
	if len(kept) < len(m.lent) {
		m.lent = kept
		m.publish()
	}
}

func (m *naiveMachine) own(customer fleet.Customer) int64 {
	units := m.weight
	for _, l := range m.lent {
		if l.Customer == customer {
			units -= l.Units
		}
	}
	return max(0, units)
}

func (m *naiveMachine) publish() {
	for _, c := range m.customers {
		m.table.SetOwn(c.ID, m.own(c.ID))
	}
}
