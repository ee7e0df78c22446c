package limits

import (
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	// minLoan is the smallest loan that is worth its messages, in units.
	minLoan = 100
	// spareInterval is the time between two advertisements.
	spareInterval = time.Second
	// spareFanout bounds the peers that get one advertisement. In a larger cell
	// the peers take turns.
	spareFanout = 12
	// spareItems bounds the customers in one advertisement.
	spareItems = 64
)

// request answers a peer's request. What is lent is subtracted here before the
// answer is sent.
func (m *Machine) request(now machine.Instant, from fleet.Member, r Request) {
	if r.Sequence <= m.heard[from] || !m.knows(from) {
		return
	}
	m.heard[from] = r.Sequence
	// A loan never outlives the lender's lease, because the share may be given
	// to others after it.
	duration := min(LoanDuration, m.leaseUntil.Sub(now)-driftMargin(0))
	if duration < minLoanDuration {
		return
	}
	g := Grant{Sequence: r.Sequence, To: from.Incarnation, Millis: uint32(duration.Milliseconds())}
	until := now.Add(duration + driftMargin(duration))
	for _, id := range r.Renewals {
		if m.prolong(now, from, id, until) {
			g.Renewed = append(g.Renewed, id)
		}
	}
	for _, w := range r.Wants {
		g.Loans = append(g.Loans, m.lend(now, from, w, until))
	}
	m.send(from.Host, g)
}

// knows reports whether an incarnation is a member that may hold a share.
func (m *Machine) knows(from fleet.Member) bool {
	peer := m.view.Find(from.Host)
	return peer != nil && peer.Member == from && lends(peer)
}

// prolong renews a loan unless the host needs the units itself.
func (m *Machine) prolong(now machine.Instant, from fleet.Member, id uint64, until machine.Instant) bool {
	for _, a := range m.accounts {
		i := a.findLent(id)
		if i < 0 {
			continue
		}
		m.settle(a, now)
		i = a.findLent(id)
		if i < 0 || a.lent[i].to != from || !a.active || a.lentUnits() > m.weight {
			return false
		}
		l := &a.lent[i]
		if l.recalled || m.lacks(a) {
			l.recalled = true
			return false
		}
		l.until = until
		return true
	}
	return false
}

// lacks reports whether the host needs more than it has and than comes back
// from the loans that it does not renew.
func (m *Machine) lacks(a *account) bool {
	units := a.held(m.weight)
	for i := range a.lent {
		if a.lent[i].recalled {
			units += a.lent[i].units
		}
	}
	return units < a.need(1)
}

// lend gives a loan of what the host can spare.
func (m *Machine) lend(now machine.Instant, from fleet.Member, w Want, until machine.Instant) Loan {
	answer := Loan{Customer: w.Customer}
	a := m.index[w.Customer]
	if a == nil || !a.active {
		return answer
	}
	m.settle(a, now)
	a.usage = m.shares.Observe(a.id, false)
	spare := a.spare(m.weight, w.Urgent)
	if m.yields(a, from, w) {
		spare = m.yield(a, now)
	}
	units := min(int64(w.Units), spare)
	if units < minLoan {
		answer.Spare = uint32(spare)
		return answer
	}
	m.loanID++
	a.lent = append(a.lent, lentLoan{id: m.loanID, to: from, units: units, until: until})
	tokens := m.shares.Withdraw(a.id, units, a.own(m.weight))
	answer.ID = m.loanID
	answer.Units = uint32(units)
	answer.Microtokens = toMicrotokens(tokens)
	answer.Spare = uint32(spare - units)
	return answer
}

// yields reports whether this host leaves its units to the sender of an urgent
// request. With a burst of few tokens, several hosts can each hold a part of
// one token, of which none admits a request. The host that holds the most gets
// the others' parts.
func (m *Machine) yields(a *account, from fleet.Member, w Want) bool {
	held := a.held(m.weight)
	if !w.Urgent || held >= a.tokenUnits(1) {
		return false
	}
	if held != int64(w.Held) {
		return held < int64(w.Held)
	}
	return from.Host < m.view.Self.Host
}

// yield returns the borrowed units and makes the base share free to be lent.
func (m *Machine) yield(a *account, now machine.Instant) int64 {
	m.returnAll(a)
	a.asks = nil
	a.yieldUntil = now.Add(yieldTime)
	return a.own(m.weight)
}

// returned takes back loans before their end.
func (m *Machine) returned(now machine.Instant, from fleet.Member, r Return) {
	if r.Lender != m.view.Self.Incarnation {
		return
	}
	for _, l := range r.Loans {
		m.takeBack(now, from, l)
	}
}

func (m *Machine) takeBack(now machine.Instant, from fleet.Member, l ReturnedLoan) {
	for _, a := range m.accounts {
		m.settle(a, now)
		i := a.findLent(l.ID)
		if i < 0 {
			continue
		}
		if a.lent[i].to != from {
			return
		}
		tokens := min(float64(l.Microtokens)*microtoken, unitsOf(a.lent[i].units, a.burst))
		a.lent = append(a.lent[:i], a.lent[i+1:]...)
		if a.active {
			m.shares.Deposit(a.id, a.own(m.weight), tokens)
		}
		return
	}
}

// spare takes an advertisement.
func (m *Machine) spare(now machine.Instant, from fleet.Member, s Spare) {
	if s.Sequence <= m.heardSpare[from] || !m.knows(from) {
		return
	}
	m.heardSpare[from] = s.Sequence
	for _, a := range m.accounts {
		a.spares[from.Host] = figure{at: now}
	}
	for _, item := range s.Items {
		if a := m.index[item.Customer]; a != nil {
			a.spares[from.Host] = figure{units: int64(item.Units), at: now}
		}
	}
}

// advertise tells peers what the host could lend.
func (m *Machine) advertise(now machine.Instant) {
	if now < m.nextSpare || now >= m.leaseUntil {
		return
	}
	m.nextSpare = now.Add(spareInterval)
	m.sequence++
	s := Spare{Sequence: m.sequence}
	for _, a := range m.accounts {
		if units := a.spare(m.weight, false); a.active && units >= minLoan && len(s.Items) < spareItems {
			s.Items = append(s.Items, SpareItem{Customer: a.id, Units: uint32(units)})
		}
	}
	members := m.view.Members
	sent := 0
	for range members {
		if sent == spareFanout {
			return
		}
		peer := &members[m.spareFrom%len(members)]
		m.spareFrom++
		if peer.Member != m.view.Self && lends(peer) {
			m.send(peer.Host, s)
			sent++
		}
	}
}
