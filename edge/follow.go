package edge

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/catkinspring/catkinspring/catalog"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/gossip"
	"github.com/catkinspring/catkinspring/limits"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/policy"
	"github.com/catkinspring/catkinspring/steering"
	"github.com/catkinspring/catkinspring/upstream"
)

// registerRetry is the pause after a failed registration.
const registerRetry = 500 * time.Millisecond

// follow keeps local copies of what the store holds.
func (e *Edge) follow(ctx context.Context, group *conc.WaitGroup) {
	followKind(ctx, group, e, kindConfiguration, e.Store.Configurations(), e.applyConfiguration)
	followKind(ctx, group, e, kindUpstreams, e.Store.Upstreams(e.Settings.Domains), e.applyUpstreams)
	evacuated := members[catalog.Evacuation]{}
	followKind(ctx, group, e, kindEvacuations, e.Store.Evacuations(), func(u catalog.Update[catalog.Evacuation]) {
		evacuated.apply(u)
		domains := make([]fleet.FailureDomain, 0, len(evacuated))
		for _, evacuation := range evacuated {
			domains = append(domains, evacuation.FailureDomain)
		}
		e.steering.SetEvacuated(domains)
		e.log.Info().Any("domains", domains).Uint64("store", u.Revision).Msg("evacuations changed")
	})
	hosts := members[catalog.Host]{}
	followKind(ctx, group, e, kindHosts, e.Store.Hosts(), func(u catalog.Update[catalog.Host]) {
		hosts.apply(u)
		e.applyHosts(hosts, u.Revision)
	})
}

// kind is one of the kinds of objects that a host follows. Its number is the place
// in the revisions that hosts tell each other.
type kind int

const (
	kindConfiguration kind = iota
	kindUpstreams
	kindEvacuations
	kindHosts
	kinds
)

// pauses are the pauses after a change of each kind. Changes must be in force
// within 2.5 s; those of upstreams and configurations come in bursts of several a
// second, and hosts register together at a start.
var pauses = [kinds]time.Duration{
	kindConfiguration: 400 * time.Millisecond,
	kindUpstreams:     time.Second,
	kindEvacuations:   250 * time.Millisecond,
	kindHosts:         2 * time.Second,
}

func (k kind) String() string {
	return [...]string{"configuration", "upstreams", "evacuations", "hosts"}[k]
}

// progress is how far the copy of a kind has come.
type progress struct {
	// complete is the revision up to which the copy is complete, changed that of
	// the last change.
	complete, changed atomic.Uint64
	relist            chan struct{}
	// listAt is when a list is asked for because a peer knows a later change; 0 if
	// none does. The control loop owns it.
	listAt machine.Instant
}

const (
	// behindTime is how much longer than the pause of a kind a peer may know a later
	// change before a list is asked for.
	behindTime = 150 * time.Millisecond
	// relistPause is the time before another list is asked for.
	relistPause = 2 * time.Second
)

// lookBehind asks for a list of each kind of which a peer has known a later
// change for longer than the watch takes to tell it.
func (e *Edge) lookBehind() {
	now := e.now()
	for i := range min(len(e.known), len(e.progress)) {
		p := &e.progress[i]
		switch {
		case e.known[i] <= p.complete.Load():
			p.listAt = 0
		case p.listAt == 0:
			p.listAt = now.Add(behindTime + pauses[i])
		case now >= p.listAt:
			p.listAt = now.Add(relistPause)
			e.log.Warn().Stringer("kind", kind(i)).Uint64("complete", p.complete.Load()).Uint64("known", e.known[i]).Msg("a peer knows a later change")
			p.askForList()
		}
	}
}

// askForList ends the present watch and lists.
func (p *progress) askForList() {
	select {
	case p.relist <- struct{}{}:
	default:
		// A list is asked for already.
	}
}

// revisions are those of the last changes that this host has seen.
func (e *Edge) revisions() []uint64 {
	list := make([]uint64, len(e.progress))
	for i := range e.progress {
		list[i] = e.progress[i].changed.Load()
	}
	return list
}

// watch says how this host's next watch reads: shortly and the latest on the few
// hosts that look after changes that all watches missed. The others may lag; they
// hear from those hosts what they miss, and list it then.
func (e *Edge) watch(k kind) (time.Duration, catalog.Consistency) {
	switch {
	case !e.reader.Load():
		return catalog.LongWatchTimeout, catalog.Stale
	case k == kindHosts:
		return catalog.LongWatchTimeout, catalog.Latest
	}
	return catalog.ShortWatchTimeout, catalog.Latest
}

// firstList says how the first list of a process reads. A process that restarts
// under traffic must not begin with a configuration of seconds ago.
func (e *Edge) firstList() catalog.Consistency {
	if e.Settings.FirstStart {
		return catalog.Stale
	}
	return catalog.Latest
}

func followKind[T any](ctx context.Context, group *conc.WaitGroup, e *Edge, k kind, s catalog.Source[T], apply func(catalog.Update[T])) {
	observer := catalog.Observer[T]{
		Apply:       apply,
		Unreachable: func(err error) { e.log.Warn().Stringer("kind", k).Err(err).Msg("store is not reachable") },
		Reachable:   func() { e.log.Info().Stringer("kind", k).Msg("store is reachable again") },
	}
	p := &e.progress[k]
	options := catalog.Options{
		Relist:        p.relist,
		FirstList:     e.firstList(),
		CoalesceDelay: pauses[k],
		Watch:         func() (time.Duration, catalog.Consistency) { return e.watch(k) },
		Progress: func(complete, changed uint64) {
			p.complete.Store(complete)
			if p.changed.Swap(changed) < changed && e.reader.Load() {
				e.loop.Post(e.modules.gossip, gossip.RevisionsObserved{Revisions: e.revisions()})
			}
		},
	}
	group.Go(func() { catalog.Follow(ctx, s, options, observer) })
}

// members is a copy of all objects of a kind.
type members[T any] map[string]T

func (m members[T]) apply(u catalog.Update[T]) {
	if u.Complete {
		clear(m)
	}
	for _, c := range u.Changes {
		if c.Removed {
			delete(m, c.Name)
		} else {
			m[c.Name] = c.Item
		}
	}
}

func (e *Edge) applyConfiguration(u catalog.Update[policy.Configuration]) {
	for _, c := range u.Changes {
		if c.Removed {
			continue
		}
		next := policy.NewSnapshot(c.Item)
		if !next.Newer(e.snapshot.Load()) {
			continue
		}
		warmup := make(map[fleet.Pool]steering.Warmup, len(next.Services))
		for _, s := range next.Services {
			warmup[s.Name] = steering.Warmup{SlowStart: s.SlowStart, Rate: s.WarmupRate}
		}
		e.steering.SetWarmup(warmup)
		e.setCustomers(next)
		e.snapshot.Store(next)
		e.log.Info().Uint64("version", next.Version).Int("routes", len(next.Routes)).
			Int("customers", len(next.Customers)).Uint64("store", u.Revision).Msg("configuration is in force")
	}
}

func (e *Edge) applyUpstreams(u catalog.Update[catalog.Upstream]) {
	gone, changed := e.steering.Apply(e.now(), u)
	e.logUpstreams(gone, changed, u.Revision)
}

// logUpstreams closes the connections to upstreams that are gone, and logs the
// changes. Changes of the first list are counted only.
func (e *Edge) logUpstreams(gone []upstream.Target, changed []steering.UpstreamChange, revision uint64) {
	for _, t := range gone {
		e.upstream.CloseIdle(t)
	}
	if len(changed) > maxLoggedChanges {
		e.log.Info().Int("upstreams", len(changed)).Uint64("store", revision).Msg("upstreams changed")
		return
	}
	for _, c := range changed {
		e.log.Info().Str("upstream", string(c.Upstream)).Str("service", string(c.Service)).Str("change", c.Description).
			Uint64("store", revision).Msg("upstream changed")
	}
}

// maxLoggedChanges is the number of changes of one update that get a line each.
const maxLoggedChanges = 20

func (e *Edge) applyHosts(all members[catalog.Host], revision uint64) {
	list := make([]catalog.Host, 0, len(all))
	for _, h := range all {
		list = append(list, h)
	}
	if e.hosts.Load() == nil && slices.Contains(list, e.self()) {
		// An earlier process was registered at this address. It is dead, because the
		// platform runs one process at a time on a machine.
		e.loop.Post(e.modules.limits, limits.Succession{})
	}
	e.hosts.Store(&list)
	e.steering.SetHosts(list)
	e.budget.SetHosts(len(list))
	for !e.loop.Post(e.modules.gossip, gossip.SetHosts{Hosts: list}) {
		time.Sleep(maintenanceInterval)
	}
	e.log.Info().Int("hosts", len(list)).Uint64("store", revision).Msg("registered hosts changed")
}

// self is this host's own entry.
func (e *Edge) self() catalog.Host {
	return catalog.Host{ID: e.Settings.ID, Location: e.Settings.Location, Callers: e.Settings.Listen.Callers, Peers: e.Settings.Listen.Peers}
}

// register writes this host's entry unless the store has it already. An entry that
// the store has accepted stays, so it is written once: writing it until a watch
// tells it took up to eight calls a host.
func (e *Edge) register(ctx context.Context) {
	for ctx.Err() == nil {
		if list := e.hosts.Load(); list != nil {
			if slices.Contains(*list, e.self()) {
				return
			}
			err := e.Store.PutHost(ctx, e.self())
			if err == nil {
				return
			}
			e.log.Warn().Err(err).Msg("registration failed")
		}
		wait(ctx, registerRetry)
	}
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
