package edge

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/catalog"
	"github.com/catkinspring/catkinspring/fleet"
)

func hostEntry(id string, registered, revision uint64) catalog.Host {
	return catalog.Host{ID: fleet.HostID(id), Registered: registered, Revision: revision, Joined: revision, Generation: registered}
}

func readableChange(h catalog.Host) catalog.Change[catalog.Host] {
	return catalog.Change[catalog.Host]{Name: string(h.ID), Item: h}
}

func unusableChange(id string, registered, revision uint64) catalog.Change[catalog.Host] {
	return catalog.Change[catalog.Host]{Name: id, Removed: true, Unusable: true, Item: catalog.Host{Registered: registered, Revision: revision}}
}

func update(complete bool, changes ...catalog.Change[catalog.Host]) catalog.Update[catalog.Host] {
	return catalog.Update[catalog.Host]{Complete: complete, Changes: changes}
}

// Guards against an entry that becomes unreadable and frees the share that its host goes on
// to hold.
func TestHostWhoseEntryBecomesUnreadableStays(t *testing.T) {
	for name, complete := range map[string]bool{"watched": false, "listed": true} {
		t.Run(name, func(t *testing.T) {
			l := newHostList("a")
			l.apply(update(true, readableChange(hostEntry("a", 3, 13)), readableChange(hostEntry("b", 5, 15))))
			changes := []catalog.Change[catalog.Host]{unusableChange("b", 5, 20)}
			if complete {
				changes = append(changes, readableChange(hostEntry("a", 3, 13)))
			}
			l.apply(update(complete, changes...))
			kept := hostEntry("b", 5, 15)
			kept.Revision, kept.Unreadable = 20, true
			require.ElementsMatch(t, []catalog.Host{hostEntry("a", 3, 13), kept}, l.divisible())
			require.Empty(t, l.unreadable())

			l.apply(update(false, readableChange(hostEntry("b", 5, 21))))
			require.ElementsMatch(t, []catalog.Host{hostEntry("a", 3, 13), hostEntry("b", 5, 21)}, l.divisible())
		})
	}
}

// Guards against a host that counts as one without a share because its entry became
// unreadable when it joined.
func TestUnreadableEntryCountsFromTheEarliestJoining(t *testing.T) {
	l := newHostList("a")
	l.apply(update(true, readableChange(catalog.Host{ID: "a", Registered: 3, Revision: 3}), readableChange(catalog.Host{ID: "b", Registered: 5, Revision: 6})))
	l.apply(update(false, unusableChange("a", 3, 20), unusableChange("b", 5, 21)))
	require.ElementsMatch(t, []catalog.Host{
		{ID: "a", Registered: 3, Revision: 20, Unreadable: true},
		{ID: "b", Registered: 5, Revision: 21, Joined: 7, Unreadable: true},
	}, l.divisible())
}

// Guards against a process that divides the limits without a host whose entry it could never
// read.
func TestHostsAfterAnUnreadEntryTakeNoPart(t *testing.T) {
	l := newHostList("a")
	l.apply(update(true, readableChange(hostEntry("a", 3, 13)), unusableChange("b", 5, 15), readableChange(hostEntry("c", 7, 17))))
	// Host a joined after b registered, so that b may have joined before it.
	self, other := hostEntry("a", 3, 13), hostEntry("c", 7, 17)
	self.Registered, other.Registered = 0, 0
	require.ElementsMatch(t, []catalog.Host{self, other}, l.divisible())
	require.ElementsMatch(t, []catalog.Host{hostEntry("a", 3, 13), hostEntry("c", 7, 17)}, l.entries())
	require.Equal(t, []catalog.Host{{ID: "b", Registered: 5, Revision: 15, Unreadable: true}}, l.unreadable())

	l.apply(update(false, readableChange(hostEntry("a", 3, 4))))
	require.ElementsMatch(t, []catalog.Host{hostEntry("a", 3, 4), other}, l.divisible())

	// A new entry under a name says nothing of the host that had it before.
	l.apply(update(false, unusableChange("a", 30, 30)))
	require.Len(t, l.unreadable(), 2)
	l.apply(update(false, catalog.Change[catalog.Host]{Name: "a", Removed: true}, catalog.Change[catalog.Host]{Name: "b", Removed: true}))
	require.Equal(t, []catalog.Host{hostEntry("c", 7, 17)}, l.divisible())
}

// Guards against a host that registers again and again, in vain, because its own entry is
// unreadable.
func TestOwnUnreadableEntryIsReplaced(t *testing.T) {
	e := &Edge{}
	e.Settings.ID = "b"
	for name, changes := range map[string][]catalog.Change[catalog.Host]{
		"became unreadable": {readableChange(hostEntry("b", 5, 15)), unusableChange("b", 5, 20)},
		"never readable":    {unusableChange("b", 5, 20)},
	} {
		t.Run(name, func(t *testing.T) {
			l := newHostList("a")
			for _, c := range changes {
				l.apply(update(false, c))
			}
			next, due := e.entryToWrite(append(l.entries(), l.unreadable()...))
			require.True(t, due)
			require.Equal(t, uint64(20), next.Revision)
			require.False(t, next.Unreadable)
		})
	}
}
