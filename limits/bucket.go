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
	// refundPeriod is the length of a period of the refund account. A token can
	// be given back in the period of its admission and in the one after it.
	refundPeriod = time.Second
	// never is an instant after every other.
	never = machine.Instant(math.MaxInt64)
)

// LoanKey identifies a loan. The id is chosen by the lender.
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

// LoanUnits is the part of a borrowed loan that is not lent on.
type LoanUnits struct {
	Key   LoanKey
	Units int64
}

// Split is what a host holds of a customer: the part of its base share that is
// not lent, and of each loan that changed the part that is not lent on.
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
	// own is the part of the base share that is not lent, in units.
	own int64
	// loans are sorted by descending end, so that the last one ends first.
	loans []heldLoan

	level    float64
	capacity float64
	// fill is the refill rate in tokens a nanosecond.
	fill    float64
	at      machine.Instant
	nextEnd machine.Instant

	refunds refundAccount
	waiters waitQueue
	// served is the running part of the requests that got a token.
	served float64
	usage  Usage
	// demandPosted is true from the post of a Demand until the machine takes it.
	demandPosted bool
	// removed is true once the customer was withdrawn.
	removed bool
	slab    []admission
}

// refundAccount bounds refunds. A refund is exact only if the bucket would not
// have overflowed had the token stayed in it. Without the bound, a bucket that
// refilled in the meantime would hold the refunded tokens on top of a full
// burst, and a window would admit more than B + R*t.
type refundAccount struct {
	period   uint64
	started  machine.Instant
	current  float64
	previous float64
}

func newBucket(customer fleet.Customer, now machine.Instant) *bucket {
	b := &bucket{customer: customer, at: now, nextEnd: never, served: 1}
	b.refunds.started = now
	return b
}

// unitsOf returns the part of a total that belongs to units.
func unitsOf(units int64, total float64) float64 {
	return float64(units) / fleet.TotalWeight * total
}

// reshape recomputes what depends on the units and discards tokens above the
// capacity.
func (b *bucket) reshape() {
	units := b.units()
	b.nextEnd = never
	if n := len(b.loans); n > 0 {
		b.nextEnd = b.loans[n-1].until
	}
	b.capacity = unitsOf(units, b.burst)
	b.fill = unitsOf(units, b.rate) * refillFactor / float64(time.Second)
	b.level = min(b.level, b.capacity)
	b.refunds.note(b.capacity - b.level)
}

// advance refills the bucket up to now and ends the loans that are over. There
// is no refill after the end of the host's lease.
func (b *bucket) advance(now, leaseUntil machine.Instant) {
	if now <= b.at {
		return
	}
	for b.nextEnd <= now {
		b.refill(min(b.nextEnd, leaseUntil))
		b.loans = b.loans[:len(b.loans)-1]
		b.reshape()
	}
	b.refill(min(now, leaseUntil))
	b.at = now
	b.refunds.rotate(now)
}

func (b *bucket) refill(to machine.Instant) {
	if to <= b.at {
		return
	}
	b.level = min(b.capacity, b.level+b.fill*float64(to-b.at))
	b.at = to
	b.refunds.note(b.capacity - b.level)
}

// spend takes one token and reports whether there was one.
func (b *bucket) spend() bool {
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// backing returns the loan that holds the uppermost token and its end, or a zero
// key and never if the base share holds it. Tokens fill the base share first and then the loans by
// descending end, which is the order in which capacity goes away.
func (b *bucket) backing() (LoanKey, machine.Instant) {
	held := unitsOf(b.own, b.burst)
	var key LoanKey
	until := never
	for i := range b.loans {
		if b.level <= held {
			break
		}
		key, until = b.loans[i].key, b.loans[i].until
		held += unitsOf(b.loans[i].units, b.burst)
	}
	return key, until
}

// refund gives back a token that was spent in the given period.
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
	b.reshape()
}

// withdraw changes the units after some were taken out and returns the stored
// tokens that go with those: their part, or more if wanted and stored, but never
// more than their capacity.
func (b *bucket) withdraw(units int64, left HeldUnits, wanted float64) float64 {
	total := b.units()
	if total <= 0 || units <= 0 {
		return 0
	}
	part := b.level * float64(units) / float64(total)
	tokens := min(b.level, max(part, wanted), unitsOf(units, b.burst))
	b.level -= tokens
	b.apply(left)
	return tokens
}

// deposit changes the units after some came back and adds their tokens.
func (b *bucket) deposit(held HeldUnits, tokens float64) {
	b.level += tokens
	b.apply(held)
}

func (b *bucket) apply(s HeldUnits) {
	b.own = s.Own
	for _, l := range s.Loans {
		if i := b.find(l.Key); i >= 0 {
			b.loans[i].units = l.Units
		}
	}
	b.reshape()
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
// loop was paused between its reading of the clock and this call.
func (b *bucket) addLoan(l heldLoan, tokens float64) {
	if l.until <= b.at {
		return
	}
	b.loans = append(b.loans, l)
	b.sortLoans()
	b.level += min(tokens, unitsOf(l.units, b.burst))
	b.reshape()
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
	b.reshape()
	return true
}

// dropLoan removes a loan and a proportional part of the stored tokens, which
// it returns with the loan's units.
func (b *bucket) dropLoan(key LoanKey) (int64, float64) {
	i := b.find(key)
	if i < 0 {
		return 0, 0
	}
	units := b.loans[i].units
	tokens := 0.0
	if total := b.units(); total > 0 {
		tokens = min(b.level*float64(units)/float64(total), unitsOf(units, b.burst))
	}
	b.level -= tokens
	b.loans = slices.Delete(b.loans, i, i+1)
	b.reshape()
	return units, tokens
}

// note records the free room of the bucket.
func (a *refundAccount) note(room float64) {
	a.current = min(a.current, room)
}

// rotate starts a new period if the current one is over. The new period starts
// with the smallest room of the old one kept beside it.
func (a *refundAccount) rotate(now machine.Instant) {
	if now.Sub(a.started) < refundPeriod {
		return
	}
	a.period++
	if now.Sub(a.started) >= 2*refundPeriod {
		a.period++
	}
	a.previous = a.current
	a.current = math.MaxFloat64
	a.started = now
}

// take uses one token of room, in both periods.
func (a *refundAccount) take() bool {
	if min(a.current, a.previous) < 1 {
		return false
	}
	a.current--
	a.previous--
	return true
}
