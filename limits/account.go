package limits

import (
	"math"
	"slices"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	// spareHalfLife is the time after which the weight of an advertisement halves.
	spareHalfLife = 4 * time.Second
	// requestTimeout is the time after which a request counts as lost.
	requestTimeout = 400 * time.Millisecond
	// customerRequestRate and hostRequestRate bound the requests per second to peers
	// for queued requests, for one customer and for all. Without them, customers near
	// their limit on every host cost several hundred messages per second.
	customerRequestRate  = 24
	customerRequestBurst = 96
	hostRequestRate      = 96
	hostRequestBurst     = 192
)

// requestBudget is a token bucket that limits the requests to peers.
type requestBudget struct {
	rate, burst, available float64
	at                     machine.Instant
}

// refill adds the tokens since the last call and returns the whole tokens held.
func (b *requestBudget) refill(now machine.Instant) int {
	b.available = min(b.burst, b.available+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	return int(b.available)
}

// loanSource is where units of a granted loan come from: the base share if the key
// is zero, else a loan that this host borrowed.
type loanSource struct {
	key   LoanKey
	units int64
}

// lentLoan is a loan that this host granted.
type lentLoan struct {
	id      uint64
	to      fleet.Member
	units   int64
	sources []loanSource
	purpose Purpose
	// until is the instant at which the units are free again.
	until machine.Instant
	// renewalRefused is true once a renewal was refused.
	renewalRefused bool
}

// borrowedLoan is a loan that this host received.
type borrowedLoan struct {
	key   LoanKey
	units int64
	// sublent is the number of units that are lent to other hosts.
	sublent int64
	until   machine.Instant
	// renewAt is the instant at which the next renewal is requested.
	renewAt machine.Instant
}

// request is a request to a peer for units that is not answered yet.
type request struct {
	peer   fleet.HostID
	units  int64
	tokens float64
	at     machine.Instant
}

// peerSpare is what a peer last advertised, with the time of its arrival.
type peerSpare struct {
	units  int64
	tokens float64
	at     machine.Instant
}

// account is the state of one customer. It is kept while units are lent, so that a
// customer that is removed and added again does not get back units that other
// hosts still hold.
type account struct {
	id     fleet.Customer
	rate   float64
	burst  float64
	active bool
	// division is the division of the customer's limit over the hosts, and base is
	// this host's share of the limit.
	division Division
	base     baseShare
	// allotted is what the records of all hosts leave to this host of the limit.
	allotted int64
	// pooling is true if this host collects the units of a small burst.
	pooling bool

	lent            []lentLoan
	borrowed        []borrowedLoan
	pendingRequests []request
	peerSpares      map[fleet.HostID]peerSpare
	forecast        forecast
	usage           Usage

	// yieldUntil is the end of the time in which the host requests no units, because
	// it ceded the units of a single token to another host.
	yieldUntil machine.Instant
	// nextUrgent is the instant from which peers may be asked again for queued
	// requests, and urgentBackoff the backoff after a round without any grant.
	nextUrgent    machine.Instant
	urgentBackoff time.Duration
	urgent        requestBudget
	// nextPlanned is the instant from which peers may be asked for forecast demand.
	nextPlanned machine.Instant
	// noPoolUntil is the end of the time in which nothing is lent to a pool.
	noPoolUntil machine.Instant
}

func newAccount(id fleet.Customer) *account {
	return &account{
		id:         id,
		peerSpares: map[fleet.HostID]peerSpare{},
		urgent:     requestBudget{rate: customerRequestRate, burst: customerRequestBurst, available: customerRequestBurst},
	}
}

// own returns the units of the base share that are not lent. It is 0 while more is
// lent than a reduced base share holds.
func (a *account) own() int64 {
	return max(0, a.base.effective-a.lentOwn())
}

// lendableOwn returns the units of the base share that can be lent.
func (a *account) lendableOwn() int64 {
	return max(0, min(a.base.effective, a.base.lendable())-a.lentOwn())
}

// lentOwn returns the units of the base share that are lent.
func (a *account) lentOwn() int64 {
	var units int64
	for i := range a.lent {
		for _, source := range a.lent[i].sources {
			if source.key == (LoanKey{}) {
				units += source.units
			}
		}
	}
	return units
}

// lentToPool returns the units that are lent to a pool.
func (a *account) lentToPool() int64 {
	var units int64
	for i := range a.lent {
		if a.lent[i].purpose == ForPool {
			units += a.lent[i].units
		}
	}
	return units
}

// free returns the units of a borrowed loan that are not lent to other hosts.
func (l *borrowedLoan) free() int64 { return l.units - l.sublent }

// held returns all units that the host can use.
func (a *account) held() int64 {
	units := a.own()
	for i := range a.borrowed {
		units += a.borrowed[i].free()
	}
	return units
}

// heldUnits returns what the host holds, for the table.
func (a *account) heldUnits() HeldUnits {
	s := HeldUnits{Own: a.own()}
	for i := range a.borrowed {
		s.Loans = append(s.Loans, LoanUnits{Key: a.borrowed[i].key, Units: a.borrowed[i].free()})
	}
	return s
}

// need returns the units that the forecast demand of this host requires.
func (a *account) need(headroom float64) int64 {
	return a.forecast.units(a.rate, a.burst, headroom)
}

// target returns the units that the host wants to have.
func (a *account) target(headroom float64) int64 {
	if a.pooling {
		return fleet.TotalWeight
	}
	return a.need(headroom)
}

// small reports whether the base share holds too few tokens to be useful alone.
func (a *account) small() bool {
	return a.active && amountOf(a.base.effective, a.burst) < minTokens
}

// tokenUnits returns the units whose capacity is the given number of tokens.
func (a *account) tokenUnits(tokens float64) int64 {
	if a.burst <= 0 {
		return fleet.TotalWeight
	}
	return int64(math.Ceil(min(1, tokens/a.burst) * fleet.TotalWeight))
}

// spare returns the units that the host could lend. It lends more for queued
// requests, whose loans usually come back soon: it keeps only half of its need, and
// at least a whole token if it has one, and also lends units that it borrowed.
func (a *account) spare(purpose Purpose, now machine.Instant) int64 {
	if a.usage.Waiting > 0 || purpose == ForPool && now < a.noPoolUntil {
		return 0
	}
	held, keep, lendable := a.held(), a.need(rateHeadroom), a.lendableOwn()
	if purpose == ForWaiting {
		keep /= 2
		if token := a.tokenUnits(1); keep > 0 && held >= token {
			keep = max(keep, token)
		}
		for i := range a.borrowed {
			if sublendDuration(&a.borrowed[i], now) >= minLoanDuration {
				lendable += a.borrowed[i].free()
			}
		}
	}
	return max(0, min(lendable, held-keep))
}

// sublendDuration returns how long a borrowed loan can be lent to another host so
// that the sublent loan ends before the borrowed one on the clock of this host.
func sublendDuration(l *borrowedLoan, now machine.Instant) time.Duration {
	return (l.until.Sub(now) - driftMargin(0)) * 100 / 102
}

// allocateLoan takes units for a loan from the base share first and then from the
// borrowed loans. It returns the sources and the longest possible duration.
func (a *account) allocateLoan(units int64, now machine.Instant) ([]loanSource, time.Duration) {
	duration := LoanDuration
	own := min(units, a.lendableOwn())
	var sources []loanSource
	if own > 0 {
		sources = append(sources, loanSource{units: own})
	}
	units -= own
	for i := range a.borrowed {
		l := &a.borrowed[i]
		longest := sublendDuration(l, now)
		taken := min(units, l.free())
		if taken <= 0 || longest < minLoanDuration {
			continue
		}
		l.sublent += taken
		units -= taken
		duration = min(duration, longest)
		sources = append(sources, loanSource{key: l.key, units: taken})
	}
	return sources, duration
}

// removeLent removes a loan that this host granted and releases its sources.
func (a *account) removeLent(i int) {
	for _, source := range a.lent[i].sources {
		if k := a.findBorrowed(source.key); k >= 0 {
			a.borrowed[k].sublent -= source.units
		}
	}
	a.lent = slices.Delete(a.lent, i, i+1)
}

// expireLent removes granted loans that have ended and reports whether any had.
func (a *account) expireLent(now machine.Instant) bool {
	before := len(a.lent)
	for i := len(a.lent) - 1; i >= 0; i-- {
		if now >= a.lent[i].until {
			a.removeLent(i)
		}
	}
	return len(a.lent) < before
}

// expireBorrowed removes borrowed loans that have ended and pending requests that
// have timed out. A peer that did not answer is assumed to have nothing to lend.
func (a *account) expireBorrowed(now machine.Instant) {
	a.borrowed = slices.DeleteFunc(a.borrowed, func(l borrowedLoan) bool { return now >= l.until })
	a.pendingRequests = slices.DeleteFunc(a.pendingRequests, func(r request) bool {
		if now.Sub(r.at) < requestTimeout {
			return false
		}
		a.peerSpares[r.peer] = peerSpare{at: now}
		return true
	})
}

func (a *account) findLent(id uint64) int {
	return slices.IndexFunc(a.lent, func(l lentLoan) bool { return l.id == id })
}

func (a *account) findBorrowed(key LoanKey) int {
	return slices.IndexFunc(a.borrowed, func(l borrowedLoan) bool { return l.key == key })
}

func (a *account) removePending(peer fleet.HostID) {
	a.pendingRequests = slices.DeleteFunc(a.pendingRequests, func(r request) bool { return r.peer == peer })
}

func (a *account) hasPending(peer fleet.HostID) bool {
	return slices.ContainsFunc(a.pendingRequests, func(r request) bool { return r.peer == peer })
}

// pending returns the units and tokens that are requested from peers.
func (a *account) pending() (units int64, tokens float64) {
	for i := range a.pendingRequests {
		units += a.pendingRequests[i].units
		tokens += a.pendingRequests[i].tokens
	}
	return units, tokens
}

// estimate returns what a peer can probably lend: its last advertisement, whose
// weight halves with every spareHalfLife, or half of its base share if it has not
// advertised anything yet.
func (a *account) estimate(peer *fleet.ViewMember, now machine.Instant) (int64, float64) {
	last, known := a.peerSpares[peer.Host]
	if !known {
		units := a.division.units(peer)
		return units / 2, amountOf(units, a.burst) / 2
	}
	weight := math.Exp2(-now.Sub(last.at).Seconds() / spareHalfLife.Seconds())
	return int64(float64(last.units) * weight), last.tokens * weight
}
