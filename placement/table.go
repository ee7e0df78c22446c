package placement

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/problem"
	"github.com/catkinspring/catkinspring/traffic"
)

const (
	// capacityRetryAfter is the Retry-After of a request that got no slot.
	capacityRetryAfter = time.Second
	// maxQueueTime bounds the wait for a slot.
	maxQueueTime = 2 * time.Second
)

// Config holds the settings and dependencies of a Table.
type Config struct {
	Location fleet.Location
	Clock    traffic.Clock
	// Delay returns the one-way delay to a region.
	Delay func(fleet.Region) time.Duration
	// Random returns uniform random bits; it must be safe for concurrent use.
	Random func() uint64
	// MaxQueuePerCustomer and MaxQueue bound the waiting requests of a pool.
	MaxQueuePerCustomer int
	MaxQueue            int
	// Post sends an observation to the Machine; it must not block.
	Post     func(machine.Input) bool
	Registry metrics.Registry
}

// KnownUpstream is an upstream as the Machine publishes it.
type KnownUpstream struct {
	Name     fleet.Upstream
	Pool     fleet.Pool
	Address  netip.AddrPort
	Location fleet.Location
	Slots    int
	Leaving  bool
	// HomeSlots is the number of slots assigned to this host, see assignHomeSlots.
	HomeSlots int
}

// Estimate is the number of the other hosts' in-flight requests at an upstream.
type Estimate struct {
	Pool     fleet.Pool
	Upstream fleet.Upstream
	InFlight float64
	At       machine.Instant
}

// RemoteLimit bounds this host's in-flight requests in another region.
type RemoteLimit struct {
	Pool   fleet.Pool
	Region fleet.Region
	Limit  int
}

// Table hands out slots at upstreams. It is safe for concurrent use.
type Table struct {
	config Config
	shifts *shifts

	mu    sync.Mutex
	pools atomic.Pointer[map[fleet.Pool]*pool]

	queued    metrics.Counter
	refused   metrics.Counter
	shifted   metrics.Counter
	queueTime metrics.Histogram
}

var _ traffic.Placer = (*Table)(nil)

// NewTable returns a table without upstreams.
func NewTable(c Config) *Table {
	t := &Table{
		config:    c,
		shifts:    newShifts(),
		queued:    metrics.NewRegisteredCounter("placement.queued", c.Registry),
		refused:   metrics.NewRegisteredCounter("placement.refused", c.Registry),
		shifted:   metrics.NewRegisteredCounter("placement.shifted", c.Registry),
		queueTime: metrics.NewRegisteredHistogram("placement.queue.microseconds", c.Registry, metrics.NewExpDecaySample(1028, 0.015)),
	}
	t.pools.Store(&map[fleet.Pool]*pool{})
	return t
}

func (t *Table) random() uint64 { return t.config.Random() }

func (t *Table) now() machine.Instant { return t.config.Clock.Now().Instant }

func (t *Table) pool(name fleet.Pool) *pool { return (*t.pools.Load())[name] }

// Acquire returns a slot. It waits in the fair queue of the pool until a slot is
// free. If the context ends or maxQueueTime passes first, it returns a
// *problem.Error with outcome not-run.
func (t *Table) Acquire(ctx context.Context, request traffic.SlotRequest) (traffic.Slot, error) {
	p := t.pool(request.Pool)
	if p == nil {
		t.refused.Inc(1)
		return nil, noCapacity("pool has no upstreams")
	}
	now := t.now()
	t.shifts.recordArrival(now, request.Route)
	p.mu.Lock()
	s, w, err := p.acquireOrEnqueue(now, request)
	p.mu.Unlock()
	if err != nil {
		t.refused.Inc(1)
		return nil, err
	}
	if s != nil {
		return t.granted(s), nil
	}
	return t.wait(ctx, p, w, now)
}

// acquireOrEnqueue returns a slot if no request waits and one is free, and queues
// the request otherwise.
func (p *pool) acquireOrEnqueue(now machine.Instant, request traffic.SlotRequest) (*slot, *waiter, error) {
	if !p.hasUsable() {
		return nil, nil, noCapacity("no upstream of the pool takes work")
	}
	if len(p.queue.waiting) == 0 {
		if s := p.choose(now, request); s != nil {
			return s, nil, nil
		}
	}
	w := p.queue.push(request)
	if w == nil {
		return nil, nil, problem.NotRun(problem.KindQueueFull, "too many requests wait for a slot").WithRetryAfter(capacityRetryAfter)
	}
	return nil, w, nil
}

func (t *Table) wait(ctx context.Context, p *pool, w *waiter, since machine.Instant) (traffic.Slot, error) {
	t.queued.Inc(1)
	timer := time.NewTimer(maxQueueTime)
	defer timer.Stop()
	select {
	case s := <-w.granted:
		t.queueTime.Update(t.now().Sub(since).Microseconds())
		return t.granted(s), nil
	case <-ctx.Done():
	case <-timer.C:
	}
	p.mu.Lock()
	removed := p.queue.remove(w)
	p.mu.Unlock()
	if !removed {
		return t.granted(<-w.granted), nil
	}
	t.refused.Inc(1)
	if ctx.Err() != nil {
		return nil, problem.NotRun(problem.KindDeadlineExceeded, "no slot before the deadline").WithCause(ctx.Err())
	}
	return nil, noCapacity("no slot became free in time")
}

// granted counts the slot if it is in another region, and returns it.
func (t *Table) granted(s *slot) *slot {
	if s.remote {
		t.shifted.Inc(1)
	}
	return s
}

func noCapacity(detail string) *problem.Error {
	return problem.NotRun(problem.KindNoCapacity, detail).WithRetryAfter(capacityRetryAfter)
}

// ServeQueues grants slots to waiting requests whose upstreams got free capacity
// because estimates decayed or ejections ended. The process calls it every 20 to
// 50 ms.
func (t *Table) ServeQueues() {
	now := t.now()
	for _, p := range *t.pools.Load() {
		p.mu.Lock()
		p.serveQueue(now)
		p.mu.Unlock()
	}
}

// SetUpstreams replaces the upstreams of all pools.
func (t *Table) SetUpstreams(known []KnownUpstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	byPool := map[fleet.Pool][]KnownUpstream{}
	for _, k := range known {
		byPool[k.Pool] = append(byPool[k.Pool], k)
	}
	current := *t.pools.Load()
	next := make(map[fleet.Pool]*pool, len(byPool))
	for name, p := range current {
		next[name] = p
	}
	for name := range byPool {
		if next[name] == nil {
			next[name] = newPool(name, t)
		}
	}
	for name, p := range next {
		_, existed := current[name]
		p.mu.Lock()
		p.update(now, byPool[name], !existed)
		p.serveQueue(now)
		p.mu.Unlock()
	}
	t.pools.Store(&next)
}

// SetEstimates sets the other hosts' in-flight requests and each pool's median.
func (t *Table) SetEstimates(estimates []Estimate) {
	now := t.now()
	byPool := map[fleet.Pool][]float64{}
	for _, e := range estimates {
		p := t.pool(e.Pool)
		if p == nil {
			continue
		}
		byPool[e.Pool] = append(byPool[e.Pool], e.InFlight)
		p.mu.Lock()
		if u := p.upstreams[e.Upstream]; u != nil && e.At > u.othersUpdatedAt {
			u.othersInFlight, u.othersUpdatedAt = e.InFlight, e.At
		}
		p.mu.Unlock()
	}
	for name, list := range byPool {
		p := t.pool(name)
		p.mu.Lock()
		p.median = median(list)
		p.serveQueue(now)
		p.mu.Unlock()
	}
}

// SetRemoteLimits sets the limits of this host's requests in other regions.
func (t *Table) SetRemoteLimits(limits []RemoteLimit) {
	for _, l := range limits {
		p := t.pool(l.Pool)
		if p == nil {
			continue
		}
		p.mu.Lock()
		if r := p.regions[l.Region]; r != nil {
			r.remoteLimit = l.Limit
		}
		p.mu.Unlock()
	}
}

// SetShiftCaps sets the caps of the routes and this host's share of them, 0 to 1.
func (t *Table) SetShiftCaps(caps map[fleet.Route]ShiftCap, weight float64) {
	t.shifts.set(caps, weight)
}

// InFlight returns this host's own in-flight requests by upstream, for the Machine.
func (t *Table) InFlight() []OwnWork {
	var work []OwnWork
	for name, p := range *t.pools.Load() {
		p.mu.Lock()
		for _, u := range p.upstreams {
			if u.inFlight > 0 {
				work = append(work, OwnWork{Pool: name, Upstream: u.target.Name, InFlight: u.inFlight})
			}
		}
		p.mu.Unlock()
	}
	return work
}

func median(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[len(list)/2]
}
