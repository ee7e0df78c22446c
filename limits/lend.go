package limits

import (
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	// minLoan is the smallest loan that is worth its messages, in units.
	minLoan = 100
	// noPoolTime is the time in which nothing is lent to a pool after another
	// purpose found too little.
	noPoolTime = 3 * time.Second
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
	for _, id := range r.Renewals {
		if m.prolong(now, from, id, now.Add(duration+driftMargin(duration))) {
			g.Renewed = append(g.Renewed, id)
		}
	}
	for _, w := range r.Wants {
		g.Loans = append(g.Loans, m.lend(now, from, w, duration))
	}
	m.send(from.Host, g)
}

// knows reports whether an incarnation is a member that may hold a share.
func (m *Machine) knows(from fleet.Member) bool {
	peer := m.view.Find(from.Host)
	return peer != nil && peer.Member == from && lends(peer)
}

// prolong renews a loan unless the host needs the units itself. Loans of
// borrowed units are not renewed, because their end hangs on another loan.
func (m *Machine) prolong(now machine.Instant, from fleet.Member, id uint64, until machine.Instant) bool {
	for _, a := range m.accounts {
		if a.findLent(id) < 0 {
			continue
		}
		m.settle(a, now)
		i := a.findLent(id)
		if i < 0 || a.lent[i].to != from || !a.active || a.lentOwn() > a.base.inForce {
			return false
		}
		l := &a.lent[i]
		ofOwn := len(l.parts) == 1 && l.parts[0].key == (LoanKey{})
		if l.recalled || !ofOwn || l.purpose == ForPool && now < a.noPoolUntil || m.lacks(a) {
			l.recalled = true
			return false
		}
		// A renewal near the end of the lease is shorter than the loan before it,
		// which the borrower may still use to its end.
		l.until = max(l.until, until)
		return true
	}
	return false
}

// lacks reports whether the host needs more than it has and than comes back
// from the loans that it does not renew.
func (m *Machine) lacks(a *account) bool {
	units := a.held()
	for i := range a.lent {
		if a.lent[i].recalled {
			units += a.lent[i].units
		}
	}
	return units < a.need(1)
}

// lend gives a loan of what the host can spare.
func (m *Machine) lend(now machine.Instant, from fleet.Member, w Want, longest time.Duration) Loan {
	answer := Loan{Customer: w.Customer}
	a := m.index[w.Customer]
	if a == nil || !a.active {
		return answer
	}
	m.settle(a, now)
	a.usage = m.shares.Observe(a.id, false)
	spare := a.spare(w.Purpose, now)
	if m.yields(a, from, w) {
		spare = m.yield(a, now)
	}
	if w.Purpose == ForDemand && int64(w.Units) > spare && a.lentToPool() > 0 {
		a.noPoolUntil = now.Add(noPoolTime)
	}
	if (a.pooling || a.division != nil) && w.Purpose == ForWaiting && a.usage.Level < min(1, unitsOf(int64(w.Units), a.burst)) {
		// Parts of a token at several hosts admit nothing. The pool, or a keeper, keeps
		// them until they are what a host lacks.
		spare = 0
	}
	if units := min(int64(w.Units), spare); units >= minLoan {
		m.give(a, from, w, units, spare, longest, now, &answer)
		spare -= units
	}
	answer.Spare = uint32(m.advertised(a, spare))
	answer.Stored = toMillitokens(a.usage.Level)
	return answer
}

// give records a loan, subtracts it and fills in the answer.
func (m *Machine) give(a *account, from fleet.Member, w Want, units, spare int64, longest time.Duration, now machine.Instant, answer *Loan) {
	wanted := 0.0
	if w.Purpose == ForWaiting {
		wanted = a.usage.Level * float64(spare) / float64(max(1, a.held()))
	}
	parts, duration := a.cut(units, now)
	duration = min(duration, longest)
	m.loanID++
	a.lent = append(a.lent, lentLoan{
		id:      m.loanID,
		to:      from,
		units:   units,
		parts:   parts,
		purpose: w.Purpose,
		until:   now.Add(duration + driftMargin(duration)),
	})
	tokens := m.shares.Withdraw(a.id, units, a.split(), wanted)
	a.usage.Level -= tokens
	answer.ID = m.loanID
	answer.Units = uint32(units)
	answer.Microtokens = toMicrotokens(tokens)
	if duration < longest {
		answer.Millis = uint32(duration.Milliseconds())
	}
}

// advertised returns the figure that peers are told: the spare units and those
// that a pool would give up.
func (m *Machine) advertised(a *account, spare int64) int64 {
	return spare + a.lentToPool()
}

// yields reports whether this host, on which requests wait, leaves its units to
// the sender of an urgent request. With a burst of few tokens, several hosts can
// each hold a part of one token, of which none admits a request. The host that
// holds the most gets the others' parts.
func (m *Machine) yields(a *account, from fleet.Member, w Want) bool {
	held := a.held()
	if w.Purpose != ForWaiting || a.usage.Waiting == 0 || held >= a.tokenUnits(1) {
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
	return a.own()
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
		if a.findLent(l.ID) < 0 {
			continue
		}
		m.settle(a, now)
		i := a.findLent(l.ID)
		if i < 0 || a.lent[i].to != from {
			return
		}
		tokens := min(float64(l.Microtokens)*microtoken, unitsOf(a.lent[i].units, a.burst))
		a.settleLent(i)
		if a.active {
			m.shares.Deposit(a.id, a.split(), tokens)
		}
		return
	}
}
