package membership

import (
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// dutyState paces the updates of the roster.
type dutyState struct {
	next machine.Instant
	// pending is when the present work was first seen; 0 for none.
	pending machine.Instant
	// idle is the generation in which nothing is left to do unless a member
	// falls silent; 0 for none.
	idle uint64
	// lost is true while a majority of the voters does not answer.
	lost bool
}

// leaveState follows the departure of this host.
type leaveState struct {
	asked bool
	// since is when the roster first showed the host as leaving.
	since machine.Instant
	// fenced is true once the host has given up its lease for good.
	fenced bool
}

// performDuties updates the roster if it needs a change that this host may
// make: its own entry at once, the rest after a delay by rank, so that usually
// one host writes and another one takes over if that one can't.
func (m *Membership) performDuties() {
	if m.store.open || m.now.Instant < m.duty.next || m.now.Instant < m.store.notBefore || m.store.mustRead {
		return
	}
	m.duty.next = m.now.Instant.Add(dutyInterval)
	if m.known == nil {
		if m.leaving.asked {
			m.leftBeforeJoining()
		} else if m.store.absent {
			m.propose(m.firstRoster())
		}
		return
	}
	if r := m.ownDuty(); r != nil {
		m.propose(r)
		return
	}
	if m.stopped || m.self() == nil || m.idle() {
		return
	}
	r := m.cellDuty()
	if r == nil {
		m.duty.pending = 0
		if m.known.steady() {
			m.duty.idle = m.known.Generation
		}
		return
	}
	if m.duty.pending == 0 {
		m.duty.pending = m.now.Instant
	}
	if m.now.Instant.Sub(m.duty.pending) >= time.Duration(m.rank())*m.heartbeatInterval() {
		m.propose(r)
	}
}

// idle reports whether nothing changed since no work was found. It spares the
// computation of an update in the normal state.
func (m *Membership) idle() bool {
	if m.duty.idle != m.known.Generation {
		return false
	}
	for i, p := range m.peers {
		if len(p.suspects) > 0 || m.silentFor(i, m.o.LeaseDuration) {
			return false
		}
	}
	return true
}

// steady reports whether no change of the roster is under way.
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

// rank is the number of live members before this one that it hears.
func (m *Membership) rank() int {
	rank := 0
	self := m.self()
	for i := range m.known.Entries {
		e := &m.known.Entries[i]
		if e.Incarnation == m.o.Self.Incarnation || !e.live() {
			continue
		}
		before := e.Host < m.o.Self.Host || self == nil || !self.live()
		if before && m.heardWithin(e.Incarnation, m.o.LeaseDuration/2) {
			rank++
		}
	}
	return rank
}

// update returns a copy of the known roster with the next generation.
func (m *Membership) update() *roster {
	r := m.known.clone()
	r.Generation++
	return r
}

// entry returns the entry of this host as it joins.
func (m *Membership) entry(s state, generation uint64) entry {
	return entry{
		Host:        m.o.Self.Host,
		Incarnation: m.o.Self.Incarnation,
		Peer:        m.o.PeerAddress,
		Caller:      m.o.CallerAddress,
		Region:      m.o.Location.Region,
		Domain:      m.o.Location.FailureDomain,
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

// ownDuty returns the roster with a change of the own entry, or nil.
func (m *Membership) ownDuty() *roster {
	self := m.self()
	switch {
	case m.store.absent || m.store.behind:
		return m.update()
	case self == nil && m.joined:
		return nil
	case self == nil && m.leaving.asked:
		m.leftBeforeJoining()
		return nil
	case self == nil:
		return m.join()
	case m.leaving.asked:
		return m.leave(self)
	}
	return nil
}

// join adds this incarnation and marks earlier ones of the host.
func (m *Membership) join() *roster {
	if m.now.Instant.Sub(m.read.started) > m.o.LeaseDuration {
		return nil
	}
	r := m.update()
	for _, e := range m.known.Entries {
		if e.Host != m.o.Self.Host {
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

// retire marks an incarnation; it reports whether that changed the entry.
func (r *roster) retire(i fleet.Incarnation) bool {
	e := r.find(i)
	if !e.live() {
		return false
	}
	e.State = stateRetiring
	e.Changed = r.Generation
	return true
}

// leave returns the next step of the departure of this host, or nil.
func (m *Membership) leave(self *entry) *roster {
	r := m.update()
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
	case !m.leaving.fenced && !m.mayFenceSelf():
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

// leftBeforeJoining ends the machine of a host that holds nothing. It runs only
// when the result of every attempt to join is known.
func (m *Membership) leftBeforeJoining() {
	m.stopped = true
	m.emit(Left{})
}

// mayFenceSelf reports whether a leaving host may stop: callers had time to
// learn of it, and its partitions have moved or can't move.
func (m *Membership) mayFenceSelf() bool {
	if m.leaving.since == 0 {
		m.leaving.since = m.now.Instant
	}
	waited := m.now.Instant.Sub(m.leaving.since)
	if waited < m.o.LeaveDelay {
		return false
	}
	if waited > m.o.LeaveDelay+m.wait() {
		return true
	}
	for i := range m.known.Entries {
		if m.known.Entries[i].State == stateActive {
			return !m.ownsAny()
		}
	}
	return true
}

func (m *Membership) ownsAny() bool {
	for i := range m.known.Partitions {
		if m.known.Partitions[i].Owner == m.o.Self.Incarnation {
			return true
		}
	}
	return false
}

// cellDuty returns the roster with every change that is due, or nil.
func (m *Membership) cellDuty() *roster {
	r := m.update()
	m.reportMajority()
	changed := m.markSilent(r)
	changed = m.fenceRetired(r) || changed
	m.mergeUncommitted(r)
	if recovered := m.recover(r); recovered {
		changed = true
	} else {
		changed = m.changeVoters(r) || changed
	}
	changed = m.dropSilentJoiners(r) || changed
	changed = r.settle(m.confirmed, m.now.WallMillis) || changed
	changed = r.balance(m.now.WallMillis) || changed
	changed = r.dropFenced() || changed
	if !changed {
		return nil
	}
	return r
}
