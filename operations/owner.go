package operations

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/traffic"
)

// maxWait is the maximum wait of a request at the owner for a running attempt.
const maxWait = time.Minute

// mayGrant reports whether this host may currently act as the partition's owner.
func (m *Machine) mayGrant(partition int) bool {
	p := &m.partitions[partition]
	return p.serving && !m.log.sealed && m.leaseValid() && m.view.Owns(partition) &&
		m.view.Partitions[partition].Epoch == p.epoch
}

func (m *Machine) answer(to fleet.Member, attempt uint64, d Decision, result *traffic.OperationResult) {
	m.send(to.Host, Answer{To: to.Incarnation, Attempt: attempt, Decision: d, Result: result})
}

// receiveRequest handles a claim request as the owner of its partition.
func (m *Machine) receiveRequest(from fleet.Member, r Request) {
	partition := PartitionOf(r.ID)
	// A holder counts as lost when it is absent from the view, so a host that is
	// not in the view yet must not become a holder.
	if !m.mayGrant(partition) || !m.live[from.Incarnation] {
		m.answer(from, r.Attempt, DecisionRetry, nil)
		return
	}
	e := m.table.entries[partition][r.ID]
	if e != nil && e.isExpired(m.now.WallMillis) {
		m.table.remove(e)
		e = nil
	}
	if e == nil {
		m.claimNewID(from, r, partition)
		return
	}
	m.claimKnownID(from, r, e)
}

func (m *Machine) claimNewID(from fleet.Member, r Request, partition int) {
	p := &m.partitions[partition]
	wall := m.now.WallMillis
	switch {
	case isAhead(r.ID.Key, wall):
		m.answer(from, r.Attempt, DecisionAhead, nil)
	case isTooOld(r.ID.Key, wall):
		m.answer(from, r.Attempt, DecisionTooOld, nil)
	case p.mayHaveUnloggedGrant(r.ID.Key, wall):
		m.answer(from, r.Attempt, DecisionUnknown, nil)
	case m.table.full():
		m.answer(from, r.Attempt, DecisionFull, nil)
	default:
		e := m.table.add(record{ID: r.ID, ClaimedMillis: wall, State: stateFree}, partition)
		m.claim(e, from, r.Attempt, r.Fingerprint)
	}
}

// claim makes an attempt the holder of a free id. The claim is granted when it is
// committed, or immediately in uncommitted mode.
func (m *Machine) claim(e *entry, from fleet.Member, attempt, fingerprint uint64) {
	e.State = stateRunning
	e.Holder = from
	e.Attempt = attempt
	e.Fingerprint = fingerprint
	e.ClaimedMillis = m.now.WallMillis
	e.granted = false
	e.reporter = nil
	m.mode.awaitCommit(e)
	m.log.append(e)
	if m.mode.grantsFromMemory() {
		m.grant(e)
	}
}

// grant sends the grant to the holder if this host may still grant it.
func (m *Machine) grant(e *entry) {
	if e.State != stateRunning || !m.mayGrant(int(e.partition)) {
		return
	}
	e.granted = true
	m.mode.granted(e)
	m.send(e.Holder.Host, Answer{To: e.Holder.Incarnation, Attempt: e.Attempt, Decision: DecisionGranted, ID: e.ID})
}

// grantable reports whether a claim may be granted: either it is in the log or
// this host may grant from memory.
func (m *Machine) grantable(e *entry) bool {
	return e.durable && m.partitions[e.partition].anchored || m.mode.grantsFromMemory()
}

func (m *Machine) claimKnownID(from fleet.Member, r Request, e *entry) {
	same := e.Holder == from && e.Attempt == r.Attempt
	switch {
	case e.State == stateFree && !same:
		m.claim(e, from, r.Attempt, r.Fingerprint)
	case e.State == stateFree:
		// A delayed duplicate of a request whose attempt was released.
	case e.Fingerprint != r.Fingerprint:
		m.answer(from, r.Attempt, DecisionMismatch, nil)
	case e.State == stateRan:
		m.answer(from, r.Attempt, DecisionRan, e.Result)
	case e.State == stateUnknown:
		m.answer(from, r.Attempt, DecisionUnknown, nil)
	case same && (e.granted || m.grantable(e)):
		m.grant(e)
	case same:
		// The answer is sent when the claim is committed.
	case !m.live[e.Holder.Incarnation]:
		m.answer(from, r.Attempt, DecisionUnknown, nil)
	default:
		m.waitFor(from, r, e)
	}
}

func (m *Machine) waitFor(from fleet.Member, r Request, e *entry) {
	wait := min(time.Duration(r.WaitMillis)*time.Millisecond, maxWait)
	w := waiter{from: from, attempt: r.Attempt, fingerprint: r.Fingerprint, until: m.now.Instant.Add(wait)}
	if wait <= 0 || !m.table.wait(e, w) {
		m.answer(from, r.Attempt, DecisionRunning, nil)
		return
	}
	m.answer(from, r.Attempt, DecisionWaiting, nil)
}

// expireWaiters answers the waiters whose wait has timed out.
func (m *Machine) expireWaiters() {
	for _, e := range m.waitingEntries() {
		for _, w := range m.table.removeWaiters(e, func(w waiter) bool { return w.until <= m.now.Instant }) {
			m.answer(w.from, w.attempt, DecisionRunning, nil)
		}
	}
}

// answerOrphanedWaiters answers requests that wait for an attempt whose host is
// gone or in a partition that this host no longer owns, and drops waiters whose
// own host is gone.
func (m *Machine) answerOrphanedWaiters() {
	for _, e := range m.waitingEntries() {
		m.table.removeWaiters(e, func(w waiter) bool { return !m.live[w.from.Incarnation] })
		if !m.view.Owns(int(e.partition)) {
			for _, w := range m.table.removeAllWaiters(e) {
				m.answer(w.from, w.attempt, DecisionRetry, nil)
			}
			continue
		}
		if !m.live[e.Holder.Incarnation] {
			m.answerWaiters(e, DecisionUnknown)
		}
	}
}

// waitingEntries returns the entries with waiters in a fixed order.
func (m *Machine) waitingEntries() []*entry {
	if len(m.table.waiting) == 0 {
		return nil
	}
	return slices.SortedFunc(maps.Keys(m.table.waiting), compareEntries)
}

func compareEntries(a, b *entry) int {
	if c := strings.Compare(a.ID.Key, b.ID.Key); c != 0 {
		return c
	}
	return strings.Compare(string(a.ID.Customer), string(b.ID.Customer))
}

// answerWaiters answers all requests that wait for the attempt of an entry.
func (m *Machine) answerWaiters(e *entry, d Decision) {
	for _, w := range m.table.removeAllWaiters(e) {
		if w.fingerprint != e.Fingerprint {
			m.answer(w.from, w.attempt, DecisionMismatch, nil)
			continue
		}
		m.answer(w.from, w.attempt, d, e.Result)
	}
}
