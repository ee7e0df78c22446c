package steering

import (
	"slices"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	// homeBias is how much more than its part of all slots a region serves of its
	// own requests before it shifts them: a request of another region costs a round
	// trip and traffic between regions.
	homeBias = 1.25
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
	target := t.target(p)
	if len(target) == 0 {
		return
	}
	if len(p.plan.parts) == 0 {
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

// target divides the requests of this region in proportion to the free slots:
// each region serves its own requests up to its part of all slots, and what is
// more goes to the regions that have room left. All regions are taken to have
// equal demand.
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
	demand := 1 / float64(max(len(regions), len(HostsIn(t.hosts))))
	spare := make(map[fleet.Region]float64, len(regions))
	free := 0.0
	for _, r := range regions {
		spare[r] = max(0, slots[r]/total-demand)
		free += spare[r]
	}
	home := min(1, homeBias*slots[own]/total/demand)
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
