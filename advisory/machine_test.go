package advisory

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/peer"
)

func viewOf(hosts ...fleet.HostID) machine.ViewChanged {
	v := &fleet.View{}
	for _, h := range hosts {
		v.Members = append(v.Members, fleet.ViewMember{Member: fleet.Member{Host: h}, Reachable: h != "dead"})
	}
	return machine.ViewChanged{View: v}
}

// Guards against one message for each advisory and host, and against messages to hosts
// that can't receive them.
func TestAdvisoriesAreSentTogetherToAllReachableHosts(t *testing.T) {
	m := New("h-1")
	m.Step(machine.Now{}, viewOf("h-1", "h-2", "h-3", "dead"))
	require.Empty(t, m.Step(machine.Now{}, machine.Tick{}))
	for i := range maxPerMessage {
		m.Step(machine.Now{}, Publish{Advisories: []Advisory{{Upstream: KeyOf(fleet.Upstream(fmt.Sprint("u-", i))), ColdMillis: 1}}})
	}
	m.Step(machine.Now{}, Publish{Advisories: []Advisory{{Upstream: KeyOf("u-0"), ColdMillis: 3000}}})
	m.Step(machine.Now{}, Publish{Advisories: []Advisory{{Upstream: KeyOf("u-0"), LimitEnded: true}}})
	out := m.Step(machine.Now{}, machine.Tick{})
	require.Len(t, out, 2)
	for i, to := range []fleet.HostID{"h-2", "h-3"} {
		send := out[i].(machine.Send)
		require.Equal(t, to, send.To)
		require.Len(t, send.Message.(Advisories).List, maxPerMessage)
		require.Contains(t, send.Message.(Advisories).List, Advisory{Upstream: KeyOf("u-0"), ColdMillis: 3000, LimitEnded: true}, "statements are merged")
	}
	require.Empty(t, m.Step(machine.Now{}, machine.Tick{}))
}

// Guards against hosts of a large fleet that get no message, and against one that sends to
// all of them.
func TestRelaysReachALargeFleet(t *testing.T) {
	for _, n := range []int{maxDirectPeers + 2, 87, 300, 1000} {
		var ids []fleet.HostID
		for i := range n {
			ids = append(ids, fleet.HostID(fmt.Sprint("h-", i)))
		}
		machines := map[fleet.HostID]*Machine{}
		for _, id := range ids {
			machines[id] = New(id)
			machines[id].Step(machine.Now{}, viewOf(ids...))
		}
		learned, sent := map[fleet.HostID]int{}, map[fleet.HostID]int{}
		var deliver func(from fleet.HostID, out []machine.Output)
		deliver = func(from fleet.HostID, out []machine.Output) {
			for _, o := range out {
				if send, ok := o.(machine.Send); ok {
					sent[from]++
					next := machines[send.To].Step(machine.Now{}, machine.Received{From: fleet.Member{Host: from}, Message: send.Message})
					learned[send.To]++
					deliver(send.To, next)
				}
			}
		}
		machines["h-0"].Step(machine.Now{}, Publish{Advisories: []Advisory{{Upstream: 7, ColdMillis: 1}}})
		deliver("h-0", machines["h-0"].Step(machine.Now{}, machine.Tick{}))
		for _, id := range ids[1:] {
			require.Equal(t, 1, learned[id], "%s of %d", id, n)
		}
		for id, datagrams := range sent {
			require.LessOrEqual(t, float64(datagrams), 2*math.Sqrt(float64(n))+2, "%s of %d", id, n)
		}
	}
}

// Guards against a faulty peer that makes an upstream cold for ever.
func TestWarmupTimeOfPeersIsBounded(t *testing.T) {
	out := New("h-1").Step(machine.Now{}, machine.Received{
		From:    fleet.Member{Host: "h-2"},
		Message: Advisories{List: []Advisory{{Upstream: 7, ColdMillis: 1<<32 - 1}}},
	})
	require.Equal(t, fleet.HostID("h-2"), out[0].(Learned).From)
	require.Equal(t, 10*time.Minute, out[0].(Learned).Advisories[0].ColdFor())
}

// Guards against a message that is too large for a datagram.
func TestFullMessageFitsIntoADatagram(t *testing.T) {
	message := Advisories{}
	for i := range maxPerMessage {
		message.List = append(message.List, Advisory{Upstream: Key(^uint64(i)), ColdMillis: 1<<32 - 1, LimitEnded: true})
	}
	codec, err := peer.NewCodec(Messages())
	require.NoError(t, err)
	wire, err := codec.Encode(message)
	require.NoError(t, err)
	const envelope = 120 // sender, nonce and tag of peer.Datagrams
	require.LessOrEqual(t, len(wire)+envelope, peer.MaxDatagramSize)
	t.Logf("%d bytes for %d advisories", len(wire), maxPerMessage)
}

// Guards against memory that grows without bound while no tick comes.
func TestPendingAdvisoriesAreBounded(t *testing.T) {
	m := New("h-1")
	for i := range 2 * maxPending {
		m.Step(machine.Now{}, Publish{Advisories: []Advisory{{Upstream: Key(i), ColdMillis: 1}}})
	}
	require.Len(t, m.pending, maxPending)
}
