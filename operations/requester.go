package operations

import (
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	// MaxAttempts bounds the requests of one host that wait for or hold a claim.
	MaxAttempts = 20_000
	// askInterval is the first wait before a request is repeated. It is longer
	// than a round trip between two regions and a write to the store.
	askInterval = 250 * time.Millisecond
	// maxAskInterval bounds the wait, which doubles with each repeat.
	maxAskInterval = time.Second
	// retryInterval is the wait after an owner said that it can't decide yet.
	retryInterval = 100 * time.Millisecond
)

// attempt is one request that wants to run an operation.
type attempt struct {
	request   Request
	partition int
	owner     fleet.Member
	begun     int64
	deadline  machine.Instant
	next      machine.Instant
	interval  time.Duration
	// asked is true once an owner may know the attempt.
	asked bool
	// waiting is true if another attempt of the operation runs.
	waiting bool
	// held is true once the claim was granted to the traffic side.
	held bool
}

// requester asks owners for claims on behalf of the traffic side of its host.
type requester struct {
	m        *Machine
	attempts map[uint64]*attempt
	// order lists the attempts by their start; ended ones are dropped by tick.
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
		request:   Request{Attempt: in.Attempt, ID: in.ID, Fingerprint: in.Fingerprint},
		partition: PartitionOf(in.ID),
		begun:     r.m.now.WallMillis,
		deadline:  r.m.now.Instant.Add(in.Wait),
		interval:  askInterval,
	}
	r.attempts[in.Attempt] = a
	r.order = append(r.order, a)
	r.ask(a)
}

func (r *requester) decide(attempt uint64, answer Answer) {
	r.m.emit(Decided{Attempt: attempt, Decision: answer.Decision, Result: answer.Result})
}

// owner returns the owner of a partition in the view; the zero member for none.
func (r *requester) owner(partition int) fleet.Member {
	if r.m.view == nil {
		return fleet.Member{}
	}
	return r.m.view.Partitions[partition].Owner
}

// ask sends the request to the owner of its partition.
func (r *requester) ask(a *attempt) {
	owner := r.owner(a.partition)
	a.owner = owner
	if owner.Host == "" {
		a.next = r.m.now.Instant.Add(retryInterval)
		return
	}
	a.next = r.m.now.Instant.Add(a.interval)
	a.interval = min(2*a.interval, maxAskInterval)
	a.asked = true
	a.request.WaitMillis = uint32(max(0, a.deadline.Sub(r.m.now.Instant)).Milliseconds())
	r.m.send(owner.Host, a.request)
}

func (r *requester) tick() {
	now := r.m.now.Instant
	kept := r.order[:0]
	for _, a := range r.order {
		if r.attempts[a.request.Attempt] != a || a.held {
			continue
		}
		if now >= a.deadline {
			r.expire(a)
			continue
		}
		kept = append(kept, a)
		if now >= a.next {
			r.ask(a)
		}
	}
	clear(r.order[len(kept):])
	r.order = kept
	r.outbox.tick()
}

// expire ends an attempt that no owner decided in time.
func (r *requester) expire(a *attempt) {
	d := DecisionUnavailable
	if a.waiting {
		d = DecisionRunning
	}
	r.giveUp(a)
	r.decide(a.request.Attempt, Answer{Decision: d})
}

// giveUp ends an attempt that was not granted. The owner may have granted it
// meanwhile, so it is released.
func (r *requester) giveUp(a *attempt) {
	delete(r.attempts, a.request.Attempt)
	if a.asked {
		r.outbox.add(a, Finish{Attempt: a.request.Attempt, Ending: EndingRelease})
	}
}

// finish ends an attempt for the traffic side.
func (r *requester) finish(in Finish) {
	a := r.attempts[in.Attempt]
	switch {
	case a == nil:
	case a.held:
		delete(r.attempts, in.Attempt)
		r.outbox.add(a, in)
	default:
		r.giveUp(a)
	}
}

func (r *requester) receiveAnswer(answer Answer) {
	if answer.To != r.m.o.Self.Incarnation {
		return
	}
	a := r.attempts[answer.Attempt]
	switch {
	case a == nil:
		r.refuseLateGrant(answer)
	case a.held:
		r.receiveAfterGrant(a, answer)
	case answer.Decision == DecisionGranted:
		a.held = true
		r.decide(answer.Attempt, answer)
	case answer.Decision == DecisionRetry:
		a.next = r.m.now.Instant.Add(retryInterval)
		a.interval = askInterval
	case answer.Decision == DecisionWaiting:
		r.wait(a, answer)
	default:
		delete(r.attempts, answer.Attempt)
		r.decide(answer.Attempt, answer)
	}
}

// refuseLateGrant releases a grant for an attempt that ended, as a late copy of
// its request can cause. An owner ignores the release of an attempt whose ending
// it knows, so only attempts of which nothing ran are freed by it.
func (r *requester) refuseLateGrant(answer Answer) {
	if answer.Decision != DecisionGranted || r.outbox.reports[answer.Attempt] != nil || r.outbox.dropped {
		return
	}
	a := &attempt{
		request:   Request{Attempt: answer.Attempt, ID: answer.ID},
		partition: PartitionOf(answer.ID),
		begun:     r.m.now.WallMillis,
	}
	r.outbox.add(a, Finish{Attempt: answer.Attempt, Ending: EndingRelease})
}

// wait notes that another attempt of the operation runs.
func (r *requester) wait(a *attempt, answer Answer) {
	a.next = r.m.now.Instant.Add(maxAskInterval)
	if !a.waiting {
		a.waiting = true
		r.decide(answer.Attempt, answer)
	}
}

// receiveAfterGrant handles an answer to a repeat of a request that was granted
// before. A later owner that knows of no grant overtakes the claim.
func (r *requester) receiveAfterGrant(a *attempt, answer Answer) {
	switch answer.Decision {
	case DecisionUnknown, DecisionMismatch, DecisionRan:
		r.decide(a.request.Attempt, answer)
	}
}

// viewChanged turns to the new owners of partitions at once.
func (r *requester) viewChanged() {
	for _, a := range r.order {
		open := r.attempts[a.request.Attempt] == a && !a.held
		if open && r.owner(a.partition) != a.owner {
			a.next = min(a.next, r.m.now.Instant)
		}
	}
	r.outbox.viewChanged()
}
