package limits

import (
	"time"

	"github.com/catkinspring/catkinspring/machine"
)

const (
	// QueueLength bounds the requests of one customer that wait on one host.
	QueueLength = 64
	// MaxWait bounds the time that a request waits for a token.
	MaxWait = 250 * time.Millisecond
)

const (
	// admitRatioWeight is the weight of one request in the moving average admitRatio;
	// about the last twenty count.
	admitRatioWeight = 0.05
	// overloadRatio is the admitRatio below which a customer counts as beyond its rate.
	// Customers within it get nearly all of their tokens.
	overloadRatio = 0.7
	// overloadQueueLength bounds the queued requests of a customer beyond its rate.
	// No token is lost as long as one request waits; every further one makes all of
	// them wait longer (Nichols and Jacobson, "Controlling Queue Delay").
	overloadQueueLength = 2
)

// recordDecision updates admitRatio with the decision on a request.
func (b *bucket) recordDecision(admitted bool) {
	result := 0.0
	if admitted {
		result = 1
	}
	b.admitRatio += admitRatioWeight * (result - b.admitRatio)
}

// mayWait reports whether another request may be queued. A customer beyond its rate
// would otherwise keep a full queue, and each of its requests would wait for
// MaxWait, admitted or not.
func (b *bucket) mayWait() bool {
	return b.admitRatio >= overloadRatio || b.waiters.length < overloadQueueLength
}

// waiterState is the state of a queued request.
type waiterState uint8

const (
	waiterQueued waiterState = iota
	waiterAdmitted
	waiterRefused
)

// waiter is a queued request. Its fields are guarded by the bucket's lock.
type waiter struct {
	deadline  machine.Instant
	state     waiterState
	admission *admission
	// ready is closed when the state changes.
	ready chan struct{}
}

// waitQueue is a bounded first-in-first-out queue. Each customer has its own,
// so that a customer beyond its rate delays no other.
type waitQueue struct {
	waiting [QueueLength]*waiter
	first   int
	length  int
}

func (q *waitQueue) push(w *waiter) bool {
	if q.length == QueueLength {
		return false
	}
	q.waiting[(q.first+q.length)%QueueLength] = w
	q.length++
	return true
}

func (q *waitQueue) head() *waiter {
	if q.length == 0 {
		return nil
	}
	return q.waiting[q.first]
}

func (q *waitQueue) pop() *waiter {
	w := q.waiting[q.first]
	q.waiting[q.first] = nil
	q.first = (q.first + 1) % QueueLength
	q.length--
	return w
}

// remove removes a waiter from the queue and keeps the order of the others.
func (q *waitQueue) remove(w *waiter) {
	for n := q.length; n > 0; n-- {
		if other := q.pop(); other != w {
			q.push(other)
		}
	}
}

// position returns the index of a waiter, 0 for the head.
func (q *waitQueue) position(w *waiter) int {
	for i := range q.length {
		if q.waiting[(q.first+i)%QueueLength] == w {
			return i
		}
	}
	return q.length
}

func (w *waiter) finish(state waiterState, a *admission) {
	w.state = state
	w.admission = a
	close(w.ready)
}
