package steering

import (
	"github.com/catkinspring/catkinspring/fleet"
)

// localShiftShare is the share of MaxRegionShift by which the local shares of routes may
// change, in addition to the plan's own.
const localShiftShare = 0.25

// localShare is the share of a route's requests that are served in the local region.
type localShare struct {
	// share is negative until the first plan under which the route had requests.
	share float64
	// picks counts requests since the last plan; rate is their moving average (EWMA) per
	// second.
	picks int
	rate  float64
}

// needsLocal reports whether requests of a route meet their target in the local region and not
// in others, because of the time on the network.
func (w *workTimes) needsLocal(entry *routeWork) bool {
	target := targetPart * entry.target
	return w.expected(entry, attemptClass{first: true, local: true}) <= target &&
		w.expected(entry, attemptClass{first: true}) > target
}

// shareLocalRoom distributes the local region's share of the work of a service over its
// routes: first to those that need to be served locally, the rest to the others in equal
// shares. A region whose upstreams can't serve all of its requests otherwise sends away as
// many of the urgent ones as of those that can bear the round trip. The shares move no faster
// than MaxRegionShift allows, unless there are hardly any requests (minShiftLimitedRate).
// seconds is the time since the last call.
func (t *Table) shareLocalRoom(p *pool, seconds float64) {
	planned := shareOf(p.plan.shares, t.config.Location.Region)
	if planned < 1 {
		p.remotePlan = p.plan.shares
	}
	var urgent, other, rate float64
	for _, entry := range p.work.routes {
		l := &entry.local
		l.rate += rateWeight * (float64(l.picks)/seconds - l.rate)
		l.picks = 0
		rate += l.rate
		if work := l.rate * p.work.expected(entry, attemptClass{first: true, local: true}); p.work.needsLocal(entry) {
			urgent += work
		} else {
			other += work
		}
	}
	if rate <= 0 {
		return
	}
	room := planned * (urgent + other)
	urgentShare, otherShare := 1.0, planned
	if urgent > 0 {
		urgentShare = min(1, room/urgent)
	}
	if other > 0 {
		otherShare = max(0, min(1, (room-urgentShare*urgent)/other))
	}
	moved := 0.0
	target := func(entry *routeWork) float64 {
		if p.work.needsLocal(entry) {
			return urgentShare
		}
		return otherShare
	}
	for _, entry := range p.work.routes {
		if entry.local.share < 0 {
			entry.local.share = planned
		}
		moved += entry.local.rate / rate * abs(target(entry)-entry.local.share)
	}
	scale := 1.0
	allowed := t.allowedLocalShift(p, seconds)
	if p.shiftsLocal = moved > allowed; p.shiftsLocal && p.requestRate >= minShiftLimitedRate {
		scale = allowed / moved
	}
	for _, entry := range p.work.routes {
		entry.local.share += scale * (target(entry) - entry.local.share)
	}
}

// allowedLocalShift returns the share of the requests for a service that may change region within
// some seconds. MaxRegionShift refers to the requests of a region for all services, so a
// service may use what the others leave; those that are shifting get equal parts.
func (t *Table) allowedLocalShift(p *pool, seconds float64) float64 {
	allowed := t.config.MaxRegionShift * localShiftShare * seconds / shiftWindow.Seconds()
	total, shifting := 0.0, 0
	for _, other := range t.services {
		total += other.requestRate
		if other.shiftsLocal || other == p {
			shifting++
		}
	}
	if p.requestRate <= 0 {
		return allowed
	}
	return allowed * total / p.requestRate / float64(shifting)
}

func abs(x float64) float64 { return max(x, -x) }

// sharesOf returns the shares of the regions for the requests of a route. A route whose local
// share is still below 1 when the plan has become local sends the rest by the last plan with
// other regions. Otherwise all of it would change region at once.
func (t *Table) sharesOf(p *pool, route fleet.Route) []regionShare {
	entry := p.work.routes[route]
	local := t.config.Location.Region
	planned := shareOf(p.plan.shares, local)
	if !t.estimates(p) || entry == nil || entry.local.share < 0 || planned <= 0 {
		return p.plan.shares
	}
	base := p.plan.shares
	if planned >= 1 {
		if entry.local.share >= 1 || len(p.remotePlan) == 0 {
			return p.plan.shares
		}
		base, planned = p.remotePlan, shareOf(p.remotePlan, local)
	}
	shares := make([]regionShare, 0, len(base))
	for _, s := range base {
		if s.region == local {
			s.share = entry.local.share
		} else {
			s.share *= (1 - entry.local.share) / (1 - planned)
		}
		shares = append(shares, s)
	}
	return shares
}
