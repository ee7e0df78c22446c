package steering

import (
	"math"
	"slices"
	"time"

	"github.com/catkinspring/catkinspring/advisory"
	"github.com/catkinspring/catkinspring/catalog"
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
	// unverifiedUntil is until when the upstream may have restarted without notice: its
	// last attempts failed as if its process had ended.
	unverifiedUntil machine.Instant
	tokens          float64
	refilledAt      machine.Instant
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
		l.tokens, l.refilledAt = 0, now
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

// admit takes a token if the upstream is cold, and reports whether it may get a
// request. Invariant: all hosts together admit at most ColdTolerance * rate + ColdSlack
// requests to a cold upstream in one second, also if up to listDivergence * warmupHosts
// of them consider themselves warm-up hosts.
func (t *Table) admit(now machine.Instant, m *member) bool {
	if !m.limiter.active(now) {
		return true
	}
	rate := t.warmup[m.Service].Rate
	if rate <= 0 || !t.isWarmupHost(m) {
		return false
	}
	l := &m.limiter
	l.tokens = math.Min(1, l.tokens+now.Sub(l.refilledAt).Seconds()*t.warmupShare(rate))
	l.refilledAt = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// isWarmupHost reports whether this host is a warm-up host of an upstream. It determines
// that once for each list of hosts.
func (t *Table) isWarmupHost(m *member) bool {
	if m.warmupHostList != t.hostList {
		m.warmupHost, m.warmupHostList = t.findWarmupHost(m), t.hostList
	}
	return m.warmupHost
}

// findWarmupHost reports whether this host is one of the first by rendezvous hashing
// among the hosts in the upstream's region, or among all hosts if that region has none.
// A host that is not in its own list is none: the other hosts do not count it either.
func (t *Table) findWarmupHost(m *member) bool {
	if !slices.ContainsFunc(t.hosts, func(h catalog.Host) bool { return h.ID == t.config.Host }) {
		return false
	}
	sameRegion := t.config.Location.Region == m.Location.Region
	regionHasHosts := false
	for _, h := range t.hosts {
		regionHasHosts = regionHasHosts || h.Location.Region == m.Location.Region
	}
	if regionHasHosts && !sameRegion {
		return false
	}
	ownHash := hashPair(string(t.config.Host), string(m.ID))
	ahead := 0
	for _, h := range t.hosts {
		if regionHasHosts && h.Location.Region != m.Location.Region || h.ID == t.config.Host {
			continue
		}
		if hashPair(string(h.ID), string(m.ID)) > ownHash {
			ahead++
		}
	}
	return ahead < t.warmupHosts()
}

// Advise applies what other hosts were told by upstreams, and returns the changes.
func (t *Table) Advise(now machine.Instant, list []advisory.Advisory) (changed []UpstreamChange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	coldFor := make(map[advisory.Key]time.Duration, len(list))
	for _, a := range list {
		coldFor[a.Upstream] = a.ColdFor()
	}
	for _, m := range t.members {
		d := coldFor[advisory.Key(m.hash)]
		if d == 0 {
			continue
		}
		wasCold := m.limiter.active(now)
		m.limiter.start(now, d)
		if !wasCold {
			changed = append(changed, t.change(now, m, "another host knows that it is cold"))
		}
	}
	return changed
}

// HostCountByRegion returns the number of hosts in each region.
func HostCountByRegion(hosts []catalog.Host) map[fleet.Region]int {
	count := make(map[fleet.Region]int)
	for _, h := range hosts {
		count[h.Location.Region]++
	}
	return count
}
