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

// testFleet runs the machines of a fleet under a virtual clock and loses a share of the
// messages.
type testFleet struct {
	random       *rand.Rand
	loss         float64
	now          machine.Instant
	hosts        []catalog.Host
	machines     map[fleet.HostID]*Machine
	down         map[fleet.HostID]bool
	peers        map[fleet.HostID][]Peer
	revisions    map[fleet.HostID][]uint64
	sent         int
	incarnations uint32
	// joins is true if processes that start from now on join a running fleet.
	joins bool
}

func newTestFleet(n int, loss float64) *testFleet {
	r := &testFleet{
		random: rand.New(rand.NewPCG(uint64(n), 7)), loss: loss, now: second, machines: map[fleet.HostID]*Machine{},
		down: map[fleet.HostID]bool{}, peers: map[fleet.HostID][]Peer{}, revisions: map[fleet.HostID][]uint64{},
	}
	for i := range n {
		region := fleet.Region([]string{"a", "b", "c"}[i%3])
		r.hosts = append(r.hosts, catalog.Host{ID: fleet.HostID(fmt.Sprintf("h-%03d", i)), Location: fleet.Location{Region: region}})
	}
	for _, h := range r.hosts {
		r.start(h)
	}
	return r
}

func (r *testFleet) start(h catalog.Host) {
	r.incarnations++
	r.machines[h.ID] = New(Config{Host: h.ID, Location: h.Location, Incarnation: r.incarnations, Joins: r.joins})
	r.down[h.ID] = false
	r.step(h.ID, SetHosts{Hosts: r.hosts})
	r.step(h.ID, AnnounceSelf{})
}

func (r *testFleet) step(id fleet.HostID, in machine.Input) {
	for _, out := range r.machines[id].Step(machine.Now{Instant: r.now}, in) {
		switch out := out.(type) {
		case machine.Send:
			r.sent++
			if r.machines[out.To] != nil && !r.down[out.To] && r.random.Float64() >= r.loss {
				r.step(out.To, machine.Received{From: r.machines[id].self, Message: out.Message})
			}
		case PeersChanged:
			r.peers[id], r.revisions[id] = out.Peers, out.Revisions
		}
	}
}

func (r *testFleet) run(d time.Duration) {
	for until := r.now.Add(d); r.now < until; r.now = r.now.Add(50 * time.Millisecond) {
		for _, h := range r.hosts {
			if !r.down[h.ID] {
				r.step(h.ID, machine.Tick{})
			}
		}
	}
}

func (r *testFleet) aliveCount(seenBy fleet.HostID) int {
	n := 0
	for _, p := range r.peers[seenBy] {
		if p.Alive {
			n++
		}
	}
	return n
}

// Guards against live hosts that are considered dead, and against a number of
// messages that grows with the square of the fleet size.
func TestLiveHostsStayAlive(t *testing.T) {
	t.Parallel()
	for _, n := range []int{12, 48, 87, 100} {
		checkLiveHostsStayAlive(t, n)
	}
}

// Guards against updates that take longer than deadAfter: before hosts probed each
// other, one of 300 was considered dead 6 s after the start.
func TestLiveHostsStayAliveInAFleetOf300(t *testing.T) {
	t.Parallel()
	checkLiveHostsStayAlive(t, 300)
}

func checkLiveHostsStayAlive(t *testing.T, n int) {
	t.Helper()
	r := newTestFleet(n, 0.03)
	r.run(3 * time.Second)
	for range 60 {
		r.run(500 * time.Millisecond)
		for _, h := range r.hosts {
			require.Equal(t, n, r.aliveCount(h.ID), "fleet of %d at %d s", n, r.now/second)
		}
	}
	const (
		rounds           = 48 // 33 s
		messagesPerRound = 6
		messagesAtStart  = 144
	)
	require.LessOrEqual(t, r.sent, n*(rounds*messagesPerRound+messagesAtStart), "messages per host, per round and at the start, must not grow with the fleet")
}

// Guards against lookup responses with a host that ended 7 s ago.
func TestDeadHostIsDetectedInTime(t *testing.T) {
	t.Parallel()
	for _, n := range []int{12, 100, 300} {
		r := newTestFleet(n, 0.03)
		r.run(10 * time.Second)
		dead := r.hosts[n/2].ID
		r.down[dead] = true
		r.run(7 * time.Second)
		for _, h := range r.hosts {
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
func TestOldReportDoesNotReviveDeadHost(t *testing.T) {
	t.Parallel()
	r := newTestFleet(12, 0)
	r.run(5 * time.Second)
	dead, observer := r.hosts[3], r.hosts[0]
	stale := r.machines[observer.ID].digest(r.now)
	r.down[dead.ID] = true
	r.run(7 * time.Second)
	for i := range stale.Entries {
		stale.Entries[i].AgeMillis += 7000
	}
	r.step(observer.ID, machine.Received{From: r.machines[r.hosts[1].ID].self, Message: stale})
	require.Equal(t, 11, r.aliveCount(observer.ID))
}

// Guards against the loss of a region making every host probe all hosts of it.
func TestProbesOfALostRegionAreBounded(t *testing.T) {
	t.Parallel()
	r := newTestFleet(300, 0)
	r.run(10 * time.Second)
	for _, h := range r.hosts {
		r.down[h.ID] = h.Location.Region == "b"
	}
	before := r.sent
	r.run(7 * time.Second)
	const (
		rounds          = 11
		messagesPerHost = 6 + 2*maxProbes
	)
	require.LessOrEqual(t, r.sent-before, 200*rounds*messagesPerHost)
	require.Equal(t, 200, r.aliveCount("h-000"))
}

// Guards against ages that shrink and incarnations that change in the encoding, and
// against digests that do not fit into a datagram.
func TestEntriesEncoding(t *testing.T) {
	t.Parallel()
	original := Entries{
		{Host: 1, Incarnation: 1 << 31, AgeMillis: 0, Rate: 12},
		{Host: 1 << 31, Incarnation: 7, AgeMillis: 51, Leaving: true, Rate: 1 << 20},
		{Host: 3, Incarnation: 9, AgeMillis: 1 << 31},
	}
	encoded, err := original.MarshalBinary()
	require.NoError(t, err)
	var got Entries
	require.NoError(t, got.UnmarshalBinary(encoded))
	require.Equal(t, Entries{
		{Host: 1, Incarnation: 1 << 31, AgeMillis: 0, Rate: 12},
		{Host: 1 << 31, Incarnation: 7, AgeMillis: 100, Leaving: true, Rate: leavingBit - 1},
		{Host: 3, Incarnation: 9, AgeMillis: 12750},
	}, got)
	var bad *EntriesError
	require.ErrorAs(t, got.UnmarshalBinary(encoded[1:]), &bad)

	codec, err := peer.NewCodec(Messages())
	require.NoError(t, err)
	wire, err := codec.Encode(Digest{Entries: make(Entries, maxEntries), Revisions: []uint64{1 << 40, 1 << 40, 1 << 40, 1 << 40}})
	require.NoError(t, err)
	const envelope = 120 // sender, nonce and tag of peer.Datagrams
	require.LessOrEqual(t, len(wire)+envelope, peer.MaxDatagramSize)
}

// Guards against lookup responses with a host that is stopping, and against a change
// of which a host with a broken watch is not notified.
func TestStopAndRevisionsAreSentAtOnce(t *testing.T) {
	t.Parallel()
	r := newTestFleet(12, 0)
	r.run(5 * time.Second)
	leaving := r.hosts[4].ID
	r.step(leaving, SetSelf{Leaving: true})
	r.step("h-007", RevisionsObserved{Revisions: []uint64{7, 42}})
	for _, h := range r.hosts {
		require.Equal(t, []uint64{7, 42}, r.revisions[h.ID])
		if h.ID == leaving {
			continue
		}
		for _, p := range r.peers[h.ID] {
			require.Equal(t, p.ID == leaving, p.Leaving)
		}
	}
}

// Guards against messages of the old incarnation being attributed to the new one.
func TestRestartChangesIncarnation(t *testing.T) {
	t.Parallel()
	r := newTestFleet(12, 0)
	r.run(3 * time.Second)
	before := r.machines["h-005"].self
	r.start(r.hosts[5])
	r.run(4 * time.Second)
	for _, p := range r.peers["h-000"] {
		if p.ID == "h-005" {
			require.NotEqual(t, before, p.Member)
			require.Equal(t, r.machines["h-005"].self, p.Member)
		}
	}
}

// Guards against failures on unexpected input from a peer that runs another version.
func TestDigestOfAnyShapeIsAccepted(t *testing.T) {
	t.Parallel()
	m := New(Config{Host: "h", Location: fleet.Location{Region: "a"}, Incarnation: 1})
	m.Step(machine.Now{Instant: second}, SetHosts{Hosts: []catalog.Host{{ID: "h"}, {ID: "i"}}})
	d := Digest{Entries: Entries{{}, {Host: hashOf("i"), AgeMillis: 1 << 31}}, Revisions: make([]uint64, 1000)}
	m.Step(machine.Now{Instant: second}, machine.Received{Message: d})
	require.Len(t, m.revisions, maxRevisions)
}
