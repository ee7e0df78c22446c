package steering

import (
	"time"

	"github.com/catkinspring/catkinspring/machine"
)

// warmupLimiter holds what this host knows of the warm-up phase of an upstream, and a
// token bucket for this host's requests to it meanwhile. The hosts that may warm up an
// upstream are chosen by rendezvous hashing, so the total over all hosts holds without
// messages between them.
type warmupLimiter struct {
	// coldUntil is the end of the warm-up phase.
	coldUntil machine.Instant
	// unverifiedUntil is until when the upstream may have restarted without notice: its
	// last attempts failed as if its process had ended.
	unverifiedUntil machine.Instant
	bucket          tokenBucket
}

// start begins or extends the warm-up phase. The bucket starts empty.
func (l *warmupLimiter) start(now machine.Instant, d time.Duration) {
	l.empty(now)
	l.coldUntil = max(l.coldUntil, now.Add(d))
}

// suspect treats the upstream as cold for d, unless verify is called before.
func (l *warmupLimiter) suspect(now machine.Instant, d time.Duration) {
	l.empty(now)
	l.unverifiedUntil = now.Add(d)
}

// suspected reports whether the upstream may have restarted without notice.
func (l *warmupLimiter) suspected(now machine.Instant) bool { return now < l.unverifiedUntil }

// verify records that a suspected upstream answers. It may have started immediately
// before, so its warm-up phase takes up to slowStart from now.
func (l *warmupLimiter) verify(now machine.Instant, slowStart time.Duration) {
	l.start(now, slowStart)
	l.unverifiedUntil = 0
}

// empty empties the bucket unless the upstream is cold already.
func (l *warmupLimiter) empty(now machine.Instant) {
	if !l.active(now) {
		l.bucket = tokenBucket{refilledAt: now}
	}
}

// until returns when the upstream can be considered warm.
func (l *warmupLimiter) until() machine.Instant { return max(l.coldUntil, l.unverifiedUntil) }

// active reports whether the upstream is cold or may be.
func (l *warmupLimiter) active(now machine.Instant) bool { return now < l.until() }

// maxWarmupHosts bounds the number of warm-up hosts of one upstream. With two, one
// can send requests while the other has no callers; with more, each host's share of
// the rate would be too small.
const maxWarmupHosts = 2

// listDivergence is by how many times the hosts that consider themselves warm-up hosts
// may outnumber warmupHosts while their lists of hosts differ.
const listDivergence = 2

// warmupHosts returns the number of warm-up hosts of one upstream. The bursts of one
// token each of listDivergence times as many add up to at most ColdSlack.
func (t *Table) warmupHosts() int {
	return max(1, min(maxWarmupHosts, int(t.config.ColdSlack/listDivergence)))
}

// warmupShare returns the rate of one warm-up host. The rates of all warm-up hosts add
// up to at most the upstream's rate, those of listDivergence times as many to at most
// the tolerated one.
func (t *Table) warmupShare(rate float64) float64 {
	return rate * min(1, t.config.ColdTolerance/listDivergence) / float64(t.warmupHosts())
}

// warmupBucket returns the bucket from which a request to a cold upstream takes a token,
// or nil if this host may not send any. Invariant: all hosts together admit at most
// ColdTolerance * rate + ColdSlack requests to a cold upstream in one second, also if up
// to listDivergence * warmupHosts of them consider themselves warm-up hosts.
func (t *Table) warmupBucket(now machine.Instant, m *member) *tokenBucket {
	rate := t.warmup[m.Service].Rate
	if rate <= 0 || !t.isWarmupHost(m) {
		return nil
	}
	m.limiter.bucket.refill(now, t.warmupShare(rate))
	return &m.limiter.bucket
}

// isWarmupHost reports whether this host is a warm-up host of an upstream.
func (t *Table) isWarmupHost(m *member) bool {
	rank := t.rankOf(m).inRegion
	return rank != unranked && rank < t.warmupHosts()
}
