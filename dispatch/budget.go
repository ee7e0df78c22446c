package dispatch

import (
	"sync"
	"sync/atomic"

	"github.com/catkinspring/catkinspring/fleet"
)

// The retry budget, in thousandths of a retry. Retries add load when upstreams are
// already short of capacity, so they are limited to a tenth of the requests.
const (
	retryCost    = 1000
	retryDeposit = retryCost / 10
	// initialRetryBalance allows a few retries before the first deposits.
	initialRetryBalance = 10 * retryCost
	// maxRetryBalance bounds a burst of retries after a period without any.
	maxRetryBalance = 50 * retryCost
)

// retryBudget limits the retries of a host.
type retryBudget struct {
	balance atomic.Int64
}

func newRetryBudget() *retryBudget {
	b := &retryBudget{}
	b.balance.Store(initialRetryBalance)
	return b
}

// deposit adds the share of one request. It is called once for each request.
func (b *retryBudget) deposit() {
	if b.balance.Add(retryDeposit) > maxRetryBalance {
		b.balance.Add(-retryDeposit)
	}
}

// withdraw takes one retry from the budget, or returns false if there is none.
func (b *retryBudget) withdraw() bool {
	for {
		balance := b.balance.Load()
		if balance < retryCost {
			return false
		}
		if b.balance.CompareAndSwap(balance, balance-retryCost) {
			return true
		}
	}
}

// Limits on the requests that wait for a slot.
const (
	MaxQueuedPerCustomer = 64
	MaxQueuedPerHost     = 1024
	// MaxQueuedAnonymous limits the requests of open routes, which have no
	// customer, so that they can't fill the queue of the host.
	MaxQueuedAnonymous = MaxQueuedPerHost / 4
)

// queueLimiter limits the requests that wait for a slot. It is lock-free, because
// every request calls it twice.
type queueLimiter struct {
	total atomic.Int64
	// customers maps fleet.Customer to *atomic.Int64. Its size is bounded, because
	// customers come from the configuration.
	customers sync.Map
}

// enter counts one more waiting request of the customer, or returns false if a
// limit is reached.
func (l *queueLimiter) enter(customer fleet.Customer) bool {
	limit := int64(MaxQueuedPerCustomer)
	if customer == "" {
		limit = MaxQueuedAnonymous
	}
	if !incrementUpTo(&l.total, MaxQueuedPerHost) {
		return false
	}
	if !incrementUpTo(l.counterOf(customer), limit) {
		l.total.Add(-1)
		return false
	}
	return true
}

func (l *queueLimiter) leave(customer fleet.Customer) {
	l.counterOf(customer).Add(-1)
	l.total.Add(-1)
}

func (l *queueLimiter) counterOf(customer fleet.Customer) *atomic.Int64 {
	if counter, ok := l.customers.Load(customer); ok {
		return counter.(*atomic.Int64)
	}
	counter, _ := l.customers.LoadOrStore(customer, new(atomic.Int64))
	return counter.(*atomic.Int64)
}

// incrementUpTo increments the counter unless it is at the limit.
func incrementUpTo(counter *atomic.Int64, limit int64) bool {
	if counter.Add(1) > limit {
		counter.Add(-1)
		return false
	}
	return true
}
