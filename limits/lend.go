package limits

import (
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	// minLoan is the smallest loan that is worth its messages, in units.
	minLoan = 100
	// noPoolTime is the time in which nothing is lent to a pool after a request for
	// forecast demand could not be granted in full.
	noPoolTime = 3 * time.Second
)

// handleRequest answers a peer's request. Lent units are subtracted here before
// the answer is sent.
func (m *Machine) handleRequest(now machine.Instant, from fleet.Member, r Request) {
	if r.Sequence <= m.lastSequences[from] || !m.isMember(from) {
		return
	}
	m.lastSequences[from] = r.Sequence
	// A loan never outlives the lender's lease, because the share may be given
	// to others after it.
	duration := min(LoanDuration, m.leaseUntil.Sub(now)-driftMargin(0))
	if duration < minLoanDuration {
		return
	}
	g := Grant{Sequence: r.Sequence, To: from.Incarnation, Millis: uint32(duration.Milliseconds())}
	for _, id := range r.Renewals {
		if m.renewLent(now, from, id, now.Add(duration+driftMargin(duration))) {
			g.Renewed = append(g.Renewed, id)
		}
	}
	for _, w := range r.Wants {
		g.Loans = append(g.Loans, m.lend(now, from, w, duration))
	}
	m.send(from.Host, g)
}

// isMember reports whether an incarnation is in the view and can hold a share.
func (m *Machine) isMember(from fleet.Member) bool {
	peer := m.view.Find(from.Host)
	return peer != nil && peer.Member == from && canHoldShare(peer)
}

// renewLent renews a granted loan unless the host needs the units itself. Loans of
// borrowed units are not renewed, because their end depends on another loan.
func (m *Machine) renewLent(now machine.Instant, from fleet.Member, id uint64, until machine.Instant) bool {
	for _, a := range m.accounts {
		if a.findLent(id) < 0 {
			continue
		}
		m.expireLoans(a, now)
		i := a.findLent(id)
		if i < 0 || a.lent[i].to != from || !a.active || a.lentOwn() > a.base.lendable() {
			return false
		}
		l := &a.lent[i]
		fromBase := len(l.sources) == 1 && l.sources[0].key == (LoanKey{})
		if l.renewalRefused || !fromBase || l.purpose == ForPool && now < a.noPoolUntil || m.hasDeficit(a) {
			l.renewalRefused = true
			return false
		}
		// A renewal near the end of the lease is shorter than the loan before it,
		// which the borrower may still use to its end.
		l.until = max(l.until, until)
		return true
	}
	return false
}

// hasDeficit reports whether the host needs more units than it has and than will
// return from the loans that it does not renew.
func (m *Machine) hasDeficit(a *account) bool {
	units := a.held()
	for i := range a.lent {
		if a.lent[i].renewalRefused {
			units += a.lent[i].units
		}
	}
	return units < a.need(1)
}

// lend grants a loan of what the host can spare.
func (m *Machine) lend(now machine.Instant, from fleet.Member, w Want, longest time.Duration) Loan {
	answer := Loan{Customer: w.Customer}
	a := m.index[w.Customer]
	if a == nil || !a.active {
		return answer
	}
	m.expireLoans(a, now)
	a.usage = m.shares.Observe(a.id, false)
	spare := a.spare(w.Purpose, now)
	if m.shouldYield(a, from, w) {
		spare = m.yield(a, now)
	}
	if w.Purpose == ForDemand && int64(w.Units) > spare && a.lentToPool() > 0 {
		a.noPoolUntil = now.Add(noPoolTime)
	}
	if (a.pooling || a.division != nil) && w.Purpose == ForWaiting && a.usage.Level < min(1, amountOf(int64(w.Units), a.burst)) {
		// Fractions of a token at several hosts admit nothing. The pool, or a quota holder,
		// keeps them until they cover the deficit of the borrower.
		spare = 0
	}
	if units := min(int64(w.Units), spare); units >= minLoan {
		m.grantLoan(a, from, w, units, spare, longest, now, &answer)
		spare -= units
	}
	answer.Spare = uint32(m.advertised(a, spare))
	answer.Stored = toMillitokens(a.usage.Level)
	return answer
}

// grantLoan records a loan, subtracts its units and fills in the answer.
func (m *Machine) grantLoan(a *account, from fleet.Member, w Want, units, spare int64, longest time.Duration, now machine.Instant, answer *Loan) {
	wanted := 0.0
	if w.Purpose == ForWaiting {
		wanted = a.usage.Level * float64(spare) / float64(max(1, a.held()))
	}
	sources, duration := a.allocateLoan(units, now)
	duration = min(duration, longest)
	m.loanID++
	a.lent = append(a.lent, lentLoan{
		id:      m.loanID,
		to:      from,
		units:   units,
		sources: sources,
		purpose: w.Purpose,
		until:   now.Add(duration + driftMargin(duration)),
	})
	tokens := m.shares.Withdraw(a.id, units, a.heldUnits(), wanted)
	a.usage.Level -= tokens
	answer.ID = m.loanID
	answer.Units = uint32(units)
	answer.Microtokens = toMicrotokens(tokens)
	if duration < longest {
		answer.Millis = uint32(duration.Milliseconds())
	}
}

// advertised returns the number of units to advertise: the spare ones and those
// that a pool would give up.
func (m *Machine) advertised(a *account, spare int64) int64 {
	return spare + a.lentToPool()
}

// shouldYield reports whether this host, on which requests are queued, cedes its
// units to the sender of an urgent request. With a burst of few tokens, several
// hosts can each hold a fraction of one token, none of which admits a request. The
// host that holds the most gets the fractions of the others.
func (m *Machine) shouldYield(a *account, from fleet.Member, w Want) bool {
	held := a.held()
	if w.Purpose != ForWaiting || a.usage.Waiting == 0 || held >= a.tokenUnits(1) {
		return false
	}
	if held != int64(w.Held) {
		return held < int64(w.Held)
	}
	return from.Host < m.view.Self.Host
}

// yield returns the borrowed loans and releases the base share for lending.
func (m *Machine) yield(a *account, now machine.Instant) int64 {
	m.returnAllLoans(a)
	a.pendingRequests = nil
	a.yieldUntil = now.Add(yieldTime)
	return a.lendableOwn()
}

// handleReturn handles loans that are returned before their end.
func (m *Machine) handleReturn(now machine.Instant, from fleet.Member, r Return) {
	if r.Lender != m.view.Self.Incarnation {
		return
	}
	for _, l := range r.Loans {
		m.reclaim(now, from, l)
	}
}

func (m *Machine) reclaim(now machine.Instant, from fleet.Member, l ReturnedLoan) {
	for _, a := range m.accounts {
		if a.findLent(l.ID) < 0 {
			continue
		}
		m.expireLoans(a, now)
		i := a.findLent(l.ID)
		if i < 0 || a.lent[i].to != from {
			return
		}
		tokens := min(float64(l.Microtokens)*microtoken, amountOf(a.lent[i].units, a.burst))
		a.removeLent(i)
		if a.active {
			m.shares.Deposit(a.id, a.heldUnits(), tokens)
		}
		return
	}
}
