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

// Request is what the choice of an upstream depends on.
type Request struct {
	Service fleet.Pool
	// Affinity is a hash of the object that the request concerns.
	Affinity uint64
	// Allowed are the regions that may run the request; nil means all.
	Allowed []fleet.Region
	// Exclude lists upstreams that had the request before.
	Exclude []fleet.Upstream
	// Depth is how much work an upstream may have, as a multiple of its slots.
	MaxUtilization float64
}

// Choice is an upstream that was chosen. Done must be called for it once.
type Choice struct {
	upstream.Target
	Region fleet.Region
	// Load is the estimated work of the upstream before this request.
	Load  float64
	Slots int
	// Rank is the place of the upstream in the order of the object; 0 is first.
	Rank int
	Cold bool
}

// Refusal says why no upstream was chosen.
type Refusal uint8

// The refusals.
const (
	// Chosen means that there is no refusal.
	Chosen Refusal = iota
	// NoUpstream means that no upstream may run the request.
	NoUpstream
	// Full means that all upstreams that may run the request have enough work.
	Full
)

// String returns the word of the refusal in logs and metrics.
func (r Refusal) String() string { return [...]string{"chosen", "no_upstream", "full"}[r] }

// HashObject returns the hash of an object of a service.
func HashObject(object string) uint64 { return xxhash.Sum64String(object) }

func hash2(a, b string) uint64 { return mix(xxhash.Sum64String(a), xxhash.Sum64String(b)) }

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

// halved returns a value that halves with each period.
func halved(value float64, age, period time.Duration) float64 {
	if value == 0 {
		return 0
	}
	return value * math.Exp2(-float64(age)/float64(period))
}

type candidate struct {
	*member
	score uint64
	load  float64
}

// Pick chooses an upstream and counts the request as its work. If it refuses with
// Full, the choice has the region only.
func (t *Table) Pick(now machine.Instant, r Request) (Choice, Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.services[r.Service]
	if p == nil {
		return Choice{}, NoUpstream
	}
	if p.plan.at == 0 {
		t.replan(now, p)
	}
	region, any := t.region(p, r)
	if !any {
		return Choice{}, NoUpstream
	}
	list := t.candidates(now, p, r, region)
	chosen := t.choose(now, r, list)
	if chosen < 0 {
		return Choice{Region: region}, Full
	}
	m := list[chosen]
	m.inFlight++
	p.picks++
	return Choice{
		Target: upstream.Target{ID: m.ID, Address: m.Address},
		Region: region, Load: m.load, Slots: m.Slots, Rank: chosen, Cold: m.cold.closed(now),
	}, Chosen
}

// region returns the region for an object: the place of its hash in the plan,
// among the regions that are allowed and have upstreams.
func (t *Table) region(p *pool, r Request) (fleet.Region, bool) {
	has := make(map[fleet.Region]bool, 4)
	for _, m := range p.members {
		if t.usable(m) && (r.Allowed == nil || slices.Contains(r.Allowed, m.Location.Region)) && !slices.Contains(r.Exclude, m.ID) {
			has[m.Location.Region] = true
		}
	}
	if len(has) == 0 {
		return "", false
	}
	sum := 0.0
	for _, part := range p.plan.parts {
		if has[part.region] {
			sum += part.share
		}
	}
	point := float64(mix(r.Affinity, 1)>>11) / (1 << 53) * sum
	for _, part := range p.plan.parts {
		if !has[part.region] || part.share <= 0 {
			continue
		}
		if point < part.share {
			return part.region, true
		}
		point -= part.share
	}
	if has[t.config.Location.Region] {
		return t.config.Location.Region, true
	}
	best, score := fleet.Region(""), uint64(0)
	for region := range has {
		if s := mix(xxhash.Sum64String(string(region)), r.Affinity); best == "" || s > score {
			best, score = region, s
		}
	}
	return best, true
}

// candidates returns the upstreams of a region in the order of the object.
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

// choose returns the place of the chosen candidate, or -1. Only the first healthy
// candidates in the order of the object are considered: work that goes further
// down finds cold caches, takes three times as long, and displaces what the
// upstream has kept, which turns a short overload into a lasting one.
func (t *Table) choose(now machine.Instant, r Request, list []candidate) int {
	first, second := -1, -1
	for i := range list {
		if !t.healthy(now, &list[i]) {
			continue
		}
		if list[i].cold.closed(now) {
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
	case list[first].filled() <= firstFill:
		return first
	case second >= 0 && list[second].filled() <= secondFill:
		return second
	case list[first].filled() <= r.MaxUtilization:
		return first
	case second >= 0 && list[second].filled() <= r.MaxUtilization:
		return second
	}
	return -1
}

// filled is the work of an upstream with one more request, for each of its slots.
func (c *candidate) filled() float64 { return (c.load + 1) / float64(c.Slots) }

const (
	// firstFill is the work for each slot up to which an object stays with its first
	// upstream: waiting there for half a turn of warm work costs less than cold work
	// elsewhere.
	firstFill = 1.6
	// secondFill is the work for each slot up to which its second upstream is used
	// before the first one gets a longer queue.
	secondFill = 1.3
)

// healthy reports whether nothing speaks against an upstream. One that failed
// gets a single request at a time until it answers.
func (t *Table) healthy(now machine.Instant, c *candidate) bool {
	if now < c.ejectUntil || c.failures > 0 && c.inFlight > 0 {
		return false
	}
	return c.grayRate(now) <= grayRate
}
