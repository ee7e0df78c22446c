package lookup

import (
	"encoding/json"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinspring/catkinspring/fleet"
)

// Spreads is the number of different orders of the hosts of a region. Clients
// are divided over them by hash.
const Spreads = 128

// MaxCached bounds the encoded answers that are kept, at about 1 KB each.
const MaxCached = 8192

// MinRebuild bounds how often a changed view discards the cached answers. Loads
// change with every heartbeat, and answers are cached by callers for seconds.
const MinRebuild = 500 * time.Millisecond

// Builder makes encoded answers. It is safe for concurrent use.
type Builder struct {
	delays  Delays
	maxAge  time.Duration
	current atomic.Pointer[plan]
}

// NewBuilder returns a builder. maxAge is how long callers may use an answer; it
// is rounded down to seconds.
func NewBuilder(delays Delays, maxAge time.Duration) *Builder {
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

// Answer returns the encoded answer to a query, which must not be changed. It
// is nil if the view names no host. at is a monotonic time of the process.
func (b *Builder) Answer(view *fleet.View, self Self, at time.Duration, query Query) []byte {
	p := b.plan(view, self, at)
	if len(p.hosts) == 0 {
		return nil
	}
	row := p.row(query.Nearest)
	spread := spreadOf(query.Client, query.Route)
	if cached := row.answers[spread].Load(); cached != nil {
		return *cached
	}
	hosts := shorten(order(p.hosts, row.regions, spread, p.self))
	encoded, err := json.Marshal(Answer{EntryHosts: hosts, MaxAgeSeconds: int(b.maxAge / time.Second)})
	if err != nil {
		return nil
	}
	if p.cached.Add(1) <= MaxCached {
		row.answers[spread].Store(&encoded)
	}
	return encoded
}

// plan is what the answers of one view have in common.
type plan struct {
	view  *fleet.View
	self  Self
	built time.Duration
	own   fleet.Region
	hosts []candidate
	rows  sync.Map // fleet.Region to *row
	// cached counts the answers that are kept.
	cached atomic.Int64
	delays Delays
}

// row holds the answers for clients of one region.
type row struct {
	regions []fleet.Region
	answers [Spreads]atomic.Pointer[[]byte]
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
		if at-current.built < MinRebuild && sameMembers(current.view, view) {
			return current
		}
	}
	next := b.newPlan(view, self, at)
	b.current.Store(next)
	return next
}

func (b *Builder) newPlan(view *fleet.View, self Self, at time.Duration) *plan {
	p := &plan{view: view, self: self, built: at, hosts: candidates(view, self), delays: b.delays}
	if m := view.Find(view.Self.Host); m != nil {
		p.own = m.Region
	}
	return p
}

// row returns the row of a client region. An unknown region is served like the
// host's own one, because the caller chose this host.
func (p *plan) row(region fleet.Region) *row {
	if region == "" {
		region = p.own
	}
	if r, ok := p.rows.Load(region); ok {
		return r.(*row)
	}
	made, _ := p.rows.LoadOrStore(region, &row{regions: regionOrder(p.hosts, region, p.own, p.self, p.delays)})
	return made.(*row)
}

func sameMembers(a, b *fleet.View) bool {
	return slices.EqualFunc(a.Members, b.Members, func(x, y fleet.ViewMember) bool {
		return x.Member == y.Member && x.State == y.State && x.Reachable == y.Reachable &&
			x.CallerAddress == y.CallerAddress && (x.Load >= OverloadedAt) == (y.Load >= OverloadedAt)
	})
}

// spreadOf divides clients and routes over the spreads.
func spreadOf(client netip.Addr, route fleet.Route) uint64 {
	address := client.Unmap().As16()
	return (xxhash.Sum64(address[:]) ^ xxhash.Sum64String(string(route))) % Spreads
}
