package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/catalog"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/peer"
)

const second = machine.Instant(time.Second)

// rig runs the machines of a fleet under a virtual clock, with lost messages.
type rig struct {
	random   *rand.Rand
	loss     float64
	now      machine.Instant
	list     []catalog.Host
	machines map[fleet.HostID]*Machine
	down     map[fleet.HostID]bool
	peers    map[fleet.HostID][]Peer
	known    map[fleet.HostID][]uint64
	sent     int
	starts   uint32
}

func newRig(n int, loss float64) *rig {
	r := &rig{
		random: rand.New(rand.NewPCG(uint64(n), 7)), loss: loss, now: second, machines: map[fleet.HostID]*Machine{},
		down: map[fleet.HostID]bool{}, peers: map[fleet.HostID][]Peer{}, known: map[fleet.HostID][]uint64{},
	}
	for i := range n {
		region := fleet.Region([]string{"a", "b", "c"}[i%3])
		r.list = append(r.list, catalog.Host{ID: fleet.HostID(fmt.Sprintf("h-%03d", i)), Location: fleet.Location{Region: region}})
	}
	for _, h := range r.list {
		r.start(h)
	}
	return r
}

func (r *rig) start(h catalog.Host) {
	r.starts++
	r.machines[h.ID] = New(h.ID, h.Location, r.starts)
	r.down[h.ID] = false
	r.step(h.ID, SetHosts{Hosts: r.list})
}

func (r *rig) step(id fleet.HostID, in machine.Input) {
	for _, out := range r.machines[id].Step(machine.Now{Instant: r.now}, in) {
		switch out := out.(type) {
		case machine.Send:
			r.sent++
			if r.machines[out.To] != nil && !r.down[out.To] && r.random.Float64() >= r.loss {
				r.step(out.To, machine.Received{From: r.machines[id].self, Message: out.Message})
			}
		case PeersChanged:
			r.peers[id], r.known[id] = out.Peers, out.Revisions
		}
	}
}

func (r *rig) run(d time.Duration) {
	for until := r.now.Add(d); r.now < until; r.now = r.now.Add(50 * time.Millisecond) {
		for _, h := range r.list {
			if !r.down[h.ID] {
				r.step(h.ID, machine.Tick{})
			}
		}
	}
}

func (r *rig) alive(seenBy fleet.HostID) int {
	n := 0
	for _, p := range r.peers[seenBy] {
		if p.Alive {
			n++
		}
	}
	return n
}

// Guards against hosts that are taken for dead although they live, and against
// messages whose number grows with the square of the fleet.
func TestLiveHostsStayAlive(t *testing.T) {
	t.Parallel()
	for _, n := range []int{12, 48, 87, 100} {
		liveHostsStayAlive(t, n)
	}
}

// Guards against news that takes longer than a host may be silent: before hosts
// asked each other, one of 300 was taken for dead 6 s after the start.
func TestLiveHostsStayAliveInAFleetOf300(t *testing.T) {
	t.Parallel()
	liveHostsStayAlive(t, 300)
}

func liveHostsStayAlive(t *testing.T, n int) {
	t.Helper()
	r := newRig(n, 0.03)
	r.run(3 * time.Second)
	for range 60 {
		r.run(500 * time.Millisecond)
		for _, h := range r.list {
			require.Equal(t, n, r.alive(h.ID), "fleet of %d at %d s", n, r.now/second)
		}
	}
	const (
		rounds  = 48 // 33 s
		ofRound = 6
		atStart = 144
	)
	require.LessOrEqual(t, r.sent, n*(rounds*ofRound+atStart), "neither the messages of a round nor those at the start of a host grow with the fleet")
}

// Guards against a look-up that names a host that ended 7 s ago.
func TestDeadHostIsNoticedInTime(t *testing.T) {
	t.Parallel()
	for _, n := range []int{12, 100, 300} {
		r := newRig(n, 0.03)
		r.run(10 * time.Second)
		dead := r.list[n/2].ID
		r.down[dead] = true
		r.run(7 * time.Second)
		for _, h := range r.list {
			if h.ID == dead {
				continue
			}
			for _, p := range r.peers[h.ID] {
				require.False(t, p.ID == dead && p.Alive, "host %s of %d", h.ID, n)
			}
		}
	}
}

// Guards against an old report that makes a dead host look alive.
func TestAgesOnlyGrowOnTheWay(t *testing.T) {
	t.Parallel()
	r := newRig(12, 0)
	r.run(5 * time.Second)
	victim, witness := r.list[3], r.list[0]
	stale := r.machines[witness.ID].digest(r.now)
	r.down[victim.ID] = true
	r.run(7 * time.Second)
	for i := range stale.Entries {
		stale.Entries[i].AgeMillis += 7000
	}
	r.step(witness.ID, machine.Received{From: r.machines[r.list[1].ID].self, Message: stale})
	require.Equal(t, 11, r.alive(witness.ID))
}

// Guards against a region whose loss makes every host ask all hosts of it.
func TestProbesOfALostRegionAreBounded(t *testing.T) {
	t.Parallel()
	r := newRig(300, 0)
	r.run(10 * time.Second)
	for _, h := range r.list {
		r.down[h.ID] = h.Location.Region == "b"
	}
	before := r.sent
	r.run(7 * time.Second)
	const (
		rounds = 11
		ofHost = 6 + 2*maxProbes
	)
	require.LessOrEqual(t, r.sent-before, 200*rounds*ofHost)
	require.Equal(t, 200, r.alive("h-000"))
}

// Guards against ages that shrink and incarnations that change on the way, and
// against digests that do not fit into a datagram.
func TestEntriesOnTheWire(t *testing.T) {
	t.Parallel()
	sent := Entries{
		{Host: 1, Incarnation: 1 << 31, AgeMillis: 0, Rate: 12},
		{Host: 1 << 31, Incarnation: 7, AgeMillis: 51, Leaving: true, Rate: 1 << 20},
		{Host: 3, Incarnation: 9, AgeMillis: 1 << 31},
	}
	text, err := sent.MarshalBinary()
	require.NoError(t, err)
	var got Entries
	require.NoError(t, got.UnmarshalBinary(text))
	require.Equal(t, Entries{
		{Host: 1, Incarnation: 1 << 31, AgeMillis: 0, Rate: 12},
		{Host: 1 << 31, Incarnation: 7, AgeMillis: 100, Leaving: true, Rate: leavingBit - 1},
		{Host: 3, Incarnation: 9, AgeMillis: 12750},
	}, got)
	var bad *EntriesError
	require.ErrorAs(t, got.UnmarshalBinary(text[1:]), &bad)

	codec, err := peer.NewCodec(Messages())
	require.NoError(t, err)
	wire, err := codec.Encode(Digest{Entries: make(Entries, maxEntries), Revisions: []uint64{1 << 40, 1 << 40, 1 << 40, 1 << 40}})
	require.NoError(t, err)
	const envelope = 120 // sender, nonce and tag of peer.Datagrams
	require.LessOrEqual(t, len(wire)+envelope, peer.MaxDatagramSize)
}

// Guards against a planned stop whose host is still named, and against a change
// that a host with a dead watch does not hear of.
func TestStopAndRevisionsAreToldAtOnce(t *testing.T) {
	t.Parallel()
	r := newRig(12, 0)
	r.run(5 * time.Second)
	leaving := r.list[4].ID
	r.step(leaving, SetSelf{Leaving: true})
	r.step("h-007", RevisionsObserved{Revisions: []uint64{7, 42}})
	for _, h := range r.list {
		require.Equal(t, []uint64{7, 42}, r.known[h.ID])
		if h.ID == leaving {
			continue
		}
		for _, p := range r.peers[h.ID] {
			require.Equal(t, p.ID == leaving, p.Leaving)
		}
	}
}

// Guards against messages of the old incarnation that count for the new one.
func TestRestartIsANewIncarnation(t *testing.T) {
	t.Parallel()
	r := newRig(12, 0)
	r.run(3 * time.Second)
	before := r.machines["h-005"].self
	r.start(r.list[5])
	r.run(4 * time.Second)
	for _, p := range r.peers["h-000"] {
		if p.ID == "h-005" {
			require.NotEqual(t, before, p.Member)
			require.Equal(t, r.machines["h-005"].self, p.Member)
		}
	}
}

// Guards against input of any shape from a peer that runs another version.
func TestDigestOfAnyShapeIsTaken(t *testing.T) {
	t.Parallel()
	m := New("h", fleet.Location{Region: "a"}, 1)
	m.Step(machine.Now{Instant: second}, SetHosts{Hosts: []catalog.Host{{ID: "h"}, {ID: "i"}}})
	d := Digest{Entries: Entries{{}, {Host: hashOf("i"), AgeMillis: 1 << 31}}, Revisions: make([]uint64, 1000)}
	m.Step(machine.Now{Instant: second}, machine.Received{Message: d})
	require.Len(t, m.revisions, maxKinds)
}
