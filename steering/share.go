package steering

import (
	"math"
	"slices"

	"github.com/catkinspring/catkinspring/advisory"
	"github.com/catkinspring/catkinspring/catalog"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// tokenBucket is a bucket that holds one token at most.
type tokenBucket struct {
	tokens     float64
	refilledAt machine.Instant
}

// refill adds the tokens of the time since the last call, at a rate per second.
func (b *tokenBucket) refill(now machine.Instant, rate float64) {
	b.tokens = math.Min(1, b.tokens+now.Sub(b.refilledAt).Seconds()*rate)
	b.refilledAt = now
}

// unranked is the rank of a host that does not take part.
const unranked = -1

// hostRank is the position of this host among the hosts that share the rate of an
// upstream, by rendezvous hashing. Hosts with the same list agree on it without messages.
type hostRank struct {
	// inRegion is the position among the hosts in the upstream's region, or among all
	// hosts if that region has none. It is unranked in other regions, and as long as
	// this host is not in its own list: the other hosts do not count it either.
	inRegion int
	// regionHosts is the number of hosts among which inRegion is the position.
	regionHosts int
	// overall is the position among all hosts of the list.
	overall int
}

// rankOf returns this host's rank for an upstream. It determines that once for each list
// of hosts.
func (t *Table) rankOf(m *member) hostRank {
	if m.rankList != t.hostList {
		m.rank, m.rankList = t.findRank(m), t.hostList
	}
	return m.rank
}

func (t *Table) findRank(m *member) hostRank {
	if !slices.ContainsFunc(t.hosts, func(h catalog.Host) bool { return h.ID == t.config.Host }) {
		return hostRank{inRegion: unranked}
	}
	isLocal := func(h catalog.Host) bool { return h.Location.Region == m.Location.Region }
	regionHasHosts := slices.ContainsFunc(t.hosts, isLocal)
	ownHash := hashPair(string(t.config.Host), string(m.ID))
	rank := hostRank{}
	for _, h := range t.hosts {
		counts := isLocal(h) || !regionHasHosts
		if counts {
			rank.regionHosts++
		}
		if h.ID == t.config.Host || hashPair(string(h.ID), string(m.ID)) <= ownHash {
			continue
		}
		rank.overall++
		if counts {
			rank.inRegion++
		}
	}
	if regionHasHosts && t.config.Location.Region != m.Location.Region {
		rank.inRegion = unranked
	}
	return rank
}

// restricted reports whether all hosts share a rate of requests to an upstream, because
// it is cold or has stated a limit.
func (t *Table) restricted(now machine.Instant, m *member) bool {
	return m.limiter.active(now) || m.limit.known
}

// admit takes the tokens that a request to an upstream needs, and reports whether it may
// be sent.
func (t *Table) admit(now machine.Instant, m *member) bool {
	var taken [2]*tokenBucket
	if m.limiter.active(now) {
		if taken[0] = t.warmupBucket(now, m); taken[0] == nil || taken[0].tokens < 1 {
			return false
		}
	}
	if m.limit.known {
		if taken[1] = t.limitBucket(now, m); taken[1] == nil || taken[1].tokens < 1 {
			return false
		}
	}
	for _, b := range taken {
		if b != nil {
			b.tokens--
		}
	}
	return true
}

// mayAdmit reports whether admit can succeed once there are tokens. It is cheaper.
func (t *Table) mayAdmit(now machine.Instant, m *member) bool {
	return (!m.limiter.active(now) || t.isWarmupHost(m)) && (!m.limit.known || t.isLimitHost(m) || t.trialDue(now, m))
}

// Advise applies what upstreams stated to other hosts, and returns the changes.
func (t *Table) Advise(now machine.Instant, list []advisory.Advisory) (changed []UpstreamChange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	byUpstream := make(map[advisory.Key]advisory.Advisory, len(list))
	for _, a := range list {
		byUpstream[a.Upstream] = a
	}
	for _, m := range t.members {
		a, advised := byUpstream[advisory.Key(m.hash)]
		if !advised {
			continue
		}
		if d := a.ColdFor(); d > 0 {
			wasCold := m.limiter.active(now)
			if m.limiter.start(now, d); !wasCold {
				changed = append(changed, t.change(now, m, "another host knows that it is cold"))
			}
		}
		if a.LimitEnded && m.limit.known {
			m.limit = statedLimit{}
			changed = append(changed, t.change(now, m, "another host knows that its limit has ended"))
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
