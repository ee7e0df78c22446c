package steering

import (
	"slices"
	"time"

	"github.com/catkinspring/catkinspring/advisory"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// warmupLimiter holds what this host knows of the warm-up phase of an upstream, and a
// token bucket for this host's requests to it meanwhile. The hosts that may warm up an
// upstream are chosen by rendezvous hashing, so the total over all hosts holds without
// messages between them.
type warmupLimiter struct {
	// coldUntil is the end of the warm-up phase.
	coldUntil machine.Instant
	// statedUntil is the end of the warm-up phase by statements of the upstream and changes in
	// the store. Unlike coldUntil, it leaves out what follows from this host's own failures.
	statedUntil machine.Instant
	// unverifiedUntil is until when the upstream may have restarted without notice: its
	// last attempts failed as if its process had ended.
	unverifiedUntil machine.Instant
	bucket          tokenBucket
}

// start begins or extends the warm-up phase. The bucket starts empty.
func (l *warmupLimiter) start(now machine.Instant, d time.Duration) {
	l.empty(now)
	l.coldUntil = max(l.coldUntil, now.Add(d))
	l.statedUntil = max(l.statedUntil, now.Add(d))
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
	l.empty(now)
	l.coldUntil = max(l.coldUntil, now.Add(slowStart))
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

// ColdStatements returns the upstreams that are cold by statements of their own or changes in
// the store, for a host that has just started.
func (t *Table) ColdStatements(now machine.Instant) []advisory.Advisory {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []advisory.Advisory
	for _, m := range t.members {
		if d := m.limiter.statedUntil.Sub(now); d > 0 {
			list = append(list, advisory.Advisory{Upstream: advisory.Key(m.hash), ColdMillis: uint32(d.Milliseconds()) + 1})
		}
	}
	return list
}

// Restored begins the warm-up phase of the upstreams in failure domains whose evacuation has
// ended although this host has not seen it in force. Domains that are evacuated are left out.
func (t *Table) Restored(now machine.Instant, domains []fleet.FailureDomain) (changed []UpstreamChange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.members {
		d := m.Location.FailureDomain
		if t.evacuated[d] || !slices.Contains(domains, d) {
			continue
		}
		wasCold := m.limiter.active(now)
		if m.limiter.start(now, t.warmup[m.Service].SlowStart); !wasCold && m.limiter.active(now) {
			changed = append(changed, t.change(now, m, "the evacuation of its failure domain has just ended"))
		}
	}
	return changed
}
