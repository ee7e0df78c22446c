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

// gate bounds the requests that wait for a slot. It takes no lock, because every
// request passes it twice.
type gate struct {
	total atomic.Int64
	// customers maps fleet.Customer to *atomic.Int64. Customers come from the
	// configuration, so that their number is bounded.
	customers sync.Map
}

// enter reports whether one more request of the customer may wait.
func (g *gate) enter(customer fleet.Customer) bool {
	bound := int64(MaxQueuedPerCustomer)
	if customer == "" {
		bound = MaxQueuedAnonymous
	}
	if !add(&g.total, MaxQueuedPerHost) {
		return false
	}
	if !add(g.of(customer), bound) {
		g.total.Add(-1)
		return false
	}
	return true
}

func (g *gate) leave(customer fleet.Customer) {
	g.of(customer).Add(-1)
	g.total.Add(-1)
}

func (g *gate) of(customer fleet.Customer) *atomic.Int64 {
	if counter, ok := g.customers.Load(customer); ok {
		return counter.(*atomic.Int64)
	}
	counter, _ := g.customers.LoadOrStore(customer, new(atomic.Int64))
	return counter.(*atomic.Int64)
}

// add counts one up unless the counter is at its bound.
func add(counter *atomic.Int64, bound int64) bool {
	if counter.Add(1) > bound {
		counter.Add(-1)
		return false
	}
	return true
}
