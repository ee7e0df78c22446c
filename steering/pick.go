package steering

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/upstream"
)

// Request holds the properties of a request that affect the choice of an upstream.
type Request struct {
	Service fleet.Pool
	// Affinity is the hash of the requested object; see HashObject.
	Affinity uint64
	// Allowed lists the regions that may serve the request; nil means all.
	Allowed []fleet.Region
	// Exclude lists the upstreams that were already tried for the request.
	Exclude []fleet.Upstream
	// MaxUtilization bounds the load of an upstream, queue included, as a multiple of
	// its slots.
	MaxUtilization float64

	// The following apply to services that are placed by estimated completion.

	// Route is the route of the request, whose requests take similar work.
	Route fleet.Route
	// Priority is the priority of the route; 0 is the highest. Customers' priorities do not
	// count: they say nothing of how long requests may wait.
	Priority int
	// TimeLeft is the time to the deadline.
	TimeLeft time.Duration
	// TargetLatency is that of the route; 0 if it has none. TargetLeft is what is left of it; it may
	// be negative.
	TargetLatency, TargetLeft time.Duration
	// Second is true for a second attempt while the first one is still running. It goes to
	// no upstream whose rate all hosts share (because it is cold or states a limit), and is not
	// expected to find the object cached.
	Second bool
}

// Choice is a chosen upstream. Done must be called for it exactly once.
type Choice struct {
	upstream.Target
	Region fleet.Region
	// StartedMillis identifies the incarnation of the upstream according to its entry.
	StartedMillis int64
	// Load is the estimated number of requests at the upstream before this one.
	Load  float64
	Slots int
	// Rank is the index of the upstream in the order of the object; 0 is the first.
	Rank int
	Cold bool
	// Expected is the estimated time of the attempt; 0 for a cold upstream or one with a limit.
	// Slowdown is that of the upstream. Both are 0 if the service is not placed by estimated
	// completion.
	Expected time.Duration
	Slowdown float64
	// RoomIn is set if Pick refuses with Full: the estimated time until an upstream has
	// room; 0 if it is unknown.
	RoomIn time.Duration
	// estimated is true if the service is placed by estimated completion; route and first
	// identify the class of the attempt.
	estimated, first bool
	route            fleet.Route
	// AvailableIn is set if Pick refuses with Full because every upstream is ejected: the
	// time until the first of them may get requests again.
	AvailableIn time.Duration
}

// Refusal is the reason why no upstream was chosen.
type Refusal uint8

// The refusals.
const (
	// Chosen means that an upstream was chosen.
	Chosen Refusal = iota
	// NoUpstream means that no upstream may serve the request.
	NoUpstream
	// Full means that no upstream that may serve the request can take another one.
	Full
)

// String returns the name of the refusal in logs and metrics.
func (r Refusal) String() string { return [...]string{"chosen", "no_upstream", "full"}[r] }

// HashObject returns the hash of an object, for Request.Affinity.
func HashObject(object string) uint64 { return xxhash.Sum64String(object) }

func hashPair(a, b string) uint64 { return mix(xxhash.Sum64String(a), xxhash.Sum64String(b)) }

// mix combines two hashes; it is the finalizer of MurmurHash3 (Appleby) over
// their sum.
func mix(a, b uint64) uint64 {
	h := a + 0x9e3779b97f4a7c15*b
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}

// decayed returns a value after exponential decay with the given half-life.
func decayed(value float64, age, halfLife time.Duration) float64 {
	if value == 0 {
		return 0
	}
	return value * math.Exp2(-float64(age)/float64(halfLife))
}

// candidate is an upstream that may serve a request, with its rendezvous hash and load.
// The zero candidate has no member.
type candidate struct {
	*member
	score uint64
	load  float64
}

// Pick chooses an upstream and adds the request to its load. If it refuses with Full,
// only Region, AvailableIn and RoomIn of the choice are set.
func (t *Table) Pick(now machine.Instant, r Request) (Choice, Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.services[r.Service]
	if p == nil {
		return Choice{}, NoUpstream
	}
	if p.plan.updatedAt == 0 {
		t.replan(now, p)
	}
	region := t.region(p, &r)
	if region == nil {
		return Choice{}, NoUpstream
	}
	var o option
	var roomIn time.Duration
	estimates := t.estimates(p)
	if estimates {
		o, roomIn = t.chooseByCompletion(now, p, &r, region)
	} else {
		o.candidate = t.choose(now, &r, region.members)
	}
	if o.member == nil {
		return Choice{Region: region.name, AvailableIn: availableIn(now, &r, region.members), RoomIn: roomIn}, Full
	}
	c := Choice{
		Target: upstream.Target{ID: o.ID, Address: o.Address},
		Region: region.name, StartedMillis: o.StartedMillis, Load: o.load, Slots: o.Slots, Rank: r.rank(o.candidate, region.members), Cold: o.limiter.active(now),
	}
	if estimates {
		c.estimated, c.first, c.route = true, o.first, r.Route
		p.work.route(r.Route).local.picks++
		c.Expected, c.Slowdown = seconds(o.completion), o.currentSlowdown(now)
	}
	o.inFlight++
	p.picks++
	return c, Chosen
}

// availableIn returns the time until the first of the upstreams may get requests again,
// or 0 if one may already.
func availableIn(now machine.Instant, r *Request, members []*member) time.Duration {
	first := machine.Instant(math.MaxInt64)
	for _, m := range members {
		if !slices.Contains(r.Exclude, m.ID) {
			first = min(first, m.ejectedUntil)
		}
	}
	if first == math.MaxInt64 {
		return 0
	}
	return max(0, first.Sub(now))
}

// region returns the region for an object: the one at the position of its hash in
// the plan, restricted to the regions that are allowed and have usable upstreams. If
// the plan has none of these, it returns the local region if it is one of them, and
// otherwise selects one by rendezvous hashing. It returns nil if there is none.
func (t *Table) region(p *pool, r *Request) *regionPool {
	shares := t.sharesOf(p, r.Route)
	sum := 0.0
	for _, planned := range shares {
		if p.available(planned.region, r) != nil {
			sum += planned.share
		}
	}
	point := float64(mix(r.Affinity, 1)>>11) / (1 << 53) * sum
	for _, planned := range shares {
		region := p.available(planned.region, r)
		if region == nil || planned.share <= 0 {
			continue
		}
		if point < planned.share {
			return region
		}
		point -= planned.share
	}
	if local := p.available(t.config.Location.Region, r); local != nil {
		return local
	}
	var best *regionPool
	for i := range p.regions {
		region := p.available(p.regions[i].name, r)
		if region != nil && (best == nil || mix(region.hash, r.Affinity) > mix(best.hash, r.Affinity)) {
			best = region
		}
	}
	return best
}

// HasUpstream reports whether a service has an upstream, with room or not, in the allowed regions; nil
// means all. If it has none, Pick refuses requests with NoUpstream.
func (t *Table) HasUpstream(service fleet.Pool, allowed []fleet.Region) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.services[service]
	if p == nil {
		return false
	}
	// Regions of a pool have at least one usable upstream.
	return slices.ContainsFunc(p.regions, func(r regionPool) bool { return allowed == nil || slices.Contains(allowed, r.name) })
}

// available returns the upstreams of a region if one of them may serve a request.
func (p *pool) available(name fleet.Region, r *Request) *regionPool {
	if r.Allowed != nil && !slices.Contains(r.Allowed, name) {
		return nil
	}
	for i := range p.regions {
		region := &p.regions[i]
		if region.name == name && slices.ContainsFunc(region.members, func(m *member) bool { return !slices.Contains(r.Exclude, m.ID) }) {
			return region
		}
	}
	return nil
}

// score returns the position of an upstream in the order of the requested object, in
// which the highest score is first (rendezvous hashing).
func (r *Request) score(m *member) uint64 { return mix(m.hash, r.Affinity) }

// rank returns the number of upstreams ahead of a candidate in the order of the object.
func (r *Request) rank(c candidate, members []*member) int {
	ahead := 0
	for _, m := range members {
		if r.score(m) > c.score && !slices.Contains(r.Exclude, m.ID) {
			ahead++
		}
	}
	return ahead
}

// choose returns the chosen upstream of a region, or the zero candidate. It considers
// the first two healthy upstreams without a shared rate, and those with one before the
// second of them, while this host has a token for them. Requests sent further down the
// order find cold caches, take three times as long and evict what the upstream has cached,
// which turns a short overload into a lasting one.
func (t *Table) choose(now machine.Instant, r *Request, members []*member) candidate {
	first, second := t.firstUnrestricted(now, r, members)
	if restricted := t.firstRestricted(now, r, members, second.score, true); restricted.member != nil {
		return restricted
	}
	switch {
	case first.member == nil:
		return candidate{}
	case first.utilization() <= maxFirstUtilization:
		return first
	case second.member != nil && second.utilization() <= maxSecondUtilization:
		return second
	case first.utilization() <= r.MaxUtilization:
		return first
	case second.member != nil && second.utilization() <= r.MaxUtilization:
		return second
	}
	return candidate{}
}

// firstUnrestricted returns the first two healthy upstreams without a shared rate in the
// order of the object.
func (t *Table) firstUnrestricted(now machine.Instant, r *Request, members []*member) (first, second candidate) {
	for _, m := range members {
		score := r.score(m)
		if score <= second.score || t.restricted(now, m) || !m.healthy(now) || slices.Contains(r.Exclude, m.ID) {
			continue
		}
		if second = (candidate{member: m, score: score}); score > first.score {
			first, second = second, first
		}
	}
	for _, c := range []*candidate{&first, &second} {
		if c.member != nil {
			c.load = c.member.load(now)
		}
	}
	return first, second
}

// firstRestricted returns the first upstream with a shared rate and a score above min
// that is healthy, has a free slot and may get a request of this host. Cold upstreams are
// left out unless allowCold is true.
func (t *Table) firstRestricted(now machine.Instant, r *Request, members []*member, min uint64, allowCold bool) candidate {
	for below := uint64(math.MaxUint64); ; {
		next := candidate{score: min}
		for _, m := range members {
			if score := r.score(m); score > next.score && score < below && t.restricted(now, m) &&
				(allowCold || !m.limiter.active(now)) && t.mayAdmit(now, m) && m.healthy(now) && !slices.Contains(r.Exclude, m.ID) {
				next = candidate{member: m, score: score}
			}
		}
		if next.member == nil {
			return candidate{}
		}
		if next.load = next.member.load(now); next.load < float64(next.Slots) && t.admit(now, next.member) {
			return next
		}
		below = next.score
	}
}

// utilization returns the load per slot of an upstream with one more request.
func (c *candidate) utilization() float64 { return (c.load + 1) / float64(c.Slots) }

const (
	// maxFirstUtilization is the load per slot up to which an object stays with its
	// first upstream: queueing there for half the duration of a warm request costs less
	// than a cold request elsewhere.
	maxFirstUtilization = 1.6
	// maxSecondUtilization is the load per slot up to which the second upstream is used
	// before the queue of the first one grows further.
	maxSecondUtilization = 1.3
)
