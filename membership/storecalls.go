package membership

import (
	"time"

	"github.com/catkinspring/catkinspring/machine"
)

// storeState follows the one store call that is open at a time.
type storeState struct {
	id       uint64
	open     bool
	opened   machine.Instant
	proposal *roster // of an open write; nil for a read
	value    []byte  // encoded form of proposal
	// before is the known generation when the open read started.
	before uint64
	// mustRead is true if the last write did not take effect for certain.
	mustRead bool
	// absent is true if the last read found no roster.
	absent bool
	// behind is true if the last read found an older roster than was known
	// before it: the store was restored from a backup.
	behind bool
	// behindVersion is the store version of that older roster.
	behindVersion uint64
	// notBefore delays the next call after a failure.
	notBefore machine.Instant
	// conflicts counts the writes in a row that another host overtook.
	conflicts int
	// spread is the random part of the wait for the next read.
	spread time.Duration
}

// callTimeout bounds the wait for the result of a store call.
func (m *Membership) callTimeout() time.Duration {
	return 2 * m.o.LeaseDuration
}

// scheduleStore reads the roster when that is due.
func (m *Membership) scheduleStore() {
	s := &m.store
	if s.open && m.now.Instant.Sub(s.opened) > m.callTimeout() {
		s.open = false
		s.mustRead = true
	}
	if s.open || m.now.Instant < s.notBefore || !m.readDue() {
		return
	}
	s.mustRead = false
	s.proposal = nil
	s.before = m.generation()
	m.call(machine.StoreCall{Op: machine.StoreGet})
}

func (m *Membership) call(c machine.StoreCall) {
	s := &m.store
	s.id++
	s.open = true
	s.opened = m.now.Instant
	c.ID = s.id
	c.Key = rosterKey(m.o.Cell)
	m.emit(c)
}

// readDue reports whether this host has to read the roster now. The members
// take different waits by their rank, so that usually one of them reads and the
// others learn the age of its read from heartbeats.
func (m *Membership) readDue() bool {
	if m.store.mustRead || m.known == nil && !m.store.absent || !m.read.known {
		return true
	}
	if m.store.absent || m.store.behind {
		return false
	}
	age := m.now.Instant.Sub(m.read.started)
	return age > m.o.LeaseDuration/readsPerLease+m.readDelay()+m.store.spread
}

// readDelay is the part of the wait for a read that depends on the rank.
func (m *Membership) readDelay() time.Duration {
	if self := m.self(); self == nil || !m.quorumHealthy() {
		return 0
	}
	return min(time.Duration(m.rank())*m.o.LeaseDuration/6, m.o.LeaseDuration/2)
}

// spreadRead returns the random part of the wait for the next read.
func (m *Membership) spreadRead() time.Duration {
	return m.random(m.o.LeaseDuration / 24)
}

// quorumHealthy reports whether the acknowledgements alone keep the lease valid
// for another half of its duration.
func (m *Membership) quorumHealthy() bool {
	at, ok := m.quorumTime()
	return ok && m.now.Instant.Sub(at) < m.o.LeaseDuration/2
}

func (m *Membership) storeResult(in machine.StoreResult) {
	s := &m.store
	if !s.open || in.ID != s.id {
		return
	}
	s.open = false
	if s.proposal == nil {
		m.readResult(in)
		return
	}
	proposal := s.proposal
	s.proposal = nil
	m.writeResult(in, proposal)
}

func (m *Membership) readResult(in machine.StoreResult) {
	s := &m.store
	switch in.Outcome {
	case machine.StoreOK:
	case machine.StoreNotFound:
		s.absent = true
		m.read = readMark{known: true, started: in.Started}
		return
	default:
		m.delayStore()
		return
	}
	if m.known != nil && in.Version == m.version {
		s.absent, s.behind = false, false
		m.noteRead(in.Started, m.known.Generation)
		return
	}
	r, err := decodeRoster(in.Value)
	if err != nil {
		m.event("roster-error", m.o.Cell, err.Error())
		m.delayStore()
		return
	}
	s.absent = false
	s.behind = r.Generation < s.before
	if s.behind {
		s.behindVersion = in.Version
		m.event("roster-restored", m.o.Cell, "the store holds an older roster than the fleet; it is written back")
		return
	}
	m.noteRead(in.Started, r.Generation)
	m.adopt(r, in.Version, in.Value)
}

// delayStore spaces the calls while the store fails.
func (m *Membership) delayStore() {
	wait := m.o.LeaseDuration / 24
	if m.self() != nil && m.quorumHealthy() {
		wait = m.o.LeaseDuration / readsPerLease
	}
	m.store.notBefore = m.now.Instant.Add(wait + m.random(wait))
}

func (m *Membership) writeResult(in machine.StoreResult, proposal *roster) {
	s := &m.store
	if in.Outcome != machine.StoreOK {
		s.mustRead = true
		s.conflicts++
		backoff := m.o.LeaseDuration / 100 * time.Duration(min(s.conflicts, 8))
		s.notBefore = m.now.Instant.Add(m.random(backoff))
		return
	}
	s.conflicts = 0
	s.absent = false
	s.behind = false
	m.noteRead(in.Started, proposal.Generation)
	m.reportChanges(proposal)
	m.adopt(proposal, in.Version, s.value)
	m.pushRoster()
}

// reportChanges puts the changes of state of an own update on the time line.
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

// propose writes a roster in place of the known one.
func (m *Membership) propose(r *roster) {
	r.sort()
	value, err := r.encode()
	if err != nil {
		m.event("roster-error", m.o.Cell, err.Error())
		return
	}
	m.store.proposal = r
	m.store.value = value
	switch {
	case m.store.absent:
		m.call(machine.StoreCall{Op: machine.StoreCreate, Value: value})
	case m.store.behind:
		m.call(machine.StoreCall{Op: machine.StoreUpdate, Version: m.store.behindVersion, Value: value})
	default:
		m.call(machine.StoreCall{Op: machine.StoreUpdate, Version: m.version, Value: value})
	}
}
