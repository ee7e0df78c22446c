package edge

import (
	"maps"
	"slices"

	"github.com/catkinspring/catkinspring/catalog"
	"github.com/catkinspring/catkinspring/fleet"
)

// hostList is this host's copy of the entries of all entry hosts.
//
// A host whose entry becomes unreadable may go on, and holds what it recorded of the limits.
// So the last readable entry of a host stays in force. One that was never readable is left out:
// it need not be of a host.
type hostList struct {
	self     fleet.HostID
	readable objectMap[catalog.Host]
	// unreadSelf has the revisions of this host's own entry if that was never readable.
	unreadSelf *catalog.Host
}

func newHostList(self fleet.HostID) *hostList {
	return &hostList{self: self, readable: objectMap[catalog.Host]{}}
}

func (l *hostList) apply(u catalog.Update[catalog.Host]) {
	before := l.readable
	if u.Complete {
		l.readable, l.unreadSelf = objectMap[catalog.Host]{}, nil
	}
	for _, c := range u.Changes {
		last, known := before[c.Name]
		delete(l.readable, c.Name)
		if c.Name == string(l.self) {
			l.unreadSelf = nil
		}
		switch {
		case c.Unusable && known && last.Registered == c.Item.Registered:
			l.readable[c.Name] = l.unreadableSince(last, c.Item.Revision)
		case c.Unusable && c.Name == string(l.self):
			l.unreadSelf = &catalog.Host{ID: l.self, Registered: c.Item.Registered, Revision: c.Item.Revision, Unreadable: true}
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

// registered returns the entries by which this host decides whether to write its own.
func (l *hostList) registered() []catalog.Host {
	if l.unreadSelf == nil {
		return l.entries()
	}
	return append(l.entries(), *l.unreadSelf)
}
