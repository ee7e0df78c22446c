package placement

import (
	"math"
	"time"

	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/traffic"
)

const (
	// estimateHalfLife is the time in which an estimate of other hosts' work
	// loses half of its weight.
	estimateHalfLife = time.Second
	// staleAfter is the age from which an estimate is replaced by the pool's median.
	staleAfter = 5 * time.Second
	// slowStartTime is the time in which a new upstream goes from
	// slowStartFloor to all of its slots, because its caches are cold.
	slowStartTime  = 30 * time.Second
	slowStartFloor = 0.1
	// ejectAfter is the number of consecutive failures after which an upstream
	// gets no work for a while.
	ejectAfter = 3
	// ejectBase and ejectMax bound the time without work; it doubles with each
	// further failure.
	ejectBase = 500 * time.Millisecond
	ejectMax  = 10 * time.Second
	// restartSlowStartAfter is the absence after which caches are taken as cold.
	restartSlowStartAfter = 5 * time.Second
)

// upstream is what this host knows of one upstream. The pool's lock guards it.
type upstream struct {
	target   traffic.Target
	slots    int
	leaving  bool
	inFlight int
	// home is the number of slots that this host prefers, see assignHomes.
	home int

	others   float64
	othersAt machine.Instant
	warmFrom machine.Instant

	failures     int
	ejectedUntil machine.Instant
	failingSince machine.Instant
}

// othersNow returns the estimate of the other hosts' work at this upstream.
// Figures lose weight with their age; a figure older than staleAfter is not
// used at all.
func (u *upstream) othersNow(now machine.Instant, median float64) float64 {
	age := now.Sub(u.othersAt)
	if u.othersAt == 0 || age >= staleAfter {
		return median
	}
	return u.others * math.Exp2(-float64(age)/float64(estimateHalfLife))
}

// capacity returns the slots that may be used now, less than all in slow start.
func (u *upstream) capacity(now machine.Instant) float64 {
	if u.warmFrom == 0 {
		return float64(u.slots)
	}
	part := slowStartFloor + (1-slowStartFloor)*float64(now.Sub(u.warmFrom))/float64(slowStartTime)
	return max(1, float64(u.slots)*min(1, part))
}

// usable reports whether the upstream may get new work at all.
func (u *upstream) usable(now machine.Instant) bool {
	return !u.leaving && now >= u.ejectedUntil && (u.failures < ejectAfter || u.inFlight == 0)
}

// load returns the estimated work divided by capacity.
func (u *upstream) load(now machine.Instant, median float64) float64 {
	return (float64(u.inFlight) + u.othersNow(now, median)) / u.capacity(now)
}

// hasRoom reports whether one more request is estimated to fit.
func (u *upstream) hasRoom(now machine.Instant, median float64) bool {
	if float64(u.inFlight+1) > u.capacity(now) {
		return false
	}
	if u.inFlight < u.home {
		return true
	}
	return float64(u.inFlight+1)+u.othersNow(now, median) <= u.capacity(now)+0.5
}

// observe learns from the end of an exchange.
func (u *upstream) observe(now machine.Instant, result traffic.Result) {
	switch result {
	case traffic.ResultAnswered:
		u.recover(now)
	case traffic.ResultShed:
		// The upstream was full, whatever the estimates said.
		u.others = max(u.othersNow(now, 0), float64(u.slots-u.inFlight))
		u.othersAt = now
	case traffic.ResultDraining:
		u.leaving = true
	case traffic.ResultConnectFailed, traffic.ResultFailed, traffic.ResultTimedOut:
		u.fail(now, result)
	}
}

func (u *upstream) recover(now machine.Instant) {
	if u.failures >= ejectAfter && now.Sub(u.failingSince) >= restartSlowStartAfter {
		u.warmFrom = now
	}
	u.failures = 0
	u.ejectedUntil = 0
}

func (u *upstream) fail(now machine.Instant, result traffic.Result) {
	if u.failures == 0 {
		u.failingSince = now
	}
	u.failures++
	if result == traffic.ResultConnectFailed {
		u.failures = max(u.failures, ejectAfter)
	}
	if u.failures < ejectAfter {
		return
	}
	backoff := ejectBase << min(u.failures-ejectAfter, 10)
	u.ejectedUntil = now.Add(min(backoff, ejectMax))
}
