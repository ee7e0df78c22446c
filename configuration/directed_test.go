package configuration

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// startScenario returns a scenario whose hosts all have revision 2 in force.
func startScenario(t *testing.T, seed uint64) *scenario {
	t.Helper()
	s := newScenario(seed, buildMachine)
	s.rig.Run(300 * time.Millisecond)
	for _, id := range s.ids {
		require.EqualValues(t, 2, s.hosts[id].revision())
		require.True(t, s.hosts[id].usable())
	}
	return s
}

// runUntil advances until the condition holds.
func (s *scenario) runUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for range 10_000 {
		if condition() {
			return
		}
		s.rig.Run(time.Millisecond)
	}
	t.Fatal("condition not reached within 10 s")
}

// Guards against a withdrawn key that still works on a host that was unreachable
// for the accepting host, after that host died and the store went down.
func TestSuspensionIsPassedOn(t *testing.T) {
	s := startScenario(t, 1)
	s.rig.CutBoth(acceptor, "h1")
	s.rig.CutBoth(acceptor, "h4")
	s.apply(acceptor, 1, withdrawNote("withdraw"))
	s.runUntil(t, func() bool { head, _ := s.storeHead(); return head.Revision == 3 })
	s.rig.Store.SetDown(true)
	s.rig.Node(acceptor).Kill()
	s.rig.Run(effectBound)
	for _, id := range s.ids {
		require.False(t, s.rig.Node(id).Running() && s.hosts[id].usable(), "%s accepts the key", id)
	}
	s.rig.Run(20 * time.Second)
	for _, id := range s.ids {
		require.False(t, s.rig.Node(id).Running() && s.hosts[id].usable(), "%s accepts the key while the note is unresolved", id)
	}
	s.rig.Store.SetDown(false)
	s.rig.Run(2*effectBound + 2*time.Second)
	for _, id := range s.ids {
		if s.rig.Node(id).Running() {
			require.EqualValues(t, 3, s.hosts[id].revision(), id)
			require.Empty(t, s.hosts[id].published.Suspended, id)
		}
	}
}

// Guards against keys that stay suspended after the accepting host died before its
// update, and against a late update that succeeds after the note was resolved.
func TestNoteOfDeadHostIsFenced(t *testing.T) {
	s := startScenario(t, 2)
	s.apply(acceptor, 1, withdrawNote("withdraw"))
	s.runUntil(t, func() bool { return s.hosts["h1"].published.Suspended.Has(testKey) })
	s.rig.Node(acceptor).Kill()
	_, base := s.rig.Store.Read(HeadKey)
	s.rig.Run(effectBound)
	head, version := s.storeHead()
	require.EqualValues(t, 2, head.Revision)
	require.Greater(t, version, base, "the head has to be rewritten, so that a late update fails")
	for _, id := range s.ids {
		require.True(t, !s.rig.Node(id).Running() || s.hosts[id].usable(), "%s still suspends the key", id)
	}
}

// Guards against a note that is reported as refused although a host may have it in
// force: the answer to the update is lost, the host is isolated from the majority
// and the store is restored.
func TestLostAnswerAndRestoreIsNeverARefusal(t *testing.T) {
	s := startScenario(t, 3)
	s.apply(acceptor, 1, withdrawNote("withdraw"))
	s.runUntil(t, func() bool { return len(s.hosts[acceptor].published.Suspended) > 0 })
	s.rig.Run(7 * time.Millisecond)
	s.rig.Store.LoseAnswers(1)
	s.runUntil(t, func() bool { head, _ := s.storeHead(); return head.Revision == 3 })
	s.rig.Run(time.Millisecond)
	s.rig.Isolate(acceptor)
	s.restore(s.baseBackup)
	s.rig.Run(14 * time.Second)
	result, answered := s.results[1]
	require.True(t, answered)
	require.Condition(t, func() bool {
		_, undecided := result.Err.(*UndecidedError)
		return undecided || result.Err == nil
	}, "%v", result.Err)
}

// Guards against a refusal while the outcome is unknown, and against an outcome that
// can't be obtained by sending the note again.
func TestRepeatedNoteReturnsOutcomeOfUndecidedNote(t *testing.T) {
	s := startScenario(t, 3)
	s.apply(acceptor, 1, withdrawNote("withdraw"))
	s.runUntil(t, func() bool { return len(s.hosts[acceptor].published.Suspended) > 0 })
	s.rig.Run(7 * time.Millisecond)
	s.rig.Store.LoseAnswers(1)
	s.runUntil(t, func() bool { head, _ := s.storeHead(); return head.Revision == 3 })
	s.rig.Isolate(acceptor)
	s.rig.Store.SetHostCut(acceptor, true)
	s.rig.Run(noteTimeout + time.Second)
	require.Equal(t, &UndecidedError{NoteID: "withdraw"}, s.results[1].Err)
	require.False(t, s.hosts[acceptor].usable(), "the key stays suspended")
	s.apply("h0", 2, withdrawNote("withdraw"))
	s.rig.Heal()
	s.rig.Store.SetHostCut(acceptor, false)
	s.rig.Run(effectBound)
	require.Equal(t, NoteResult{RequestID: 2, Revision: 3, Repeated: true}, s.results[2])
	require.EqualValues(t, 3, s.hosts[acceptor].revision())
}

// Guards against two notes with the same revision: the accepting host is paused while
// the answer arrives, the store is restored, and another note is accepted.
func TestPausedHostReadsHeadAgain(t *testing.T) {
	s := startScenario(t, 11)
	s.apply("h4", 1, rateNote("paused", 1))
	s.runUntil(t, func() bool { head, _ := s.storeHead(); return head.Revision == 3 })
	s.rig.Node("h4").Pause()
	s.restore(s.baseBackup)
	s.rig.Run(100 * time.Millisecond)
	s.apply("h0", 2, rateNote("other", 2))
	s.rig.Run(3 * time.Second)
	require.EqualValues(t, 3, s.results[2].Revision)
	s.rig.Node("h4").Resume()
	s.rig.Run(effectBound)
	require.IsType(t, &RacedError{}, s.results[1].Err)
	require.EqualValues(t, 3, s.hosts["h4"].revision())
	require.Empty(t, s.errors)
}

// Guards against hosts and a store that keep different contents of the same
// revision: an older backup is restored, a note is accepted, and then the newer
// backup is restored.
func TestRestoreOfDivergedBackup(t *testing.T) {
	s := newScenario(12, buildMachine)
	s.restore(s.olderBackup)
	s.rig.Run(300 * time.Millisecond)
	s.apply("h0", 1, rateNote("after", 5))
	s.rig.Run(time.Second)
	require.EqualValues(t, 2, s.results[1].Revision)
	s.restore(s.baseBackup)
	s.rig.Run(effectBound)
	head, _ := s.storeHead()
	require.EqualValues(t, 3, head.Revision)
	require.NotNil(t, head.note("after"))
	for _, id := range s.ids {
		require.EqualValues(t, 3, s.hosts[id].revision())
		require.EqualValues(t, 5, s.hosts[id].published.Snapshot.Customer("feltlag-nord").Rate)
	}
}

// Guards against a RacedError that doesn't list the items that both notes modify.
func TestRaceNamesWhatBothTouch(t *testing.T) {
	s := startScenario(t, 10)
	s.apply("h0", 1, rateNote("one", 1))
	s.apply("h1", 2, rateNote("two", 2))
	s.rig.Run(effectBound)
	refusal := s.results[1].Err
	if refusal == nil {
		refusal = s.results[2].Err
	}
	var raced *RacedError
	require.ErrorAs(t, refusal, &raced)
	require.Equal(t, []Item{{KindCustomer, "feltlag-nord"}}, raced.Both)
	require.ErrorContains(t, refusal, "touched by both: customer feltlag-nord")
}

// Guards against a note that is accepted without a majority, and against keys that
// stay suspended after the refusal.
func TestNoteNeedsMajority(t *testing.T) {
	s := startScenario(t, 4)
	for _, id := range s.ids[:3] {
		s.rig.CutBoth(acceptor, id)
		s.rig.CutBoth(secondAcceptor, id)
	}
	s.apply(acceptor, 1, withdrawNote("withdraw"))
	s.rig.Run(majorityTimeout + 500*time.Millisecond)
	require.Equal(t, &MajorityError{Acknowledged: 2, Needed: 3}, s.results[1].Err)
	require.Empty(t, s.hosts[secondAcceptor].published.Suspended)
	head, _ := s.storeHead()
	require.EqualValues(t, 2, head.Revision)
}

// Guards against a first note that can't be written to an empty store, and against
// hosts that have no configuration before it.
func TestEmptyStore(t *testing.T) {
	c := newCell(5, 3, buildMachine)
	c.rig.Run(300 * time.Millisecond)
	for _, id := range c.ids {
		require.NotNil(t, c.hosts[id].published.Snapshot, "an empty store means a configuration without routes")
	}
	c.apply("h0", 1, addNote("first", 5))
	c.apply("h1", 2, addNote("other", 6))
	c.rig.Run(3 * time.Second)
	require.NotEqual(t, c.results[1].Err == nil, c.results[2].Err == nil, "exactly one of two first notes is accepted")
}

// Guards against a replaced host that waits for the store although its peers have
// the configuration.
func TestReplacedHostWithoutStore(t *testing.T) {
	s := startScenario(t, 6)
	s.rig.Store.SetDown(true)
	s.rig.Node("h2").Kill()
	s.start("h2")
	s.sendViews()
	s.rig.Run(time.Second)
	require.EqualValues(t, 2, s.hosts["h2"].revision())
}

// Guards against an isolated host that renews its lease by reading the store but
// misses a revision: the head read together with the roster must suffice.
func TestHeadReadWithRoster(t *testing.T) {
	s := startScenario(t, 7)
	s.rig.Isolate("h4")
	s.apply(acceptor, 1, withdrawNote("withdraw"))
	s.rig.Run(time.Second)
	require.True(t, s.hosts["h4"].usable())
	value, version := s.rig.Store.Read(HeadKey)
	node := s.rig.Node("h4")
	s.rig.Inject(node, HeadRead{Result: machine.StoreResult{Outcome: machine.StoreOK, Version: version, Value: value, Started: node.Time().Instant}})
	s.rig.Run(200 * time.Millisecond)
	require.False(t, s.hosts["h4"].usable())
}

// Guards against a region without a watch, and against more watches than needed.
func TestOneWatchPerRegion(t *testing.T) {
	view := &fleet.View{}
	for i, region := range []fleet.Region{"a", "a", "b", "b", "b"} {
		member := fleet.ViewMember{State: fleet.StateActive, Reachable: i != 2, Location: fleet.Location{Region: region}}
		member.Host = fleet.HostID(fmt.Sprint("h", i))
		view.Members = append(view.Members, member)
	}
	var watching []fleet.HostID
	for _, member := range view.Members {
		view.Self = member.Member
		if ShouldWatchHead(view) {
			watching = append(watching, member.Host)
		}
	}
	// h2 is unreachable for the others and therefore watches too.
	require.Equal(t, []fleet.HostID{"h0", "h2", "h3"}, watching)
	require.False(t, ShouldWatchHead(&fleet.View{Self: fleet.Member{Host: "not-in-view"}}))
}

// Guards against a store outage that is not reported as a refusal although nothing
// was written.
func TestStoreOutageRefusesNotes(t *testing.T) {
	s := startScenario(t, 8)
	s.rig.Store.SetDown(true)
	s.apply(acceptor, 1, withdrawNote("withdraw"))
	s.rig.Run(noteTimeout + time.Second)
	require.IsType(t, &StoreError{}, s.results[1].Err)
}

// Guards against two notes with the same id, unbounded queues, and notes that don't
// apply to the configuration.
func TestRefusals(t *testing.T) {
	s := startScenario(t, 9)
	s.apply("h0", 1, rateNote("note-2", 99))
	s.apply("h1", 2, addNote("again", 1))
	for id := range uint64(maxQueuedNotes + 3) {
		s.apply("h2", 100+id, rateNote("same", 1))
	}
	s.rig.Run(5 * time.Second)
	require.IsType(t, &NoteReusedError{}, s.results[1].Err)
	require.ErrorContains(t, s.results[2].Err, "customer feltlag-nord: exists already")
	require.IsType(t, &BusyError{}, s.results[100+maxQueuedNotes+2].Err)
	require.NoError(t, s.results[100].Err)
	require.True(t, s.results[101].Repeated)
}
