package lease

import "github.com/catkinspring/catkinspring/catalog"

// EntriesToWrite returns the entries that a host should change in the store, as they should
// be: its own, those of the parts that it holds, and those of silent hosts. own has its
// addresses, generation is the last division of the limits that it may record, and changes
// are those of its State.
//
// Every write names the revision that it replaces, so that a late one replaces no later
// record.
func EntriesToWrite(entries []catalog.Host, own catalog.Host, generation uint64, changes []Change) []catalog.Host {
	var due []catalog.Host
	listed := false
	for _, stored := range entries {
		next := stored
		if stored.ID == own.ID {
			listed = true
			next.Location, next.Callers, next.Peers, next.Unreadable = own.Location, own.Callers, own.Peers, false
		}
		for _, c := range changes {
			if c.Owner == stored.ID && c.Revision == stored.Revision {
				next = c.Apply(next, own.ID)
			}
		}
		if next.Holder() == own.ID {
			next.Generation = max(next.Generation, generation)
		}
		if next != stored {
			due = append(due, next)
		}
	}
	if !listed {
		due = append(due, own)
	}
	return due
}
