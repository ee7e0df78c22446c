package edge

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/catkinspring/catkinspring/catalog"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/freshness"
	"github.com/catkinspring/catkinspring/machine"
)

// When the store comes back from an older copy, a new era begins, and its first list lacks
// the changes of the last seconds. What this host has acted on stays in force until it is
// written again, or for a time in which its writer must have done so.
const (
	// rewriteTime is the time after which upstreams that live have written their entries
	// again: three heartbeats of 1.5 s, and the 2 s that the platform allows.
	rewriteTime = 6500 * time.Millisecond
	// evacuationRewriteTime is the same for evacuations, which operators write.
	evacuationRewriteTime = 30 * time.Second
	// removalRetention is how long removed upstreams are remembered. A copy is seconds old.
	removalRetention = 2 * time.Minute
	// hostRewriteTime is how long a host whose entry the copy lacks stays listed without a
	// part of the limits.
	hostRewriteTime = 15 * time.Second
)

// deferred is an object whose state in the copy does not count yet. It counts once it is
// written, and so gets another position.
type deferred[T any] struct {
	item     T
	position catalog.Position
	until    machine.Instant
}

// upstreamCopy translates the updates of the upstreams' entries across eras. It is safe for
// concurrent use.
type upstreamCopy struct {
	mu      sync.Mutex
	current objectMap[catalog.Upstream]
	// removed has when each upstream was removed.
	removed map[string]machine.Instant
	// waiting has the entries of the copy that contradict what this host has seen later.
	waiting map[string]deferred[catalog.Upstream]
}

func newUpstreamCopy() *upstreamCopy {
	return &upstreamCopy{current: objectMap[catalog.Upstream]{}, removed: map[string]machine.Instant{}, waiting: map[string]deferred[catalog.Upstream]{}}
}

// apply returns the update that takes effect.
func (c *upstreamCopy) apply(now machine.Instant, u catalog.Update[catalog.Upstream]) catalog.Update[catalog.Upstream] {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.removed, func(_ string, at machine.Instant) bool { return now.Sub(at) > removalRetention })
	if u.NewEra {
		u.AfterOutage = true
		c.deferContradictions(now, u.Changes)
	}
	u.Changes = c.withoutDeferred(u.Changes)
	before := maps.Clone(c.current)
	c.current.apply(u)
	for _, change := range u.Changes {
		delete(before, change.Name)
		if change.Removed {
			c.removed[change.Name] = now
		} else {
			delete(c.removed, change.Name)
		}
	}
	if u.Complete && !u.AfterOutage {
		for name := range before {
			c.removed[name] = now
		}
	}
	return u
}

// deferContradictions defers the entries of a copy that this host has seen removed, draining
// or started again later.
func (c *upstreamCopy) deferContradictions(now machine.Instant, entries []catalog.Change[catalog.Upstream]) {
	clear(c.waiting)
	for _, change := range entries {
		known, isKnown := c.current[change.Name]
		_, wasRemoved := c.removed[change.Name]
		contradicts := !isKnown && wasRemoved || isKnown && (known.Draining && !change.Item.Draining || known.StartedMillis > change.Item.StartedMillis)
		if contradicts && !change.Removed {
			c.waiting[change.Name] = deferred[catalog.Upstream]{item: change.Item, position: change.Position, until: now.Add(rewriteTime)}
		}
	}
}

// withoutDeferred returns changes with what this host knows in place of the deferred entries.
// An entry that was written since is no longer deferred.
func (c *upstreamCopy) withoutDeferred(changes []catalog.Change[catalog.Upstream]) []catalog.Change[catalog.Upstream] {
	var kept []catalog.Change[catalog.Upstream]
	for _, change := range changes {
		d, isDeferred := c.waiting[change.Name]
		known, isKnown := c.current[change.Name]
		switch {
		case !isDeferred:
		case change.Removed || change.Position > d.position:
			delete(c.waiting, change.Name)
		case isKnown:
			change.Item = known
		default:
			continue
		}
		kept = append(kept, change)
	}
	return kept
}

// due returns the entries of the copy that nobody has changed in time: they count.
func (c *upstreamCopy) due(now machine.Instant) (u catalog.Update[catalog.Upstream], any bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, d := range c.waiting {
		if now >= d.until {
			delete(c.waiting, name)
			delete(c.removed, name)
			c.current[name] = d.item
			u.Changes = append(u.Changes, catalog.Change[catalog.Upstream]{Name: name, Item: d.item})
		}
	}
	return u, len(u.Changes) > 0
}

// evacuationCopy is this host's copy of the evacuations. It is safe for concurrent use.
type evacuationCopy struct {
	mu      sync.Mutex
	current objectMap[catalog.Evacuation]
	// kept are those that the copy of the store lacked.
	kept map[string]deferred[catalog.Evacuation]
	// position is that up to which this copy is complete, and relayed are the latest ones that
	// another host has read. They count while their position is later.
	position catalog.Position
	relayed  freshness.Evacuations
}

func newEvacuationCopy() *evacuationCopy {
	return &evacuationCopy{current: objectMap[catalog.Evacuation]{}, kept: map[string]deferred[catalog.Evacuation]{}}
}

// apply applies an update and returns the evacuated failure domains.
func (c *evacuationCopy) apply(now machine.Instant, u catalog.Update[catalog.Evacuation]) []fleet.FailureDomain {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u.NewEra {
		for name, e := range c.current {
			c.kept[name] = deferred[catalog.Evacuation]{item: e, until: now.Add(evacuationRewriteTime)}
		}
	}
	c.current.apply(u)
	c.position = max(c.position, u.Position)
	for _, change := range u.Changes {
		delete(c.kept, change.Name)
	}
	return c.domains()
}

// relay takes what another host has read and returns the evacuated failure domains if they have
// changed by that.
func (c *evacuationCopy) relay(from freshness.Evacuations) (domains []fleet.FailureDomain, changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if from.Position <= max(uint64(c.position), c.relayed.Position) || catalog.Position(from.Position).Era() != c.position.Era() {
		// In another era, the copy may lack what this host keeps; it has to list them itself.
		return nil, false
	}
	before := c.domains()
	c.relayed = from
	domains = c.domains()
	slices.Sort(before)
	slices.Sort(domains)
	return domains, !slices.Equal(before, domains)
}

// own returns what this host has read.
func (c *evacuationCopy) own() freshness.Evacuations {
	c.mu.Lock()
	defer c.mu.Unlock()
	own := freshness.Evacuations{Position: uint64(c.position)}
	for _, e := range c.current {
		own.Domains = append(own.Domains, e.FailureDomain)
	}
	slices.Sort(own.Domains)
	return own
}

// inForce returns the evacuated failure domains and the position of the store at which they
// were read.
func (c *evacuationCopy) inForce() ([]fleet.FailureDomain, catalog.Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	domains := c.domains()
	slices.Sort(domains)
	return slices.Compact(domains), max(c.position, catalog.Position(c.relayed.Position))
}

// due drops the evacuations that nobody has written again in time, and returns the evacuated
// failure domains if there were any.
func (c *evacuationCopy) due(now machine.Instant) (domains []fleet.FailureDomain, any bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, d := range c.kept {
		if now >= d.until {
			delete(c.kept, name)
			any = true
		}
	}
	return c.domains(), any
}

func (c *evacuationCopy) domains() []fleet.FailureDomain {
	domains := make([]fleet.FailureDomain, 0, len(c.current)+len(c.kept))
	if c.relayed.Position > uint64(c.position) {
		domains = append(domains, c.relayed.Domains...)
	} else {
		for _, e := range c.current {
			domains = append(domains, e.FailureDomain)
		}
	}
	for _, d := range c.kept {
		domains = append(domains, d.item.FailureDomain)
	}
	return domains
}
