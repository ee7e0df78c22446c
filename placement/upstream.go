package placement

import (
	"math"
	"time"

	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/traffic"
)

const (
	// estimateHalfLife is the half-life of an estimate of other hosts' requests.
	estimateHalfLife = time.Second
	// staleAfter is the age from which an estimate is replaced by the pool's median.
	staleAfter = 5 * time.Second
	// slowStartTime is the time in which the usable fraction of a new upstream's
	// slots grows from slowStartFloor to 1, because its caches are cold.
	slowStartTime  = 30 * time.Second
	slowStartFloor = 0.1
	// ejectAfter is the number of consecutive failures that eject an upstream.
	ejectAfter = 3
	// ejectBase and ejectMax bound the ejection time, which doubles with each
	// further failure.
	ejectBase = 500 * time.Millisecond
	ejectMax  = 10 * time.Second
	// restartSlowStartAfter is how long an upstream must have failed so that its caches
	// are assumed to be cold again.
	restartSlowStartAfter = 5 * time.Second
)

// upstream is this host's state of one upstream. The pool's lock guards it.
type upstream struct {
	target   traffic.Target
	slots    int
	leaving  bool
	inFlight int
	// home is the number of slots assigned to this host, see assignHomeSlots.
	home int

	othersInFlight  float64
	othersUpdatedAt machine.Instant
	slowStartSince  machine.Instant

	failures     int
	ejectedUntil machine.Instant
	failingSince machine.Instant
}

// estimateOthers estimates the other hosts' in-flight requests at this upstream.
// The last value decays with its age. From staleAfter on, the pool's median is used
// instead.
func (u *upstream) estimateOthers(now machine.Instant, median float64) float64 {
	age := now.Sub(u.othersUpdatedAt)
	if u.othersUpdatedAt == 0 || age >= staleAfter {
		return median
	}
	return u.othersInFlight * math.Exp2(-float64(age)/float64(estimateHalfLife))
}

// capacity returns the number of slots that may be used now; during slow start it
// is less than slots.
func (u *upstream) capacity(now machine.Instant) float64 {
	if u.slowStartSince == 0 {
		return float64(u.slots)
	}
	fraction := slowStartFloor + (1-slowStartFloor)*float64(now.Sub(u.slowStartSince))/float64(slowStartTime)
	return max(1, float64(u.slots)*min(1, fraction))
}

// usable reports whether the upstream may get new requests: it is not leaving or
// ejected. After an ejection it gets one trial request at a time.
func (u *upstream) usable(now machine.Instant) bool {
	return !u.leaving && now >= u.ejectedUntil && (u.failures < ejectAfter || u.inFlight == 0)
}

// load returns the estimated in-flight requests of all hosts divided by capacity.
func (u *upstream) load(now machine.Instant, median float64) float64 {
	return (float64(u.inFlight) + u.estimateOthers(now, median)) / u.capacity(now)
}

// hasFreeCapacity reports whether there is capacity for one more request.
func (u *upstream) hasFreeCapacity(now machine.Instant, median float64) bool {
	if float64(u.inFlight+1) > u.capacity(now) {
		return false
	}
	if u.inFlight < u.home {
		return true
	}
	return float64(u.inFlight+1)+u.estimateOthers(now, median) <= u.capacity(now)+0.5
}

// observe updates the state from the result of an exchange.
func (u *upstream) observe(now machine.Instant, result traffic.Result) {
	switch result {
	case traffic.ResultAnswered:
		u.recover(now)
	case traffic.ResultShed:
		// The upstream was full, regardless of the estimates.
		u.othersInFlight = max(u.estimateOthers(now, 0), float64(u.slots-u.inFlight))
		u.othersUpdatedAt = now
	case traffic.ResultDraining:
		u.leaving = true
	case traffic.ResultConnectFailed, traffic.ResultFailed, traffic.ResultTimedOut:
		u.fail(now, result)
	}
}

func (u *upstream) recover(now machine.Instant) {
	if u.failures >= ejectAfter && now.Sub(u.failingSince) >= restartSlowStartAfter {
		u.slowStartSince = now
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
