package steering

import (
	"slices"
	"sync"
	"time"

	"github.com/catkinspring/catkinspring/catalog"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/upstream"
)

const (
	// missingGrace is how long an upstream whose entry is missing after an outage
	// of the store is kept: upstreams that live write their entry within 2 s of
	// the store's return.
	missingGrace = 2200 * time.Millisecond
	// othersDecay is the time after which the load that other hosts put on an
	// upstream counts half as much as when the upstream told it: about the time
	// that a request runs.
	othersDecay = 500 * time.Millisecond
	// minBackoff and maxBackoff bound the time for which an upstream that failed
	// gets no request. maxBackoff is below the time that an upstream takes to come
	// back after a crash.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 2 * time.Second
	// grayWeight is the part of one attempt in the running rate of failures; about
	// the last six attempts count.
	grayWeight = 0.25
	// grayRate is the rate of failures above which an upstream is chosen only if no
	// other has room.
	grayRate = 0.4
	// grayDecay halves the running rate while an upstream gets no request, so that
	// it is tried again.
	grayDecay = 2 * time.Second
)

// Config holds what a Table needs to know of its host and its fleet.
type Config struct {
	Host     fleet.HostID
	Location fleet.Location
	// MaxRegionShift is the part of a region's requests that may change the region
	// in which they run within two seconds.
	MaxRegionShift float64
	// ColdSlack is the number of requests that a cold upstream may get in one second
	// over all hosts beside its warm-up rate.
	ColdSlack float64
}

// member is an upstream as this host knows it.
type member struct {
	catalog.Upstream
	// missingSince is when the entry was found missing after an outage; 0 while it
	// is there.
	missingSince machine.Instant

	// inFlight counts this host's own requests.
	inFlight int
	// others is the work of other hosts at othersAt.
	others   float64
	othersAt machine.Instant

	failures   int
	ejectUntil machine.Instant
	// gray is the running rate of failed attempts at grayAt.
	gray   float64
	grayAt machine.Instant

	cold coldGate
}

// Table chooses upstreams. It is safe for concurrent use.
type Table struct {
	config Config

	mu        sync.Mutex
	members   map[fleet.Upstream]*member
	services  map[fleet.Pool]*pool
	evacuated map[fleet.FailureDomain]bool
	hosts     []catalog.Host
	warmup    map[fleet.Pool]Warmup
	// demand is the rate of requests that arrive in each region.
	demand map[fleet.Region]float64
	// listed is true after the first list. Upstreams that appear later are cold.
	listed bool
}

// Warmup says how a service's upstreams start.
type Warmup struct {
	SlowStart time.Duration
	// Rate is in requests a second for one cold upstream.
	Rate float64
}

// pool is the upstreams of one service.
type pool struct {
	name    fleet.Pool
	members []*member
	plan    plan
	// work is the running mean of the time that an upstream takes to answer, in
	// seconds; 0 before the first answer.
	work float64
	// homeWork is the same of the upstreams in this host's region.
	homeWork float64
	// picks counts requests since the last plan, rate is their running rate a
	// second.
	picks int
	rate  float64
}

const (
	// workWeight is the part of one answer in the running mean of the work.
	workWeight = 0.05
	// rateWeight is the part of one planning round in the running rate.
	rateWeight = 0.1
)

// New returns a table without upstreams.
func New(c Config) *Table {
	return &Table{
		config:    c,
		members:   make(map[fleet.Upstream]*member),
		services:  make(map[fleet.Pool]*pool),
		evacuated: make(map[fleet.FailureDomain]bool),
	}
}

// Changed tells what happened to one upstream, for the log.
type UpstreamChange struct {
	Upstream    fleet.Upstream
	Service     fleet.Pool
	Description string
}

// Apply takes changes of the upstreams' entries. It returns the upstreams that
// are gone and a description of all changes.
func (t *Table) Apply(now machine.Instant, u catalog.Update[catalog.Upstream]) (gone []upstream.Target, changed []UpstreamChange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	seen := make(map[fleet.Upstream]bool, len(u.Changes))
	for _, c := range u.Changes {
		if c.Removed {
			gone, changed = t.remove(fleet.Upstream(c.Name), gone, changed)
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
					changed = append(changed, UpstreamChange{id, m.Service, "missing after an outage"})
				}
			default:
				gone, changed = t.remove(id, gone, changed)
			}
		}
		t.listed = true
	}
	t.index()
	return gone, changed
}

func (t *Table) set(now machine.Instant, item catalog.Upstream, changed []UpstreamChange) []UpstreamChange {
	m := t.members[item.ID]
	switch {
	case m == nil:
		m = &member{Upstream: item}
		t.members[item.ID] = m
		changed = append(changed, UpstreamChange{item.ID, item.Service, "added"})
		if t.listed {
			m.cold.start(now, t.warmup[item.Service].SlowStart)
		}
	case m.StartedMillis != item.StartedMillis:
		inFlight := m.inFlight
		*m = member{Upstream: item, inFlight: inFlight}
		m.cold.start(now, t.warmup[item.Service].SlowStart)
		changed = append(changed, UpstreamChange{item.ID, item.Service, "started again"})
	case m.Draining != item.Draining:
		changed = append(changed, UpstreamChange{item.ID, item.Service, "draining changed"})
	}
	m.Upstream = item
	m.missingSince = 0
	if item.ColdFor > 0 {
		m.cold.start(now, item.ColdFor)
	}
	return changed
}

func (t *Table) remove(id fleet.Upstream, gone []upstream.Target, changed []UpstreamChange) ([]upstream.Target, []UpstreamChange) {
	m := t.members[id]
	if m == nil {
		return gone, changed
	}
	delete(t.members, id)
	return append(gone, upstream.Target{ID: id, Address: m.Address}), append(changed, UpstreamChange{id, m.Service, "removed"})
}

// Expire removes upstreams whose entries have not come back after an outage.
func (t *Table) Expire(now machine.Instant) (gone []upstream.Target, changed []UpstreamChange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, m := range t.members {
		if m.missingSince != 0 && now.Sub(m.missingSince) > missingGrace {
			gone, changed = t.remove(id, gone, changed)
		}
	}
	if len(gone) > 0 {
		t.index()
	}
	for _, p := range t.services {
		t.replan(now, p)
	}
	return gone, changed
}

// SetEvacuated replaces the evacuated failure domains. Upstreams of a domain that
// is taken back are treated as cold if they say so.
func (t *Table) SetEvacuated(domains []fleet.FailureDomain) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evacuated = make(map[fleet.FailureDomain]bool, len(domains))
	for _, d := range domains {
		t.evacuated[d] = true
	}
}

// SetHosts replaces the entry hosts among which the warm-up of cold upstreams is
// divided.
func (t *Table) SetHosts(hosts []catalog.Host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hosts = slices.Clone(hosts)
}

// SetWarmup replaces the warm-up bounds of all services.
func (t *Table) SetWarmup(w map[fleet.Pool]Warmup) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.warmup = w
}

// SetDemand replaces the rates of requests that arrive in each region.
func (t *Table) SetDemand(demand map[fleet.Region]float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.demand = demand
}

// index rebuilds the pools of the services and keeps their plans.
func (t *Table) index() {
	old := t.services
	t.services = make(map[fleet.Pool]*pool)
	for _, m := range t.members {
		p := t.services[m.Service]
		if p == nil {
			p = &pool{name: m.Service}
			if before := old[m.Service]; before != nil {
				p.plan, p.work, p.homeWork, p.rate, p.picks = before.plan, before.work, before.homeWork, before.rate, before.picks
			}
			t.services[m.Service] = p
		}
		p.members = append(p.members, m)
	}
}

// usable reports whether an upstream may get requests as far as its entry and
// the operators say.
func (t *Table) usable(m *member) bool { return !m.Draining && !t.evacuated[m.Location.FailureDomain] }

// load returns the estimated work of an upstream: this host's own requests and
// what is left of the others' since they were last heard of.
func (m *member) load(now machine.Instant) float64 {
	return float64(m.inFlight) + halved(m.others, now.Sub(m.othersAt), othersDecay)
}

func (m *member) grayRate(now machine.Instant) float64 {
	return halved(m.gray, now.Sub(m.grayAt), grayDecay)
}

// Done takes the result of an attempt and returns what it changed, for the log.
func (t *Table) Done(now machine.Instant, id fleet.Upstream, r upstream.Result) (what string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[id]
	if m == nil {
		return ""
	}
	m.inFlight = max(0, m.inFlight-1)
	if r.Response != nil && r.Response.Load.Known {
		l := r.Response.Load
		m.others = max(0, float64(l.Running+l.Waiting-m.inFlight))
		m.othersAt = now
	}
	switch r.Outcome {
	case upstream.Answered:
		t.services[m.Service].worked(r.Took, m.Location.Region == t.config.Location.Region)
		m.note(now, r.Response.Status >= 500)
		if m.failures > 0 {
			m.failures = 0
			return "answers again"
		}
	case upstream.Refused:
		// An upstream that refuses with free slots fails in its own way.
		full := r.Response.Load.Known && r.Response.Load.Running >= m.Slots
		m.note(now, !full)
	case upstream.Misdirected:
		m.ejectUntil = now.Add(maxBackoff)
		return "address belongs to another upstream"
	case upstream.Unreachable:
		m.failures++
		m.ejectUntil = now.Add(backoff(m.failures))
		m.note(now, true)
		return "unreachable"
	case upstream.Broken:
		m.note(now, true)
		if r.Reused && !r.Unresponsive {
			// The connection may have been closed as unused.
			return "connection broke"
		}
		m.failures++
		m.ejectUntil = now.Add(backoff(m.failures))
		if r.Unresponsive {
			return "silent"
		}
		return "broke a new connection"
	case upstream.TimedOut:
		m.note(now, true)
	case upstream.Cancelled:
	}
	return ""
}

func (p *pool) worked(took time.Duration, home bool) {
	p.work = average(p.work, took.Seconds())
	if home {
		p.homeWork = average(p.homeWork, took.Seconds())
	}
}

// average returns the running mean of the work with one more answer.
func average(mean, seconds float64) float64 {
	if mean == 0 {
		return seconds
	}
	return mean + workWeight*(seconds-mean)
}

func (m *member) note(now machine.Instant, failed bool) {
	rate := m.grayRate(now) * (1 - grayWeight)
	if failed {
		rate += grayWeight
	}
	m.gray, m.grayAt = rate, now
}

func backoff(failures int) time.Duration {
	return min(maxBackoff, minBackoff<<min(failures-1, 4))
}

// Known returns the number of upstreams.
func (t *Table) UpstreamCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.members)
}
