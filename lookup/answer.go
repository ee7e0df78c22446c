package lookup

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinspring/catkinspring/fleet"
)

// OverloadThreshold is the load, 0 to 1, from which a host is left out of
// answers. It reserves a tenth of the host for callers with cached answers.
const OverloadThreshold = 0.9

// MaxHosts is the maximum number of hosts in one answer: four in the nearest
// region and four fallbacks in other regions.
const MaxHosts = 8

// weightScale is the weight of an idle host.
const weightScale = 100

// unknownLoad is assumed for a host that has not advertised its load.
const unknownLoad = 0.5

// EntryHost is one host of an answer.
type EntryHost struct {
	Address       netip.AddrPort      `json:"address"`
	Region        fleet.Region        `json:"region"`
	FailureDomain fleet.FailureDomain `json:"failureDomain"`
	// Weight is the free capacity of the host in percent, 1 to 100.
	Weight int `json:"weight"`
}

// Answer lists the entry hosts to use, best first.
type Answer struct {
	EntryHosts    []EntryHost `json:"entryHosts"`
	MaxAgeSeconds int         `json:"maxAgeSeconds"`
}

// RegionDelays returns the one-way delay between two regions, if it is known.
type RegionDelays func(from, to fleet.Region) (time.Duration, bool)

// Self is the state of the answering host.
type Self struct {
	Draining bool
	// LeaseValid is false while the host refuses keyed traffic.
	LeaseValid bool
}

// candidate is a host that answers may list.
type candidate struct {
	EntryHost
	self bool
	// hash identifies the address in rendezvous hashing.
	hash uint64
	// encoded is the host in JSON.
	encoded []byte
}

// candidates returns the members that an answer may list. It includes overloaded
// and unreachable hosts only if nothing else is left, because they are better
// for a caller than no host.
func candidates(view *fleet.View, self Self) []candidate {
	var preferred, fallback []candidate
	for i := range view.Members {
		m := &view.Members[i]
		isSelf := m.Host == view.Self.Host
		if m.State != fleet.StateActive || !m.CallerAddress.IsValid() || isSelf && self.Draining {
			continue
		}
		c := newCandidate(m, isSelf)
		if m.Load >= OverloadThreshold || !m.Reachable && !isSelf {
			fallback = append(fallback, c)
		} else {
			preferred = append(preferred, c)
		}
	}
	if len(preferred) == 0 || onlySelfWithoutLease(preferred, self) {
		return append(preferred, fallback...)
	}
	return preferred
}

func newCandidate(m *fleet.ViewMember, isSelf bool) candidate {
	c := candidate{
		EntryHost: EntryHost{
			Address:       m.CallerAddress,
			Region:        m.Region,
			FailureDomain: m.FailureDomain,
			Weight:        weightOf(m.Load),
		},
		self: isSelf,
		hash: xxhash.Sum64String(m.CallerAddress.String()),
	}
	// A struct of strings and a number always encodes.
	c.encoded, _ = json.Marshal(c.EntryHost)
	return c
}

// onlySelfWithoutLease reports whether the only preferred host is this one and
// it refuses keyed traffic. A partitioned host sees all others as unreachable.
func onlySelfWithoutLease(preferred []candidate, self Self) bool {
	return !self.LeaseValid && len(preferred) == 1 && preferred[0].self
}

func weightOf(load float64) int {
	if load < 0 || math.IsNaN(load) {
		load = unknownLoad
	}
	return max(1, int(math.Round(weightScale*(1-min(load, 1)))))
}

// group holds the candidates of one region. This host has a group of its own
// while it has no lease; that group comes last.
type group struct {
	region fleet.Region
	hosts  []candidate
	isLast bool
}

// groupByRegion groups candidates by region.
func groupByRegion(hosts []candidate, self Self) []group {
	var groups []group
	for _, h := range hosts {
		isLast := h.self && !self.LeaseValid
		index := slices.IndexFunc(groups, func(g group) bool { return g.region == h.Region && g.isLast == isLast })
		if index < 0 {
			index = len(groups)
			groups = append(groups, group{region: h.Region, isLast: isLast})
		}
		groups[index].hosts = append(groups[index].hosts, h)
	}
	return groups
}

// groupOrder returns the indexes of the groups, nearest first. Without a lease
// the host's own region comes after the others, and the host itself last.
func groupOrder(groups []group, nearest, own fleet.Region, self Self, delays RegionDelays) []int {
	order := make([]int, len(groups))
	for i := range order {
		order[i] = i
	}
	rank := func(g *group) int {
		switch {
		case g.isLast:
			return 2
		case !self.LeaseValid && g.region == own:
			return 1
		}
		return 0
	}
	slices.SortFunc(order, func(i, j int) int {
		a, b := &groups[i], &groups[j]
		return cmp.Or(
			cmp.Compare(rank(a), rank(b)),
			cmp.Compare(delayBetween(delays, nearest, a.region), delayBetween(delays, nearest, b.region)),
			cmp.Compare(a.region, b.region))
	})
	return order
}

// delayBetween returns a sort key for the delay between two regions: -1 for the
// same region and the maximum for an unknown delay.
func delayBetween(delays RegionDelays, from, to fleet.Region) time.Duration {
	if from == to {
		return -1
	}
	if delays != nil {
		if d, ok := delays(from, to); ok {
			return d
		}
	}
	return math.MaxInt64
}

// selection holds up to MaxHosts candidates, best first.
type selection struct {
	hosts  [MaxHosts]*candidate
	scores [MaxHosts]float64
	size   int
}

// insert adds a candidate in order of its score. If the selection is full, it
// drops the worst one.
func (s *selection) insert(c *candidate, score float64) {
	index := s.size
	for index > 0 && s.scores[index-1] < score {
		index--
	}
	if index == MaxHosts {
		return
	}
	s.size = min(s.size+1, MaxHosts)
	copy(s.hosts[index+1:s.size], s.hosts[index:])
	copy(s.scores[index+1:s.size], s.scores[index:])
	s.hosts[index], s.scores[index] = c, score
}

// add appends a candidate if there is room.
func (s *selection) add(c *candidate) {
	if s.size < MaxHosts {
		s.hosts[s.size] = c
		s.size++
	}
}

// selectHosts returns the hosts of an answer in order. Within a region they are
// ordered by weighted rendezvous hashing, so that each host comes first for a
// share of the clients that is proportional to its weight. At most half of the
// hosts come from one region while there are others, so that a caller whose
// region fails has hosts in other regions.
func selectHosts(groups []group, order []int, spread uint64) selection {
	var chosen, rest selection
	for _, index := range order {
		var best selection
		hosts := groups[index].hosts
		for i := range hosts {
			best.insert(&hosts[i], rendezvous(hosts[i].hash, spread, hosts[i].Weight))
		}
		for i, c := range best.hosts[:best.size] {
			if i < MaxHosts/2 {
				chosen.add(c)
			} else {
				rest.add(c)
			}
		}
		if chosen.size == MaxHosts {
			return chosen
		}
	}
	for _, c := range rest.hosts[:rest.size] {
		chosen.add(c)
	}
	return chosen
}

// rendezvous returns the score of a host for a hash of client and route. The
// highest score wins; see Schindelhauer and Schomaker, "Weighted distributed
// hash tables".
func rendezvous(host, spread uint64, weight int) float64 {
	var data [16]byte
	binary.LittleEndian.PutUint64(data[:], host)
	binary.LittleEndian.PutUint64(data[8:], spread)
	const fractionBits = 53
	u := (float64(xxhash.Sum64(data[:])>>(64-fractionBits)) + 0.5) / (1 << fractionBits)
	return -float64(weight) / math.Log(u)
}
