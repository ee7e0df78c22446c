package limits

import (
	"math"
	"slices"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	// spareHalfLife is the time after which an advertised figure counts half.
	spareHalfLife = 4 * time.Second
	// askTimeout is the time after which a request counts as lost.
	askTimeout = 400 * time.Millisecond
	// customerAskRate and hostAskRate bound the peers that are asked a second for
	// waiting requests, for one customer and for all. Without them, customers near
	// their limit on every host cost several hundred messages a second.
	customerAskRate  = 24
	customerAskBurst = 96
	hostAskRate      = 96
	hostAskBurst     = 192
)

// budget bounds how often something is done.
type budget struct {
	rate, burst, left float64
	at                machine.Instant
}

// refill brings the budget up to date and returns what is left.
func (b *budget) refill(now machine.Instant) int {
	b.left = min(b.burst, b.left+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	return int(b.left)
}

// part is a piece of a loan that this host gave: of its base share if the key is
// zero, else of a loan that it has itself.
type part struct {
	key   LoanKey
	units int64
}

// lentLoan is a loan that this host gave.
type lentLoan struct {
	id      uint64
	to      fleet.Member
	units   int64
	parts   []part
	purpose Purpose
	// until is the instant at which the units are free again.
	until machine.Instant
	// recalled is true once a renewal was refused.
	recalled bool
}

// borrowedLoan is a loan that this host has.
type borrowedLoan struct {
	key   LoanKey
	units int64
	// lentOn is the part of units that is lent to others.
	lentOn int64
	until  machine.Instant
	// renewAt is the instant at which the next renewal is asked for.
	renewAt machine.Instant
}

// ask is an open request for units.
type ask struct {
	peer   fleet.HostID
	units  int64
	tokens float64
	at     machine.Instant
}

// figure is what a peer advertised, with the time of its arrival.
type figure struct {
	units  int64
	tokens float64
	at     machine.Instant
}

// account is the state of one customer. It outlives the customer while units
// are lent, so that a customer that is withdrawn and added again does not get
// back what others still hold.
type account struct {
	id     fleet.Customer
	rate   float64
	burst  float64
	active bool
	// division is that of the customer's limit, base this host's part of it.
	division Division
	base     baseShare
	// pooling is true if this host gathers the units of a small burst.
	pooling bool

	lent     []lentLoan
	borrowed []borrowedLoan
	asks     []ask
	spares   map[fleet.HostID]figure
	forecast forecast
	usage    Usage

	// yieldUntil is the end of the time in which the host does not ask, because
	// it left the units of a single token to another host.
	yieldUntil machine.Instant
	// urgentFrom is the instant from which waiting requests may ask peers again,
	// and urgentPause the time that follows a round without any grant.
	urgentFrom  machine.Instant
	urgentPause time.Duration
	urgent      budget
	// plannedFrom is the instant from which peers are asked for expected demand.
	plannedFrom machine.Instant
	// noPoolUntil is the end of the time in which nothing is lent to a pool.
	noPoolUntil machine.Instant
}

func newAccount(id fleet.Customer) *account {
	return &account{
		id:     id,
		spares: map[fleet.HostID]figure{},
		urgent: budget{rate: customerAskRate, burst: customerAskBurst, left: customerAskBurst},
	}
}

// own returns the part of the base share that is not lent. It is 0 while a base
// share that became smaller is lent in excess.
func (a *account) own() int64 {
	return max(0, a.base.inForce-a.lentOwn())
}

// lentOwn returns the units of the base share that are lent.
func (a *account) lentOwn() int64 {
	var units int64
	for i := range a.lent {
		for _, p := range a.lent[i].parts {
			if p.key == (LoanKey{}) {
				units += p.units
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

// free returns the units of a borrowed loan that are not lent on.
func (l *borrowedLoan) free() int64 { return l.units - l.lentOn }

// held returns all units that the host can use.
func (a *account) held() int64 {
	units := a.own()
	for i := range a.borrowed {
		units += a.borrowed[i].free()
	}
	return units
}

// split returns what the host holds, for publication.
func (a *account) split() HeldUnits {
	s := HeldUnits{Own: a.own()}
	for i := range a.borrowed {
		s.Loans = append(s.Loans, LoanUnits{Key: a.borrowed[i].key, Units: a.borrowed[i].free()})
	}
	return s
}

// need returns the units that the expected demand of this host needs.
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

// small reports whether a base share holds too few tokens to be useful alone.
func (a *account) small() bool {
	return a.active && unitsOf(a.base.inForce, a.burst) < minTokens
}

// tokenUnits returns the units whose capacity is a number of tokens.
func (a *account) tokenUnits(tokens float64) int64 {
	if a.burst <= 0 {
		return fleet.TotalWeight
	}
	return int64(math.Ceil(min(1, tokens/a.burst) * fleet.TotalWeight))
}

// spare returns the units that the host could lend. To waiting requests, whose
// loans usually come back at once, it lends more: it keeps half of what it needs
// and a whole token, if it has one, and lends on what it borrowed.
func (a *account) spare(purpose Purpose, now machine.Instant) int64 {
	if a.usage.Waiting > 0 || purpose == ForPool && now < a.noPoolUntil {
		return 0
	}
	held, keep, lendable := a.held(), a.need(rateHeadroom), a.own()
	if purpose == ForWaiting {
		keep /= 2
		if token := a.tokenUnits(1); keep > 0 && held >= token {
			keep = max(keep, token)
		}
		for i := range a.borrowed {
			if lendOnDuration(&a.borrowed[i], now) >= minLoanDuration {
				lendable += a.borrowed[i].free()
			}
		}
	}
	return max(0, min(lendable, held-keep))
}

// lendOnDuration returns how long a borrowed loan can be lent on, so that this
// host counts its end before that of the borrowed loan.
func lendOnDuration(l *borrowedLoan, now machine.Instant) time.Duration {
	return (l.until.Sub(now) - driftMargin(0)) * 100 / 102
}

// cut takes units for a loan out of the base share first and then out of the
// borrowed loans. It returns their pieces and the longest possible duration.
func (a *account) cut(units int64, now machine.Instant) ([]part, time.Duration) {
	duration := LoanDuration
	own := min(units, a.own())
	var parts []part
	if own > 0 {
		parts = append(parts, part{units: own})
	}
	units -= own
	for i := range a.borrowed {
		l := &a.borrowed[i]
		longest := lendOnDuration(l, now)
		piece := min(units, l.free())
		if piece <= 0 || longest < minLoanDuration {
			continue
		}
		l.lentOn += piece
		units -= piece
		duration = min(duration, longest)
		parts = append(parts, part{key: l.key, units: piece})
	}
	return parts, duration
}

// settleLent removes a loan that this host gave and frees its pieces.
func (a *account) settleLent(i int) {
	for _, p := range a.lent[i].parts {
		if k := a.findBorrowed(p.key); k >= 0 {
			a.borrowed[k].lentOn -= p.units
		}
	}
	a.lent = slices.Delete(a.lent, i, i+1)
}

// expireLent removes the loans whose time is over and reports whether any was.
func (a *account) expireLent(now machine.Instant) bool {
	before := len(a.lent)
	for i := len(a.lent) - 1; i >= 0; i-- {
		if now >= a.lent[i].until {
			a.settleLent(i)
		}
	}
	return len(a.lent) < before
}

// expire removes borrowed loans and requests whose time is over. A peer that
// did not answer counts as poor.
func (a *account) expire(now machine.Instant) {
	a.borrowed = slices.DeleteFunc(a.borrowed, func(l borrowedLoan) bool { return now >= l.until })
	a.asks = slices.DeleteFunc(a.asks, func(k ask) bool {
		if now.Sub(k.at) < askTimeout {
			return false
		}
		a.spares[k.peer] = figure{at: now}
		return true
	})
}

func (a *account) findLent(id uint64) int {
	return slices.IndexFunc(a.lent, func(l lentLoan) bool { return l.id == id })
}

func (a *account) findBorrowed(key LoanKey) int {
	return slices.IndexFunc(a.borrowed, func(l borrowedLoan) bool { return l.key == key })
}

func (a *account) answered(peer fleet.HostID) {
	a.asks = slices.DeleteFunc(a.asks, func(k ask) bool { return k.peer == peer })
}

func (a *account) asked(peer fleet.HostID) bool {
	return slices.ContainsFunc(a.asks, func(k ask) bool { return k.peer == peer })
}

// pending returns the units and tokens that are asked for.
func (a *account) pending() (units int64, tokens float64) {
	for i := range a.asks {
		units += a.asks[i].units
		tokens += a.asks[i].tokens
	}
	return units, tokens
}

// estimate returns what a peer can probably lend: its last figures, which lose
// half of their weight with every spareHalfLife. A peer without figures counts
// with half of its base share.
func (a *account) estimate(peer *fleet.ViewMember, now machine.Instant) (int64, float64) {
	f, known := a.spares[peer.Host]
	if !known {
		units := a.division.units(peer)
		return units / 2, unitsOf(units, a.burst) / 2
	}
	age := math.Exp2(-now.Sub(f.at).Seconds() / spareHalfLife.Seconds())
	return int64(float64(f.units) * age), f.tokens * age
}
