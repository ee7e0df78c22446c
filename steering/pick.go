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
}

// Choice is a chosen upstream. Done must be called for it exactly once.
type Choice struct {
	upstream.Target
	Region fleet.Region
	// Load is the estimated number of requests at the upstream before this one.
	Load  float64
	Slots int
	// Rank is the index of the upstream in the order of the object; 0 is the first.
	Rank int
	Cold bool
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
type candidate struct {
	*member
	score uint64
	load  float64
}

// Pick chooses an upstream and adds the request to its load. If it refuses with Full,
// only the region of the choice is set.
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
	region, any := t.region(p, r)
	if !any {
		return Choice{}, NoUpstream
	}
	list := t.candidates(now, p, r, region)
	index := t.choose(now, r, list)
	if index < 0 {
		return Choice{Region: region}, Full
	}
	m := list[index]
	m.inFlight++
	p.picks++
	return Choice{
		Target: upstream.Target{ID: m.ID, Address: m.Address},
		Region: region, Load: m.load, Slots: m.Slots, Rank: index, Cold: m.limiter.active(now),
	}, Chosen
}

// region returns the region for an object: the one at the position of its hash in
// the plan, restricted to the regions that are allowed and have usable upstreams. If
// the plan has none of these, it returns the local region if it is one of them, and
// otherwise selects one by rendezvous hashing.
func (t *Table) region(p *pool, r Request) (fleet.Region, bool) {
	available := make(map[fleet.Region]bool, 4)
	for _, m := range p.members {
		if t.usable(m) && (r.Allowed == nil || slices.Contains(r.Allowed, m.Location.Region)) && !slices.Contains(r.Exclude, m.ID) {
			available[m.Location.Region] = true
		}
	}
	if len(available) == 0 {
		return "", false
	}
	sum := 0.0
	for _, planned := range p.plan.shares {
		if available[planned.region] {
			sum += planned.share
		}
	}
	point := float64(mix(r.Affinity, 1)>>11) / (1 << 53) * sum
	for _, planned := range p.plan.shares {
		if !available[planned.region] || planned.share <= 0 {
			continue
		}
		if point < planned.share {
			return planned.region, true
		}
		point -= planned.share
	}
	if available[t.config.Location.Region] {
		return t.config.Location.Region, true
	}
	best, score := fleet.Region(""), uint64(0)
	for region := range available {
		if s := mix(xxhash.Sum64String(string(region)), r.Affinity); best == "" || s > score {
			best, score = region, s
		}
	}
	return best, true
}

// candidates returns the usable upstreams of a region, ordered by rendezvous hashing.
func (t *Table) candidates(now machine.Instant, p *pool, r Request, region fleet.Region) []candidate {
	list := make([]candidate, 0, len(p.members))
	for _, m := range p.members {
		if m.Location.Region != region || !t.usable(m) || slices.Contains(r.Exclude, m.ID) {
			continue
		}
		list = append(list, candidate{member: m, score: mix(xxhash.Sum64String(string(m.ID)), r.Affinity), load: m.load(now)})
	}
	slices.SortFunc(list, func(a, b candidate) int {
		if a.score > b.score {
			return -1
		}
		return 1
	})
	return list
}

// choose returns the index of the chosen candidate, or -1. It considers the first two
// healthy candidates that are warm, and cold ones before them. Requests sent further
// down the order find cold caches, take three times as long and evict what the
// upstream has cached, which turns a short overload into a lasting one.
func (t *Table) choose(now machine.Instant, r Request, list []candidate) int {
	first, second := -1, -1
	for i := range list {
		if !t.healthy(now, &list[i]) {
			continue
		}
		if list[i].limiter.active(now) {
			if list[i].load < float64(list[i].Slots) && t.admit(now, list[i].member) {
				return i
			}
			continue
		}
		if first < 0 {
			first = i
			continue
		}
		second = i
		break
	}
	switch {
	case first < 0:
		return -1
	case list[first].utilization() <= maxFirstUtilization:
		return first
	case second >= 0 && list[second].utilization() <= maxSecondUtilization:
		return second
	case list[first].utilization() <= r.MaxUtilization:
		return first
	case second >= 0 && list[second].utilization() <= r.MaxUtilization:
		return second
	}
	return -1
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

// healthy reports whether an upstream is neither ejected nor failing too often. One
// whose last attempts failed gets a single request at a time until it answers.
func (t *Table) healthy(now machine.Instant, c *candidate) bool {
	if now < c.ejectedUntil || c.failures > 0 && c.inFlight > 0 {
		return false
	}
	return c.currentFailureRate(now) <= outlierRate
}
