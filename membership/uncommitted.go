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
	m.broadcastHeartbeat(flagReply)
	m.checkUncommitted()
}

// checkUncommitted emits UncommittedAcknowledged once, when a majority has
// acknowledged the announcement. As for the lease, only heartbeats with flagLease
// count as acknowledgements.
func (m *Membership) checkUncommitted() {
	u := &m.uncommitted
	if !u.set || u.acknowledged || m.self() == nil {
		return
	}
	n := m.countVoters(func(e *entry) bool {
		if e.Incarnation == m.options.Self.Incarnation {
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

// mergeUncommitted records in the roster which incarnations may have granted
// uncommitted claims. Each update carries this, so that it is not lost with the
// voters that acknowledged it.
func (m *Membership) mergeUncommitted(r *roster) {
	reported := map[fleet.Incarnation]bool{}
	for _, p := range m.peers {
		for i := range p.reportsUncommitted {
			reported[i] = true
		}
	}
	for i := range r.Entries {
		e := &r.Entries[i]
		if e.Incarnation == m.options.Self.Incarnation {
			e.Uncommitted = m.uncommitted.set
			continue
		}
		p := m.peers[e.Incarnation]
		switch {
		case reported[e.Incarnation] || p != nil && p.uncommitted:
			e.Uncommitted = true
		case e.live() && m.seenWithin(e.Incarnation, m.options.LeaseDuration/2):
			e.Uncommitted = false
		}
	}
}
