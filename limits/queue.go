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
