package membership

import (
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// setUncommitted announces to all members that this host is about to grant
// claims that are not in the store.
func (m *Membership) setUncommitted(since machine.Instant) {
	if m.uncommitted.set {
		return
	}
	m.uncommitted = uncommittedState{set: true, since: since, sequence: m.heartbeat.sequence + 1}
	if m.self() == nil {
		return
	}
	m.heartbeatAll(flagReply)
	m.checkUncommitted()
}

// checkUncommitted reports once that a majority remembers the announcement. An
// acknowledgement counts under the same rule as one of the lease.
func (m *Membership) checkUncommitted() {
	u := &m.uncommitted
	if !u.set || u.acknowledged || m.self() == nil {
		return
	}
	n := m.countVoters(func(e *entry) bool {
		if e.Incarnation == m.o.Self.Incarnation {
			return true
		}
		p := m.peers[e.Incarnation]
		return p != nil && p.acknowledged >= u.sequence
	})
	if n < majority(m.known.voters()) {
		return
	}
	u.acknowledged = true
	m.emit(UncommittedAcknowledged{Since: u.since})
}

// mergeUncommitted writes into the roster who may have granted uncommitted
// claims. Each update carries it, so that the knowledge outlives the voters
// that acknowledged it.
func (m *Membership) mergeUncommitted(r *roster) {
	remembered := map[fleet.Incarnation]bool{}
	for _, p := range m.peers {
		for i := range p.remembers {
			remembered[i] = true
		}
	}
	for i := range r.Entries {
		e := &r.Entries[i]
		if e.Incarnation == m.o.Self.Incarnation {
			e.Uncommitted = m.uncommitted.set
			continue
		}
		p := m.peers[e.Incarnation]
		switch {
		case remembered[e.Incarnation] || p != nil && p.uncommitted:
			e.Uncommitted = true
		case e.live() && m.heardWithin(e.Incarnation, m.o.LeaseDuration/2):
			e.Uncommitted = false
		}
	}
}
