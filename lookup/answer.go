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

// OverloadedAt is the load, 0 to 1, from which a host is left out of answers.
// It leaves callers with cached answers a tenth of the host.
const OverloadThreshold = 0.9

// MaxHosts bounds the hosts of one answer: four to choose from nearby, and as
// many in other regions to fall back on.
const MaxHosts = 8

// weightScale is the weight of an idle host.
const weightScale = 100

// unknownLoad stands for a load that was not advertised.
const unknownLoad = 0.5

// EntryHost is one host of an answer.
type EntryHost struct {
	Address       netip.AddrPort      `json:"address"`
	Region        fleet.Region        `json:"region"`
	FailureDomain fleet.FailureDomain `json:"failureDomain"`
	// Weight is the free part of the host, 1 to 100.
	Weight int `json:"weight"`
}

// Answer names the entry hosts to use, best first.
type Answer struct {
	EntryHosts    []EntryHost `json:"entryHosts"`
	MaxAgeSeconds int         `json:"maxAgeSeconds"`
}

// Delays tells the one-way delay between regions.
type RegionDelays func(from, to fleet.Region) (time.Duration, bool)

// Self is what the answering host knows of itself.
type Self struct {
	Draining bool
	// LeaseValid is false while the host refuses keyed traffic.
	LeaseValid bool
}

// candidate is a host that answers may name.
type candidate struct {
	EntryHost
	self bool
	// hash stands for the address in rendezvous hashing.
	hash uint64
	// encoded is the host in JSON.
	encoded []byte
}

// candidates returns the members that an answer may name. Overloaded and
// unreachable hosts come back if nothing else is left, because a caller with a
// poor host is better off than one with none.
func candidates(view *fleet.View, self Self) []candidate {
	var good, poor []candidate
	for i := range view.Members {
		m := &view.Members[i]
		own := m.Host == view.Self.Host
		if m.State != fleet.StateActive || !m.CallerAddress.IsValid() || own && self.Draining {
			continue
		}
		c := newCandidate(m, own)
		if m.Load >= OverloadThreshold || !m.Reachable && !own {
			poor = append(poor, c)
		} else {
			good = append(good, c)
		}
	}
	if len(good) == 0 || onlySelfWithoutLease(good, self) {
		return append(good, poor...)
	}
	return good
}

func newCandidate(m *fleet.ViewMember, own bool) candidate {
	c := candidate{
		EntryHost: EntryHost{
			Address:       m.CallerAddress,
			Region:        m.Region,
			FailureDomain: m.FailureDomain,
			Weight:        weightOf(m.Load),
		},
		self: own,
		hash: xxhash.Sum64String(m.CallerAddress.String()),
	}
	// A struct of texts and a number always encodes.
	c.encoded, _ = json.Marshal(c.EntryHost)
	return c
}

// onlySelfWithoutLease reports whether the only good host is this one and it
// refuses keyed traffic: a partitioned host sees every other one as unreachable.
func onlySelfWithoutLease(good []candidate, self Self) bool {
	return !self.LeaseValid && len(good) == 1 && good[0].self
}

func weightOf(load float64) int {
	if load < 0 || math.IsNaN(load) {
		load = unknownLoad
	}
	return max(1, int(math.Round(weightScale*(1-min(load, 1)))))
}

// group is the candidates of one region. A host without a lease has a group of
// its own, which comes last.
type group struct {
	region fleet.Region
	hosts  []candidate
	last   bool
}

// groupsOf divides candidates by region.
func groupsOf(hosts []candidate, self Self) []group {
	var groups []group
	for _, h := range hosts {
		last := h.self && !self.LeaseValid
		at := slices.IndexFunc(groups, func(g group) bool { return g.region == h.Region && g.last == last })
		if at < 0 {
			at = len(groups)
			groups = append(groups, group{region: h.Region, last: last})
		}
		groups[at].hosts = append(groups[at].hosts, h)
	}
	return groups
}

// orderOf returns the numbers of the groups, nearest first. Without a lease the
// host's own region comes after the others, and the host itself last.
func orderOf(groups []group, nearest, own fleet.Region, self Self, delays RegionDelays) []int {
	order := make([]int, len(groups))
	for i := range order {
		order[i] = i
	}
	rank := func(g *group) int {
		switch {
		case g.last:
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
			cmp.Compare(delayTo(delays, nearest, a.region), delayTo(delays, nearest, b.region)),
			cmp.Compare(a.region, b.region))
	})
	return order
}

// delayTo returns the delay between two regions. A region that is not known to
// be near counts as the farthest.
func delayTo(delays RegionDelays, from, to fleet.Region) time.Duration {
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

// selection is a short list of candidates, best first.
type selection struct {
	hosts  [MaxHosts]*candidate
	scores [MaxHosts]float64
	size   int
}

// insert adds a candidate by its score and drops the worst one if the list is
// full.
func (s *selection) insert(c *candidate, score float64) {
	at := s.size
	for at > 0 && s.scores[at-1] < score {
		at--
	}
	if at == MaxHosts {
		return
	}
	s.size = min(s.size+1, MaxHosts)
	copy(s.hosts[at+1:s.size], s.hosts[at:])
	copy(s.scores[at+1:s.size], s.scores[at:])
	s.hosts[at], s.scores[at] = c, score
}

// add appends a candidate if there is room.
func (s *selection) add(c *candidate) {
	if s.size < MaxHosts {
		s.hosts[s.size] = c
		s.size++
	}
}

// choose returns the hosts of an answer in order. Within a region they are
// ordered by weighted rendezvous hashing, so that each host comes first for a
// part of the clients that is proportional to its weight. Half of the hosts at
// most come from one region while there are others, so that a caller whose
// region fails has hosts elsewhere.
func choose(groups []group, order []int, spread uint64) selection {
	var chosen, rest selection
	for _, number := range order {
		var best selection
		hosts := groups[number].hosts
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

// rendezvous returns the score of a host for a spread value. The highest score
// wins; see Schindelhauer and Schomaker, "Weighted distributed hash tables".
func rendezvous(host, spread uint64, weight int) float64 {
	var data [16]byte
	binary.LittleEndian.PutUint64(data[:], host)
	binary.LittleEndian.PutUint64(data[8:], spread)
	const fractionBits = 53
	u := (float64(xxhash.Sum64(data[:])>>(64-fractionBits)) + 0.5) / (1 << fractionBits)
	return -float64(weight) / math.Log(u)
}
