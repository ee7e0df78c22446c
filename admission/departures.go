package admission

import (
	"math"
	"time"

	"github.com/catkinspring/catkinspring/machine"
)

const (
	// rateHalfLife is the half-life of the observed departures. A host serves 5 to 15 requests a
	// second of a service, so the rate covers about 15 to 45 departures.
	rateHalfLife = 2 * time.Second
	// minObserved is the time with waiting items from which on the rate is used.
	minObserved = 500 * time.Millisecond
	// idleReset is the time without waiting items after which what was observed before no longer
	// counts: the demand changes over several seconds.
	idleReset = 5 * time.Second
	// stallReset is the time without waiting items after which a stall no longer counts.
	stallReset = time.Second

	// defaultRetryAfter is used while the rate is unknown: about the time in which an upstream
	// finishes a request.
	defaultRetryAfter = 400 * time.Millisecond
	// minRetryAfter keeps refused callers from using up their only retry at once.
	minRetryAfter = 200 * time.Millisecond
	// maxRetryPart is the part of their time left that callers wait at most, as its reciprocal.
	maxRetryPart = 3
	// retrySpread is the part by which Retry-After varies in both directions, so that callers that
	// were refused together do not retry together.
	retrySpread = 0.25
)

// departures measures the rate at which items are served. It counts only the time in which
// items wait.
type departures struct {
	// at is when observed and served were last updated, which both decay; while nothing waits,
	// it is when the last item was removed.
	at       machine.Instant
	observed time.Duration
	served   float64
	// since is when the last item was served, or else when the first one began to wait. Time in
	// which nothing waits is left out.
	since machine.Instant
}

// advance updates the state to now. waiting is true if items have waited since the last call.
func (d *departures) advance(now machine.Instant, waiting bool) {
	elapsed := max(0, now.Sub(d.at))
	if !waiting {
		if elapsed > idleReset {
			d.served, d.observed = 0, 0
		}
		return
	}
	remaining := math.Exp2(-float64(elapsed) / float64(rateHalfLife))
	d.served *= remaining
	d.observed = time.Duration(float64(d.observed)*remaining + float64(rateHalfLife)/math.Ln2*(1-remaining))
	d.at = now
}

// begin notes that an item begins to wait while no other one does.
func (d *departures) begin(now machine.Instant) {
	d.since, d.at = now.Add(-d.stalled(now, false)), now
}

// stalled returns for how long items have waited without a departure.
func (d *departures) stalled(now machine.Instant, waiting bool) time.Duration {
	switch {
	case waiting:
		return now.Sub(d.since)
	case now.Sub(d.at) > stallReset:
		return 0
	}
	return d.at.Sub(d.since)
}

// add counts a departure.
func (d *departures) add(now machine.Instant) {
	d.served++
	d.since = now
}

// timeFor returns the time in which that many items are served. It returns false before enough
// time was observed, and if nothing was served.
func (d *departures) timeFor(items int) (needed time.Duration, known bool) {
	if d.observed < minObserved || d.served <= 0 {
		return 0, false
	}
	seconds := float64(items) * d.observed.Seconds() / d.served
	return time.Duration(min(seconds, time.Hour.Seconds()) * float64(time.Second)), true
}

// exceeds reports whether an item with others before it is not expected to be served by its
// latest start: at the observed rate, or because nothing has been served for longer than the
// time that it has. waiting is true if other items wait.
func (d *departures) exceeds(now machine.Instant, before int, latestStart machine.Instant, waiting bool) bool {
	left := latestStart.Sub(now)
	needed, known := d.timeFor(before)
	return known && needed > left || d.stalled(now, waiting) > left
}

// RetryAfter returns when a refused caller that has timeLeft should retry: after the time in
// which the waiting items of its class are served. spread is a fraction in [0, 1) that differs
// between callers.
func (q *Queue) RetryAfter(now machine.Instant, priority int, timeLeft time.Duration, spread float64) time.Duration {
	q.advance(now)
	own := &q.classes[classOf(priority)]
	after, known := own.timeFor(own.items + 1)
	if !known {
		after = defaultRetryAfter
	}
	after = time.Duration(float64(after) * (1 - retrySpread + 2*retrySpread*spread))
	return max(0, min(max(after, minRetryAfter), timeLeft/maxRetryPart))
}
