package limits

import (
	"fmt"
	"slices"

	"github.com/catkinspring/catkinspring/machine"
)

// baseShare is a host's share of a limit by the view, in units.
type baseShare struct {
	// effective is the share that applies now.
	effective int64
	// increases are the increases that have not taken effect, ascending.
	increases []shareIncrease
	// reduced is the share from reduceAt on, 0 if no reduction is due. Until then the host
	// uses the larger share, but lends only from the reduced one.
	reduced  int64
	reduceAt machine.Instant
}

// shareIncrease is an increased base share and the time at which it takes effect.
type shareIncrease struct {
	share int64
	at    machine.Instant
}

// set applies the share of a new view: a decrease at reduceAt, or at once if that is 0,
// and an increase at increaseAt. It reports whether the share in effect decreased.
func (s *baseShare) set(units int64, reduceAt, increaseAt machine.Instant) bool {
	s.capIncreases(units)
	s.reduced, s.reduceAt = 0, 0
	reduced := units < s.effective && reduceAt == 0
	switch {
	case reduced:
		s.effective = units
	case units < s.effective:
		s.reduced, s.reduceAt = units, reduceAt
	}
	if units > s.pending() {
		s.increases = append(s.increases, shareIncrease{share: units, at: increaseAt})
	}
	return reduced
}

// lendable returns the share of which units may be lent.
func (s *baseShare) lendable() int64 {
	if s.reduceAt > 0 {
		return s.reduced
	}
	return s.effective
}

// capIncreases caps the pending increases at a share. A capped increase keeps its
// time, because the smaller share has been allowed since it was recorded.
func (s *baseShare) capIncreases(units int64) {
	for i := range s.increases {
		if s.increases[i].share >= units {
			s.increases[i].share = units
			s.increases = s.increases[:i+1]
			break
		}
	}
	for len(s.increases) > 0 && s.increases[len(s.increases)-1].share <= s.effective {
		s.increases = s.increases[:len(s.increases)-1]
	}
}

// pending returns the share once all increases have taken effect.
func (s *baseShare) pending() int64 {
	if len(s.increases) == 0 {
		return s.effective
	}
	return s.increases[len(s.increases)-1].share
}

// applyChanges applies the changes that are due and reports whether there were any. Increases
// wait until they are allowed.
func (s *baseShare) applyChanges(now machine.Instant, increase bool) bool {
	changed := s.reduceAt > 0 && now >= s.reduceAt
	if changed {
		s.effective, s.reduceAt = s.reduced, 0
	}
	for increase && len(s.increases) > 0 && now >= s.increases[0].at {
		s.effective, s.increases = s.increases[0].share, s.increases[1:]
		changed = true
	}
	return changed
}

// forNewCustomer returns the base share of a customer that no host had before, for
// a host whose share of all limits is s. Other hosts may still divide a limit by an
// older view, so a host that waits for a larger share also waits with its share of
// a divided limit.
func (s *baseShare) forNewCustomer(units int64, divided bool) baseShare {
	if !divided {
		return baseShare{effective: s.effective, increases: slices.Clone(s.increases)}
	}
	if len(s.increases) > 0 {
		return baseShare{increases: []shareIncrease{{share: units, at: s.increases[len(s.increases)-1].at}}}
	}
	if s.effective == 0 {
		return baseShare{}
	}
	return baseShare{effective: units}
}

// updateDivisions recomputes the divisions and the allotted units of the customers. Most
// views differ only in the state of hosts and need neither.
func (m *Machine) updateDivisions(redivide, reallot bool) {
	for _, a := range m.accounts {
		if redivide {
			a.division = m.divisionOf(a)
		}
		if reallot {
			a.allotted = m.allotted.units(a.id, a.burst)
		}
	}
}

// setBase sets the host's share of all limits and those of the customers. A smaller share of
// a customer's limit takes effect at reduceAt, or at once if that is 0.
func (m *Machine) setBase(now machine.Instant, weight int64, reduceAt machine.Instant) {
	increaseAt := m.increaseAt(now, weight)
	if m.base.set(weight, 0, increaseAt) {
		m.publishJoined(now)
		m.event(eventShare, "", fmt.Sprintf("base share reduced to %d units", weight))
	}
	for _, a := range m.accounts {
		if a.base.set(m.unitsOf(a), reduceAt, increaseAt) {
			m.expireLoans(a, now)
			m.publishUnits(a)
		}
	}
}

// increaseAt returns when an increase of the base share takes effect. Hosts that record
// their divisions have waited for the ends of their loans before.
func (m *Machine) increaseAt(now machine.Instant, weight int64) machine.Instant {
	if m.recorded {
		m.startSharing(now)
		return max(now, m.shareFrom)
	}
	delay := increaseDelay
	if m.successor && weight > m.base.pending() {
		delay, m.successor = successionDelay, false
	}
	return now.Add(delay)
}

// startSharing sets when the process begins to take part, once it is registered.
func (m *Machine) startSharing(now machine.Instant) {
	if m.joinAt > 0 || m.allotted == nil {
		return
	}
	m.joinAt = now.Add(increaseDelay)
	switch {
	case m.successor:
		m.joinAt = now.Add(successionDelay)
		m.shareFrom = max(m.shareFrom, m.joinAt)
	case m.allotted.joined():
		m.shareFrom = max(m.shareFrom, m.joinAt)
	}
}

// publishJoined publishes whether the host takes part in the limits. One that records
// its divisions does so also while others hold all of a limit: it borrows.
func (m *Machine) publishJoined(now machine.Instant) {
	joined := m.base.effective > 0
	if m.recorded {
		joined = m.joinAt > 0 && (joined || now >= m.joinAt)
	}
	if joined != m.joined {
		m.joined = joined
		m.shares.SetJoined(joined)
	}
}

// divisionOf returns the division of a customer's limit in the current view.
func (m *Machine) divisionOf(a *account) Division {
	if m.divide == nil {
		return nil
	}
	return m.divide(m.view, a.id, a.burst).byHolder(m.view)
}

// unitsOf returns the base share of a customer that the current view gives to this
// host.
func (m *Machine) unitsOf(a *account) int64 {
	self := m.view.Find(m.view.Self.Host)
	if self == nil || self.Member != m.view.Self {
		return 0
	}
	if m.recorded {
		return min(a.division.units(self), a.allotted)
	}
	return a.division.units(self)
}

// applyShares applies the changes of base shares that are due.
func (m *Machine) applyShares(now machine.Instant) {
	increase := now >= m.sharesFrom
	raised := m.base.applyChanges(now, increase)
	m.publishJoined(now)
	if raised {
		m.event(eventShare, "", fmt.Sprintf("base share raised to %d units", m.base.effective))
	}
	for _, a := range m.accounts {
		if a.base.applyChanges(now, increase) {
			m.expireLoans(a, now)
			m.publishUnits(a)
		}
	}
}
