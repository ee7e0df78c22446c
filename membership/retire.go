package membership

import (
	"github.com/catkinspring/catkinspring/fleet"
)

// retireUnresponsive retires the members from which a majority of the voters has
// received no heartbeat for a lease duration. If no majority answers, it retires
// unresponsive members that are no longer on the platform's list or that a newer
// incarnation of the host has replaced.
func (m *Membership) retireUnresponsive(r *roster) bool {
	changed := false
	quorum := majority(m.known.voters())
	lost := m.majorityLost()
	for i := range m.known.Entries {
		e := &m.known.Entries[i]
		if !e.live() {
			continue
		}
		presumedGone := lost && m.unresponsiveFor(e.Incarnation, m.options.LeaseDuration) && m.replaced(e)
		if presumedGone || m.countSuspecting(e) >= quorum {
			changed = r.retire(e.Incarnation) || changed
		}
	}
	return changed
}

// countSuspecting counts the voters that have received no heartbeat of a member
// for a lease duration.
func (m *Membership) countSuspecting(e *entry) int {
	return m.countVoters(func(voter *entry) bool {
		if voter.Incarnation == m.options.Self.Incarnation {
			return m.unresponsiveFor(e.Incarnation, m.options.LeaseDuration)
		}
		p := m.peers[voter.Incarnation]
		return m.seenWithin(voter.Incarnation, m.options.LeaseDuration/2) && p.suspects[e.Incarnation]
	})
}

// majorityLost reports whether fewer than a majority of the voters answer.
func (m *Membership) majorityLost() bool {
	responsive := m.countVoters(func(e *entry) bool {
		return !e.Fenced && m.seenWithin(e.Incarnation, m.options.LeaseDuration)
	})
	return responsive < majority(m.known.voters())
}

// reportMajority emits an event when the majority of the voters is lost or back.
func (m *Membership) reportMajority() {
	lost := m.majorityLost()
	if lost == m.maintenance.lost {
		return
	}
	m.maintenance.lost = lost
	if lost {
		expiryWait := m.options.LeaseDuration + m.expiryWait()
		m.event("majority-lost", m.options.Cell, "members that were replaced are fenced when they were silent for "+expiryWait.String())
		return
	}
	m.event("majority-back", m.options.Cell, "")
}

// replaced reports whether an unresponsive host has been replaced at its address
// or is no longer on the platform's list.
func (m *Membership) replaced(e *entry) bool {
	if e.Superseded {
		return true
	}
	p := m.peers[e.Incarnation]
	return p != nil && m.contacts.unlistedSince(e.Host, p.lastSeen.Add(m.options.LeaseDuration))
}

// fenceRetired fences the incarnations whose retirement a majority confirmed more
// than a lease duration plus margin ago.
func (m *Membership) fenceRetired(r *roster) bool {
	changed := false
	for i := range m.known.Entries {
		e := &m.known.Entries[i]
		if e.State == stateRetiring && !e.Fenced && m.fenceable(e) {
			r.fence(e.Incarnation)
			changed = true
		}
	}
	return changed
}

func (r *roster) fence(incarnation fleet.Incarnation) {
	e := r.find(incarnation)
	e.Fenced = true
	e.Changed = r.Generation
}

// permanentlyGone reports whether a voter will never answer and certainly holds
// no lease: it was retired more than a lease duration plus margin ago, has been
// unresponsive for one lease duration longer, and was replaced.
func (m *Membership) permanentlyGone(e *entry) bool {
	if e.Fenced {
		return true
	}
	f := m.fences[e.Incarnation]
	if e.State != stateRetiring || f == nil || m.now.Instant.Sub(f.observedAt) <= m.expiryWait() {
		return false
	}
	return m.unresponsiveFor(e.Incarnation, m.options.LeaseDuration+m.expiryWait()) && m.replaced(e)
}

// recover replaces the set of voters when a majority of them is
// permanently gone, as after the replacement of all hosts at once.
func (m *Membership) recover(r *roster) bool {
	if !m.majorityLost() {
		return false
	}
	for i := range m.known.Entries {
		e := &m.known.Entries[i]
		if e.Voter && !m.permanentlyGone(e) && !m.seenWithin(e.Incarnation, m.options.LeaseDuration/2) {
			return false
		}
	}
	for i := range m.known.Entries {
		known := &m.known.Entries[i]
		e := r.find(known.Incarnation)
		if known.Voter && m.permanentlyGone(known) {
			r.fence(e.Incarnation)
			e.Voter = false
		}
		if m.canBecomeVoter(known) {
			r.activate(e)
		}
	}
	r.Config = r.Generation
	return r.voters() > 0
}

// canBecomeVoter reports whether a joining member may become active.
func (m *Membership) canBecomeVoter(e *entry) bool {
	return e.State == stateJoining && m.seenWithin(e.Incarnation, m.options.LeaseDuration/2) &&
		m.confirmed(e.Incarnation) >= e.Changed
}

// activate makes a joining member an active voter.
func (r *roster) activate(e *entry) {
	e.State = stateActive
	e.Voter = true
	e.Changed = r.Generation
}

// changeVoters removes fenced voters and activates joining members. It changes
// at most so many at once that every majority of the old voters intersects every
// majority of the new ones. The next change waits until a majority has confirmed
// the last one.
func (m *Membership) changeVoters(r *roster) bool {
	if !m.majorityConfirmed(m.known.Config) {
		return false
	}
	before := m.known.voters()
	removed, added := 0, 0
	for i := range r.Entries {
		e := &r.Entries[i]
		if e.Voter && e.Fenced && majoritiesIntersect(before, removed+1, added) {
			e.Voter = false
			removed++
		}
	}
	for i := range r.Entries {
		e := &r.Entries[i]
		if m.canBecomeVoter(e) && majoritiesIntersect(before, removed, added+1) {
			r.activate(e)
			added++
		}
	}
	if removed+added == 0 {
		return false
	}
	r.Config = r.Generation
	return true
}

// majoritiesIntersect reports whether every majority of the voters before a
// change has a member in common with every majority after it.
func majoritiesIntersect(before, removed, added int) bool {
	after := before - removed + added
	return after > 0 && majority(before)+majority(after) > before+added
}

// removeUnresponsiveJoiners removes joining members that send no heartbeats. They
// hold neither weight nor partitions.
func (m *Membership) removeUnresponsiveJoiners(r *roster) bool {
	changed := false
	for i := range m.known.Entries {
		e := &m.known.Entries[i]
		if e.State == stateJoining && m.unresponsiveFor(e.Incarnation, m.options.LeaseDuration+m.expiryWait()) {
			r.remove(e.Incarnation)
			changed = true
		}
	}
	return changed
}

// removeFenced removes fenced entries that neither vote nor hold weight or
// partitions.
func (r *roster) removeFenced() bool {
	owners := map[fleet.Incarnation]bool{}
	for i := range r.Partitions {
		owners[r.Partitions[i].Owner] = true
	}
	changed := false
	for i := len(r.Entries) - 1; i >= 0; i-- {
		e := r.Entries[i]
		if e.Fenced && !e.Voter && e.Bound == 0 && !owners[e.Incarnation] {
			r.remove(e.Incarnation)
			changed = true
		}
	}
	return changed
}
