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
)

// lentLoan is a loan that this host gave.
type lentLoan struct {
	id    uint64
	to    fleet.Member
	units int64
	// until is the instant at which the units are free again.
	until machine.Instant
	// recalled is true once a renewal was refused.
	recalled bool
}

// borrowedLoan is a loan that this host has.
type borrowedLoan struct {
	key   LoanKey
	units int64
	until machine.Instant
	// renewAt is the instant at which the next renewal is asked for.
	renewAt machine.Instant
}

// ask is an open request for units.
type ask struct {
	peer  fleet.HostID
	units int64
	at    machine.Instant
}

// figure is an advertised spare with the time of its arrival.
type figure struct {
	units int64
	at    machine.Instant
}

// account is the state of one customer. It outlives the customer while units
// are lent, so that a customer that is withdrawn and added again does not get
// back what others still hold.
type account struct {
	id     fleet.Customer
	rate   float64
	burst  float64
	active bool

	lent     []lentLoan
	borrowed []borrowedLoan
	asks     []ask
	spares   map[fleet.HostID]figure
	forecast forecast
	usage    Usage
	// yieldUntil is the end of the time in which the host does not ask, because
	// it left the units of a single token to another host.
	yieldUntil machine.Instant
}

func newAccount(id fleet.Customer) *account {
	return &account{id: id, spares: map[fleet.HostID]figure{}}
}

// lentUnits returns the units that are lent.
func (a *account) lentUnits() int64 {
	var units int64
	for i := range a.lent {
		units += a.lent[i].units
	}
	return units
}

// own returns the part of the base share that is not lent. It is 0 while a base
// share that became smaller is lent in excess.
func (a *account) own(weight int64) int64 {
	return max(0, weight-a.lentUnits())
}

// held returns all units that the host can use.
func (a *account) held(weight int64) int64 {
	units := a.own(weight)
	for i := range a.borrowed {
		units += a.borrowed[i].units
	}
	return units
}

// need returns the units that the host wants to have.
func (a *account) need(headroom float64) int64 {
	return a.forecast.units(a.rate, a.burst, headroom)
}

// tokenUnits returns the units whose capacity is a number of tokens.
func (a *account) tokenUnits(tokens float64) int64 {
	if a.burst <= 0 {
		return fleet.TotalWeight
	}
	return int64(math.Ceil(min(1, tokens/a.burst) * fleet.TotalWeight))
}

// spare returns the units that the host could lend. Under an urgent request it
// keeps no headroom for itself.
func (a *account) spare(weight int64, urgent bool) int64 {
	if a.usage.Waiting > 0 {
		return 0
	}
	headroom := rateHeadroom
	if urgent {
		headroom = 1
	}
	return max(0, min(a.own(weight), a.held(weight)-a.need(headroom)))
}

// expireLent removes the loans whose time is over and reports whether any was.
func (a *account) expireLent(now machine.Instant) bool {
	before := len(a.lent)
	a.lent = slices.DeleteFunc(a.lent, func(l lentLoan) bool { return now >= l.until })
	return len(a.lent) < before
}

// expire removes borrowed loans and requests whose time is over.
func (a *account) expire(now machine.Instant) {
	a.borrowed = slices.DeleteFunc(a.borrowed, func(l borrowedLoan) bool { return now >= l.until })
	a.asks = slices.DeleteFunc(a.asks, func(k ask) bool { return now.Sub(k.at) >= askTimeout })
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

func (a *account) pendingUnits() int64 {
	var units int64
	for i := range a.asks {
		units += a.asks[i].units
	}
	return units
}

// estimate returns what a peer can probably lend: its last figure, which loses
// half of its weight with every spareHalfLife. A peer without a figure counts
// with half of its base share.
func (a *account) estimate(peer *fleet.ViewMember, now machine.Instant) int64 {
	f, known := a.spares[peer.Host]
	if !known {
		return int64(peer.Weight) / 2
	}
	age := now.Sub(f.at).Seconds() / spareHalfLife.Seconds()
	return int64(float64(f.units) * math.Exp2(-age))
}
