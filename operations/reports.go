package operations

import (
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/traffic"
)

// receiveReport records how an attempt ended. Without the partition the report
// is not answered; the requester repeats it to the owner.
func (m *Machine) receiveReport(from fleet.Member, r Report) {
	partition := PartitionOf(r.ID)
	if !m.mayGrant(partition) {
		return
	}
	e := m.table.entries[partition][r.ID]
	if e == nil {
		m.reportUnknownID(from, r, partition)
		return
	}
	if e.Holder != from || e.Attempt != r.Attempt {
		m.reportOfOther(from, r, e)
		return
	}
	if e.State == stateRunning {
		m.endAttempt(e, r)
	}
	m.acknowledge(from, r.Attempt, e)
}

// reportUnknownID handles a report of an id that this owner does not know: an
// earlier owner granted it from memory, or nothing was ever granted.
func (m *Machine) reportUnknownID(from fleet.Member, r Report, partition int) {
	outside := m.now.WallMillis-r.ClaimedMillis >= retention.Milliseconds() || m.table.full()
	if r.Ending == EndingRelease || outside {
		m.reportDone(from, r.Attempt, true)
		return
	}
	e := m.table.add(record{
		ID: r.ID, Fingerprint: r.Fingerprint, Holder: from, Attempt: r.Attempt,
		State: stateRunning, ClaimedMillis: r.ClaimedMillis,
	}, partition)
	e.granted = true
	m.endAttempt(e, r)
	m.acknowledge(from, r.Attempt, e)
}

// reportOfOther handles a report of an attempt that does not hold the id.
func (m *Machine) reportOfOther(from fleet.Member, r Report, e *entry) {
	m.table.stopWaiting(e, func(w waiter) bool { return w.from == from && w.attempt == r.Attempt })
	if r.Ending == EndingComplete && e.State != stateRan && m.partitions[e.partition].unknownBefore > 0 {
		// The log of an earlier owner ends before the claim of this attempt.
		e.Holder, e.Attempt, e.Fingerprint, e.State = from, r.Attempt, r.Fingerprint, stateRunning
		m.endAttempt(e, r)
		m.acknowledge(from, r.Attempt, e)
		return
	}
	if r.Ending != EndingRelease {
		m.event("operation-conflict", string(r.ID.Customer), "an attempt that did not hold the claim reported that it ran")
	}
	m.reportDone(from, r.Attempt, m.isDurable(e))
}

// isDurable reports whether a later owner will find the entry as it is.
func (m *Machine) isDurable(e *entry) bool {
	return e.durable && m.partitions[e.partition].anchored
}

// endAttempt records the end of the running attempt and answers the waiters.
func (m *Machine) endAttempt(e *entry, r Report) {
	m.mode.settled(e)
	switch {
	case r.Ending == EndingComplete && r.Result != nil:
		e.State = stateRan
		e.Result = boundResult(r.Result)
		m.table.countResult(e)
		m.log.append(e)
		m.answerWaiters(e, DecisionRan)
	case r.Ending == EndingRelease:
		m.release(e)
	default:
		e.State = stateUnknown
		m.log.append(e)
		m.answerWaiters(e, DecisionUnknown)
	}
}

// release frees an id and gives it to the first request that waits for it.
func (m *Machine) release(e *entry) {
	e.State = stateFree
	e.granted = false
	m.log.append(e)
	if len(e.waiters) == 0 {
		return
	}
	first := e.waiters[0]
	m.table.stopWaiting(e, func(w waiter) bool { return w.from == first.from && w.attempt == first.attempt })
	m.claim(e, first.from, first.attempt, first.fingerprint)
}

// acknowledge answers a report now, and again when the ending is durable.
func (m *Machine) acknowledge(from fleet.Member, attempt uint64, e *entry) {
	durable := m.isDurable(e)
	m.reportDone(from, attempt, durable)
	if !durable && e.Holder == from && e.Attempt == attempt {
		e.reporter = &reporter{from: from, attempt: attempt}
	}
}

func (m *Machine) reportDone(to fleet.Member, attempt uint64, durable bool) {
	m.send(to.Host, ReportAnswer{To: to.Incarnation, Attempt: attempt, Durable: durable})
}

// boundResult returns a result within the bounds of a record.
func boundResult(r *traffic.OperationResult) *traffic.OperationResult {
	bounded := *r
	if len(bounded.ContentType) > maxContentTypeSize {
		bounded.ContentType = ""
	}
	if len(bounded.Body) > maxKeptBody {
		bounded.Body = nil
		bounded.BodyDropped = true
	}
	return &bounded
}
