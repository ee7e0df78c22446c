package dispatch

import (
	"sync"
	"sync/atomic"

	"github.com/catkinspring/catkinspring/fleet"
)

// The retry budget, in thousandths of a retry. Retries add load exactly when
// upstreams are short of capacity, so they are bounded to a tenth of the
// requests.
const (
	retryCost   = 1000
	retryEarned = retryCost / 10
	// retryStart allows a few retries before the first requests have earned any.
	retryStart = 10 * retryCost
	// retryCap bounds a burst of retries after a quiet time.
	retryCap = 50 * retryCost
)

// budget bounds the retries of a host.
type budget struct {
	left atomic.Int64
}

func newBudget() *budget {
	b := &budget{}
	b.left.Store(retryStart)
	return b
}

// earn is called once for each request.
func (b *budget) earn() {
	if b.left.Add(retryEarned) > retryCap {
		b.left.Add(-retryEarned)
	}
}

// spend takes one retry if there is one.
func (b *budget) spend() bool {
	for {
		left := b.left.Load()
		if left < retryCost {
			return false
		}
		if b.left.CompareAndSwap(left, left-retryCost) {
			return true
		}
	}
}

// The bounds of requests that wait for a slot.
const (
	MaxQueuedPerCustomer = 64
	MaxQueuedPerHost     = 1024
	// MaxQueuedAnonymous bounds the requests of open routes, which have no
	// customer, so that they can't fill the queue of the host.
	MaxQueuedAnonymous = MaxQueuedPerHost / 4
)

// gate bounds the requests that wait for a slot.
type gate struct {
	mu       sync.Mutex
	total    int
	customer map[fleet.Customer]int
}

func newGate() *gate {
	return &gate{customer: map[fleet.Customer]int{}}
}

// enter reports whether one more request of the customer may wait.
func (g *gate) enter(customer fleet.Customer) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	bound := MaxQueuedPerCustomer
	if customer == "" {
		bound = MaxQueuedAnonymous
	}
	if g.total >= MaxQueuedPerHost || g.customer[customer] >= bound {
		return false
	}
	g.total++
	g.customer[customer]++
	return true
}

func (g *gate) leave(customer fleet.Customer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.total--
	g.customer[customer]--
	if g.customer[customer] == 0 {
		delete(g.customer, customer)
	}
}
