package steering

import (
	"slices"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	// homeFill is the part of its slots up to which a region serves its own
	// requests. Above it, queues cost more time than a round trip to another region.
	homeFill = 0.7
	// maxBias bounds the preference for the own region. While the work of a service
	// is unknown there is none, because a plan that overloads a small region is
	// corrected only slowly.
	maxBias = 2
	// minSpeed bounds how much slower a region's slots are taken to be: work without
	// a cache takes three times as long, and a queue as long again.
	minSpeed = 0.2
	// minDemand is the rate of all requests, a second, below which the demand of
	// the regions is taken to be equal.
	minDemand = 5
	// minRate is the rate of this host's requests for a service, a second, below
	// which its plan may change at once: nothing is shifted by it. Upstreams that
	// register one after the other at the start must not leave a plan that takes
	// seconds to correct.
	minRate = 0.2
	// shiftPart is the part of the allowed change of a plan that is used, so that
	// chance and overload have room below the bound.
	shiftPart = 0.35
	// shiftWindow is the time to which the allowed change refers.
	shiftWindow = 2 * time.Second
)

// plan divides the requests of this host's region over the regions.
type plan struct {
	parts []part
	at    machine.Instant
}

// part is one region's part of the requests; the parts add up to 1.
type part struct {
	region fleet.Region
	share  float64
}

// replan moves the plan of a service towards the present target, no faster than
// the allowed shift between regions.
func (t *Table) replan(now machine.Instant, p *pool) {
	if seconds := now.Sub(p.plan.at).Seconds(); p.plan.at != 0 && seconds > 0 {
		p.rate += rateWeight * (float64(p.picks)/seconds - p.rate)
		p.picks = 0
	}
	target := t.target(p)
	if len(target) == 0 {
		return
	}
	if len(p.plan.parts) == 0 || p.rate < minRate {
		p.plan = plan{parts: target, at: now}
		return
	}
	allowed := t.config.MaxRegionShift * shiftPart * float64(now.Sub(p.plan.at)) / float64(shiftWindow)
	p.plan = plan{parts: approach(p.plan.parts, target, allowed), at: now}
}

// approach moves shares towards a target by at most allowed in all.
func approach(from, target []part, allowed float64) []part {
	moved := 0.0
	for _, to := range target {
		moved += max(0, to.share-shareOf(from, to.region))
	}
	if moved <= allowed {
		return target
	}
	scale := allowed / moved
	regions := make([]fleet.Region, 0, len(target))
	for _, list := range [][]part{target, from} {
		for _, p := range list {
			if !slices.Contains(regions, p.region) {
				regions = append(regions, p.region)
			}
		}
	}
	next := make([]part, 0, len(regions))
	for _, r := range regions {
		before := shareOf(from, r)
		next = append(next, part{region: r, share: before + scale*(shareOf(target, r)-before)})
	}
	return next
}

func shareOf(parts []part, region fleet.Region) float64 {
	for _, p := range parts {
		if p.region == region {
			return p.share
		}
	}
	return 0
}

// target divides the requests of this region over the regions that have room.
// Each region serves its own requests up to its bound, and what is more goes to
// the regions below theirs.
func (t *Table) target(p *pool) []part {
	slots := make(map[fleet.Region]float64)
	total := 0.0
	for _, m := range p.members {
		if t.usable(m) {
			slots[m.Location.Region] += float64(m.Slots)
			total += float64(m.Slots)
		}
	}
	if total == 0 {
		return nil
	}
	regions := make([]fleet.Region, 0, len(slots))
	for r := range slots {
		regions = append(regions, r)
	}
	slices.Sort(regions)
	own := t.config.Location.Region
	total -= slots[own]
	slots[own] *= p.homeSpeed()
	total += slots[own]
	demand := t.demandShares(slots)
	bias := p.bias(t.serviceDemand(p), total)
	spare := make(map[fleet.Region]float64, len(regions))
	free := 0.0
	for _, r := range regions {
		spare[r] = max(0, bias*slots[r]/total-demand[r])
		free += spare[r]
	}
	home := 1.0
	if demand[own] > 0 {
		home = min(1, bias*slots[own]/total/demand[own])
	}
	if free == 0 {
		home = 1
	}
	parts := []part{{region: own, share: home}}
	for _, r := range regions {
		if r != own && home < 1 {
			parts = append(parts, part{region: r, share: (1 - home) * spare[r] / free})
		}
	}
	return parts
}

// homeSpeed is how much work the slots of this region do compared with all: a
// region whose few upstreams can't keep all of its objects works without caches,
// takes three times as long, and must get less.
func (p *pool) homeSpeed() float64 {
	if p.homeWork == 0 || p.work == 0 {
		return 1
	}
	return min(1, max(minSpeed, p.work/p.homeWork))
}

// bias is how much more than its part of all slots a region may serve: as much
// as brings its slots to homeFill, and nothing when all slots are needed.
func (p *pool) bias(demand, slots float64) float64 {
	fill := demand * p.work / slots
	if fill <= 0 {
		return 1
	}
	return max(1, min(maxBias, homeFill/fill))
}

// serviceDemand returns the rate of requests for a service over all regions. The
// services have the same part of the requests on all hosts.
func (t *Table) serviceDemand(p *pool) float64 {
	all, own := 0.0, 0.0
	for _, d := range t.demand {
		all += d
	}
	for _, other := range t.services {
		own += other.rate
	}
	if own == 0 {
		return 0
	}
	return all * p.rate / own
}

// demandShares returns each region's part of all requests. Regions have the same
// part until it is known.
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
