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

// remoteHeadroom is the part of another region's slots that steering decisions
// may fill, together with that region's own work. The rest absorbs the lag of
// the estimates.
const remoteHeadroom = 0.85

// pool is the traffic-side state of one pool. Its lock is held for short,
// bounded computations only, never across I/O.
type pool struct {
	name  fleet.Pool
	table *Table

	mu        sync.Mutex
	upstreams map[fleet.Upstream]*upstream
	regions   map[fleet.Region]*regionState
	order     []*regionState
	queue     *fairQueue
	median    float64
}

// regionState groups the upstreams of a pool in one region.
type regionState struct {
	name      fleet.Region
	delay     time.Duration
	upstreams []*upstream
	// remoteInFlight is this host's own work there, if it is another region.
	remoteInFlight int
	// remoteLimit is the most work that this host may have there.
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

// choose takes a slot for a request, or returns nil if nothing has room. The
// caller holds the lock.
func (p *pool) choose(now machine.Instant, request traffic.PlaceRequest) *slot {
	for _, region := range p.order {
		if region.name == p.table.config.Location.Region {
			if u := p.pick(now, region, request); u != nil {
				return p.take(u, request, region, 0)
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
func (p *pool) chooseRemote(now machine.Instant, region *regionState, request traffic.PlaceRequest) *slot {
	if region.remoteInFlight >= region.remoteLimit {
		return nil
	}
	u := p.pick(now, region, request)
	if u == nil {
		return nil
	}
	charge, ok := p.table.shifts.allow(now, request.Route, region.name, request.Bytes)
	if !ok {
		return nil
	}
	return p.take(u, request, region, charge)
}

// pick chooses between two random upstreams of a region that have room, with
// the upstreams at which this host has a free home slot before all others
// (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001).
func (p *pool) pick(now machine.Instant, region *regionState, request traffic.PlaceRequest) *upstream {
	var home, other pair
	for _, u := range region.upstreams {
		if !u.usable(now) || !u.hasRoom(now, p.median) || slices.Contains(request.Exclude, u.target.Name) {
			continue
		}
		if u.inFlight < u.home {
			home.offer(u, p.table.random)
			continue
		}
		other.offer(u, p.table.random)
	}
	if u := home.lighter(now, p.median); u != nil {
		return u
	}
	return other.lighter(now, p.median)
}

func (p *pool) take(u *upstream, request traffic.PlaceRequest, region *regionState, charge float64) *slot {
	u.inFlight++
	remote := region.name != p.table.config.Location.Region
	if remote {
		region.remoteInFlight++
	}
	return &slot{pool: p, upstream: u, request: request, region: region, remote: remote, charge: charge}
}

// pump serves waiting requests in fair order until one of them finds no room.
func (p *pool) pump(now machine.Instant) {
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

// hasUsable reports whether any upstream could serve a request at some time.
func (p *pool) hasUsable() bool {
	for _, u := range p.upstreams {
		if !u.leaving {
			return true
		}
	}
	return false
}

// update replaces the set of upstreams and keeps what is known of those that stay.
func (p *pool) update(now machine.Instant, known []KnownUpstream, first bool) {
	next := make(map[fleet.Upstream]*upstream, len(known))
	for _, k := range known {
		u := p.upstreams[k.Name]
		if u == nil || u.target.Address != k.Address {
			u = &upstream{}
			if !first {
				u.warmFrom = now
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
	p.order = p.order[:0]
	for _, r := range p.regions {
		slices.SortFunc(r.upstreams, func(a, b *upstream) int { return cmp.Compare(a.target.Name, b.target.Name) })
		p.order = append(p.order, r)
	}
	slices.SortFunc(p.order, p.compareRegions)
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

// pair holds two uniformly random members of a sequence (reservoir sampling).
type pair struct {
	first, second *upstream
	seen          uint64
}

func (c *pair) offer(u *upstream, random func() uint64) {
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

func (c *pair) lighter(now machine.Instant, median float64) *upstream {
	if c.second == nil || c.first.load(now, median) <= c.second.load(now, median) {
		return c.first
	}
	return c.second
}
