package membership

import (
	"slices"
	"time"

	"github.com/catkinspring/catkinspring/machine"
)

// updateLease renews the lease from the most recent store read and from the
// acknowledgements of the voters.
func (m *Membership) updateLease() {
	self := m.self()
	if self == nil || !self.live() || m.leaving.fenced {
		return
	}
	until := m.lease
	if m.read.known && m.read.generation <= m.known.Generation {
		until = max(until, m.read.started.Add(m.options.LeaseDuration))
	}
	if at, ok := m.quorumTime(); ok {
		until = max(until, at.Add(m.options.LeaseDuration))
	}
	if until <= m.lease {
		return
	}
	m.lease = until
	m.emit(LeaseRenewed{ValidUntil: until})
}

// endLease gives up the lease at once.
func (m *Membership) endLease() {
	if m.lease > m.now.Instant {
		m.lease = m.now.Instant
	}
	m.emit(LeaseRenewed{ValidUntil: m.lease})
}

// quorumTime returns the latest instant for which a majority of the voters is
// known to have acknowledged the lease.
//
// A single voter renews its lease without others, but only while the lease is
// valid: after a process pause it has to read the store.
func (m *Membership) quorumTime() (machine.Instant, bool) {
	times := make([]machine.Instant, 0, len(m.known.Entries))
	for i := range m.known.Entries {
		e := &m.known.Entries[i]
		if !e.Voter {
			continue
		}
		if e.Incarnation == m.options.Self.Incarnation {
			times = append(times, m.now.Instant)
		} else if p := m.peers[e.Incarnation]; p != nil && p.leaseAcked {
			times = append(times, p.lease)
		}
	}
	voters := m.known.voters()
	quorum := majority(voters)
	if len(times) < quorum {
		return 0, false
	}
	if voters == 1 && m.lease < m.now.Instant {
		return 0, false
	}
	slices.SortFunc(times, func(a, b machine.Instant) int { return int(b.Sub(a)) })
	return times[quorum-1], true
}

// acknowledges reports whether this host acknowledges the lease of a peer.
//
// It refuses a peer that has an older set of voters. Otherwise a few partitioned
// hosts with an old roster could acknowledge each other while the others replace
// them (README.md).
func (m *Membership) acknowledges(e *entry, p *peer) bool {
	if m.now.Instant.Sub(m.started) < m.expiryWait() {
		// An earlier incarnation of this host may have confirmed a conflicting roster.
		return false
	}
	return e.live() && p.sequence > 0 && p.generation >= m.known.Config
}

// updateFences records when this host learns of a retirement and when a majority
// of the voters has confirmed it.
func (m *Membership) updateFences() {
	if m.known == nil {
		return
	}
	for i := range m.known.Entries {
		e := &m.known.Entries[i]
		if e.State != stateRetiring || e.Fenced {
			continue
		}
		f := m.fences[e.Incarnation]
		if f == nil {
			f = &fence{observedAt: m.now.Instant}
			m.fences[e.Incarnation] = f
		}
		if !f.confirmed && m.majorityConfirmed(e.Changed) {
			f.confirmed = true
			f.confirmedAt = m.now.Instant
		}
	}
}

// fenceable reports whether a retiring incarnation certainly holds no lease: a
// majority confirmed its retirement more than a lease duration plus margin ago.
func (m *Membership) fenceable(e *entry) bool {
	f := m.fences[e.Incarnation]
	return f != nil && f.confirmed && m.now.Instant.Sub(f.confirmedAt) > m.expiryWait()
}

// readAge returns the age of the most recent read for a heartbeat, with the
// drift between two clocks added: milliseconds plus 1, or 0 if there is none.
func (m *Membership) readAge() uint32 {
	if !m.read.known {
		return 0
	}
	age := m.now.Instant.Sub(m.read.started)
	age += age / driftDivisor
	if age > m.options.LeaseDuration {
		return 0
	}
	return uint32((age+time.Millisecond-1)/time.Millisecond) + 1
}

// driftDivisor is the inverse of 0.2%, which is twice the maximum drift of 0.1%
// between two monotonic clocks.
const driftDivisor = 500

// recordRead records a store read that found a generation.
func (m *Membership) recordRead(started machine.Instant, generation uint64) {
	if m.read.known && started <= m.read.started {
		return
	}
	m.read = storeRead{known: true, started: started, generation: generation}
	m.store.readJitter = m.newReadJitter()
}
