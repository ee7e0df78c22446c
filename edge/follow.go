package edge

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/catkinspring/catkinspring/catalog"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/gossip"
	"github.com/catkinspring/catkinspring/policy"
	"github.com/catkinspring/catkinspring/steering"
	"github.com/catkinspring/catkinspring/upstream"
)

// registerRetry is the pause after a failed registration.
const registerRetry = 500 * time.Millisecond

// follow keeps local copies of what the store holds.
func (e *Edge) follow(ctx context.Context, group *conc.WaitGroup) {
	followKind(ctx, group, e, "configuration", e.Store.Configurations(), e.applyConfiguration)
	followKind(ctx, group, e, "upstreams", e.Store.Upstreams(e.Settings.Domains), e.applyUpstreams)
	evacuated := members[catalog.Evacuation]{}
	followKind(ctx, group, e, "evacuations", e.Store.Evacuations(), func(u catalog.Update[catalog.Evacuation]) {
		evacuated.apply(u)
		domains := make([]fleet.FailureDomain, 0, len(evacuated))
		for _, evacuation := range evacuated {
			domains = append(domains, evacuation.FailureDomain)
		}
		e.steering.SetEvacuated(domains)
		e.log.Info().Any("domains", domains).Uint64("store", u.Revision).Msg("evacuations changed")
	})
	hosts := members[catalog.Host]{}
	followKind(ctx, group, e, "hosts", e.Store.Hosts(), func(u catalog.Update[catalog.Host]) {
		hosts.apply(u)
		e.applyHosts(hosts, u.Revision)
	})
}

func followKind[T any](ctx context.Context, group *conc.WaitGroup, e *Edge, kind string, s catalog.Source[T], apply func(catalog.Update[T])) {
	observer := catalog.Observer[T]{
		Apply:    apply,
		Lost:     func(err error) { e.log.Warn().Str("kind", kind).Err(err).Msg("store is not reachable") },
		Regained: func() { e.log.Info().Str("kind", kind).Msg("store is reachable again") },
	}
	group.Go(func() { catalog.Follow(ctx, s, nil, observer) })
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
func (e *Edge) logUpstreams(gone []upstream.Target, changed []steering.Changed, revision uint64) {
	for _, t := range gone {
		e.upstream.Forget(t)
	}
	if len(changed) > maxLoggedChanges {
		e.log.Info().Int("upstreams", len(changed)).Uint64("store", revision).Msg("upstreams changed")
		return
	}
	for _, c := range changed {
		e.log.Info().Str("upstream", string(c.Upstream)).Str("service", string(c.Service)).Str("change", c.What).
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

// register writes this host's entry unless the store has it already.
func (e *Edge) register(ctx context.Context) {
	for ctx.Err() == nil {
		if list := e.hosts.Load(); list != nil {
			for _, h := range *list {
				if h == e.self() {
					return
				}
			}
			if err := e.Store.PutHost(ctx, e.self()); err != nil {
				e.log.Warn().Err(err).Msg("registration failed")
			}
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
