package edge

import (
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/catkinspring/catkinspring/advisory"
	"github.com/catkinspring/catkinspring/catalog"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/freshness"
	"github.com/catkinspring/catkinspring/gossip"
	"github.com/catkinspring/catkinspring/internal/control"
	"github.com/catkinspring/catkinspring/lease"
	"github.com/catkinspring/catkinspring/limits"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/policy"
	"github.com/catkinspring/catkinspring/steering"
	"github.com/catkinspring/catkinspring/upstream"
)

// storeRetryInterval is the time before a failed registration or key request is
// retried.
const storeRetryInterval = 500 * time.Millisecond

// follow keeps local copies of the store's objects up to date.
func (e *Edge) follow(ctx context.Context, group *conc.WaitGroup) {
	followKind(ctx, group, e, kindConfiguration, e.Store.Configurations(), e.applyConfiguration)
	followKind(ctx, group, e, kindUpstreams, e.Store.Upstreams(e.Settings.Domains), e.applyUpstreams)
	followKind(ctx, group, e, kindEvacuations, e.Store.Evacuations(), func(u catalog.Update[catalog.Evacuation]) {
		e.changingEvacuations.Lock()
		defer e.changingEvacuations.Unlock()
		e.setEvacuated(e.evacuations.apply(e.now(), u), u.Position.Revision())
	})
	followKind(ctx, group, e, kindHosts, e.Store.Hosts(), func(u catalog.Update[catalog.Host]) {
		e.hostCopy.apply(e.now(), u)
		e.applyHosts()
		if u.NewEra {
			e.wakeKey()
		}
	})
}

func (e *Edge) setEvacuated(domains []fleet.FailureDomain, revision uint64) {
	e.steering.SetEvacuated(e.now(), domains)
	e.log.Info().Any("domains", domains).Int("cold", e.steering.ColdCount(e.now())).Uint64("store", revision).Msg("evacuations changed")
}

// relayEvacuations applies the evacuations that a fresh reader has read and this host has not.
func (e *Edge) relayEvacuations(from freshness.Evacuations) {
	e.changingEvacuations.Lock()
	defer e.changingEvacuations.Unlock()
	if domains, changed := e.evacuations.relay(from); changed {
		revision := catalog.Position(from.Position).Revision()
		e.log.Info().Uint64("store", revision).Msg("evacuations learned from another host")
		e.setEvacuated(domains, revision)
	}
}

// expireEvacuations ends the evacuations that nobody has written again.
func (e *Edge) expireEvacuations() {
	e.changingEvacuations.Lock()
	defer e.changingEvacuations.Unlock()
	if domains, any := e.evacuations.due(e.now()); any {
		e.setEvacuated(domains, 0)
	}
}

// expireCopies applies what nobody has written again since the store came back from an older
// copy.
func (e *Edge) expireCopies() {
	if u, any := e.upstreamEntries.due(e.now()); any {
		e.applyChangedUpstreams(u)
	}
	e.expireEvacuations()
	if e.hostCopy.due(e.now()) {
		e.applyHosts()
	}
}

// kind is a kind of objects that a host watches. Its number is the index in the
// list of revisions that hosts exchange.
type kind int

const (
	kindConfiguration kind = iota
	kindUpstreams
	kindEvacuations
	kindHosts
	kindCount
)

// coalesceDelays are the pauses between a change of each kind and the next watch.
// Changes must be in force within 2.5 s; those of upstreams and configurations come in
// bursts of several per second, and the hosts of a starting fleet register together.
var coalesceDelays = [kindCount]time.Duration{
	kindConfiguration: 400 * time.Millisecond,
	kindUpstreams:     time.Second,
	kindEvacuations:   250 * time.Millisecond,
	kindHosts:         2 * time.Second,
}

// maxReaderPause bounds the pause of a fresh reader of a kind whose changes have a bound. If
// all readers are lost at its end, it adds to the time until others read. maxReaderHostsPause
// is that of the hosts, which register together when a fleet starts.
const (
	maxReaderPause      = 400 * time.Millisecond
	maxReaderHostsPause = time.Second
)

// watchPause returns the pause between a change and the next watch.
func watchPause(k kind, reader bool) time.Duration {
	switch {
	case reader && k == kindHosts:
		return maxReaderHostsPause
	case reader:
		return min(coalesceDelays[k], maxReaderPause)
	}
	return coalesceDelays[k]
}

func (k kind) String() string {
	return [...]string{"configuration", "upstreams", "evacuations", "hosts"}[k]
}

// firstListConsistency returns the consistency of the first list of a process. A
// process that restarts under traffic must not start with a configuration that is
// seconds old, and none with a list of hosts older than one that its predecessor
// recorded.
func (e *Edge) firstListConsistency(k kind) catalog.Consistency {
	if e.Settings.FirstStart && k != kindHosts {
		return catalog.Stale
	}
	return catalog.Latest
}

// followKind keeps the local copy of one kind up to date.
func followKind[T any](ctx context.Context, group *conc.WaitGroup, e *Edge, k kind, s catalog.Source[T], apply func(catalog.Update[T])) {
	p := &e.progress[k]
	observer := catalog.Observer[T]{
		Apply: func(u catalog.Update[T]) {
			e.logUnusable(k, u.Position.Revision(), unusable(u.Changes))
			if u.NewEra {
				e.hostMetrics.count("store.eras")
				e.log.Warn().Stringer("kind", k).Uint64("era", u.Position.Era()).Uint64("store", u.Position.Revision()).
					Uint64("seen", catalog.Position(p.complete.Load()).Revision()).Int("objects", len(u.Changes)).Msg("the store came back from an older copy")
			}
			apply(u)
			if u.Complete && e.start.listed(k, e.now()) {
				e.post(e.modules.advisory, advisory.Ask{})
			}
		},
		Unreachable: func(err error) {
			e.unreachable.Add(1)
			p.setUpToDateUntil(0)
			e.log.Warn().Stringer("kind", k).Err(err).Msg("store is not reachable")
		},
		Reachable: func() {
			e.unreachable.Add(-1)
			e.log.Info().Stringer("kind", k).Msg("store is reachable again")
		},
	}
	options := catalog.Options{
		Relist:     p.relist,
		ListBegins: func() { p.readSent = e.now() },
		FirstList:  e.firstListConsistency(k),
		Pause:      func() time.Duration { return watchPause(k, e.freshReader.Load()) },
		Watch: func(paused time.Duration) (time.Duration, catalog.Consistency) {
			wait, read := e.watchMode(paused)
			p.watchBegins(e.now(), wait, read)
			return wait, read
		},
		Progress: func(complete, changed catalog.Position, read catalog.Consistency) {
			p.complete.Store(uint64(complete))
			p.readEnds(e.now(), watchPause(k, e.freshReader.Load()), read)
			e.proveLease(k, read)
			if p.changed.Swap(uint64(changed)) < uint64(changed) && e.freshReader.Load() {
				e.loop.Post(e.modules.gossip, gossip.RevisionsObserved{Revisions: e.revisions()})
			}
		},
	}
	group.Go(func() { catalog.Follow(ctx, s, options, observer) })
}

// proveLease passes on that the copy of a kind is the latest state of the store. When the fleet
// starts for the first time, the first list of the configuration counts too: nobody acts on an
// earlier one.
func (e *Edge) proveLease(k kind, read catalog.Consistency) {
	p := &e.progress[k]
	first := !p.read
	p.read = true
	switch {
	case k == kindHosts && read == catalog.Latest:
		e.loop.Post(e.modules.lease, lease.EntriesRead{Sent: p.readSent})
	case k == kindConfiguration && (read == catalog.Latest || first && e.Settings.FirstStart):
		e.loop.Post(e.modules.lease, lease.ConfigurationRead{Sent: p.readSent})
	}
}

// unusable returns the names of objects whose content is unusable.
func unusable[T any](changes []catalog.Change[T]) []string {
	var names []string
	for _, c := range changes {
		if c.Unusable {
			names = append(names, c.Name)
		}
	}
	return names
}

// logUnusable logs objects of other writers that are left out.
func (e *Edge) logUnusable(k kind, revision uint64, names []string) {
	if len(names) > 0 {
		e.log.Warn().Stringer("kind", k).Uint64("store", revision).Int("objects", len(names)).
			Strs("names", names[:min(len(names), maxLoggedChanges)]).Msg("unusable objects in the store")
	}
}

// objectMap is a copy of all objects of a kind by name.
type objectMap[T any] map[string]T

func (m objectMap[T]) apply(u catalog.Update[T]) {
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
		if current := e.snapshot.Load(); !next.Newer(current) && !(u.NewEra && next.Version == current.Version) {
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
			Int("customers", len(next.Customers)).Uint64("store", u.Position.Revision()).Msg("configuration is in force")
	}
}

func (e *Edge) applyUpstreams(u catalog.Update[catalog.Upstream]) {
	e.applyChangedUpstreams(e.upstreamEntries.apply(e.now(), u))
}

func (e *Edge) applyChangedUpstreams(u catalog.Update[catalog.Upstream]) {
	removed, changed := e.steering.Apply(e.now(), u)
	e.publishChangedEntries(changed)
	e.logUpstreams(removed, changed, u.Position.Revision())
}

// logUpstreams closes the connections to removed upstreams and logs the changes.
// Of a long list of changes, like the first one, it logs only the number.
func (e *Edge) logUpstreams(removed []upstream.Target, changed []steering.UpstreamChange, revision uint64) {
	for _, t := range removed {
		e.upstream.CloseIdle(t)
	}
	if len(changed) > maxLoggedChanges {
		e.log.Info().Int("upstreams", len(changed)).Uint64("store", revision).Msg("upstreams changed")
		return
	}
	for _, c := range changed {
		upstreamChanged(e.log.Info(), c).Uint64("store", revision).Msg("upstream changed")
	}
}

// upstreamChanged adds the fields of a change to a log line.
func upstreamChanged(line *zerolog.Event, c steering.UpstreamChange) *zerolog.Event {
	line = line.Str("upstream", string(c.Upstream)).Str("service", string(c.Service)).Str("change", c.Description)
	if c.ColdFor > 0 {
		line = line.Dur("cold_for", c.ColdFor).Bool("warmup_host", c.WarmupHost)
	}
	if c.PausedFor > 0 {
		line = line.Dur("paused_for", c.PausedFor)
	}
	if c.Limited {
		line = line.Float64("limit", c.Limit).Bool("limit_host", c.LimitHost)
	}
	return line
}

// maxLoggedChanges is the number of changes up to which each is logged on its own.
const maxLoggedChanges = 20

func (e *Edge) applyHosts() {
	e.applyingHosts.Lock()
	defer e.applyingHosts.Unlock()
	lists := e.hostCopy.lists()
	list, era := lists.all, lists.position.Era()
	if e.hosts.Load() == nil && slices.ContainsFunc(list, e.ownEntry().SamePlace) {
		// An earlier process was registered at this address. It has ended, because the
		// platform runs one process at a time on a machine.
		e.loop.Post(e.modules.limits, limits.Succession{})
	}
	e.hosts.Store(&hostEntries{era: era, list: lists.registered})
	e.wakeRegistration()
	e.steering.SetHosts(list)
	sharing := len(list)
	if !slices.ContainsFunc(list, func(h catalog.Host) bool { return h.ID == e.Settings.ID }) {
		sharing++
	}
	e.budget.SetHosts(sharing)
	// The limits give up a lost part before the lease can be renewed without it.
	e.post(e.modules.gossip, gossip.SetHosts{Hosts: list, Era: era})
	e.post(e.modules.lease, lease.SetEntries{Entries: lists.entries, Era: era})
	e.log.Info().Int("hosts", len(list)).Uint64("store", lists.position.Revision()).Msg("registered hosts changed")
}

// post passes an input to a state machine and retries while the loop's inbox is full.
func (e *Edge) post(id control.ModuleID, in machine.Input) {
	for !e.loop.Post(id, in) {
		time.Sleep(maintenanceInterval)
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
