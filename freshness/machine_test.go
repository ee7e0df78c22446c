package freshness

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/catalog"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/gossip"
	"github.com/catkinspring/catkinspring/machine"
)

func testPeer(id, region string, confirmed bool) gossip.Peer {
	p := gossip.Peer{Host: catalog.Host{ID: fleet.HostID(id), Location: fleet.Location{Region: fleet.Region(region)}}, Alive: true}
	if confirmed {
		p.Member = fleet.Member{Host: p.ID, Incarnation: gossip.IncarnationOf(1)}
	}
	return p
}

// testHost steps the machine of one host.
type testHost struct {
	machine *Machine
	now     machine.Instant
	state   State
	sent    []Heartbeat
}

func newTestHost(id string, peers []gossip.Peer) *testHost {
	h := &testHost{machine: New(Config{Self: fleet.Member{Host: fleet.HostID(id), Incarnation: gossip.IncarnationOf(1)}, Joins: true})}
	h.step(SetPeers{Peers: peers})
	h.step(SetCopy{Reachable: true})
	return h
}

func (h *testHost) step(in machine.Input) {
	for _, out := range h.machine.Step(machine.Now{Instant: h.now}, in) {
		switch out := out.(type) {
		case machine.Send:
			h.sent = append(h.sent, out.Message.(Heartbeat))
		case State:
			h.state = out
		}
	}
}

// run advances the clock and delivers a heartbeat of the given readers every 0.5 s.
func (h *testHost) run(d time.Duration, readers ...string) {
	for until := h.now.Add(d); h.now < until; h.now = h.now.Add(50 * time.Millisecond) {
		if h.now.Sub(0)%(500*time.Millisecond) == 0 {
			for _, r := range readers {
				h.step(machine.Received{From: fleet.Member{Host: fleet.HostID(r)}, Message: Heartbeat{Phase: UpToDate}})
			}
		}
		h.step(machine.Tick{})
	}
}

// Guards against a restarted host that counts hosts without a sign of life among the
// fresh readers, so that nobody reads the latest state.
func TestHostsThatLeftAreNoFreshReaders(t *testing.T) {
	peers := []gossip.Peer{testPeer("h-1", "a", false), testPeer("h-2", "b", false), testPeer("h-3", "a", true), testPeer("h-4", "b", true), testPeer("h-5", "a", true)}
	for id, fresh := range map[string]bool{"h-1": false, "h-2": false, "h-3": true, "h-4": true, "h-5": false} {
		h := newTestHost(id, peers)
		h.run(3*time.Second, "h-3", "h-4")
		require.Equal(t, fresh, h.state.Reads, id)
	}
}

// Guards against a leaving host that stops to read before another one does.
func TestLeavingReaderGoesOnUntilItsSuccessorIsUpToDate(t *testing.T) {
	peers := []gossip.Peer{testPeer("h-1", "a", true), testPeer("h-2", "b", true), testPeer("h-3", "a", true)}
	h := newTestHost("h-1", peers)
	h.run(3*time.Second, "h-2")
	require.True(t, h.state.Reads)
	h.step(SetCopy{UpToDate: true, Reachable: true})
	peers[0].Leaving = true
	h.step(SetPeers{Peers: peers})
	h.run(10*time.Second, "h-2")
	require.True(t, h.state.Reads, "h-3 was not heard of")
	h.run(3*time.Second, "h-2", "h-3")
	require.False(t, h.state.Reads)
	require.Equal(t, Ended, h.sent[len(h.sent)-1].Phase)
}

// Guards against a reader that vouches although its watch is overdue, and against hosts
// that wait for silence although it said so.
func TestOverdueReaderStopsVouchingAtOnce(t *testing.T) {
	peers := []gossip.Peer{testPeer("h-1", "a", true), testPeer("h-2", "b", true), testPeer("h-3", "a", true)}
	reader := newTestHost("h-1", peers)
	reader.run(2*time.Second, "h-2")
	reader.step(SetCopy{UpToDate: true, Reachable: true})
	require.Equal(t, UpToDate, reader.sent[len(reader.sent)-1].Phase)
	reader.step(SetCopy{Reachable: true})
	require.Equal(t, Ended, reader.sent[len(reader.sent)-1].Phase)

	other := newTestHost("h-3", peers)
	other.run(3*time.Second, "h-1")
	require.True(t, other.state.ReaderKnown)
	other.step(machine.Received{From: fleet.Member{Host: "h-1"}, Message: Heartbeat{Phase: Ended}})
	require.False(t, other.state.ReaderKnown)
	other.run(maxTakeoverDelay + 100*time.Millisecond)
	require.True(t, other.state.Reads)
}

// Guards against a number of readers that grows with the fleet when the fresh readers
// are lost: all hosts notice it at the same time.
func TestFewHostsTakeOverAtOnce(t *testing.T) {
	for _, n := range []int{12, 48, 300} {
		var peers []gossip.Peer
		for i := range n {
			peers = append(peers, testPeer(fmt.Sprintf("h-%03d", i), string(rune('a'+i%3)), true))
		}
		var first time.Duration = maxTakeoverDelay
		var delays []time.Duration
		for _, p := range peers[Readers:] {
			h := newTestHost(string(p.ID), peers)
			delays = append(delays, h.machine.takeoverDelay())
			first = min(first, delays[len(delays)-1])
		}
		early := 0
		for _, d := range delays {
			if d <= first+60*time.Millisecond { // a message to the others
				early++
			}
		}
		require.LessOrEqual(t, early, 8, "fleet of %d", n)
		require.LessOrEqual(t, first, maxTakeoverDelay/2, "fleet of %d", n)
	}
}

// Guards against a fleet that reads the latest state everywhere while the store is away.
func TestHostThatDoesNotReachTheStoreDoesNotTakeOver(t *testing.T) {
	peers := []gossip.Peer{testPeer("h-1", "a", true), testPeer("h-2", "b", true), testPeer("h-3", "a", true)}
	h := newTestHost("h-3", peers)
	h.step(SetCopy{})
	h.run(20 * time.Second)
	require.False(t, h.state.Reads)
	h.step(SetCopy{Reachable: true})
	h.run(maxTakeoverDelay + 100*time.Millisecond)
	require.True(t, h.state.Reads)
	h.run(futileTime + 100*time.Millisecond)
	require.False(t, h.state.Reads, "it is not up to date and not chosen")
}
