package membership

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
	connections "github.com/catkinspring/catkinspring/peer"
	"github.com/catkinspring/catkinspring/store"
)

// TestRosterSize guards against a roster that is too large for the store.
func TestRosterSize(t *testing.T) {
	r := &roster{}
	address := netip.MustParseAddrPort("[2001:db8:1234:5678:9abc:def0:1234:5678]:65535")
	for i := range 4900 {
		r.Entries = append(r.Entries, entry{
			Host:        fleet.HostID(fmt.Sprintf("entry-host-%05d.nordland-east", i)),
			Incarnation: fleet.Incarnation{byte(i >> 8), byte(i), 0xff},
			Peer:        address, Caller: address,
			Region: "nordland-east", Domain: "nordland-east-2",
			State: stateActive, Voter: true, Weight: 204, Bound: 204, Changed: 1 << 40,
		})
	}
	value, err := r.encode()
	require.NoError(t, err)
	t.Logf("%d bytes for 4,900 members", len(value))
	require.Less(t, len(value), store.MaxValueSize)
	decoded, err := decodeRoster(value)
	require.NoError(t, err)
	require.Equal(t, r, decoded)
}

// TestMajoritiesIntersect guards against a change of the voters that permits two
// disjoint majorities. It tries all majorities of small sets.
func TestMajoritiesIntersect(t *testing.T) {
	for before := 1; before <= 6; before++ {
		for removed := 0; removed <= before; removed++ {
			for added := 0; added <= 3; added++ {
				disjoint := disjointMajorities(before, removed, added)
				if majoritiesIntersect(before, removed, added) {
					require.False(t, disjoint, "%d-%d+%d", before, removed, added)
				}
			}
		}
	}
}

func disjointMajorities(before, removed, added int) bool {
	after := before - removed + added
	oldVoters := 1<<before - 1
	newVoters := (1<<(before+added) - 1) &^ (1<<removed - 1)
	for a := range 1 << (before + added) {
		for b := range 1 << (before + added) {
			if a&^oldVoters == 0 && b&^newVoters == 0 && a&b == 0 && countBits(a) >= majority(before) && countBits(b) >= majority(after) {
				return true
			}
		}
	}
	return false
}

func countBits(n int) int {
	count := 0
	for ; n > 0; n &= n - 1 {
		count++
	}
	return count
}

// TestRefusesLeaseOfOldVoterSet guards against acknowledging the lease of a host
// that counts its majority over an older set of voters.
func TestRefusesLeaseOfOldVoterSet(t *testing.T) {
	m := New(Options{LeaseDuration: lease})
	m.known = &roster{Generation: 9, Config: 5}
	m.now = machine.Now{Instant: machine.Instant(2 * lease)}
	e := &entry{State: stateActive}
	require.True(t, m.acknowledges(e, &peer{sequence: 1, generation: 5}))
	require.False(t, m.acknowledges(e, &peer{sequence: 1, generation: 4}))
	require.False(t, m.acknowledges(&entry{State: stateRetiring}, &peer{sequence: 1, generation: 9}))
	m.now.Instant = machine.Instant(lease)
	require.False(t, m.acknowledges(e, &peer{sequence: 1, generation: 9}), "a restarted host waits")
}

// TestBalance guards against weight that is assigned twice, an uneven division
// and unnecessary moves of partitions under any sequence of joins and removals.
func TestBalance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &roster{Generation: 1}
		lastIncarnation := byte(0)
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			r.Generation++
			if len(r.Entries) > 1 && rapid.Bool().Draw(t, "remove") {
				e := &r.Entries[rapid.IntRange(0, len(r.Entries)-1).Draw(t, "index")]
				e.State, e.Fenced = stateRetiring, true
			} else {
				lastIncarnation++
				r.Entries = append(r.Entries, entry{Host: "h", Incarnation: fleet.Incarnation{lastIncarnation}, State: stateActive})
			}
			previousOwners := r.holders()
			for r.balance(0) {
				checkBounds(t, r)
				r.Generation++
				r.releaseConfirmed(func(fleet.Incarnation) uint64 { return r.Generation }, 0)
				r.removeFenced()
			}
			checkEvenSplit(t, r, previousOwners)
		}
	})
}

func (r *roster) holders() map[int]fleet.Incarnation {
	holders := map[int]fleet.Incarnation{}
	for i := range r.Partitions {
		holders[i] = r.Partitions[i].Owner
	}
	return holders
}

func checkBounds(t *rapid.T, r *roster) {
	sum := uint32(0)
	for _, e := range r.Entries {
		sum += e.Bound
		require.LessOrEqual(t, e.Weight, e.Bound)
	}
	require.LessOrEqual(t, sum, uint32(fleet.TotalWeight))
}

func checkEvenSplit(t *rapid.T, r *roster, previousOwners map[int]fleet.Incarnation) {
	counts := map[fleet.Incarnation]int{}
	sum, active, moved := uint32(0), 0, 0
	for _, e := range r.Entries {
		sum += e.Weight
		if e.State == stateActive {
			active++
		}
	}
	for i := range r.Partitions {
		counts[r.Partitions[i].Owner]++
		if previousOwners[i] != r.Partitions[i].Owner {
			moved++
		}
	}
	if active == 0 {
		return
	}
	require.Equal(t, uint32(fleet.TotalWeight), sum)
	for _, e := range r.Entries {
		if e.State == stateActive {
			require.InDelta(t, fleet.Partitions/active, counts[e.Incarnation], 1)
		}
	}
	// One host joined or was removed: at most its partitions move.
	if len(previousOwners) > 0 && active > 1 {
		require.LessOrEqual(t, moved, fleet.Partitions/(active-1)+1)
	}
}

// FuzzDecodeRoster guards against a panic on a corrupt store object.
func FuzzDecodeRoster(f *testing.F) {
	value, err := (&roster{Generation: 1, Entries: []entry{{Host: "a", State: stateActive}}}).encode()
	require.NoError(f, err)
	f.Add(value)
	f.Fuzz(func(t *testing.T, value []byte) {
		if r, err := decodeRoster(value); err == nil {
			_, err = r.encode()
			require.NoError(t, err)
		}
	})
}

// FuzzReceive guards against a panic on any message that a peer can send,
// including a roster that assigns more than the total weight.
func FuzzReceive(f *testing.F) {
	codec, err := connections.NewCodec(Messages())
	require.NoError(f, err)
	self := fleet.Member{Host: "a", Incarnation: fleet.Incarnation{1}}
	other := fleet.Member{Host: "b", Incarnation: fleet.Incarnation{2}}
	r := &roster{Generation: 2, Config: 1}
	for _, member := range []fleet.Member{self, other} {
		r.Entries = append(r.Entries, entry{Host: member.Host, Incarnation: member.Incarnation, State: stateActive, Voter: true})
	}
	r.balance(0)
	value, err := r.encode()
	require.NoError(f, err)
	for _, message := range []machine.Message{
		Heartbeat{Sequence: 1, To: shortIncarnation(self.Incarnation), Seen: 1, Flags: 15, Generation: 3, ReadAge: 5, Revision: 2},
		RosterRequest{Generation: 1}, RosterUpdate{Version: 9, Value: value},
	} {
		wire, err := codec.Encode(message)
		require.NoError(f, err)
		f.Add(wire)
	}
	f.Fuzz(func(t *testing.T, wire []byte) {
		message, err := codec.Decode(wire)
		if err != nil {
			return
		}
		m := New(Options{Self: self, LeaseDuration: lease, Rand: rand.New(rand.NewPCG(1, 1))})
		now := machine.Now{Instant: 1}
		m.Step(now, machine.Tick{})
		known := r.clone()
		known.Generation = 1
		m.adopt(known, 1, value)
		for range 3 {
			now.Instant += machine.Instant(lease)
			m.Step(now, machine.Received{From: other, Message: message})
			m.Step(now, machine.Tick{})
		}
	})
}
