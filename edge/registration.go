package edge

import (
	"context"
	"slices"
	"time"

	"github.com/catkinspring/catkinspring/catalog"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/lease"
	"github.com/catkinspring/catkinspring/limits"
	"github.com/catkinspring/catkinspring/machine"
)

// copyTimeout is the time after which a write that is not yet in this host's copy of the
// store is repeated. It covers the delay of the watch and a stale read.
const copyTimeout = 6 * time.Second

// ownEntry returns this host's entry for the store, without records.
func (e *Edge) ownEntry() catalog.Host {
	return catalog.Host{ID: e.Settings.ID, Location: e.Settings.Location, Callers: e.Settings.Listen.Callers, Peers: e.Settings.Listen.Peers}
}

// limitsOutput passes a division of the limits that may be recorded to register.
func (e *Edge) limitsOutput(_ machine.Now, out machine.Output) {
	if settled, ok := out.(limits.Settled); ok {
		e.settled.Store(&settled)
		e.wakeRegistration()
	}
}

func (e *Edge) wakeRegistration() {
	select {
	case e.registrationDue <- struct{}{}:
	default:
		// register has not yet handled the previous change.
	}
}

// hostEntries are the entries of the hosts in an era of the store.
type hostEntries struct {
	era  uint64
	list []catalog.Host
}

// entriesToWrite returns the entries that this host should change in the store.
func (e *Edge) entriesToWrite(stored hostEntries) []catalog.Host {
	var changes []lease.Change
	if pending := e.entryChanges.Load(); pending != nil && pending.Era == stored.era {
		changes = pending.Changes
	}
	generation := uint64(0)
	if settled := e.settled.Load(); settled != nil && settled.Era == stored.era {
		generation = settled.Generation
	}
	return lease.EntriesToWrite(stored.list, e.ownEntry(), generation, changes)
}

// writtenEntry is an entry that was written and is not yet in this host's copy of the store.
type writtenEntry struct {
	catalog.Host
	at time.Time
}

// register keeps this host's entry in the store up to date: its addresses, and the list
// of hosts by which it divides the limits. It also writes what package lease decides. An
// entry is permanent: the part of a host that ends stays in the division, and another host
// takes it over.
func (e *Edge) register(ctx context.Context) {
	written := map[fleet.HostID]writtenEntry{}
	for ctx.Err() == nil {
		retry := copyTimeout
		if list := e.hosts.Load(); list != nil {
			due := e.entriesToWrite(*list)
			if len(due) == 0 {
				retry = 0
			}
			for _, next := range due {
				if last, ok := written[next.ID]; ok && last.Host == next && time.Since(last.at) < copyTimeout {
					// The watch has not delivered the entry yet.
					continue
				}
				written[next.ID] = writtenEntry{Host: next, at: time.Now()}
				if err := e.writeEntry(ctx, next); err != nil {
					delete(written, next.ID)
					retry = storeRetryInterval
				}
			}
		}
		e.awaitRegistration(ctx, retry)
	}
}

// writeEntry writes an entry and logs what it changes of other hosts' parts.
func (e *Edge) writeEntry(ctx context.Context, next catalog.Host) error {
	err := e.Store.PutHost(ctx, next)
	if err != nil {
		e.log.Warn().Err(err).Str("entry", string(next.ID)).Uint64("generation", next.Generation).Msg("registration failed")
		return err
	}
	if next.ID != e.Settings.ID || next.HeldBy != "" || next.SuspectedBy != "" {
		e.log.Info().Str("entry", string(next.ID)).Uint64("replaced", next.Revision).Str("suspected_by", string(next.SuspectedBy)).
			Str("held_by", string(next.HeldBy)).Bool("reclaimed", next.Reclaimed).Msg("entry of a host written")
	}
	return nil
}

// awaitRegistration waits until an entry may have to be written, at most for a time if
// that is not 0.
func (e *Edge) awaitRegistration(ctx context.Context, retry time.Duration) {
	if retry > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, retry)
		defer cancel()
	}
	select {
	case <-ctx.Done():
	case <-e.registrationDue:
	}
}

// leaseOutput passes the end of the lease to the limits, and the changes of entries to
// register.
func (e *Edge) leaseOutput(now machine.Now, out machine.Output) {
	state, ok := out.(lease.State)
	if !ok {
		return
	}
	if state.SharesFrom != e.sharesFrom {
		e.sharesFrom = state.SharesFrom
		e.loop.Forward(e.modules.limits, limits.SharesFrom{At: state.SharesFrom})
	}
	if state.ValidUntil != e.leaseUntil {
		e.leaseUntil = state.ValidUntil
		e.loop.Forward(e.modules.limits, machine.LeaseChanged{ValidUntil: state.ValidUntil})
		e.checkLease(now.Instant)
	}
	if last := e.entryChanges.Load(); last == nil || last.Era != state.Era || !slices.Equal(last.Changes, state.Changes) {
		e.entryChanges.Store(&state)
		e.wakeRegistration()
	}
}

// checkLease logs and counts when the host gains or loses its lease.
func (e *Edge) checkLease(now machine.Instant) {
	held := now < e.leaseUntil
	if held == e.leaseHeld {
		return
	}
	e.leaseHeld = held
	if held {
		e.log.Info().Dur("valid_for", e.leaseUntil.Sub(now)).Msg("lease is held")
		return
	}
	e.hostMetrics.count("lease.lost")
	e.log.Warn().Dur("ended_ago", now.Sub(e.leaseUntil)).Msg("lease has ended, limited customers are refused")
}
