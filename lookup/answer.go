package lookup

import (
	"cmp"
	"encoding/binary"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinspring/catkinspring/fleet"
)

// OverloadedAt is the load, 0 to 1, from which a host is left out of answers.
// It leaves callers with cached answers a tenth of the host.
const OverloadedAt = 0.9

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
type Delays func(from, to fleet.Region) (time.Duration, bool)

// Self is what the answering host knows of itself.
type Self struct {
	Draining bool
	// LeaseValid is false while the host refuses keyed traffic.
	LeaseValid bool
}

type candidate struct {
	EntryHost
	self bool
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
		c := candidate{
			EntryHost: EntryHost{
				Address:       m.CallerAddress,
				Region:        m.Region,
				FailureDomain: m.FailureDomain,
				Weight:        weightOf(m.Load),
			},
			self: own,
		}
		if m.Load >= OverloadedAt || !m.Reachable && !own {
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

// regionOrder returns the regions of the hosts, nearest first. Without a lease
// the host's own region comes last.
func regionOrder(hosts []candidate, nearest, own fleet.Region, self Self, delays Delays) []fleet.Region {
	var order []fleet.Region
	for i := range hosts {
		if !slices.Contains(order, hosts[i].Region) {
			order = append(order, hosts[i].Region)
		}
	}
	slices.SortFunc(order, func(a, b fleet.Region) int {
		if !self.LeaseValid && (a == own) != (b == own) {
			if a == own {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(delayTo(delays, nearest, a), delayTo(delays, nearest, b)), cmp.Compare(a, b))
	})
	return order
}

func delayTo(delays Delays, from, to fleet.Region) time.Duration {
	if from == to {
		return -1
	}
	if delays == nil {
		return math.MaxInt64
	}
	if d, ok := delays(from, to); ok {
		return d
	}
	return math.MaxInt64
}

// order sorts the hosts for one spread value: by region, and within a region by
// weighted rendezvous hashing, so that each host comes first for a part of the
// clients that is proportional to its weight. Without a lease the host itself
// comes last.
func order(hosts []candidate, regions []fleet.Region, spread uint64, self Self) []EntryHost {
	type scored struct {
		EntryHost
		last   bool
		region int
		score  float64
	}
	list := make([]scored, len(hosts))
	for i := range hosts {
		h := &hosts[i]
		list[i] = scored{
			EntryHost: h.EntryHost,
			last:      h.self && !self.LeaseValid,
			region:    slices.Index(regions, h.Region),
			score:     rendezvous(h.Address, spread, h.Weight),
		}
	}
	slices.SortFunc(list, func(a, b scored) int {
		if a.last != b.last {
			if a.last {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(a.region, b.region), cmp.Compare(b.score, a.score), a.Address.Compare(b.Address))
	})
	out := make([]EntryHost, len(list))
	for i := range list {
		out[i] = list[i].EntryHost
	}
	return out
}

// shorten keeps MaxHosts hosts. Half of them at most come from one region, so
// that a caller whose region fails has hosts elsewhere.
func shorten(hosts []EntryHost) []EntryHost {
	if len(hosts) <= MaxHosts {
		return hosts
	}
	kept := make([]EntryHost, 0, len(hosts))
	var rest []EntryHost
	taken := map[fleet.Region]int{}
	for _, h := range hosts {
		if taken[h.Region] < MaxHosts/2 {
			taken[h.Region]++
			kept = append(kept, h)
		} else {
			rest = append(rest, h)
		}
	}
	return append(kept, rest...)[:MaxHosts]
}

// rendezvous returns the score of a host for a spread value. The highest score
// wins; see Schindelhauer and Schomaker, "Weighted distributed hash tables".
func rendezvous(host netip.AddrPort, spread uint64, weight int) float64 {
	var data [26]byte
	address := host.Addr().As16()
	copy(data[:], address[:])
	binary.LittleEndian.PutUint16(data[16:], host.Port())
	binary.LittleEndian.PutUint64(data[18:], spread)
	const fractionBits = 53
	u := (float64(xxhash.Sum64(data[:])>>(64-fractionBits)) + 0.5) / (1 << fractionBits)
	return -float64(weight) / math.Log(u)
}
