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
	// plannedPause is the time between two rounds of requests for expected demand,
	// poolPause that between two rounds for a pool.
	plannedPause = 300 * time.Millisecond
	poolPause    = time.Second
	// expectedPart is the part of a peer's advertised tokens that it probably
	// lends, and minExpected the number below which a peer is asked blindly, at
	// most maxBlind of them a round.
	expectedPart = 0.5
	minExpected  = 0.1
	maxBlind     = 3
	// surgeWaiting is the queue length from which tokens are also asked for the
	// arrivals of the next surgeAhead, about a round trip between regions.
	surgeWaiting = 8
	surgeAhead   = 150 * time.Millisecond
	// keepFactor is the excess over the need at which a loan is still renewed.
	// Without it, loans would be returned and asked for again as demand varies.
	keepFactor = 1.05
	// urgentHold is the time after which a loan for waiting requests goes back if
	// the expected demand does not need it.
	urgentHold = 100 * time.Millisecond
	// minUrgentPause and maxUrgentPause bound the time between two rounds of
	// urgent requests that got nothing. It doubles with each round, so that a
	// customer beyond its rate costs few messages.
	minUrgentPause = 50 * time.Millisecond
	maxUrgentPause = 800 * time.Millisecond
	// yieldTime is the time in which a host that left the units of a single token
	// to another does not ask for them.
	yieldTime = 60 * time.Millisecond
	// requestMemory is the time after which an answer to a request is ignored.
	requestMemory = 2 * LoanDuration
)

// borrow asks peers for what the customer lacks on this host.
func (m *Machine) borrow(a *account, now machine.Instant) {
	if !a.active || now >= m.leaseUntil || now < a.yieldUntil || len(a.borrowed) >= maxBorrowed {
		return
	}
	if a.usage.Waiting > 0 && now >= a.urgentFrom {
		m.borrowForWaiting(a, now)
	}
	if !m.leaving && now >= a.plannedFrom {
		m.borrowForDemand(a, now)
	}
}

// borrowForDemand asks for what the expected demand lacks.
func (m *Machine) borrowForDemand(a *account, now machine.Instant) {
	held := a.held()
	need := a.need(rateHeadroom)
	purpose, pause := ForDemand, plannedPause
	if need <= held && a.pooling {
		purpose, pause = ForPool, poolPause
		need = fleet.TotalWeight
		for i := range a.lent {
			held += a.lent[i].units
		}
	}
	pending, _ := a.pending()
	short := need - held - pending
	if short <= need/50 {
		return
	}
	chunk := a.base.inForce / 4
	for _, c := range m.candidates(a, now, purpose) {
		if short <= 0 || len(a.asks) >= maxAsked {
			break
		}
		units := max(min(short, c.units), chunk)
		m.ask(a, c.host, Want{Units: uint32(units), Purpose: purpose}, 0, now)
		a.plannedFrom = now.Add(pause)
		short -= units
	}
}

// borrowForWaiting asks for tokens for the requests that wait.
func (m *Machine) borrowForWaiting(a *account, now machine.Instant) {
	missing := float64(a.usage.Waiting) - a.usage.Level
	if a.usage.Waiting >= surgeWaiting {
		missing += a.forecast.fast * surgeAhead.Seconds()
	}
	_, pending := a.pending()
	missing -= pending
	if missing <= 0 {
		return
	}
	if len(a.asks) == 0 {
		// take sets the pause back when a peer lends.
		a.urgentFrom = now.Add(a.urgentPause)
		a.urgentPause = max(minUrgentPause, min(maxUrgentPause, 2*a.urgentPause))
	}
	chunk := int64(0)
	if !a.small() {
		chunk = a.base.inForce / 32
	}
	if len(a.borrowed) > maxBorrowed/2 {
		chunk = a.base.inForce / 4
	}
	allowed := min(maxAsked-len(a.asks), a.urgent.refill(now), m.urgent.refill(now))
	blind := 0
	for _, c := range m.candidates(a, now, ForWaiting) {
		if missing <= 0 || allowed <= 0 {
			return
		}
		expected := c.tokens * expectedPart
		if expected < minExpected {
			if blind == maxBlind {
				return
			}
			blind++
		}
		tokens := min(missing, max(expected, 1))
		// Rounding of microtokens must not leave a token incomplete.
		units := max(a.tokenUnits(tokens*1.01+0.01), chunk)
		allowed--
		a.urgent.left--
		m.urgent.left--
		m.ask(a, c.host, Want{Units: uint32(units), Purpose: ForWaiting}, min(tokens, expected), now)
		missing -= expected
	}
}

type candidate struct {
	host   fleet.HostID
	units  int64
	tokens float64
	near   bool
	turn   int
	// enough is the number of tokens from which a peer counts as good as a richer
	// one; 0 if there is none.
	enough float64
}

// enoughTokens is the number of tokens of a keeper that make the nearest one first:
// most requests wait for one token, and one of another region is 70 to 110 ms away.
const enoughTokens = 2

// candidates returns the peers that can probably lend, the richest first: in
// units, or in tokens for waiting requests. Peers whose figures have the same
// power of two count as equal; the nearer one is first then, and after that each
// host starts at a different peer.
//
// Requests that wait also go to peers whose last figure is 0, after the others.
func (m *Machine) candidates(a *account, now machine.Instant, purpose Purpose) []candidate {
	members := m.view.Members
	self := slices.IndexFunc(members, func(v fleet.ViewMember) bool { return v.Member == m.view.Self })
	if self < 0 {
		return nil
	}
	list := make([]candidate, 0, len(members))
	for i := range members {
		peer := &members[i]
		if i == self || !peer.Reachable || !lends(peer) || a.asked(peer.Host) || m.silent(peer.Host, now) {
			continue
		}
		units, tokens := a.estimate(peer, now)
		if units < minLoan && purpose != ForWaiting {
			continue
		}
		near := peer.Region == members[self].Region
		turn := (i - self + len(members)) % len(members)
		c := candidate{host: peer.Host, units: units, tokens: tokens, near: near, turn: turn}
		if a.division != nil {
			c.enough = enoughTokens
		}
		list = append(list, c)
	}
	slices.SortFunc(list, func(x, y candidate) int {
		if c := cmp.Compare(y.class(purpose), x.class(purpose)); c != 0 {
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

// class returns the power of two of the figure that counts for a purpose.
func (c *candidate) class(purpose Purpose) int {
	if purpose == ForWaiting {
		tokens := c.tokens
		if c.enough > 0 {
			tokens = min(tokens, c.enough)
		}
		return bits.Len64(uint64(tokens / millitoken))
	}
	return bits.Len64(uint64(c.units))
}

// lends reports whether a member can hold a share.
func lends(peer *fleet.ViewMember) bool {
	return peer.State == fleet.StateActive || peer.State == fleet.StateLeaving
}

func (m *Machine) ask(a *account, peer fleet.HostID, w Want, tokens float64, now machine.Instant) {
	w.Customer = a.id
	w.Held = uint32(a.held())
	a.asks = append(a.asks, ask{peer: peer, units: int64(w.Units), tokens: tokens, at: now})
	r := m.requestTo(peer)
	r.Wants = append(r.Wants, w)
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
		if l.lentOn == 0 && !m.needs(a, l) {
			m.giveBack(a, i)
			continue
		}
		if half := l.until.Add(-LoanDuration / 2); now < half {
			l.renewAt = half
			i++
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
	if l.units < a.base.inForce/8 && !a.small() {
		// Loans for waiting requests are small. Expected demand is covered by larger ones.
		return false
	}
	need := float64(a.target(rateHeadroom)) * keepFactor
	return float64(a.held()-l.free()) < need
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

// returnAll returns every loan of a customer of which nothing is lent on.
func (m *Machine) returnAll(a *account) {
	for i := len(a.borrowed) - 1; i >= 0; i-- {
		if a.borrowed[i].lentOn == 0 {
			m.giveBack(a, i)
		}
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
		end := until
		if l.Millis > 0 {
			end = min(end, sent.at.Add(time.Duration(l.Millis)*time.Millisecond))
		}
		m.take(now, from, l, end)
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
	a.spares[from.Host] = figure{units: int64(l.Spare), tokens: float64(l.Stored) * millitoken, at: now}
	key := LoanKey{Lender: from, ID: l.ID}
	if l.Units > 0 && l.Units <= fleet.TotalWeight && until > now && a.findBorrowed(key) < 0 {
		a.borrowed = append(a.borrowed, borrowedLoan{
			key:     key,
			units:   int64(l.Units),
			until:   until,
			renewAt: min(now.Add(urgentHold), until.Add(-LoanDuration/2)),
		})
		a.urgentFrom, a.urgentPause = 0, 0
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
