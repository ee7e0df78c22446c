package limits

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	// maxAsked bounds the peers that are asked at a time for one customer.
	maxAsked = 8
	// maxBorrowed bounds the loans of one customer on one host.
	maxBorrowed = 64
	// renewInterval is the time between two attempts to renew a loan.
	renewInterval = 250 * time.Millisecond
	// askParts is the number of peers that an urgent shortage is divided among,
	// because it is not known which of them have stored tokens.
	askParts = 4
	// keepFactor is the excess over the need at which a loan is still renewed.
	// Without it, loans would be returned and asked for again as demand varies.
	keepFactor = 1.15
	// yieldTime is the time in which a host that left the units of a single token
	// to another does not ask for them.
	yieldTime = 200 * time.Millisecond
	// requestMemory is the time after which an answer to a request is ignored.
	requestMemory = 2 * LoanDuration
)

// borrow asks peers for what the customer lacks on this host.
func (m *Machine) borrow(a *account, now machine.Instant) {
	if !a.active || now >= m.leaseUntil || now < a.yieldUntil || len(a.borrowed) >= maxBorrowed {
		return
	}
	urgent := a.usage.Waiting > 0
	short := m.shortage(a, urgent) - a.pendingUnits()
	if short <= 0 {
		return
	}
	chunk := m.weight / 4
	part := max(short, chunk)
	if urgent {
		part = max(short/askParts, chunk)
	}
	short = max(short, chunk)
	for _, c := range m.candidates(a, now) {
		if short <= 0 || len(a.asks) >= maxAsked {
			return
		}
		units := min(part, short, max(c.spare, m.weight/8))
		m.ask(a, c.host, units, urgent, now)
		short -= units
	}
}

// shortage returns the units that the host lacks: for its expected demand, and
// for the requests that wait.
func (m *Machine) shortage(a *account, urgent bool) int64 {
	held := a.held(m.weight)
	short := int64(0)
	if !m.leaving {
		need := a.need(rateHeadroom)
		short = need - held
		if short < need/50 {
			short = 0
		}
	}
	if urgent {
		missing := max(1, float64(a.usage.Waiting)-a.usage.Level)
		// Peers hold fewer tokens than capacity, so twice the capacity is asked for.
		short = max(short, a.tokenUnits(2*missing), a.tokenUnits(1)-held)
	}
	return short
}

type candidate struct {
	host  fleet.HostID
	spare int64
	near  bool
	turn  int
}

// candidates returns the peers that can probably lend, the richest first. Peers
// whose figures have the same power of two count as equal; the nearer one is
// first then, and after that each host starts at a different peer.
func (m *Machine) candidates(a *account, now machine.Instant) []candidate {
	members := m.view.Members
	self := slices.IndexFunc(members, func(v fleet.ViewMember) bool { return v.Member == m.view.Self })
	if self < 0 {
		return nil
	}
	list := make([]candidate, 0, len(members))
	for i := range members {
		peer := &members[i]
		if i == self || !peer.Reachable || !lends(peer) || a.asked(peer.Host) {
			continue
		}
		if spare := a.estimate(peer, now); spare > 0 {
			near := peer.Region == members[self].Region
			turn := (i - self + len(members)) % len(members)
			list = append(list, candidate{host: peer.Host, spare: spare, near: near, turn: turn})
		}
	}
	slices.SortFunc(list, func(x, y candidate) int {
		if c := cmp.Compare(bits.Len64(uint64(y.spare)), bits.Len64(uint64(x.spare))); c != 0 {
			return c
		}
		if x.near != y.near {
			if x.near {
				return -1
			}
			return 1
		}
		return cmp.Compare(x.turn, y.turn)
	})
	return list
}

// lends reports whether a member can hold a share.
func lends(peer *fleet.ViewMember) bool {
	return peer.State == fleet.StateActive || peer.State == fleet.StateLeaving
}

func (m *Machine) ask(a *account, peer fleet.HostID, units int64, urgent bool, now machine.Instant) {
	a.asks = append(a.asks, ask{peer: peer, units: units, at: now})
	r := m.requestTo(peer)
	r.Wants = append(r.Wants, Want{
		Customer: a.id,
		Units:    uint32(units),
		Held:     uint32(a.held(m.weight)),
		Urgent:   urgent,
	})
}

// requestTo returns the request that is sent to a peer at the end of the step.
func (m *Machine) requestTo(peer fleet.HostID) *Request {
	r := m.requests[peer]
	if r == nil {
		r = &Request{}
		m.requests[peer] = r
	}
	return r
}

// flush sends the requests of the step, one a peer.
func (m *Machine) flush(now machine.Instant) {
	if len(m.requests) == 0 {
		return
	}
	for i := range m.view.Members {
		peer := m.view.Members[i].Host
		r := m.requests[peer]
		if r == nil {
			continue
		}
		m.sequence++
		r.Sequence = m.sequence
		m.sent[r.Sequence] = sentRequest{to: peer, at: now}
		m.send(peer, *r)
	}
	clear(m.requests)
}

func (m *Machine) send(to fleet.HostID, message machine.Message) {
	m.out = append(m.out, machine.Send{To: to, Message: message})
}

func (m *Machine) forgetSent(now machine.Instant) {
	for sequence, s := range m.sent {
		if now.Sub(s.at) > requestMemory {
			delete(m.sent, sequence)
		}
	}
}

// renew asks for the renewal of the loans that are still needed and returns the
// others.
func (m *Machine) renew(a *account, now machine.Instant) {
	for i := 0; i < len(a.borrowed); {
		l := &a.borrowed[i]
		if now < l.renewAt {
			i++
			continue
		}
		if !m.needs(a, l) {
			m.giveBack(a, i)
			continue
		}
		l.renewAt = now.Add(renewInterval)
		r := m.requestTo(l.key.Lender.Host)
		r.Renewals = append(r.Renewals, l.key.ID)
		i++
	}
}

// needs reports whether a loan is still needed.
func (m *Machine) needs(a *account, l *borrowedLoan) bool {
	if m.leaving {
		return false
	}
	if a.usage.Waiting > 0 {
		return true
	}
	need := float64(a.need(rateHeadroom)) * keepFactor
	return float64(a.held(m.weight)-l.units) < need
}

// giveBack returns a loan before its end, with its part of the stored tokens.
func (m *Machine) giveBack(a *account, i int) {
	l := a.borrowed[i]
	a.borrowed = slices.Delete(a.borrowed, i, i+1)
	tokens := m.shares.DropLoan(a.id, l.key)
	m.send(l.key.Lender.Host, Return{
		Lender: l.key.Lender.Incarnation,
		Loans:  []ReturnedLoan{{ID: l.key.ID, Microtokens: toMicrotokens(tokens)}},
	})
}

// returnAll returns every loan of a customer.
func (m *Machine) returnAll(a *account) {
	for len(a.borrowed) > 0 {
		m.giveBack(a, 0)
	}
}

// grant takes the answer to a request. The end of the loans counts from before
// the request was sent, so that it comes before the lender's.
func (m *Machine) grant(now machine.Instant, from fleet.Member, g Grant) {
	sent, open := m.sent[g.Sequence]
	if !open || sent.to != from.Host || g.To != m.view.Self.Incarnation {
		return
	}
	delete(m.sent, g.Sequence)
	duration := min(time.Duration(g.Millis)*time.Millisecond, LoanDuration)
	until := sent.at.Add(duration)
	for _, l := range g.Loans {
		m.take(now, from, l, until)
	}
	if until <= now {
		return
	}
	for _, id := range g.Renewed {
		m.extend(LoanKey{Lender: from, ID: id}, until)
	}
}

// take adds a loan unless it is over already.
func (m *Machine) take(now machine.Instant, from fleet.Member, l Loan, until machine.Instant) {
	a := m.index[l.Customer]
	if a == nil || !a.active {
		return
	}
	a.answered(from.Host)
	a.spares[from.Host] = figure{units: int64(l.Spare), at: now}
	key := LoanKey{Lender: from, ID: l.ID}
	if l.Units > 0 && l.Units <= fleet.TotalWeight && until > now && a.findBorrowed(key) < 0 {
		a.borrowed = append(a.borrowed, borrowedLoan{
			key:     key,
			units:   int64(l.Units),
			until:   until,
			renewAt: until.Add(-LoanDuration / 2),
		})
		m.shares.AddLoan(a.id, key, int64(l.Units), float64(l.Microtokens)*microtoken, until)
	}
	a.usage = m.shares.Observe(a.id, false)
	if a.usage.Waiting > 0 {
		m.borrow(a, now)
	}
}

// extend renews a loan.
func (m *Machine) extend(key LoanKey, until machine.Instant) {
	for _, a := range m.accounts {
		i := a.findBorrowed(key)
		if i < 0 {
			continue
		}
		l := &a.borrowed[i]
		l.until = max(l.until, until)
		l.renewAt = l.until.Add(-LoanDuration / 2)
		m.shares.ExtendLoan(a.id, key, l.until)
		return
	}
}
