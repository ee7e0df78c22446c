package limits

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/problem"
	"github.com/catkinspring/catkinspring/traffic"
)

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After time of a refusal.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
	// slabLength is the number of admissions that are allocated together.
	slabLength = 64
)

// Demand notifies the machine that requests of a customer wait for tokens.
type Demand struct {
	Customer fleet.Customer
}

// MachineInput marks Demand as an input.
func (Demand) MachineInput() {}

// Usage counts the requests of a customer on this host.
type Usage struct {
	// Arrived counts all requests, Admitted and Refused those with a decision.
	Arrived  uint64
	Admitted uint64
	Refused  uint64
	Refunded uint64
	// Waiting is the number of queued requests.
	Waiting int
	// Level is the number of stored tokens.
	Level float64
}

// Table is the traffic side of the limits. It is safe for concurrent use.
type Table struct {
	clock   traffic.Clock
	post    func(machine.Input)
	buckets atomic.Pointer[map[fleet.Customer]*bucket]
	// publish serializes changes of the set of customers.
	publish    sync.Mutex
	leaseUntil atomic.Int64
	joined     atomic.Bool
	// leaseEpoch is incremented when the lease is renewed after its end, and when the
	// incarnation changes.
	leaseEpoch atomic.Uint64
}

var _ traffic.Limiter = (*Table)(nil)

// NewTable returns a table without customers. It calls post with a Demand when
// requests begin to wait; post must not block and may drop the input, because
// the machine also checks the queues at every tick.
func NewTable(clock traffic.Clock, post func(machine.Input)) *Table {
	t := &Table{clock: clock, post: post}
	t.buckets.Store(&map[fleet.Customer]*bucket{})
	return t
}

// admission is a spent token.
type admission struct {
	table  *Table
	bucket *bucket
	// loan is the loan that held the token, and loanUntil its end at the admission.
	loan       LoanKey
	loanUntil  machine.Instant
	leaseEpoch uint64
	period     uint64
	refunded   bool
}

// Admit spends one token of the customer. It returns a *problem.Error of kind
// rate-exceeded if no token is available within MaxWait, and one of kind
// lease-expired while the host holds no lease.
func (t *Table) Admit(ctx context.Context, customer fleet.Customer) (traffic.Admission, error) {
	b := t.bucket(customer)
	if b == nil {
		return nil, limitNotHeld()
	}
	a, w, err := t.admit(b)
	if a != nil {
		return a, nil
	}
	if err != nil {
		return nil, err
	}
	return t.wait(ctx, b, w)
}

// Attempt is an admission that may still wait. It serves callers that can't
// block, such as simulations under a virtual clock.
type Attempt struct {
	table  *Table
	bucket *bucket
	waiter *waiter
	result *admission
	err    error
}

// Begin is Admit without waiting. Poll returns the result.
func (t *Table) Begin(customer fleet.Customer) *Attempt {
	b := t.bucket(customer)
	if b == nil {
		return &Attempt{err: limitNotHeld()}
	}
	a, w, err := t.admit(b)
	return &Attempt{table: t, bucket: b, waiter: w, result: a, err: err}
}

// Poll returns false while the attempt waits, and then the result of Admit.
func (x *Attempt) Poll() (bool, traffic.Admission, error) {
	if x.waiter != nil {
		if _, done := x.table.poll(x.bucket, x.waiter); !done {
			return false, nil, nil
		}
		x.result = x.waiter.admission
		if x.result == nil {
			x.err = x.table.refusal(x.bucket)
		}
		x.waiter = nil
	}
	if x.result == nil {
		return true, nil, x.err
	}
	return true, x.result, nil
}

// admit decides at once, or returns a queued waiter.
func (t *Table) admit(b *bucket) (*admission, *waiter, error) {
	b.mu.Lock()
	now, valid := t.advance(b)
	b.usage.Arrived++
	if !valid {
		b.usage.Refused++
		b.mu.Unlock()
		return nil, nil, leaseExpired()
	}
	t.drain(b, now)
	if b.waiters.length == 0 {
		if a := t.take(b); a != nil {
			b.mu.Unlock()
			return a, nil, nil
		}
	}
	w := &waiter{deadline: now.Add(MaxWait), ready: make(chan struct{})}
	if !b.mayWait() || !b.waiters.push(w) {
		b.recordDecision(false)
		err := b.refuse()
		b.mu.Unlock()
		return nil, nil, err
	}
	post := !b.demandPosted
	b.demandPosted = true
	b.mu.Unlock()
	if post {
		t.post(Demand{Customer: b.customer})
	}
	return nil, w, nil
}

// wait waits for the decision on a queued request.
func (t *Table) wait(ctx context.Context, b *bucket, w *waiter) (traffic.Admission, error) {
	timer := time.NewTimer(MaxWait)
	defer timer.Stop()
	for {
		next, done := t.poll(b, w)
		if done {
			break
		}
		timer.Reset(next)
		select {
		case <-w.ready:
		case <-timer.C:
		case <-ctx.Done():
			t.abandon(b, w)
		}
	}
	if w.admission != nil {
		return w.admission, nil
	}
	if ctx.Err() != nil {
		return nil, problem.NotRun(problem.KindDeadlineExceeded, "the request ended while it waited for a token").WithCause(ctx.Err())
	}
	return nil, t.refusal(b)
}

// refusal returns the error for a request that waited without getting a token.
func (t *Table) refusal(b *bucket) error {
	if !t.valid(t.clock.Now().Instant) {
		return leaseExpired()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rateExceeded()
}

// poll serves the queue and returns the time until the waiter should poll again.
func (t *Table) poll(b *bucket, w *waiter) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, _ := t.advance(b)
	t.drain(b, now)
	if w.state != waiterQueued {
		return 0, true
	}
	next := w.deadline.Sub(now)
	if refill := b.timeUntil(float64(b.waiters.position(w) + 1)); refill < next {
		next = refill
	}
	return max(next, time.Millisecond), false
}

// abandon removes a waiter whose request ended from the queue.
func (t *Table) abandon(b *bucket, w *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.state == waiterQueued {
		b.waiters.remove(w)
		b.usage.Refused++
		w.finish(waiterRefused, nil)
	}
}

// drain admits waiters while there are tokens and refuses those past their
// deadline. Without a lease it refuses all of them.
func (t *Table) drain(b *bucket, now machine.Instant) {
	valid := t.valid(now)
	for w := b.waiters.head(); w != nil; w = b.waiters.head() {
		if !valid || now >= w.deadline {
			b.waiters.pop()
			b.usage.Refused++
			b.recordDecision(false)
			w.finish(waiterRefused, nil)
			continue
		}
		a := t.take(b)
		if a == nil {
			return
		}
		b.waiters.pop()
		w.finish(waiterAdmitted, a)
	}
}

// take spends a token if there is one.
func (t *Table) take(b *bucket) *admission {
	if b.level < 1 {
		return nil
	}
	loan, until := b.topLoan()
	b.spend()
	b.recordDecision(true)
	b.usage.Admitted++
	if len(b.slab) == 0 {
		b.slab = make([]admission, slabLength)
	}
	a := &b.slab[0]
	b.slab = b.slab[1:]
	*a = admission{
		table:      t,
		bucket:     b,
		loan:       loan,
		loanUntil:  until,
		leaseEpoch: t.leaseEpoch.Load(),
		period:     b.refunds.period,
	}
	return a
}

// Valid reports whether the lease has not ended since the admission and the
// loan that held the token, if any, was renewed or has not yet ended. A loan
// that was returned early remains valid for its admissions until its end. If the
// loan has ended, another stored token replaces the lost one: a claim may take
// longer than the loan, and the request is still within the limit.
func (a *admission) Valid() bool {
	t, b := a.table, a.bucket
	b.mu.Lock()
	defer b.mu.Unlock()
	now, valid := t.advance(b)
	if !valid || b.removed || t.leaseEpoch.Load() != a.leaseEpoch {
		return false
	}
	if now < a.loanUntil || b.find(a.loan) >= 0 {
		return true
	}
	return t.replaceToken(a, b)
}

// replaceToken replaces the token of an admission whose loan has ended. The
// caller holds the lock of the bucket.
func (t *Table) replaceToken(a *admission, b *bucket) bool {
	replacement := t.take(b)
	if replacement == nil {
		return false
	}
	b.usage.Admitted--
	a.loan, a.loanUntil, a.period = replacement.loan, replacement.loanUntil, replacement.period
	return true
}

// Refund puts the token back unless the bucket would have overflowed with it.
// Only the first call has an effect.
func (a *admission) Refund() {
	t, b := a.table, a.bucket
	b.mu.Lock()
	defer b.mu.Unlock()
	now, valid := t.advance(b)
	if a.refunded || !valid || t.leaseEpoch.Load() != a.leaseEpoch {
		return
	}
	a.refunded = true
	if b.refund(a.period) {
		b.usage.Refunded++
		t.drain(b, now)
	}
}

// advance reads the clock and refills the bucket, whose lock is held. The clock
// is read under the lock, so that a goroutine that was paused before it uses no
// outdated time.
func (t *Table) advance(b *bucket) (machine.Instant, bool) {
	now := t.clock.Now().Instant
	lease := machine.Instant(t.leaseUntil.Load())
	b.advance(now, lease)
	return now, now < lease
}

func (t *Table) valid(now machine.Instant) bool {
	return now < machine.Instant(t.leaseUntil.Load())
}

func (t *Table) bucket(customer fleet.Customer) *bucket {
	return (*t.buckets.Load())[customer]
}

// timeUntil returns the time until the bucket holds a number of tokens by its own
// refill, at most maxRetryAfter.
func (b *bucket) timeUntil(tokens float64) time.Duration {
	missing := tokens - b.level
	if missing <= 0 {
		return 0
	}
	if b.refillRate <= 0 || missing/b.refillRate >= float64(maxRetryAfter) {
		return maxRetryAfter
	}
	return time.Duration(missing / b.refillRate)
}

func (b *bucket) refuse() error {
	b.usage.Refused++
	return b.rateExceeded()
}

func (b *bucket) rateExceeded() error {
	after := b.timeUntil(float64(b.waiters.length + 1))
	after = max(minRetryAfter, min(maxRetryAfter, after))
	return problem.NotRun(problem.KindRateExceeded, "the customer's rate is used up").WithRetryAfter(after)
}

func limitNotHeld() error {
	return problem.NotRun(problem.KindNotReady, "the host holds no limit for the customer").WithRetryAfter(time.Second)
}

func leaseExpired() error {
	return problem.NotRun(problem.KindLeaseExpired, "the host holds no lease").WithRetryAfter(time.Second)
}

// SetJoined publishes whether the host takes part in the limits.
func (t *Table) SetJoined(joined bool) {
	t.joined.Store(joined)
}

// Joined reports whether the host takes part in the limits: it holds a base share, or
// may borrow. A host that just started does neither for a while.
func (t *Table) Joined() bool {
	return t.joined.Load()
}
