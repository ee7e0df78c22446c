package membership

import (
	"github.com/catkinspring/catkinspring/fleet"
)

// markSilent marks the members that a majority of voters has not heard for a
// lease. If a majority is gone itself, the platform's list or a newer
// incarnation of the host takes the place of its answers.
func (m *Membership) markSilent(r *roster) bool {
	changed := false
	need := majority(m.known.voters())
	lost := m.majorityLost()
	for i := range m.known.Entries {
		e := &m.known.Entries[i]
		if !e.live() {
			continue
		}
		gone := lost && m.silentFor(e.Incarnation, m.o.LeaseDuration) && m.replaced(e)
		if gone || m.suspecting(e) >= need {
			changed = r.retire(e.Incarnation) || changed
		}
	}
	return changed
}

// suspecting counts the voters that have not heard a member for a lease.
func (m *Membership) suspecting(e *entry) int {
	return m.countVoters(func(voter *entry) bool {
		if voter.Incarnation == m.o.Self.Incarnation {
			return m.silentFor(e.Incarnation, m.o.LeaseDuration)
		}
		p := m.peers[voter.Incarnation]
		return m.heardWithin(voter.Incarnation, m.o.LeaseDuration/2) && p.suspects[e.Incarnation]
	})
}

// majorityLost reports whether too few voters answer to decide anything.
func (m *Membership) majorityLost() bool {
	heard := m.countVoters(func(e *entry) bool {
		return !e.Fenced && m.heardWithin(e.Incarnation, m.o.LeaseDuration)
	})
	return heard < majority(m.known.voters())
}

// reportMajority reports when a majority of the voters stops or starts to answer.
func (m *Membership) reportMajority() {
	lost := m.majorityLost()
	if lost == m.duty.lost {
		return
	}
	m.duty.lost = lost
	if lost {
		wait := m.o.LeaseDuration + m.wait()
		m.event("majority-lost", m.o.Cell, "members that were replaced are fenced when they were silent for "+wait.String())
		return
	}
	m.event("majority-back", m.o.Cell, "")
}

// replaced reports whether a host that does not answer has been replaced at its
// address, or is no longer on the platform's list.
func (m *Membership) replaced(e *entry) bool {
	if e.Superseded {
		return true
	}
	p := m.peers[e.Incarnation]
	return p != nil && m.contacts.unlistedSince(e.Host, p.heard.Add(m.o.LeaseDuration))
}

// fenceRetired fences the incarnations whose retirement a majority has known
// for a lease and its margin.
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

func (r *roster) fence(i fleet.Incarnation) {
	e := r.find(i)
	e.Fenced = true
	e.Changed = r.Generation
}

// gone reports whether a voter that will never answer certainly holds no lease:
// it is marked for a lease and its margin, was silent for a lease longer, and
// was replaced.
func (m *Membership) gone(e *entry) bool {
	if e.Fenced {
		return true
	}
	f := m.fences[e.Incarnation]
	if e.State != stateRetiring || f == nil || m.now.Instant.Sub(f.marked) <= m.wait() {
		return false
	}
	return m.silentFor(e.Incarnation, m.o.LeaseDuration+m.wait()) && m.replaced(e)
}

// recover replaces the voters when a majority of them is gone for good, as
// after the replacement of all hosts at once.
func (m *Membership) recover(r *roster) bool {
	if !m.majorityLost() {
		return false
	}
	for i := range m.known.Entries {
		e := &m.known.Entries[i]
		if e.Voter && !m.gone(e) && !m.heardWithin(e.Incarnation, m.o.LeaseDuration/2) {
			return false
		}
	}
	for i := range m.known.Entries {
		known := &m.known.Entries[i]
		e := r.find(known.Incarnation)
		if known.Voter && m.gone(known) {
			r.fence(e.Incarnation)
			e.Voter = false
		}
		if m.mayVote(known) {
			r.admit(e)
		}
	}
	r.Config = r.Generation
	return r.voters() > 0
}

// mayVote reports whether a joining member may become active.
func (m *Membership) mayVote(e *entry) bool {
	return e.State == stateJoining && m.heardWithin(e.Incarnation, m.o.LeaseDuration/2) &&
		m.confirmed(e.Incarnation) >= e.Changed
}

// admit makes a joining member an active voter.
func (r *roster) admit(e *entry) {
	e.State = stateActive
	e.Voter = true
	e.Changed = r.Generation
}

// changeVoters removes fenced voters and admits joining members, as many at
// once as leaves every majority of the old voters with a member in common with
// every majority of the new ones. The next change waits until a majority knows
// the last one.
func (m *Membership) changeVoters(r *roster) bool {
	if !m.majorityConfirmed(m.known.Config) {
		return false
	}
	before := m.known.voters()
	removed, added := 0, 0
	for i := range r.Entries {
		e := &r.Entries[i]
		if e.Voter && e.Fenced && overlaps(before, removed+1, added) {
			e.Voter = false
			removed++
		}
	}
	for i := range r.Entries {
		e := &r.Entries[i]
		if m.mayVote(e) && overlaps(before, removed, added+1) {
			r.admit(e)
			added++
		}
	}
	if removed+added == 0 {
		return false
	}
	r.Config = r.Generation
	return true
}

// overlaps reports whether any majority of the voters before a change has a
// member in common with any majority after it.
func overlaps(before, removed, added int) bool {
	after := before - removed + added
	return after > 0 && majority(before)+majority(after) > before+added
}

// dropSilentJoiners removes joining members that never arrived. They hold
// nothing.
func (m *Membership) dropSilentJoiners(r *roster) bool {
	changed := false
	for i := range m.known.Entries {
		e := &m.known.Entries[i]
		if e.State == stateJoining && m.silentFor(e.Incarnation, m.o.LeaseDuration+m.wait()) {
			r.remove(e.Incarnation)
			changed = true
		}
	}
	return changed
}

// dropFenced removes entries that neither vote nor hold anything.
func (r *roster) dropFenced() bool {
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
