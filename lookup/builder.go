package lookup

import (
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinspring/catkinspring/fleet"
)

// MinRebuildInterval is the minimum time between two plans that differ only in
// loads. Loads change with every heartbeat, and callers cache answers for
// seconds.
const MinRebuildInterval = 500 * time.Millisecond

// Builder builds encoded answers. It caches the encoded hosts and the order of
// regions of a view. It is safe for concurrent use.
type Builder struct {
	delays  RegionDelays
	maxAge  time.Duration
	current atomic.Pointer[plan]
}

// NewBuilder returns a builder. maxAge is how long callers may cache an answer; it
// is rounded down to whole seconds.
func NewBuilder(delays RegionDelays, maxAge time.Duration) *Builder {
	return &Builder{delays: delays, maxAge: maxAge}
}

// MaxAge returns how long callers may cache an answer.
func (b *Builder) MaxAge() time.Duration { return b.maxAge.Truncate(time.Second) }

// Query holds the parameters of one lookup.
type Query struct {
	Client netip.Addr
	Route  fleet.Route
	// Nearest is the client's region; empty if it is unknown. It must come from a
	// Table, so that the number of cached orders is bounded.
	Nearest fleet.Region
}

// Append appends the answer to a query, an Answer encoded as JSON. It returns
// false and appends nothing if the view has no usable host. now is a monotonic
// time of the process.
func (b *Builder) Append(dst []byte, view *fleet.View, self Self, now time.Duration, query Query) ([]byte, bool) {
	p := b.plan(view, self, now)
	if len(p.groups) == 0 {
		return dst, false
	}
	chosen := selectHosts(p.groups, p.order(query.Nearest), spreadHash(query.Client, query.Route))
	dst = append(dst, `{"entryHosts":[`...)
	for i, host := range chosen.hosts[:chosen.size] {
		if i > 0 {
			dst = append(dst, ',')
		}
		dst = append(dst, host.encoded...)
	}
	dst = append(dst, `],"maxAgeSeconds":`...)
	dst = strconv.AppendInt(dst, int64(b.maxAge/time.Second), 10)
	return append(dst, '}'), true
}

// plan holds what the answers of one view have in common.
type plan struct {
	view      *fleet.View
	self      Self
	builtAt   time.Duration
	ownRegion fleet.Region
	delays    RegionDelays
	groups    []group
	orders    sync.Map // fleet.Region to []int
}

// plan returns the plan of a view. Until MinRebuildInterval has passed it reuses
// the plan of an earlier view, unless the host's own state or the set of usable
// members changed.
func (b *Builder) plan(view *fleet.View, self Self, now time.Duration) *plan {
	current := b.current.Load()
	if current != nil && current.self == self {
		if current.view == view {
			return current
		}
		if now-current.builtAt < MinRebuildInterval && sameMembers(current.view, view) {
			return current
		}
	}
	next := &plan{view: view, self: self, builtAt: now, delays: b.delays, groups: groupByRegion(candidates(view, self), self)}
	if m := view.Find(view.Self.Host); m != nil {
		next.ownRegion = m.Region
	}
	b.current.Store(next)
	return next
}

// order returns the order of the groups for clients of a region. Clients of an
// unknown region are treated as in the host's region, because they chose the host.
func (p *plan) order(nearest fleet.Region) []int {
	if nearest == "" {
		nearest = p.ownRegion
	}
	if cached, ok := p.orders.Load(nearest); ok {
		return cached.([]int)
	}
	computed, _ := p.orders.LoadOrStore(nearest, groupOrder(p.groups, nearest, p.ownRegion, p.self, p.delays))
	return computed.([]int)
}

func sameMembers(a, b *fleet.View) bool {
	return slices.EqualFunc(a.Members, b.Members, func(x, y fleet.ViewMember) bool {
		return x.Member == y.Member && x.State == y.State && x.Reachable == y.Reachable &&
			x.CallerAddress == y.CallerAddress && (x.Load >= OverloadThreshold) == (y.Load >= OverloadThreshold)
	})
}

// spreadHash returns a hash of client and route that spreads clients over hosts.
func spreadHash(client netip.Addr, route fleet.Route) uint64 {
	address := client.Unmap().As16()
	return xxhash.Sum64(address[:]) ^ xxhash.Sum64String(string(route))
}
