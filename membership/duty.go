package membership

import (
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// maintenanceState schedules the roster updates of this host.
type maintenanceState struct {
	nextAt machine.Instant
	// pendingSince is when an update was first found necessary; 0 for none.
	pendingSince machine.Instant
	// idle is the generation that needs no update unless a member becomes
	// unresponsive; 0 for none.
	idle uint64
	// lost is true while no majority of the voters answers.
	lost bool
}

// leaveState tracks the departure of this host from the cell.
type leaveState struct {
	requested bool
	// since is when the roster first showed the host as leaving.
	since machine.Instant
	// fenced is true once the host has permanently given up its lease.
	fenced bool
}

// maintainRoster updates the roster if it needs a change that this host may
// make. It changes its own entry at once and everything else after a delay that
// grows with its rank, so that usually one host writes and the next one takes
// over if that one can't.
func (m *Membership) maintainRoster() {
	if m.store.pending || m.now.Instant < m.maintenance.nextAt || m.now.Instant < m.store.notBefore || m.store.mustRead {
		return
	}
	m.maintenance.nextAt = m.now.Instant.Add(rosterUpdateInterval)
	if m.known == nil {
		if m.leaving.requested {
			m.leaveBeforeJoining()
		} else if m.store.absent {
			m.propose(m.firstRoster())
		}
		return
	}
	if r := m.ownEntryUpdate(); r != nil {
		m.propose(r)
		return
	}
	if m.stopped || m.self() == nil || m.idle() {
		return
	}
	r := m.cellUpdate()
	if r == nil {
		m.maintenance.pendingSince = 0
		if m.known.steady() {
			m.maintenance.idle = m.known.Generation
		}
		return
	}
	if m.maintenance.pendingSince == 0 {
		m.maintenance.pendingSince = m.now.Instant
	}
	if m.now.Instant.Sub(m.maintenance.pendingSince) >= time.Duration(m.rank())*m.heartbeatInterval() {
		m.propose(r)
	}
}

// idle reports whether the last computed update was empty and neither the roster
// nor the responsiveness of a member has changed since. It avoids computing an
// update in the normal state.
func (m *Membership) idle() bool {
	if m.maintenance.idle != m.known.Generation {
		return false
	}
	for incarnation, p := range m.peers {
		if len(p.suspects) > 0 || m.unresponsiveFor(incarnation, m.options.LeaseDuration) {
			return false
		}
	}
	return true
}

// steady reports whether no change of the roster is in progress.
func (r *roster) steady() bool {
	for i := range r.Entries {
		if e := &r.Entries[i]; e.State != stateActive || e.Bound > e.Weight {
			return false
		}
	}
	for i := range r.Partitions {
		if !r.Partitions[i].Next.IsZero() {
			return false
		}
	}
	return true
}

// rank returns the number of live members that precede this one in the roster
// and whose heartbeats it receives.
func (m *Membership) rank() int {
	rank := 0
	self := m.self()
	for i := range m.known.Entries {
		e := &m.known.Entries[i]
		if e.Incarnation == m.options.Self.Incarnation || !e.live() {
			continue
		}
		before := e.Host < m.options.Self.Host || self == nil || !self.live()
		if before && m.seenWithin(e.Incarnation, m.options.LeaseDuration/2) {
			rank++
		}
	}
	return rank
}

// nextRoster returns a copy of the known roster with the next generation.
func (m *Membership) nextRoster() *roster {
	r := m.known.clone()
	r.Generation++
	return r
}

// entry returns a new entry for this host.
func (m *Membership) entry(s state, generation uint64) entry {
	return entry{
		Host:        m.options.Self.Host,
		Incarnation: m.options.Self.Incarnation,
		Peer:        m.options.PeerAddress,
		Caller:      m.options.CallerAddress,
		Region:      m.options.Location.Region,
		Domain:      m.options.Location.FailureDomain,
		State:       s,
		Voter:       s == stateActive,
		Changed:     generation,
	}
}

// firstRoster returns the roster of a new cell, with this host alone.
func (m *Membership) firstRoster() *roster {
	r := &roster{Generation: 1, Config: 1}
	r.Entries = append(r.Entries, m.entry(stateActive, r.Generation))
	r.balance(m.now.WallMillis)
	return r
}

// ownEntryUpdate returns the roster with a change of this host's entry, or nil. If
// the store has no roster or an older one, it returns the known roster unchanged
// under the next generation, so that it is written back.
func (m *Membership) ownEntryUpdate() *roster {
	self := m.self()
	switch {
	case m.store.absent || m.store.behind:
		return m.nextRoster()
	case self == nil && m.joined:
		return nil
	case self == nil && m.leaving.requested:
		m.leaveBeforeJoining()
		return nil
	case self == nil:
		return m.join()
	case m.leaving.requested:
		return m.leave(self)
	}
	return nil
}

// join returns the roster with this incarnation added and earlier incarnations
// of the host retired or removed, or nil if the last read is too old.
func (m *Membership) join() *roster {
	if m.now.Instant.Sub(m.read.started) > m.options.LeaseDuration {
		return nil
	}
	r := m.nextRoster()
	for _, e := range m.known.Entries {
		if e.Host != m.options.Self.Host {
			continue
		}
		if e.State == stateJoining {
			r.remove(e.Incarnation)
			continue
		}
		r.retire(e.Incarnation)
		r.find(e.Incarnation).Superseded = true
	}
	r.Entries = append(r.Entries, m.entry(stateJoining, r.Generation))
	m.mergeUncommitted(r)
	return r
}

// retire sets the state of a live incarnation to retiring. It reports whether
// that changed the entry.
func (r *roster) retire(incarnation fleet.Incarnation) bool {
	e := r.find(incarnation)
	if !e.live() {
		return false
	}
	e.State = stateRetiring
	e.Changed = r.Generation
	return true
}

// leave returns the roster with the next step of this host's departure, or nil.
func (m *Membership) leave(self *entry) *roster {
	r := m.nextRoster()
	e := r.find(self.Incarnation)
	e.Changed = r.Generation
	switch {
	case self.State == stateJoining:
		m.leaving.fenced = true
		r.remove(self.Incarnation)
		return r
	case self.State == stateActive:
		e.State = stateLeaving
		r.balance(m.now.WallMillis)
		return r
	case !m.leaving.fenced && !m.canFenceSelf():
		return nil
	}
	if !m.leaving.fenced {
		m.leaving.fenced = true
		m.endLease()
	}
	e.State = stateRetiring
	e.Fenced = true
	m.mergeUncommitted(r)
	r.balance(m.now.WallMillis)
	return r
}

// leaveBeforeJoining stops the machine of a host that holds nothing. It runs
// only when the result of every attempt to join is known.
func (m *Membership) leaveBeforeJoining() {
	m.stopped = true
	m.emit(Left{})
}

// canFenceSelf reports whether a leaving host may stop: cached answers that name
// it have expired, and its partitions have moved, can't move, or have not moved
// within a further expiryWait.
func (m *Membership) canFenceSelf() bool {
	if m.leaving.since == 0 {
		m.leaving.since = m.now.Instant
	}
	waited := m.now.Instant.Sub(m.leaving.since)
	if waited < m.options.LeaveDelay {
		return false
	}
	if waited > m.options.LeaveDelay+m.expiryWait() {
		return true
	}
	for i := range m.known.Entries {
		if m.known.Entries[i].State == stateActive {
			return !m.ownsPartition()
		}
	}
	return true
}

func (m *Membership) ownsPartition() bool {
	for i := range m.known.Partitions {
		if m.known.Partitions[i].Owner == m.options.Self.Incarnation {
			return true
		}
	}
	return false
}

// cellUpdate returns the roster with every change of the cell that is due, or
// nil.
func (m *Membership) cellUpdate() *roster {
	r := m.nextRoster()
	m.reportMajority()
	changed := m.retireUnresponsive(r)
	changed = m.fenceRetired(r) || changed
	m.mergeUncommitted(r)
	if recovered := m.recover(r); recovered {
		changed = true
	} else {
		changed = m.changeVoters(r) || changed
	}
	changed = m.removeUnresponsiveJoiners(r) || changed
	changed = r.releaseConfirmed(m.confirmed, m.now.WallMillis) || changed
	changed = r.balance(m.now.WallMillis) || changed
	changed = r.removeFenced() || changed
	if !changed {
		return nil
	}
	return r
}
