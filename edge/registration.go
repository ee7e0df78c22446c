package edge

import (
	"context"
	"slices"
	"time"

	"github.com/catkinspring/catkinspring/catalog"
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
		e.settled.Store(settled.Generation)
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

// entryToWrite returns this host's entry as it should be in the store, and false if the
// store has it. Every write names the revision that it replaces, so that a late one
// replaces no later record.
func (e *Edge) entryToWrite(list []catalog.Host) (catalog.Host, bool) {
	next := e.ownEntry()
	i := slices.IndexFunc(list, func(h catalog.Host) bool { return h.ID == next.ID })
	if i < 0 {
		return next, true
	}
	stored := list[i]
	next.Registered, next.Revision, next.Joined = stored.Registered, stored.Revision, stored.Joined
	next.Generation = max(stored.Generation, e.settled.Load())
	return next, next != stored
}

// register keeps this host's entry in the store up to date: its addresses, and the list
// of hosts by which it divides the limits. An entry is permanent: a host that ends keeps
// what it recorded, because nobody else can tell that it has ended.
func (e *Edge) register(ctx context.Context) {
	var written catalog.Host
	var writtenAt time.Time
	for ctx.Err() == nil {
		retry := copyTimeout
		if list := e.hosts.Load(); list != nil {
			next, due := e.entryToWrite(*list)
			switch {
			case !due:
				retry = 0
			case next == written && time.Since(writtenAt) < copyTimeout:
				// The watch has not delivered the entry yet.
			default:
				written, writtenAt = next, time.Now()
				if err := e.Store.PutHost(ctx, next); err != nil {
					e.log.Warn().Err(err).Uint64("generation", next.Generation).Msg("registration failed")
					written, retry = catalog.Host{}, storeRetryInterval
				}
			}
		}
		e.awaitRegistration(ctx, retry)
	}
}

// awaitRegistration waits until the entry may have to be written, at most for a time if
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
