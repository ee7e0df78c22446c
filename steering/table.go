package steering

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinspring/catkinspring/advisory"
	"github.com/catkinspring/catkinspring/catalog"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/upstream"
)

const (
	// missingGrace is how long an upstream is kept whose entry is missing after a store
	// outage: live upstreams write their entries within 2 s of the store's return.
	missingGrace = 2200 * time.Millisecond
	// departedRetention is how long the statements of an upstream are kept whose entry
	// was removed. It may serve for long after that, and write its entry again.
	departedRetention = 5 * time.Minute
)

// Config holds the identity of the host and the limits of a Table.
type Config struct {
	Host     fleet.HostID
	Location fleet.Location
	// MaxRegionShift is the share of a region's requests that may move to a different
	// region within two seconds.
	MaxRegionShift float64
	// ColdTolerance and ColdSlack bound what all hosts together may send to a cold
	// upstream in one second: ColdTolerance times its warm-up rate, and ColdSlack
	// requests in addition.
	ColdTolerance float64
	ColdSlack     float64
	// EntryLapse is the time after which the entry of an upstream that no longer writes
	// it is removed from the store.
	EntryLapse time.Duration
	// Pressure is true if hosts and links are declared to be short of room. All services are
	// then placed by estimated completion, also those whose upstreams state no slowdown.
	Pressure bool
}

// Table chooses upstreams. It is safe for concurrent use.
type Table struct {
	config Config

	mu      sync.Mutex
	members map[fleet.Upstream]*member
	// byKey holds the members by the key that identifies them in messages.
	byKey    map[advisory.Key]*member
	services map[fleet.Pool]*pool
	// departed holds upstreams whose entries were removed and that had made a statement
	// which still binds this host.
	departed  map[fleet.Upstream]departedMember
	evacuated map[fleet.FailureDomain]bool
	hosts     []catalog.Host
	// hostList counts the calls of SetHosts.
	hostList int
	warmup   map[fleet.Pool]Warmup
	// demand is the rate of requests that arrive in each region, per second.
	demand map[fleet.Region]float64
	// listed is set by the first complete list. Upstreams that are added later are cold.
	listed bool
}

// Warmup holds the warm-up settings of a service.
type Warmup struct {
	SlowStart time.Duration
	// Rate is the number of requests per second to one cold upstream.
	Rate float64
}

// pool holds the upstreams of one service.
type pool struct {
	name    fleet.Pool
	members []*member
	// regions holds the usable members by region, sorted by name.
	regions []regionPool
	poolState
}

// poolState is what a pool keeps when the list of its upstreams changes.
type poolState struct {
	plan plan
	// serviceTime is the moving average (EWMA) of the time that an upstream takes to
	// answer, in seconds; 0 before the first answer.
	serviceTime float64
	// localServiceTime is the same for the upstreams in this host's region.
	localServiceTime float64
	// picks counts requests since the last plan; requestRate is their moving average
	// (EWMA) per second.
	picks       int
	requestRate float64
	// statesSlowdown is true once an upstream of the service has stated how slow its
	// machine is; see Table.estimates.
	statesSlowdown bool
	work           workTimes
	// shiftsLocal is true while local shares of routes move towards their targets; see
	// allowedLocalShift.
	shiftsLocal bool
	// remotePlan holds the shares of the last plan in which other regions had a share, for the
	// routes whose local shares follow the plan later; see Table.sharesOf.
	remotePlan []regionShare
	// refusedAt is when an upstream last refused a request of this host; 0 if none has.
	refusedAt machine.Instant
}

// regionPool holds the usable upstreams of one service in one region.
type regionPool struct {
	name fleet.Region
	// hash is the hash of the name, for rendezvous hashing.
	hash    uint64
	members []*member
	// near are the members in this host's failure domain.
	near []*member
}

const (
	// serviceTimeWeight is the weight of one answer in the average service time.
	serviceTimeWeight = 0.05
	// rateWeight is the weight of one planning round in the average request rate.
	rateWeight = 0.1
)

// New returns a table without upstreams.
func New(c Config) *Table {
	return &Table{
		config:    c,
		members:   make(map[fleet.Upstream]*member),
		services:  make(map[fleet.Pool]*pool),
		departed:  make(map[fleet.Upstream]departedMember),
		evacuated: make(map[fleet.FailureDomain]bool),
	}
}

// Apply applies changes of the upstreams' entries. It returns the upstreams that were
// removed and a description of all changes.
func (t *Table) Apply(now machine.Instant, u catalog.Update[catalog.Upstream]) (removed []upstream.Target, changed []UpstreamChange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	seen := make(map[fleet.Upstream]bool, len(u.Changes))
	for _, c := range u.Changes {
		if c.Removed {
			removed, changed = t.remove(now, fleet.Upstream(c.Name), removed, changed)
			continue
		}
		seen[c.Item.ID] = true
		changed = t.set(now, c.Item, changed)
	}
	if u.Complete {
		for id, m := range t.members {
			switch {
			case seen[id]:
			case u.AfterOutage:
				if m.missingSince == 0 {
					m.missingSince = now
					changed = append(changed, t.change(now, m, "missing after an outage"))
				}
			default:
				removed, changed = t.remove(now, id, removed, changed)
			}
		}
		t.listed = true
	}
	t.rebuildPools()
	return removed, changed
}

// set adds or updates an upstream and appends the description of the change, if any.
func (t *Table) set(now machine.Instant, item catalog.Upstream, changed []UpstreamChange) []UpstreamChange {
	m := t.members[item.ID]
	description, statedColdFor := "", item.ColdFor
	switch {
	case m == nil:
		m = newMember(item)
		m.resume(t.departed[item.ID])
		delete(t.departed, item.ID)
		t.members[item.ID] = m
		description = "added"
		if t.listed {
			statedColdFor = max(statedColdFor, t.started(now, m))
		}
	case m.StartedMillis != item.StartedMillis:
		inFlight := m.inFlight
		*m = *newMember(item)
		m.inFlight = inFlight
		statedColdFor = max(statedColdFor, t.started(now, m))
		description = "started again"
	case m.Draining != item.Draining:
		description = "draining changed"
	}
	m.Upstream = item
	m.missingSince = 0
	wasCold := m.limiter.active(now)
	if item.ColdFor > 0 {
		m.limiter.start(now, item.ColdFor)
	}
	if description == "" && !wasCold && m.limiter.active(now) {
		description = "reports that it is cold"
	}
	if description == "" {
		return changed
	}
	c := t.change(now, m, description)
	c.StatedColdFor = statedColdFor
	return append(changed, c)
}

// started begins the warm-up phase of an upstream that has started, and returns its
// length.
func (t *Table) started(now machine.Instant, m *member) time.Duration {
	slowStart := t.warmup[m.Service].SlowStart
	m.startedAt = now
	m.limiter.start(now, slowStart)
	return slowStart
}

func (t *Table) remove(now machine.Instant, id fleet.Upstream, removed []upstream.Target, changed []UpstreamChange) ([]upstream.Target, []UpstreamChange) {
	m := t.members[id]
	if m == nil {
		return removed, changed
	}
	delete(t.members, id)
	if m.leaving || m.limit.known || now < m.ejectedUntil {
		t.departed[id] = departedMember{member: m, at: now}
	}
	return append(removed, upstream.Target{ID: id, Address: m.Address}), append(changed, t.change(now, m, "removed"))
}

// Expire removes upstreams whose entries were not written again after an outage, and
// updates the plans of all services.
func (t *Table) Expire(now machine.Instant) (removed []upstream.Target, changed []UpstreamChange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, m := range t.members {
		if m.missingSince != 0 && now.Sub(m.missingSince) > missingGrace {
			removed, changed = t.remove(now, id, removed, changed)
		}
	}
	if len(removed) > 0 {
		t.rebuildPools()
	}
	maps.DeleteFunc(t.departed, func(_ fleet.Upstream, d departedMember) bool { return now.Sub(d.at) > departedRetention })
	for _, p := range t.services {
		t.replan(now, p)
	}
	return removed, changed
}

// SetEvacuated replaces the evacuated failure domains. Upstreams of a restored domain
// are cold for the whole warm-up time: they may have become cold while they got no
// requests, and their entries, which say so, arrive independently of the evacuation's
// end.
func (t *Table) SetEvacuated(now machine.Instant, domains []fleet.FailureDomain) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.evacuated
	t.evacuated = make(map[fleet.FailureDomain]bool, len(domains))
	for _, d := range domains {
		t.evacuated[d] = true
	}
	for _, m := range t.members {
		if d := m.Location.FailureDomain; before[d] && !t.evacuated[d] {
			m.limiter.start(now, t.warmup[m.Service].SlowStart)
		}
	}
	t.rebuildPools()
}

// SetHosts replaces the entry hosts among which the warm-up rate of cold upstreams is
// shared.
func (t *Table) SetHosts(hosts []catalog.Host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hosts = slices.Clone(hosts)
	t.hostList++
}

// SetWarmup replaces the warm-up settings of all services. They also apply to upstreams
// that started before.
func (t *Table) SetWarmup(w map[fleet.Pool]Warmup) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.warmup = w
	for _, m := range t.members {
		if m.startedAt != 0 {
			m.limiter.start(m.startedAt, w[m.Service].SlowStart)
		}
	}
}

// SetDemand replaces the rates of requests that arrive in each region, per second.
func (t *Table) SetDemand(demand map[fleet.Region]float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.demand = demand
}

// rebuildPools groups the upstreams by service and keeps the state of each service.
func (t *Table) rebuildPools() {
	old := t.services
	t.services = make(map[fleet.Pool]*pool)
	t.byKey = make(map[advisory.Key]*member, len(t.members))
	for _, m := range t.members {
		t.byKey[advisory.Key(m.hash)] = m
		p := t.services[m.Service]
		if p == nil {
			p = &pool{name: m.Service}
			if previous := old[m.Service]; previous != nil {
				p.poolState = previous.poolState
			}
			t.services[m.Service] = p
		}
		p.members = append(p.members, m)
	}
	for _, p := range t.services {
		t.groupByRegion(p)
	}
}

// groupByRegion sets the regions of a pool.
func (t *Table) groupByRegion(p *pool) {
	for _, m := range p.members {
		if !t.usable(m) {
			continue
		}
		i, found := slices.BinarySearchFunc(p.regions, m.Location.Region, func(r regionPool, name fleet.Region) int { return strings.Compare(string(r.name), string(name)) })
		if !found {
			p.regions = slices.Insert(p.regions, i, regionPool{name: m.Location.Region, hash: xxhash.Sum64String(string(m.Location.Region))})
		}
		region := &p.regions[i]
		region.members = append(region.members, m)
		if m.Location.FailureDomain == t.config.Location.FailureDomain {
			region.near = append(region.near, m)
		}
	}
}

// usable reports whether an upstream may get requests, that is, whether it is neither
// draining or leaving nor in an evacuated failure domain.
func (t *Table) usable(m *member) bool {
	return !m.Draining && !m.leaving && !t.evacuated[m.Location.FailureDomain]
}

// ColdCount returns the number of cold upstreams in the table.
func (t *Table) ColdCount(now machine.Instant) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	cold := 0
	for _, m := range t.members {
		if m.limiter.active(now) {
			cold++
		}
	}
	return cold
}

// LimitedCount returns the number of upstreams in the table that state a limit.
func (t *Table) LimitedCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	limited := 0
	for _, m := range t.members {
		if m.limit.known {
			limited++
		}
	}
	return limited
}

// ServiceTime returns the average time in which upstreams of a service answer; 0 if it
// is unknown.
func (t *Table) ServiceTime(service fleet.Pool) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.services[service]
	if p == nil {
		return 0
	}
	return time.Duration(p.serviceTime * float64(time.Second))
}

// UpstreamCount returns the number of upstreams in the table.
func (t *Table) UpstreamCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.members)
}
