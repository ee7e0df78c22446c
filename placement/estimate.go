package placement

import (
	"maps"
	"slices"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// computeEstimates computes the other hosts' in-flight requests at each upstream
// and this host's limits in other regions.
func (m *Machine) computeEstimates(now machine.Instant) machine.Output {
	var out EstimatesChanged
	for _, name := range slices.Sorted(maps.Keys(m.upstreams)) {
		u := m.upstreams[name]
		if inFlight, at, known := m.othersInFlight(now, name, u); known {
			out.Estimates = append(out.Estimates, Estimate{Pool: u.Pool, Upstream: name, InFlight: inFlight, At: at})
		}
	}
	out.Limits = m.remoteLimits(now)
	return out
}

// othersInFlight sums the in-flight requests that peers reported, which they count
// exactly. The upstream's own load report is used only if there is no recent
// digest from any peer, because it lags and may be wrong.
func (m *Machine) othersInFlight(now machine.Instant, name fleet.Upstream, u *upstreamState) (float64, machine.Instant, bool) {
	total := 0
	var newest machine.Instant
	for _, p := range m.peers {
		if now.Sub(p.receivedAt) < staleAfter {
			total += p.work[name]
			newest = max(newest, p.receivedAt)
		}
	}
	if newest != 0 {
		return float64(total), newest, true
	}
	if u.probe == nil || u.probe.failed || now.Sub(u.probe.sent) >= staleAfter {
		return 0, 0, false
	}
	return max(0, u.probe.inFlight-float64(m.ownInFlight(name))), u.probe.sent, true
}

func (m *Machine) ownInFlight(name fleet.Upstream) int {
	for _, w := range m.work {
		if w.Upstream == name {
			return w.InFlight
		}
	}
	return 0
}

// poolRegion is a pool in one region.
type poolRegion struct {
	pool   fleet.Pool
	region fleet.Region
}

// remoteLimits assigns each spare slot of another region to exactly one host, so that
// hosts that decide at the same time on the same outdated estimates stay within the
// spare capacity together.
func (m *Machine) remoteLimits(now machine.Instant) []RemoteLimit {
	slots := map[poolRegion]int{}
	for _, u := range m.upstreams {
		if !u.isLeaving(now) && u.Location.Region != m.region {
			slots[poolRegion{u.Pool, u.Location.Region}] += u.Slots
		}
	}
	local := m.localWork(now)
	var limits []RemoteLimit
	for _, key := range slices.SortedFunc(maps.Keys(slots), comparePoolRegions) {
		spare := int(maxRemoteUtilization*float64(slots[key]) - local[key])
		limits = append(limits, RemoteLimit{Pool: key.pool, Region: key.region, Limit: m.assignedSlots(key, spare)})
	}
	return limits
}

// localWork sums the in-flight requests of each region's own hosts in their region.
func (m *Machine) localWork(now machine.Instant) map[poolRegion]float64 {
	work := map[poolRegion]float64{}
	for id, p := range m.peers {
		member := m.view.Find(id)
		if member == nil || now.Sub(p.receivedAt) >= staleAfter {
			continue
		}
		for name, inFlight := range p.work {
			u := m.upstreams[name]
			if u != nil && u.Location.Region == member.Region {
				work[poolRegion{u.Pool, u.Location.Region}] += float64(inFlight)
			}
		}
	}
	return work
}

// assignedSlots counts the spare slots of a region that are assigned to this host.
func (m *Machine) assignedSlots(key poolRegion, spare int) int {
	var candidates []fleet.HostID
	for _, member := range m.view.Members {
		if member.Region != key.region && member.State != fleet.StateRetiring {
			candidates = append(candidates, member.Host)
		}
	}
	subject := string(key.pool) + "/" + string(key.region)
	slots := 0
	for index := range max(0, spare) {
		if rendezvousWinner(candidates, subject, index) == m.self {
			slots++
		}
	}
	return slots
}

func comparePoolRegions(a, b poolRegion) int {
	if a.pool != b.pool {
		if a.pool < b.pool {
			return -1
		}
		return 1
	}
	if a.region < b.region {
		return -1
	}
	if a.region > b.region {
		return 1
	}
	return 0
}
