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
	// servedWeight is the part of one request in the running part that got a token;
	// about the last twenty count.
	servedWeight = 0.05
	// scarceBelow is the running part below which a customer counts as beyond its
	// rate. Customers within it get nearly all of their tokens.
	scarceBelow = 0.7
	// scarceLength is how many requests of a customer beyond its rate wait. Tokens
	// are not lost as long as one waits; every further one makes all of them wait
	// longer (Nichols and Jacobson, "Controlling Queue Delay").
	scarceLength = 2
)

// decided notes whether a request got a token.
func (b *bucket) decided(admitted bool) {
	result := 0.0
	if admitted {
		result = 1
	}
	b.served += servedWeight * (result - b.served)
}

// mayWait reports whether another request may wait. A customer beyond its rate
// would otherwise keep a full queue, and each of its requests would wait for
// MaxWait, admitted or not.
func (b *bucket) mayWait() bool {
	return b.served >= scarceBelow || b.waiters.length < scarceLength
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

// remove takes a waiter out of the queue and keeps the order of the others.
func (q *waitQueue) remove(w *waiter) {
	for n := q.length; n > 0; n-- {
		if other := q.pop(); other != w {
			q.push(other)
		}
	}
}

// position returns the place of a waiter, 0 for the head.
func (q *waitQueue) position(w *waiter) int {
	for i := range q.length {
		if q.waiting[(q.first+i)%QueueLength] == w {
			return i
		}
	}
	return q.length
}

func (w *waiter) settle(state waiterState, a *admission) {
	w.state = state
	w.admission = a
	close(w.ready)
}
