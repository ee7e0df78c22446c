package edge

import (
	"maps"
	"slices"
	"sync"

	"github.com/catkinspring/catkinspring/catalog"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// hostList is this host's copy of the entries of all entry hosts. It is safe for concurrent
// use.
//
// A host whose entry becomes unreadable may go on, and holds what it recorded of the limits.
// So the last readable entry of a host stays in force. One that was never readable is left out:
// it need not be of a host.
type hostList struct {
	self fleet.HostID

	mu       sync.Mutex
	position catalog.Position
	readable objectMap[catalog.Host]
	// unreadSelf has the revisions of this host's own entry if that was never readable.
	unreadSelf *catalog.Host
	// lost are the hosts whose entries the store lacks since it came back from an older copy.
	lost map[string]deferred[catalog.Host]
}

func newHostList(self fleet.HostID) *hostList {
	return &hostList{self: self, readable: objectMap[catalog.Host]{}, lost: map[string]deferred[catalog.Host]{}}
}

func (l *hostList) apply(now machine.Instant, u catalog.Update[catalog.Host]) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.position = max(l.position, u.Position)
	before := l.readable
	if u.Complete {
		l.readable, l.unreadSelf = objectMap[catalog.Host]{}, nil
	}
	if u.NewEra {
		for name, h := range before {
			l.lost[name] = deferred[catalog.Host]{item: h.Unregistered(), until: now.Add(hostRewriteTime)}
		}
		// Revisions of the earlier era say nothing about the entries of this one.
		before = objectMap[catalog.Host]{}
	}
	for _, c := range u.Changes {
		last, known := before[c.Name]
		delete(l.readable, c.Name)
		delete(l.lost, c.Name)
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

// due drops the hosts whose entries were lost and not written again in time, and reports
// whether there were any.
func (l *hostList) due(now machine.Instant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := len(l.lost)
	maps.DeleteFunc(l.lost, func(_ string, d deferred[catalog.Host]) bool { return now >= d.until })
	return len(l.lost) < before
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

// hostLists are the lists of hosts for different purposes.
type hostLists struct {
	position catalog.Position
	// all has all hosts: those with a readable entry, and those whose entry was lost.
	all []catalog.Host
	// entries are the readable entries.
	entries []catalog.Host
	// registered are the entries by which this host decides whether to write its own.
	registered []catalog.Host
}

func (l *hostList) lists() hostLists {
	l.mu.Lock()
	defer l.mu.Unlock()
	entries := slices.Collect(maps.Values(l.readable))
	lists := hostLists{position: l.position, all: slices.Clone(entries), entries: entries, registered: slices.Clone(entries)}
	for _, d := range l.lost {
		lists.all = append(lists.all, d.item)
	}
	if l.unreadSelf != nil {
		lists.registered = append(lists.registered, *l.unreadSelf)
	}
	return lists
}
