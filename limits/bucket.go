package limits

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	// refillFactor reduces every refill rate by the bound on clock drift, 0.1%,
	// so that a host with a fast clock stays within the rate in real time.
	refillFactor = 0.999
	// refundPeriod is the length of a period of refundLimiter. A token can be refunded
	// in the period of its admission and in the next one.
	refundPeriod = time.Second
	// never is an instant after all others.
	never = machine.Instant(math.MaxInt64)
)

// LoanKey identifies a loan. The lender chooses the ID.
type LoanKey struct {
	Lender fleet.Member
	ID     uint64
}

// heldLoan is a loan that this host borrowed.
type heldLoan struct {
	key   LoanKey
	units int64
	// until is the instant at which the units are no longer held.
	until machine.Instant
}

// LoanUnits are the units of a borrowed loan that are not lent to other hosts.
type LoanUnits struct {
	Key   LoanKey
	Units int64
}

// HeldUnits is what a host holds of a customer's limit: the units of its base share
// that are not lent, and for each loan that changed, the units that are not lent to
// other hosts.
type HeldUnits struct {
	Own   int64
	Loans []LoanUnits
}

// bucket is the token bucket of one customer. Its lock is held for a few
// arithmetic operations and never while waiting.
type bucket struct {
	mu       sync.Mutex
	customer fleet.Customer

	rate  float64
	burst float64
	// own is the units of the base share that are not lent.
	own int64
	// loans are sorted by descending end, so that the last one ends first.
	loans []heldLoan

	level    float64
	capacity float64
	// refillRate is in tokens per nanosecond.
	refillRate float64
	at         machine.Instant
	nextEnd    machine.Instant

	refunds refundLimiter
	waiters waitQueue
	// admitRatio is the moving average of the share of requests that got a token.
	admitRatio float64
	usage      Usage
	// demandPosted is true from the post of a Demand until the machine handles it.
	demandPosted bool
	// removed is true once the customer was removed.
	removed bool
	slab    []admission
}

// refundLimiter limits refunds to the smallest free capacity (room) of the last two
// periods. A refund is exact only if the bucket would not have overflowed had the
// token stayed in it. Without the bound, a bucket that refilled in the meantime would
// hold the refunded tokens on top of a full burst, and a window would admit more
// than B + R*t.
type refundLimiter struct {
	period       uint64
	started      machine.Instant
	currentRoom  float64
	previousRoom float64
}

func newBucket(customer fleet.Customer, now machine.Instant) *bucket {
	b := &bucket{customer: customer, at: now, nextEnd: never, admitRatio: 1}
	b.refunds.started = now
	return b
}

// amountOf returns the amount of a total, such as a rate or burst, that the units
// represent.
func amountOf(units int64, total float64) float64 {
	return float64(units) / fleet.TotalWeight * total
}

// recompute updates the fields that depend on the units and discards tokens above
// the capacity.
func (b *bucket) recompute() {
	units := b.units()
	b.nextEnd = never
	if n := len(b.loans); n > 0 {
		b.nextEnd = b.loans[n-1].until
	}
	b.capacity = amountOf(units, b.burst)
	b.refillRate = amountOf(units, b.rate) * refillFactor / float64(time.Second)
	b.level = min(b.level, b.capacity)
	b.refunds.recordRoom(b.capacity - b.level)
}

// advance refills the bucket up to now and removes loans that have ended. There
// is no refill after the end of the host's lease.
func (b *bucket) advance(now, leaseUntil machine.Instant) {
	if now <= b.at {
		return
	}
	for b.nextEnd <= now {
		b.refill(min(b.nextEnd, leaseUntil))
		b.loans = b.loans[:len(b.loans)-1]
		b.recompute()
	}
	b.refill(min(now, leaseUntil))
	b.at = now
	b.refunds.rotate(now)
}

func (b *bucket) refill(to machine.Instant) {
	if to <= b.at {
		return
	}
	b.level = min(b.capacity, b.level+b.refillRate*float64(to-b.at))
	b.at = to
	b.refunds.recordRoom(b.capacity - b.level)
}

// spend takes one token and reports whether there was one.
func (b *bucket) spend() bool {
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// topLoan returns the loan that holds the uppermost token and its end, or a zero
// key and never if the base share holds it. Tokens fill the base share first and then
// the loans by descending end, so that the capacity on top is lost first.
func (b *bucket) topLoan() (LoanKey, machine.Instant) {
	held := amountOf(b.own, b.burst)
	var key LoanKey
	until := never
	for i := range b.loans {
		if b.level <= held {
			break
		}
		key, until = b.loans[i].key, b.loans[i].until
		held += amountOf(b.loans[i].units, b.burst)
	}
	return key, until
}

// refund puts back a token that was spent in the given period, if there is room.
func (b *bucket) refund(period uint64) bool {
	if b.refunds.period-period > 1 || !b.refunds.take() {
		return false
	}
	b.level++
	return true
}

// setLimit changes the rate and burst of the customer.
func (b *bucket) setLimit(rate, burst float64) {
	b.rate, b.burst = rate, burst
	b.recompute()
}

// withdraw applies the units that are left after a transfer and returns the stored
// tokens that move with it: a proportional share, or more if wanted and stored, but
// never more than the capacity of the units.
func (b *bucket) withdraw(units int64, left HeldUnits, wanted float64) float64 {
	total := b.units()
	if total <= 0 || units <= 0 {
		return 0
	}
	share := b.level * float64(units) / float64(total)
	tokens := min(b.level, max(share, wanted), amountOf(units, b.burst))
	b.level -= tokens
	b.applyHeldUnits(left)
	return tokens
}

// deposit applies the units that are held after a return and adds their tokens.
func (b *bucket) deposit(held HeldUnits, tokens float64) {
	b.level += tokens
	b.applyHeldUnits(held)
}

func (b *bucket) applyHeldUnits(s HeldUnits) {
	b.own = s.Own
	for _, l := range s.Loans {
		if i := b.find(l.Key); i >= 0 {
			b.loans[i].units = l.Units
		}
	}
	b.recompute()
}

func (b *bucket) units() int64 {
	units := b.own
	for i := range b.loans {
		units += b.loans[i].units
	}
	return units
}

func (b *bucket) find(key LoanKey) int {
	return slices.IndexFunc(b.loans, func(l heldLoan) bool { return l.key == key })
}

// addLoan adds a borrowed loan with its tokens, unless it ended while the control
// loop was paused between reading the clock and this call.
func (b *bucket) addLoan(l heldLoan, tokens float64) {
	if l.until <= b.at {
		return
	}
	b.loans = append(b.loans, l)
	b.sortLoans()
	b.level += min(tokens, amountOf(l.units, b.burst))
	b.recompute()
}

func (b *bucket) sortLoans() {
	slices.SortStableFunc(b.loans, func(x, y heldLoan) int { return int(max(-1, min(1, y.until-x.until))) })
}

// extendLoan moves the end of a loan to a later instant.
func (b *bucket) extendLoan(key LoanKey, until machine.Instant) bool {
	i := b.find(key)
	if i < 0 {
		return false
	}
	b.loans[i].until = max(b.loans[i].until, until)
	b.sortLoans()
	b.recompute()
	return true
}

// dropLoan removes a loan and a proportional share of the stored tokens, and
// returns the loan's units and those tokens.
func (b *bucket) dropLoan(key LoanKey) (int64, float64) {
	i := b.find(key)
	if i < 0 {
		return 0, 0
	}
	units := b.loans[i].units
	tokens := 0.0
	if total := b.units(); total > 0 {
		tokens = min(b.level*float64(units)/float64(total), amountOf(units, b.burst))
	}
	b.level -= tokens
	b.loans = slices.Delete(b.loans, i, i+1)
	b.recompute()
	return units, tokens
}

// recordRoom records the free capacity of the bucket.
func (l *refundLimiter) recordRoom(room float64) {
	l.currentRoom = min(l.currentRoom, room)
}

// rotate starts a new period if the current one is over, and keeps the smallest
// room of the old one.
func (l *refundLimiter) rotate(now machine.Instant) {
	if now.Sub(l.started) < refundPeriod {
		return
	}
	l.period++
	if now.Sub(l.started) >= 2*refundPeriod {
		l.period++
	}
	l.previousRoom = l.currentRoom
	l.currentRoom = math.MaxFloat64
	l.started = now
}

// take uses one token of room, in both periods.
func (l *refundLimiter) take() bool {
	if min(l.currentRoom, l.previousRoom) < 1 {
		return false
	}
	l.currentRoom--
	l.previousRoom--
	return true
}
