package edge

import (
	"maps"
	"math"
	"slices"

	"github.com/catkinspring/catkinspring/catalog"
	"github.com/catkinspring/catkinspring/fleet"
)

// hostList is this host's copy of the entries of all entry hosts.
//
// A host whose entry becomes unreadable may go on, and holds what it recorded of the limits.
// So the last readable entry of a host stays in force, and one that was never readable is
// remembered by its metadata.
type hostList struct {
	self     fleet.HostID
	readable objectMap[catalog.Host]
	// unread holds the entries that were never readable, with their revisions only.
	unread objectMap[catalog.Host]
}

func newHostList(self fleet.HostID) *hostList {
	return &hostList{self: self, readable: objectMap[catalog.Host]{}, unread: objectMap[catalog.Host]{}}
}

func (l *hostList) apply(u catalog.Update[catalog.Host]) {
	before := l.readable
	if u.Complete {
		l.readable, l.unread = objectMap[catalog.Host]{}, objectMap[catalog.Host]{}
	}
	for _, c := range u.Changes {
		last, known := before[c.Name]
		delete(l.unread, c.Name)
		delete(l.readable, c.Name)
		switch {
		case c.Unusable && known && last.Registered == c.Item.Registered:
			l.readable[c.Name] = l.unreadableSince(last, c.Item.Revision)
		case c.Unusable:
			l.unread[c.Name] = catalog.Host{ID: fleet.HostID(c.Name), Registered: c.Item.Registered, Revision: c.Item.Revision, Unreadable: true}
		case !c.Removed:
			l.readable[c.Name] = c.Item
		}
	}
}

// unreadableSince returns an entry that a revision made unreadable. Another host may have
// joined after its last readable entry; it then counts from the earliest possible moment, with
// the largest part.
func (l *hostList) unreadableSince(last catalog.Host, revision uint64) catalog.Host {
	if last.Joined == 0 && last.ID != l.self {
		last.Joined = last.Revision + 1
	}
	last.Revision, last.Unreadable = revision, true
	return last
}

// entries returns the readable entries.
func (l *hostList) entries() []catalog.Host { return slices.Collect(maps.Values(l.readable)) }

// unreadable returns the entries that were never readable.
func (l *hostList) unreadable() []catalog.Host { return slices.Collect(maps.Values(l.unread)) }

// divisible returns the readable entries for the division of the limits, which goes by the
// order of all hosts and their regions. Those that were registered after an entry that was
// never readable take no part in it: they have no Registered. Nor has this host if it joined
// after the registration, since the unread host may have joined before and hold a share.
func (l *hostList) divisible() []catalog.Host {
	first := uint64(math.MaxUint64)
	for _, unread := range l.unread {
		first = min(first, unread.Registered)
	}
	list := l.entries()
	for i := range list {
		if h := &list[i]; h.Registered > first || h.ID == l.self && h.Joined > first {
			h.Registered = 0
		}
	}
	return list
}
