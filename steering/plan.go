package steering

import (
	"slices"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	// localUtilization is the utilization up to which a region serves its own requests.
	// Above it, queueing takes longer than a round trip to another region.
	localUtilization = 0.7
	// maxLocalBias bounds the preference for the local region. There is no preference
	// while the service time is unknown, because a plan that overloads a small region
	// is corrected only slowly.
	maxLocalBias = 2
	// minLocalSpeed is the lower bound of localSpeed: requests that miss the cache take
	// three times as long, and queueing adds as much again.
	minLocalSpeed = 0.2
	// minDemand is the total number of requests per second below which all regions are
	// assumed to have the same demand.
	minDemand = 5
	// minShiftLimitedRate is the number of requests per second for a service on this
	// host below which its plan may change at once, because hardly any requests change
	// region. Otherwise upstreams that register one after the other at startup would
	// leave a plan that takes seconds to correct.
	minShiftLimitedRate = 0.2
	// shiftShare is the share of the allowed shift that is used; the rest is margin for
	// random variation and overload.
	shiftShare = 0.35
	// shiftWindow is the period to which MaxRegionShift refers.
	shiftWindow = 2 * time.Second
)

// plan distributes the requests of this host's region over all regions.
type plan struct {
	shares    []regionShare
	updatedAt machine.Instant
}

// regionShare is one region's share of the requests; the shares of a plan add up to 1.
type regionShare struct {
	region fleet.Region
	share  float64
}

// replan moves the plan of a service towards its current target, no faster than
// MaxRegionShift allows.
func (t *Table) replan(now machine.Instant, p *pool) {
	if seconds := now.Sub(p.plan.updatedAt).Seconds(); p.plan.updatedAt != 0 && seconds > 0 {
		p.requestRate += rateWeight * (float64(p.picks)/seconds - p.requestRate)
		p.picks = 0
		if t.estimates(p) {
			defer t.shareLocalRoom(p, seconds)
		}
	}
	targetShares := t.targetShares(p)
	if len(targetShares) == 0 {
		return
	}
	if len(p.plan.shares) == 0 || p.requestRate < minShiftLimitedRate {
		p.plan = plan{shares: targetShares, updatedAt: now}
		return
	}
	allowed := t.config.MaxRegionShift * shiftShare * float64(now.Sub(p.plan.updatedAt)) / float64(shiftWindow)
	p.plan = plan{shares: moveTowards(p.plan.shares, targetShares, allowed), updatedAt: now}
}

// moveTowards shifts shares towards a target by at most allowed in total.
func moveTowards(from, target []regionShare, allowed float64) []regionShare {
	moved := 0.0
	for _, to := range target {
		moved += max(0, to.share-shareOf(from, to.region))
	}
	if moved <= allowed {
		return target
	}
	scale := allowed / moved
	regions := make([]fleet.Region, 0, len(target))
	for _, list := range [][]regionShare{target, from} {
		for _, s := range list {
			if !slices.Contains(regions, s.region) {
				regions = append(regions, s.region)
			}
		}
	}
	next := make([]regionShare, 0, len(regions))
	for _, r := range regions {
		before := shareOf(from, r)
		next = append(next, regionShare{region: r, share: before + scale*(shareOf(target, r)-before)})
	}
	return next
}

// shareOf returns the share of a region, or 0.
func shareOf(shares []regionShare, region fleet.Region) float64 {
	for _, s := range shares {
		if s.region == region {
			return s.share
		}
	}
	return 0
}

// targetShares distributes the requests of this region over the regions with spare
// capacity. Each region serves its own requests up to its capacity, and the rest goes
// to regions that are below theirs.
func (t *Table) targetShares(p *pool) []regionShare {
	slots := make(map[fleet.Region]float64)
	totalSlots := 0.0
	for _, m := range p.members {
		if t.usable(m) {
			slots[m.Location.Region] += float64(m.Slots)
			totalSlots += float64(m.Slots)
		}
	}
	if totalSlots == 0 {
		return nil
	}
	regions := make([]fleet.Region, 0, len(slots))
	for r := range slots {
		regions = append(regions, r)
	}
	slices.Sort(regions)
	local := t.config.Location.Region
	totalSlots -= slots[local]
	slots[local] *= p.localSpeed()
	totalSlots += slots[local]
	demand := t.demandShares(slots)
	localBias := p.localBias(t.serviceDemand(p), totalSlots)
	spare := make(map[fleet.Region]float64, len(regions))
	totalSpare := 0.0
	for _, r := range regions {
		spare[r] = max(0, localBias*slots[r]/totalSlots-demand[r])
		totalSpare += spare[r]
	}
	localShare := 1.0
	if demand[local] > 0 {
		localShare = min(1, localBias*slots[local]/totalSlots/demand[local])
	}
	if totalSpare == 0 {
		localShare = 1
	}
	shares := []regionShare{{region: local, share: localShare}}
	for _, r := range regions {
		if r != local && localShare < 1 {
			shares = append(shares, regionShare{region: r, share: (1 - localShare) * spare[r] / totalSpare})
		}
	}
	return shares
}

// localSpeed returns the speed of this region's upstreams relative to all upstreams,
// at most 1. A region whose few upstreams can't cache all of its objects takes three
// times as long for a request and must get fewer of them.
func (p *pool) localSpeed() float64 {
	if p.localServiceTime == 0 || p.serviceTime == 0 {
		return 1
	}
	return min(1, max(minLocalSpeed, p.serviceTime/p.localServiceTime))
}

// localBias returns the factor by which a region may serve more than its share of all
// slots: enough to bring its slots to localUtilization, and 1 if all slots are needed.
func (p *pool) localBias(demand, slots float64) float64 {
	utilization := demand * p.serviceTime / slots
	if utilization <= 0 {
		return 1
	}
	return max(1, min(maxLocalBias, localUtilization/utilization))
}

// serviceDemand estimates the request rate of a service over all regions. It assumes
// that services have the same share of the requests on all hosts.
func (t *Table) serviceDemand(p *pool) float64 {
	all, own := 0.0, 0.0
	for _, d := range t.demand {
		all += d
	}
	for _, other := range t.services {
		own += other.requestRate
	}
	if own == 0 {
		return 0
	}
	return all * p.requestRate / own
}

// demandShares returns each region's share of all requests. The shares are equal
// while the demand is below minDemand.
func (t *Table) demandShares(slots map[fleet.Region]float64) map[fleet.Region]float64 {
	shares := make(map[fleet.Region]float64)
	all := 0.0
	for _, d := range t.demand {
		all += d
	}
	if all < minDemand {
		regions := HostCountByRegion(t.hosts)
		for r := range slots {
			regions[r]++
		}
		for r := range regions {
			shares[r] = 1 / float64(len(regions))
		}
		return shares
	}
	for r, d := range t.demand {
		shares[r] = d / all
	}
	return shares
}
