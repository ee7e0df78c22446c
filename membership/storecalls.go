package membership

import (
	"time"

	"github.com/catkinspring/catkinspring/machine"
)

// storeState tracks the store call; at most one is pending at a time.
type storeState struct {
	id           uint64
	pending      bool
	pendingSince machine.Instant
	proposal     *roster // of a pending write; nil for a read
	value        []byte  // encoded form of proposal
	// generationBefore is the known generation when the pending read started.
	generationBefore uint64
	// mustRead is true from a failed write or a call without a result until the next
	// read starts.
	mustRead bool
	// absent is true if the last read found no roster.
	absent bool
	// behind is true if the last read found an older roster than the one known
	// before it, because the store was restored from a backup.
	behind bool
	// behindVersion is the store version of that older roster.
	behindVersion uint64
	// notBefore delays the next call after a failure.
	notBefore machine.Instant
	// failedWrites counts the consecutive failed writes.
	failedWrites int
	// readJitter is the random part of the interval until the next read.
	readJitter time.Duration
}

// callTimeout returns the time after which a store call counts as failed.
func (m *Membership) callTimeout() time.Duration {
	return 2 * m.options.LeaseDuration
}

// scheduleStore reads the roster when a read is due.
func (m *Membership) scheduleStore() {
	s := &m.store
	if s.pending && m.now.Instant.Sub(s.pendingSince) > m.callTimeout() {
		s.pending = false
		s.mustRead = true
	}
	if s.pending || m.now.Instant < s.notBefore || !m.readDue() {
		return
	}
	s.mustRead = false
	s.proposal = nil
	s.generationBefore = m.generation()
	m.startCall(machine.StoreCall{Op: machine.StoreGet})
}

func (m *Membership) startCall(c machine.StoreCall) {
	s := &m.store
	s.id++
	s.pending = true
	s.pendingSince = m.now.Instant
	c.ID = s.id
	c.Key = rosterKey(m.options.Cell)
	m.emit(c)
}

// readDue reports whether this host has to read the roster now. The interval
// grows with the rank of a member, so that usually one member reads and the
// others get the age of its read from heartbeats.
func (m *Membership) readDue() bool {
	if m.store.mustRead || m.known == nil && !m.store.absent || !m.read.known {
		return true
	}
	if m.store.absent || m.store.behind {
		return false
	}
	age := m.now.Instant.Sub(m.read.started)
	return age > m.options.LeaseDuration/readsPerLease+m.readDelay()+m.store.readJitter
}

// readDelay returns the part of the read interval that depends on the rank.
func (m *Membership) readDelay() time.Duration {
	if self := m.self(); self == nil || !m.quorumHealthy() {
		return 0
	}
	return min(time.Duration(m.rank())*m.options.LeaseDuration/6, m.options.LeaseDuration/2)
}

// newReadJitter returns the random part of the interval until the next read.
func (m *Membership) newReadJitter() time.Duration {
	return m.random(m.options.LeaseDuration / 24)
}

// quorumHealthy reports whether the acknowledgements alone keep the lease valid
// for another half of its duration.
func (m *Membership) quorumHealthy() bool {
	at, ok := m.quorumTime()
	return ok && m.now.Instant.Sub(at) < m.options.LeaseDuration/2
}

func (m *Membership) receiveStoreResult(in machine.StoreResult) {
	s := &m.store
	if !s.pending || in.ID != s.id {
		return
	}
	s.pending = false
	if s.proposal == nil {
		m.receiveReadResult(in)
		return
	}
	proposal := s.proposal
	s.proposal = nil
	m.receiveWriteResult(in, proposal)
}

func (m *Membership) receiveReadResult(in machine.StoreResult) {
	s := &m.store
	switch in.Outcome {
	case machine.StoreOK:
	case machine.StoreNotFound:
		s.absent = true
		m.read = storeRead{known: true, started: in.Started}
		return
	default:
		m.delayStore()
		return
	}
	if m.known != nil && in.Version == m.version {
		s.absent, s.behind = false, false
		m.recordRead(in.Started, m.known.Generation)
		return
	}
	r, err := decodeRoster(in.Value)
	if err != nil {
		m.event("roster-error", m.options.Cell, err.Error())
		m.delayStore()
		return
	}
	s.absent = false
	s.behind = r.Generation < s.generationBefore
	if s.behind {
		s.behindVersion = in.Version
		m.event("roster-restored", m.options.Cell, "the store holds an older roster than the fleet; it is written back")
		return
	}
	m.recordRead(in.Started, r.Generation)
	m.adopt(r, in.Version, in.Value)
}

// delayStore sets the backoff before the next call after a failed read.
func (m *Membership) delayStore() {
	wait := m.options.LeaseDuration / 24
	if m.self() != nil && m.quorumHealthy() {
		wait = m.options.LeaseDuration / readsPerLease
	}
	m.store.notBefore = m.now.Instant.Add(wait + m.random(wait))
}

func (m *Membership) receiveWriteResult(in machine.StoreResult, proposal *roster) {
	s := &m.store
	if in.Outcome != machine.StoreOK {
		s.mustRead = true
		s.failedWrites++
		backoff := m.options.LeaseDuration / 100 * time.Duration(min(s.failedWrites, 8))
		s.notBefore = m.now.Instant.Add(m.random(backoff))
		return
	}
	s.failedWrites = 0
	s.absent = false
	s.behind = false
	m.recordRead(in.Started, proposal.Generation)
	m.reportChanges(proposal)
	m.adopt(proposal, in.Version, s.value)
	m.pushRoster()
}

// reportChanges emits an event for each change of state in an own update.
func (m *Membership) reportChanges(r *roster) {
	for i := range r.Entries {
		e := &r.Entries[i]
		var old *entry
		if m.known != nil {
			old = m.known.find(e.Incarnation)
		}
		if old == nil || old.State != e.State {
			m.event("member-"+string(fleetStates[e.State]), e.member().String(), "")
		}
		if e.Fenced && (old == nil || !old.Fenced) {
			m.event("member-fenced", e.member().String(), "its weight and partitions are free")
		}
	}
}

// propose writes a roster to the store to replace the known one.
func (m *Membership) propose(r *roster) {
	r.sort()
	value, err := r.encode()
	if err != nil {
		m.event("roster-error", m.options.Cell, err.Error())
		return
	}
	m.store.proposal = r
	m.store.value = value
	switch {
	case m.store.absent:
		m.startCall(machine.StoreCall{Op: machine.StoreCreate, Value: value})
	case m.store.behind:
		m.startCall(machine.StoreCall{Op: machine.StoreUpdate, Version: m.store.behindVersion, Value: value})
	default:
		m.startCall(machine.StoreCall{Op: machine.StoreUpdate, Version: m.version, Value: value})
	}
}
