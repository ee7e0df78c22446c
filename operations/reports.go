package operations

import (
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/traffic"
)

// receiveReport records how an attempt ended. A host that does not serve the
// partition does not answer; the requester resends the report to the owner.
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
		m.reportFromNonHolder(from, r, e)
		return
	}
	if e.State == stateRunning {
		m.endAttempt(e, r)
	}
	m.acknowledge(from, r.Attempt, e)
}

// reportUnknownID handles a report of an id without an entry: either an earlier
// owner granted it from memory, or it was never granted.
func (m *Machine) reportUnknownID(from fleet.Member, r Report, partition int) {
	cannotKeep := m.now.WallMillis-r.ClaimedMillis >= retention.Milliseconds() || m.table.full()
	if r.Ending == EndingRelease || cannotKeep {
		m.sendReportAnswer(from, r.Attempt, true)
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

// reportFromNonHolder handles a report of an attempt that does not hold the claim.
func (m *Machine) reportFromNonHolder(from fleet.Member, r Report, e *entry) {
	m.table.removeWaiters(e, func(w waiter) bool { return w.from == from && w.attempt == r.Attempt })
	if r.Ending == EndingComplete && e.State != stateRan && m.partitions[e.partition].unknownBefore > 0 {
		// The claim of this attempt is missing from the log of an earlier owner.
		e.Holder, e.Attempt, e.Fingerprint, e.State = from, r.Attempt, r.Fingerprint, stateRunning
		m.endAttempt(e, r)
		m.acknowledge(from, r.Attempt, e)
		return
	}
	if r.Ending != EndingRelease {
		m.event("operation-conflict", string(r.ID.Customer), "an attempt that did not hold the claim reported that it ran")
	}
	m.sendReportAnswer(from, r.Attempt, m.isDurable(e))
}

// isDurable reports whether a later owner will find the entry's current state.
func (m *Machine) isDurable(e *entry) bool {
	return e.durable && m.partitions[e.partition].anchored
}

// endAttempt records the ending of the running attempt and answers the waiters.
func (m *Machine) endAttempt(e *entry, r Report) {
	m.mode.onResolved(e)
	switch {
	case r.Ending == EndingComplete && r.Result != nil:
		e.State = stateRan
		e.Result = limitResult(r.Result)
		m.table.addResult(e)
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

// release frees an id and claims it for the first waiting request, if any.
func (m *Machine) release(e *entry) {
	e.State = stateFree
	e.granted = false
	m.log.append(e)
	if len(e.waiters) == 0 {
		return
	}
	first := e.waiters[0]
	m.table.removeWaiters(e, func(w waiter) bool { return w.from == first.from && w.attempt == first.attempt })
	m.claim(e, first.from, first.attempt, first.fingerprint)
}

// acknowledge answers a report now, and again once the ending becomes durable.
func (m *Machine) acknowledge(from fleet.Member, attempt uint64, e *entry) {
	durable := m.isDurable(e)
	m.sendReportAnswer(from, attempt, durable)
	if !durable && e.Holder == from && e.Attempt == attempt {
		e.reporter = &reporter{from: from, attempt: attempt}
	}
}

func (m *Machine) sendReportAnswer(to fleet.Member, attempt uint64, durable bool) {
	m.send(to.Host, ReportAnswer{To: to.Incarnation, Attempt: attempt, Durable: durable})
}

// limitResult returns a copy of a result that is within the limits of a record.
func limitResult(r *traffic.OperationResult) *traffic.OperationResult {
	bounded := *r
	if len(bounded.ContentType) > maxContentTypeBytes {
		bounded.ContentType = ""
	}
	if len(bounded.Body) > maxKeptBodyBytes {
		bounded.Body = nil
		bounded.BodyDropped = true
	}
	return &bounded
}
