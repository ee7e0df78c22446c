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
	// maxPendingRequests bounds the pending requests for one customer.
	maxPendingRequests = 8
	// maxBorrowed bounds the loans of one customer on one host.
	maxBorrowed = 64
	// renewInterval is the time between two attempts to renew a loan.
	renewInterval = 250 * time.Millisecond
	// plannedInterval is the time between two rounds of requests for forecast demand,
	// poolInterval that between two rounds for a pool.
	plannedInterval = 300 * time.Millisecond
	poolInterval    = time.Second
	// expectedFraction is the share of a peer's advertised tokens that it probably
	// lends. A peer that probably lends fewer than minExpected tokens is only probed,
	// and at most maxProbes of them in a round.
	expectedFraction = 0.5
	minExpected      = 0.1
	maxProbes        = 3
	// surgeQueueLength is the queue length from which tokens are also requested for
	// the arrivals of the next surgeLookahead, about a round trip between regions.
	surgeQueueLength = 8
	surgeLookahead   = 150 * time.Millisecond
	// renewHysteresis is the factor of the need up to which loans are renewed.
	// Without it, loans would be returned and requested again as demand varies.
	renewHysteresis = 1.05
	// urgentHold is the time after which a loan for queued requests is returned if
	// the forecast demand does not need it.
	urgentHold = 100 * time.Millisecond
	// minUrgentBackoff and maxUrgentBackoff bound the backoff after a round of urgent
	// requests without a grant. It doubles with each round, so that a customer beyond
	// its rate costs few messages.
	minUrgentBackoff = 50 * time.Millisecond
	maxUrgentBackoff = 800 * time.Millisecond
	// yieldTime is the time in which a host that ceded the units of a single token to
	// another host requests none.
	yieldTime = 60 * time.Millisecond
	// sentRetention is the time after which an answer to a request is ignored.
	sentRetention = 2 * LoanDuration
)

// borrow asks peers for units if the customer needs more on this host.
func (m *Machine) borrow(a *account, now machine.Instant) {
	if !a.active || now >= m.leaseUntil || now < a.yieldUntil || len(a.borrowed) >= maxBorrowed {
		return
	}
	if a.usage.Waiting > 0 && now >= a.nextUrgent {
		m.borrowForWaiting(a, now)
	}
	if !m.leaving && now >= a.nextPlanned {
		m.borrowForDemand(a, now)
	}
}

// borrowForDemand requests the units that are missing for the forecast demand.
func (m *Machine) borrowForDemand(a *account, now machine.Instant) {
	held := a.held()
	need := a.need(rateHeadroom)
	purpose, interval := ForDemand, plannedInterval
	if need <= held && a.pooling {
		purpose, interval = ForPool, poolInterval
		need = fleet.TotalWeight
		for i := range a.lent {
			held += a.lent[i].units
		}
	}
	pending, _ := a.pending()
	deficit := need - held - pending
	if deficit <= need/50 {
		return
	}
	minUnits := a.base.effective / 4
	for _, c := range m.candidates(a, now, purpose) {
		if deficit <= 0 || len(a.pendingRequests) >= maxPendingRequests {
			break
		}
		units := max(min(deficit, c.units), minUnits)
		m.request(a, c.host, Want{Units: uint32(units), Purpose: purpose}, 0, now)
		a.nextPlanned = now.Add(interval)
		deficit -= units
	}
}

// borrowForWaiting requests tokens for queued requests.
func (m *Machine) borrowForWaiting(a *account, now machine.Instant) {
	missing := float64(a.usage.Waiting) - a.usage.Level
	if a.usage.Waiting >= surgeQueueLength {
		missing += a.forecast.fast * surgeLookahead.Seconds()
	}
	_, pending := a.pending()
	missing -= pending
	if missing <= 0 {
		return
	}
	if len(a.pendingRequests) == 0 {
		// addLoan resets the backoff when a peer lends.
		a.nextUrgent = now.Add(a.urgentBackoff)
		a.urgentBackoff = max(minUrgentBackoff, min(maxUrgentBackoff, 2*a.urgentBackoff))
	}
	minUnits := int64(0)
	if !a.small() {
		minUnits = a.base.effective / 32
	}
	if len(a.borrowed) > maxBorrowed/2 {
		minUnits = a.base.effective / 4
	}
	allowed := min(maxPendingRequests-len(a.pendingRequests), a.urgent.refill(now), m.urgent.refill(now))
	probes := 0
	for _, c := range m.candidates(a, now, ForWaiting) {
		if missing <= 0 || allowed <= 0 {
			return
		}
		expected := c.tokens * expectedFraction
		if expected < minExpected {
			if probes == maxProbes {
				return
			}
			probes++
		}
		tokens := min(missing, max(expected, 1))
		// Rounding to microtokens must not leave less than a whole token.
		units := max(a.tokenUnits(tokens*1.01+0.01), minUnits)
		allowed--
		a.urgent.available--
		m.urgent.available--
		m.request(a, c.host, Want{Units: uint32(units), Purpose: ForWaiting}, min(tokens, expected), now)
		missing -= expected
	}
}

type candidate struct {
	host       fleet.HostID
	units      int64
	tokens     float64
	sameRegion bool
	rotation   int
	// enough is the number of tokens from which more tokens do not rank a peer higher;
	// 0 if more always do.
	enough float64
}

// enoughTokens is the number of tokens from which quota holders rank equally, so that
// the nearest one comes first: most requests wait for one token, and other regions are
// 70 to 110 ms away.
const enoughTokens = 2

// candidates returns the peers that can probably lend, those with the most units
// first, or with the most tokens for queued requests. Peers whose amounts have the
// same power of two rank equally: the nearer one comes first then, and after that
// each host starts at a different peer.
//
// Queued requests also go to peers that last advertised 0, after the others.
func (m *Machine) candidates(a *account, now machine.Instant, purpose Purpose) []candidate {
	members := m.view.Members
	self := slices.IndexFunc(members, func(v fleet.ViewMember) bool { return v.Member == m.view.Self })
	if self < 0 {
		return nil
	}
	list := make([]candidate, 0, len(members))
	for i := range members {
		peer := &members[i]
		if i == self || !peer.Reachable || !canHoldShare(peer) || a.hasPending(peer.Host) || m.unresponsive(peer.Host, now) {
			continue
		}
		units, tokens := a.estimate(peer, now)
		if units < minLoan && purpose != ForWaiting {
			continue
		}
		sameRegion := peer.Region == members[self].Region
		rotation := (i - self + len(members)) % len(members)
		c := candidate{host: peer.Host, units: units, tokens: tokens, sameRegion: sameRegion, rotation: rotation}
		if a.division != nil {
			c.enough = enoughTokens
		}
		list = append(list, c)
	}
	slices.SortFunc(list, func(x, y candidate) int {
		if c := cmp.Compare(y.sizeClass(purpose), x.sizeClass(purpose)); c != 0 {
			return c
		}
		if x.sameRegion != y.sameRegion {
			if x.sameRegion {
				return -1
			}
			return 1
		}
		return cmp.Compare(x.rotation, y.rotation)
	})
	return list
}

// sizeClass returns the power of two of the amount that counts for a purpose.
func (c *candidate) sizeClass(purpose Purpose) int {
	if purpose == ForWaiting {
		tokens := c.tokens
		if c.enough > 0 {
			tokens = min(tokens, c.enough)
		}
		return bits.Len64(uint64(tokens / millitoken))
	}
	return bits.Len64(uint64(c.units))
}

// canHoldShare reports whether a member can hold a share.
func canHoldShare(peer *fleet.ViewMember) bool {
	return peer.State == fleet.StateActive || peer.State == fleet.StateLeaving
}

func (m *Machine) request(a *account, peer fleet.HostID, w Want, tokens float64, now machine.Instant) {
	w.Customer = a.id
	w.Held = uint32(a.held())
	a.pendingRequests = append(a.pendingRequests, request{peer: peer, units: int64(w.Units), tokens: tokens, at: now})
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

// flush sends the requests of the step, one per peer.
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

func (m *Machine) expireSent(now machine.Instant) {
	for sequence, s := range m.sent {
		if now.Sub(s.at) > sentRetention {
			delete(m.sent, sequence)
		}
	}
}

// renewLoans requests the renewal of the loans that are still needed and returns
// the others.
func (m *Machine) renewLoans(a *account, now machine.Instant) {
	for i := 0; i < len(a.borrowed); {
		l := &a.borrowed[i]
		if now < l.renewAt {
			i++
			continue
		}
		if l.sublent == 0 && !m.needsLoan(a, l) {
			m.returnLoan(a, i)
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

// needsLoan reports whether a loan is still needed.
func (m *Machine) needsLoan(a *account, l *borrowedLoan) bool {
	if m.leaving {
		return false
	}
	if a.usage.Waiting > 0 {
		return true
	}
	if l.units < a.base.effective/8 && !a.small() {
		// Loans for queued requests are small. Forecast demand is covered by larger ones.
		return false
	}
	need := float64(a.target(rateHeadroom)) * renewHysteresis
	return float64(a.held()-l.free()) < need
}

// returnLoan returns a loan before its end, with its share of the stored tokens.
func (m *Machine) returnLoan(a *account, i int) {
	l := a.borrowed[i]
	a.borrowed = slices.Delete(a.borrowed, i, i+1)
	tokens := m.shares.DropLoan(a.id, l.key)
	m.send(l.key.Lender.Host, Return{
		Lender: l.key.Lender.Incarnation,
		Loans:  []ReturnedLoan{{ID: l.key.ID, Microtokens: toMicrotokens(tokens)}},
	})
}

// returnAllLoans returns the loans of a customer that are not lent to other hosts.
func (m *Machine) returnAllLoans(a *account) {
	for i := len(a.borrowed) - 1; i >= 0; i-- {
		if a.borrowed[i].sublent == 0 {
			m.returnLoan(a, i)
		}
	}
}

// handleGrant handles the answer to a request. The duration of the loans counts
// from before the request was sent, so that they end here before they end at the
// lender.
func (m *Machine) handleGrant(now machine.Instant, from fleet.Member, g Grant) {
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
		m.addLoan(now, from, l, end)
	}
	if until <= now {
		return
	}
	for _, id := range g.Renewed {
		m.extendLoan(LoanKey{Lender: from, ID: id}, until)
	}
}

// addLoan adds a loan unless it has already ended.
func (m *Machine) addLoan(now machine.Instant, from fleet.Member, l Loan, until machine.Instant) {
	a := m.index[l.Customer]
	if a == nil || !a.active {
		return
	}
	a.removePending(from.Host)
	a.peerSpares[from.Host] = peerSpare{units: int64(l.Spare), tokens: float64(l.Stored) * millitoken, at: now}
	key := LoanKey{Lender: from, ID: l.ID}
	if l.Units > 0 && l.Units <= fleet.TotalWeight && until > now && a.findBorrowed(key) < 0 {
		a.borrowed = append(a.borrowed, borrowedLoan{
			key:     key,
			units:   int64(l.Units),
			until:   until,
			renewAt: min(now.Add(urgentHold), until.Add(-LoanDuration/2)),
		})
		a.nextUrgent, a.urgentBackoff = 0, 0
		m.shares.AddLoan(a.id, key, int64(l.Units), float64(l.Microtokens)*microtoken, until)
	}
	a.usage = m.shares.Observe(a.id, false)
	if a.usage.Waiting > 0 {
		m.borrow(a, now)
	}
}

// extendLoan extends a renewed loan.
func (m *Machine) extendLoan(key LoanKey, until machine.Instant) {
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
