package limits

import (
	"maps"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// Shares is the interface of the machine to the traffic side: it publishes the lease,
// limits, base shares and loans, and reads the counters. Table implements it. Calls
// come from the control loop; each holds the lock of one bucket for a few operations.
type Shares interface {
	// SetLease publishes the end of the lease.
	SetLease(until machine.Instant)
	// SetJoined publishes whether the host takes part in the limits.
	SetJoined(joined bool)
	// Reset discards stored tokens, loans and the lease, for a new incarnation.
	Reset()
	// SetLimit publishes the rate and burst of a customer. A customer that is new
	// starts without tokens.
	SetLimit(customer fleet.Customer, rate, burst float64)
	// Remove removes a customer.
	Remove(customer fleet.Customer)
	// SetOwn publishes the units of the base share that are not lent.
	SetOwn(customer fleet.Customer, own int64)
	// Withdraw publishes what is left after units were taken out and returns the
	// stored tokens that move with them: a proportional share of the tokens, or up to
	// wanted if that is more.
	Withdraw(customer fleet.Customer, units int64, left HeldUnits, wanted float64) float64
	// Deposit publishes what is held after units came back with tokens.
	Deposit(customer fleet.Customer, held HeldUnits, tokens float64)
	// AddLoan adds borrowed units with tokens until the given instant.
	AddLoan(customer fleet.Customer, key LoanKey, units int64, tokens float64, until machine.Instant)
	// ExtendLoan moves the end of a loan.
	ExtendLoan(customer fleet.Customer, key LoanKey, until machine.Instant)
	// DropLoan removes a loan and returns the stored tokens that go with it.
	DropLoan(customer fleet.Customer, key LoanKey) float64
	// Observe serves the queue of a customer and returns its counters. If rearm
	// is set, the next request that is queued posts a Demand.
	Observe(customer fleet.Customer, rearm bool) Usage
}

var _ Shares = (*Table)(nil)

// SetLease publishes the end of the lease. If the previous lease had ended, the
// admissions made under it stay invalid.
func (t *Table) SetLease(until machine.Instant) {
	now := t.clock.Now().Instant
	if !t.valid(now) {
		// Buckets are advanced under the old lease, so that the time without a
		// lease refills nothing.
		t.eachBucket(func(b *bucket) { t.advance(b) })
		t.leaseEpoch.Add(1)
	}
	t.leaseUntil.Store(int64(until))
}

// Reset discards stored tokens, loans and the lease.
func (t *Table) Reset() {
	t.leaseUntil.Store(0)
	t.leaseEpoch.Add(1)
	t.eachBucket(func(b *bucket) {
		b.own, b.level, b.loans = 0, 0, nil
		b.recompute()
	})
}

// SetLimit publishes the rate and burst of a customer.
func (t *Table) SetLimit(customer fleet.Customer, rate, burst float64) {
	if t.bucket(customer) == nil {
		t.updateBuckets(func(next map[fleet.Customer]*bucket) {
			next[customer] = newBucket(customer, t.clock.Now().Instant)
		})
	}
	t.withBucket(customer, func(b *bucket) { b.setLimit(rate, burst) })
}

// Remove removes a customer. Its queued requests are refused.
func (t *Table) Remove(customer fleet.Customer) {
	b := t.bucket(customer)
	if b == nil {
		return
	}
	t.updateBuckets(func(next map[fleet.Customer]*bucket) { delete(next, customer) })
	b.mu.Lock()
	defer b.mu.Unlock()
	b.removed = true
	b.own, b.level, b.loans = 0, 0, nil
	b.setLimit(0, 0)
	for b.waiters.length > 0 {
		b.usage.Refused++
		b.waiters.pop().finish(waiterRefused, nil)
	}
}

// SetOwn publishes the units of the base share that are not lent.
func (t *Table) SetOwn(customer fleet.Customer, own int64) {
	t.Deposit(customer, HeldUnits{Own: own}, 0)
}

// Withdraw takes units and stored tokens out of the bucket.
func (t *Table) Withdraw(customer fleet.Customer, units int64, left HeldUnits, wanted float64) float64 {
	tokens := 0.0
	t.withBucket(customer, func(b *bucket) { tokens = b.withdraw(units, left, wanted) })
	return tokens
}

// Deposit puts units and tokens back into the bucket.
func (t *Table) Deposit(customer fleet.Customer, held HeldUnits, tokens float64) {
	t.withBucket(customer, func(b *bucket) { b.deposit(held, tokens) })
}

// AddLoan adds borrowed units and tokens and serves the queue with them.
func (t *Table) AddLoan(customer fleet.Customer, key LoanKey, units int64, tokens float64, until machine.Instant) {
	t.withBucket(customer, func(b *bucket) { b.addLoan(heldLoan{key: key, units: units, until: until}, tokens) })
}

// ExtendLoan moves the end of a loan.
func (t *Table) ExtendLoan(customer fleet.Customer, key LoanKey, until machine.Instant) {
	t.withBucket(customer, func(b *bucket) { b.extendLoan(key, until) })
}

// DropLoan removes a loan and returns the stored tokens that go with it.
func (t *Table) DropLoan(customer fleet.Customer, key LoanKey) float64 {
	tokens := 0.0
	t.withBucket(customer, func(b *bucket) { _, tokens = b.dropLoan(key) })
	return tokens
}

// Observe serves the queue of a customer and returns its counters.
func (t *Table) Observe(customer fleet.Customer, rearm bool) Usage {
	var u Usage
	t.withBucket(customer, func(b *bucket) {
		b.demandPosted = b.demandPosted && !rearm
		u = b.usage
		u.Waiting = b.waiters.length
		u.Level = b.level
	})
	return u
}

// withBucket runs f on the advanced bucket of a customer and then serves its queue.
func (t *Table) withBucket(customer fleet.Customer, f func(b *bucket)) {
	b := t.bucket(customer)
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now, _ := t.advance(b)
	t.drain(b, now)
	f(b)
	t.drain(b, now)
}

func (t *Table) eachBucket(f func(b *bucket)) {
	for _, b := range *t.buckets.Load() {
		b.mu.Lock()
		f(b)
		b.mu.Unlock()
	}
}

// updateBuckets publishes a changed copy of the set of customers.
func (t *Table) updateBuckets(f func(next map[fleet.Customer]*bucket)) {
	t.publish.Lock()
	defer t.publish.Unlock()
	next := maps.Clone(*t.buckets.Load())
	f(next)
	t.buckets.Store(&next)
}

// Holding is what a host holds of a customer's limit at one moment.
type Holding struct {
	Tokens float64
	Burst  float64
	// Rate is the refill rate in requests per second.
	Rate float64
}

// Holding returns what the host holds of a customer's limit, nothing without a
// lease. It is for metrics and for checks of invariants.
func (t *Table) Holding(customer fleet.Customer) Holding {
	b := t.bucket(customer)
	if b == nil {
		return Holding{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, valid := t.advance(b); !valid {
		return Holding{}
	}
	return Holding{Tokens: b.level, Burst: b.capacity, Rate: b.refillRate * float64(time.Second)}
}
