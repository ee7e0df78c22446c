package placement

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/traffic"
)

// maxRemoteUtilization is the fraction of another region's slots that its own
// requests and those from other regions may use together. The rest absorbs the lag
// of the estimates.
const maxRemoteUtilization = 0.85

// pool is the traffic-side state of one pool. Its lock is held only for short,
// bounded computations, never across I/O.
type pool struct {
	name  fleet.Pool
	table *Table

	mu          sync.Mutex
	upstreams   map[fleet.Upstream]*upstream
	regions     map[fleet.Region]*regionState
	regionOrder []*regionState
	queue       *fairQueue
	// median is the median of the estimates of other hosts' requests at an upstream.
	median float64
}

// regionState groups the upstreams of a pool in one region.
type regionState struct {
	name      fleet.Region
	delay     time.Duration
	upstreams []*upstream
	// remoteInFlight counts this host's requests there if it is another region.
	remoteInFlight int
	// remoteLimit bounds remoteInFlight.
	remoteLimit int
}

func newPool(name fleet.Pool, t *Table) *pool {
	return &pool{
		name:      name,
		table:     t,
		upstreams: map[fleet.Upstream]*upstream{},
		regions:   map[fleet.Region]*regionState{},
		queue:     newFairQueue(t.config.MaxQueuePerCustomer, t.config.MaxQueue),
	}
}

// choose takes a slot for a request, or returns nil if no upstream has free
// capacity. The caller holds the lock.
func (p *pool) choose(now machine.Instant, request traffic.SlotRequest) *slot {
	for _, region := range p.regionOrder {
		if region.name == p.table.config.Location.Region {
			if u := p.pickUpstream(now, region, request); u != nil {
				return p.takeSlot(u, request, region, 0)
			}
			continue
		}
		if s := p.chooseRemote(now, region, request); s != nil {
			return s
		}
	}
	return nil
}

// chooseRemote takes a slot in another region if the region's limit and the
// route's caps allow it.
func (p *pool) chooseRemote(now machine.Instant, region *regionState, request traffic.SlotRequest) *slot {
	if region.remoteInFlight >= region.remoteLimit {
		return nil
	}
	u := p.pickUpstream(now, region, request)
	if u == nil {
		return nil
	}
	charge, ok := p.table.shifts.allow(now, request.Route, region.name, request.Bytes)
	if !ok {
		return nil
	}
	return p.takeSlot(u, request, region, charge)
}

// pickUpstream returns the less loaded of two random upstreams of a region with
// free capacity. Upstreams at which this host has a free home slot come first
// (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001).
func (p *pool) pickUpstream(now machine.Instant, region *regionState, request traffic.SlotRequest) *upstream {
	var home, other candidatePair
	for _, u := range region.upstreams {
		if !u.usable(now) || !u.hasFreeCapacity(now, p.median) || slices.Contains(request.Exclude, u.target.Name) {
			continue
		}
		if u.inFlight < u.home {
			home.offer(u, p.table.random)
			continue
		}
		other.offer(u, p.table.random)
	}
	if u := home.lessLoaded(now, p.median); u != nil {
		return u
	}
	return other.lessLoaded(now, p.median)
}

func (p *pool) takeSlot(u *upstream, request traffic.SlotRequest, region *regionState, chargedBytes float64) *slot {
	u.inFlight++
	remote := region.name != p.table.config.Location.Region
	if remote {
		region.remoteInFlight++
	}
	return &slot{pool: p, upstream: u, request: request, region: region, remote: remote, chargedBytes: chargedBytes}
}

// serveQueue grants slots to waiting requests in fair order until the next one gets
// none.
func (p *pool) serveQueue(now machine.Instant) {
	for len(p.queue.waiting) > 0 {
		w := p.queue.waiting[0]
		s := p.choose(now, w.request)
		if s == nil {
			return
		}
		p.queue.serve(w)
		w.granted <- s
	}
}

// hasUsable reports whether the pool has an upstream that is not leaving.
func (p *pool) hasUsable() bool {
	for _, u := range p.upstreams {
		if !u.leaving {
			return true
		}
	}
	return false
}

// update replaces the set of upstreams and keeps the state of those that stay. The
// initial upstreams of a pool begin without slow start.
func (p *pool) update(now machine.Instant, known []KnownUpstream, initial bool) {
	next := make(map[fleet.Upstream]*upstream, len(known))
	for _, k := range known {
		u := p.upstreams[k.Name]
		if u == nil || u.target.Address != k.Address {
			u = &upstream{}
			if !initial {
				u.slowStartSince = now
			}
		}
		u.target = traffic.Target{Name: k.Name, Address: k.Address, Location: k.Location}
		u.slots = max(1, k.Slots)
		u.leaving = k.Leaving
		u.home = k.HomeSlots
		next[k.Name] = u
	}
	p.upstreams = next
	p.groupByRegion()
}

func (p *pool) groupByRegion() {
	for _, r := range p.regions {
		r.upstreams = r.upstreams[:0]
	}
	for _, u := range p.upstreams {
		name := u.target.Location.Region
		r := p.regions[name]
		if r == nil {
			r = &regionState{name: name, delay: p.table.config.Delay(name)}
			p.regions[name] = r
		}
		r.upstreams = append(r.upstreams, u)
	}
	p.regionOrder = p.regionOrder[:0]
	for _, r := range p.regions {
		slices.SortFunc(r.upstreams, func(a, b *upstream) int { return cmp.Compare(a.target.Name, b.target.Name) })
		p.regionOrder = append(p.regionOrder, r)
	}
	slices.SortFunc(p.regionOrder, p.compareRegions)
}

func (p *pool) compareRegions(a, b *regionState) int {
	own := p.table.config.Location.Region
	if (a.name == own) != (b.name == own) {
		if a.name == own {
			return -1
		}
		return 1
	}
	if c := cmp.Compare(a.delay, b.delay); c != 0 {
		return c
	}
	return cmp.Compare(a.name, b.name)
}

// candidatePair is a uniform random sample of two upstreams (reservoir sampling).
type candidatePair struct {
	first, second *upstream
	seen          uint64
}

func (c *candidatePair) offer(u *upstream, random func() uint64) {
	c.seen++
	switch {
	case c.seen == 1:
		c.first = u
	case c.seen == 2:
		c.second = u
	default:
		switch random() % c.seen {
		case 0:
			c.first = u
		case 1:
			c.second = u
		}
	}
}

func (c *candidatePair) lessLoaded(now machine.Instant, median float64) *upstream {
	if c.second == nil || c.first.load(now, median) <= c.second.load(now, median) {
		return c.first
	}
	return c.second
}
