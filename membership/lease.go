package membership

import (
	"slices"
	"time"

	"github.com/catkinspring/catkinspring/machine"
)

// updateLease renews the lease from the freshest store read and from the
// acknowledgements of the voters.
func (m *Membership) updateLease() {
	self := m.self()
	if self == nil || !self.live() || m.leaving.fenced {
		return
	}
	until := m.lease
	if m.read.known && m.read.generation <= m.known.Generation {
		until = max(until, m.read.started.Add(m.o.LeaseDuration))
	}
	if at, ok := m.quorumTime(); ok {
		until = max(until, at.Add(m.o.LeaseDuration))
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

// quorumTime returns the latest instant at which a majority of the voters is
// known to have still acknowledged the lease.
//
// A cell with one voter has no one else to ask. It renews its lease by itself
// only while the lease is valid: after a pause it has to read the store.
func (m *Membership) quorumTime() (machine.Instant, bool) {
	times := make([]machine.Instant, 0, len(m.known.Entries))
	for i := range m.known.Entries {
		e := &m.known.Entries[i]
		if !e.Voter {
			continue
		}
		if e.Incarnation == m.o.Self.Incarnation {
			times = append(times, m.now.Instant)
		} else if p := m.peers[e.Incarnation]; p != nil && p.leased {
			times = append(times, p.lease)
		}
	}
	voters := m.known.voters()
	need := majority(voters)
	if len(times) < need {
		return 0, false
	}
	if voters == 1 && m.lease < m.now.Instant {
		return 0, false
	}
	slices.SortFunc(times, func(a, b machine.Instant) int { return int(b.Sub(a)) })
	return times[need-1], true
}

// acknowledges reports whether this host acknowledges the lease of a peer.
//
// It refuses a peer that knows an older set of voters. Without that, a few hosts
// cut off with an old roster could acknowledge each other while the others
// replace them (README.md).
func (m *Membership) acknowledges(e *entry, p *peer) bool {
	if m.now.Instant.Sub(m.started) < m.wait() {
		// An earlier incarnation at this address may have promised otherwise.
		return false
	}
	return e.live() && p.sequence > 0 && p.generation >= m.known.Config
}

// updateFences notes when retirements become known and are agreed on.
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
			f = &fence{marked: m.now.Instant}
			m.fences[e.Incarnation] = f
		}
		if !f.hasAgreed && m.majorityConfirmed(e.Changed) {
			f.hasAgreed = true
			f.agreed = m.now.Instant
		}
	}
}

// fenceable reports whether a retiring incarnation certainly holds no lease:
// a majority has known of the mark for a lease and its margin.
func (m *Membership) fenceable(e *entry) bool {
	f := m.fences[e.Incarnation]
	return f != nil && f.hasAgreed && m.now.Instant.Sub(f.agreed) > m.wait()
}

// readAge returns the age of the freshest read for a heartbeat, with the drift
// between two clocks added: milliseconds plus 1, or 0.
func (m *Membership) readAge() uint32 {
	if !m.read.known {
		return 0
	}
	age := m.now.Instant.Sub(m.read.started)
	age += age / driftDivisor
	if age > m.o.LeaseDuration {
		return 0
	}
	return uint32((age+time.Millisecond-1)/time.Millisecond) + 1
}

// driftDivisor is the inverse of twice the bound of the drift between two
// monotonic clocks, 0.1%.
const driftDivisor = 500

// noteRead records a store read that found a generation.
func (m *Membership) noteRead(started machine.Instant, generation uint64) {
	if m.read.known && started <= m.read.started {
		return
	}
	m.read = readMark{known: true, started: started, generation: generation}
	m.store.spread = m.spreadRead()
}
