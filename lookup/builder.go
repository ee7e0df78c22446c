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

// MinRebuild bounds how often a changed view is looked at. Loads change
// with every heartbeat, and answers are cached by callers for seconds.
const MinRebuildInterval = 500 * time.Millisecond

// Builder makes encoded answers. It keeps the encoded hosts and the order of
// regions of the last view. It is safe for concurrent use.
type Builder struct {
	delays  RegionDelays
	maxAge  time.Duration
	current atomic.Pointer[plan]
}

// NewBuilder returns a builder. maxAge is how long callers may use an answer; it
// is rounded down to seconds.
func NewBuilder(delays RegionDelays, maxAge time.Duration) *Builder {
	return &Builder{delays: delays, maxAge: maxAge}
}

// MaxAge returns how long callers may use an answer.
func (b *Builder) MaxAge() time.Duration { return b.maxAge.Truncate(time.Second) }

// Query is one look-up.
type Query struct {
	Client netip.Addr
	Route  fleet.Route
	// Nearest is the client's region; empty if it is not known. It must come from
	// a Table, so that the number of regions is bounded.
	Nearest fleet.Region
}

// Append appends the encoded answer to a query, an Answer in JSON. It reports
// false and appends nothing if the view names no host. at is a monotonic time
// of the process.
func (b *Builder) Append(dst []byte, view *fleet.View, self Self, at time.Duration, query Query) ([]byte, bool) {
	p := b.plan(view, self, at)
	if len(p.groups) == 0 {
		return dst, false
	}
	chosen := choose(p.groups, p.order(query.Nearest), spreadOf(query.Client, query.Route))
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

// plan is what the answers of one view have in common.
type plan struct {
	view   *fleet.View
	self   Self
	built  time.Duration
	own    fleet.Region
	delays RegionDelays
	groups []group
	orders sync.Map // fleet.Region to []int
}

// plan returns the plan of a view. Until MinRebuild has passed it keeps the one
// of an earlier view, unless the host's own state or the set of usable members
// changed.
func (b *Builder) plan(view *fleet.View, self Self, at time.Duration) *plan {
	current := b.current.Load()
	if current != nil && current.self == self {
		if current.view == view {
			return current
		}
		if at-current.built < MinRebuildInterval && sameMembers(current.view, view) {
			return current
		}
	}
	next := &plan{view: view, self: self, built: at, delays: b.delays, groups: groupsOf(candidates(view, self), self)}
	if m := view.Find(view.Self.Host); m != nil {
		next.own = m.Region
	}
	b.current.Store(next)
	return next
}

// order returns the order of the groups for clients of a region. Clients whose
// region is not known are served like the host's own, because they chose it.
func (p *plan) order(nearest fleet.Region) []int {
	if nearest == "" {
		nearest = p.own
	}
	if known, ok := p.orders.Load(nearest); ok {
		return known.([]int)
	}
	made, _ := p.orders.LoadOrStore(nearest, orderOf(p.groups, nearest, p.own, p.self, p.delays))
	return made.([]int)
}

func sameMembers(a, b *fleet.View) bool {
	return slices.EqualFunc(a.Members, b.Members, func(x, y fleet.ViewMember) bool {
		return x.Member == y.Member && x.State == y.State && x.Reachable == y.Reachable &&
			x.CallerAddress == y.CallerAddress && (x.Load >= OverloadThreshold) == (y.Load >= OverloadThreshold)
	})
}

// spreadOf returns a hash of client and route.
func spreadOf(client netip.Addr, route fleet.Route) uint64 {
	address := client.Unmap().As16()
	return xxhash.Sum64(address[:]) ^ xxhash.Sum64String(string(route))
}
