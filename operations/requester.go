package operations

import (
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	// MaxAttempts limits the requests of one host that wait for or hold a claim.
	MaxAttempts = 20_000
	// minRequestInterval is the wait before the first retry of a request. It is longer
	// than a round trip between two regions and a write to the store.
	minRequestInterval = 250 * time.Millisecond
	// maxRequestInterval is the maximum wait; the wait doubles with each retry.
	maxRequestInterval = time.Second
	// retryInterval is the wait after DecisionRetry, or while there is no owner.
	retryInterval = 100 * time.Millisecond
)

// attempt is one caller's request to run an operation.
type attempt struct {
	request     Request
	partition   int
	owner       fleet.Member
	startMillis int64
	deadline    machine.Instant
	next        machine.Instant
	interval    time.Duration
	// sent is true once the request was sent to an owner.
	sent bool
	// waiting is true if another attempt of the operation is running.
	waiting bool
	// granted is true once the grant was passed to the traffic side.
	granted bool
}

// requester requests claims from owners on behalf of the traffic side of its host.
type requester struct {
	m        *Machine
	attempts map[uint64]*attempt
	// order lists the attempts by start time; tick removes those that have ended.
	order  []*attempt
	outbox outbox
}

func newRequester(m *Machine) requester {
	return requester{m: m, attempts: map[uint64]*attempt{}, outbox: newOutbox(m)}
}

func (r *requester) begin(in Begin) {
	if len(r.attempts) >= MaxAttempts || in.Wait <= 0 {
		r.decide(in.Attempt, Answer{Decision: DecisionUnavailable})
		return
	}
	a := &attempt{
		request:     Request{Attempt: in.Attempt, ID: in.ID, Fingerprint: in.Fingerprint},
		partition:   PartitionOf(in.ID),
		startMillis: r.m.now.WallMillis,
		deadline:    r.m.now.Instant.Add(in.Wait),
		interval:    minRequestInterval,
	}
	r.attempts[in.Attempt] = a
	r.order = append(r.order, a)
	r.sendRequest(a)
}

func (r *requester) decide(attempt uint64, answer Answer) {
	r.m.emit(Decided{Attempt: attempt, Decision: answer.Decision, Result: answer.Result})
}

// owner returns the owner of a partition in the view, or the zero member.
func (r *requester) owner(partition int) fleet.Member {
	if r.m.view == nil {
		return fleet.Member{}
	}
	return r.m.view.Partitions[partition].Owner
}

// sendRequest sends a request to the partition's owner and schedules a retry.
func (r *requester) sendRequest(a *attempt) {
	owner := r.owner(a.partition)
	a.owner = owner
	if owner.Host == "" {
		a.next = r.m.now.Instant.Add(retryInterval)
		return
	}
	a.next = r.m.now.Instant.Add(a.interval)
	a.interval = min(2*a.interval, maxRequestInterval)
	a.sent = true
	a.request.WaitMillis = uint32(max(0, a.deadline.Sub(r.m.now.Instant)).Milliseconds())
	r.m.send(owner.Host, a.request)
}

func (r *requester) tick() {
	now := r.m.now.Instant
	kept := r.order[:0]
	for _, a := range r.order {
		if r.attempts[a.request.Attempt] != a || a.granted {
			continue
		}
		if now >= a.deadline || now >= a.next && r.ownerUnresponsive(a) {
			r.expire(a)
			continue
		}
		kept = append(kept, a)
		if now >= a.next {
			r.sendRequest(a)
		}
	}
	clear(r.order[len(kept):])
	r.order = kept
	r.outbox.tick()
}

// ownerUnresponsive reports whether the owner has not answered the attempt and is
// unreachable in the view. The caller is then refused early; otherwise it would
// wait for its whole deadline at each entry host until the partition has moved.
func (r *requester) ownerUnresponsive(a *attempt) bool {
	if !a.sent || a.waiting || a.owner != r.owner(a.partition) || a.owner == r.m.o.Self {
		return false
	}
	member := r.m.view.Find(a.owner.Host)
	return member != nil && !member.Reachable
}

// expire ends an attempt that no owner decided in time.
func (r *requester) expire(a *attempt) {
	d := DecisionUnavailable
	if a.waiting {
		d = DecisionRunning
	}
	r.cancelAttempt(a)
	r.decide(a.request.Attempt, Answer{Decision: d})
}

// cancelAttempt ends an attempt that was not granted yet. It reports a release,
// because the owner may have granted the claim in the meantime.
func (r *requester) cancelAttempt(a *attempt) {
	delete(r.attempts, a.request.Attempt)
	if a.sent {
		r.outbox.add(a, Finish{Attempt: a.request.Attempt, Ending: EndingRelease})
	}
}

// finish ends an attempt on behalf of the traffic side.
func (r *requester) finish(in Finish) {
	a := r.attempts[in.Attempt]
	switch {
	case a == nil:
	case a.granted:
		delete(r.attempts, in.Attempt)
		r.outbox.add(a, in)
	default:
		r.cancelAttempt(a)
	}
}

func (r *requester) receiveAnswer(answer Answer) {
	if answer.To != r.m.o.Self.Incarnation {
		return
	}
	a := r.attempts[answer.Attempt]
	switch {
	case a == nil:
		r.releaseLateGrant(answer)
	case a.granted:
		r.receiveAfterGrant(a, answer)
	case answer.Decision == DecisionGranted:
		a.granted = true
		r.decide(answer.Attempt, answer)
	case answer.Decision == DecisionRetry:
		a.next = r.m.now.Instant.Add(retryInterval)
		a.interval = minRequestInterval
	case answer.Decision == DecisionWaiting:
		r.markWaiting(a, answer)
	default:
		delete(r.attempts, answer.Attempt)
		r.decide(answer.Attempt, answer)
	}
}

// releaseLateGrant releases a grant for an attempt that has ended, which a delayed
// duplicate of its request can cause. An owner ignores the release of an attempt
// whose ending it has recorded, so this frees only ids whose attempt did not run.
func (r *requester) releaseLateGrant(answer Answer) {
	if answer.Decision != DecisionGranted || r.outbox.reports[answer.Attempt] != nil || r.outbox.dropped {
		return
	}
	a := &attempt{
		request:     Request{Attempt: answer.Attempt, ID: answer.ID},
		partition:   PartitionOf(answer.ID),
		startMillis: r.m.now.WallMillis,
	}
	r.outbox.add(a, Finish{Attempt: answer.Attempt, Ending: EndingRelease})
}

// markWaiting records that another attempt of the operation is running.
func (r *requester) markWaiting(a *attempt, answer Answer) {
	a.next = r.m.now.Instant.Add(maxRequestInterval)
	if !a.waiting {
		a.waiting = true
		r.decide(answer.Attempt, answer)
	}
}

// receiveAfterGrant handles an answer to a duplicate of a request that was already
// granted. A later owner without a record of the grant may refuse the claim.
func (r *requester) receiveAfterGrant(a *attempt, answer Answer) {
	switch answer.Decision {
	case DecisionUnknown, DecisionMismatch, DecisionRan:
		r.decide(a.request.Attempt, answer)
	}
}

// viewChanged schedules requests to new owners of partitions for the next tick.
func (r *requester) viewChanged() {
	for _, a := range r.order {
		open := r.attempts[a.request.Attempt] == a && !a.granted
		if open && r.owner(a.partition) != a.owner {
			a.next = min(a.next, r.m.now.Instant)
		}
	}
	r.outbox.viewChanged()
}
