package membership

import (
	"slices"
	"strings"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// naive is the baseline of the matrix. It uses only timeouts: a host is alive if
// it sent a heartbeat within a lease, and the weight of the others is
// redistributed at once.
type naive struct {
	o         Options
	lastSeen  map[fleet.Member]machine.Instant
	nextAt    machine.Instant
	lastAlive []fleet.Member
}

type naiveHeartbeat struct{}

func (naiveHeartbeat) MessageNumber() uint16 { return 199 }

func (m *naive) Step(now machine.Now, in machine.Input) []machine.Output {
	if r, ok := in.(machine.Received); ok {
		m.lastSeen[r.From] = now.Instant
	}
	if _, tick := in.(machine.Tick); !tick || now.Instant < m.nextAt {
		return nil
	}
	m.nextAt = now.Instant.Add(m.o.LeaseDuration / heartbeatsPerLease)
	outputs := []machine.Output{LeaseRenewed{ValidUntil: now.Instant.Add(m.o.LeaseDuration)}}
	for _, host := range []fleet.HostID{"host-00", "host-01", "host-02", "host-03", "host-04", "host-05"} {
		outputs = append(outputs, machine.Send{To: host, Message: naiveHeartbeat{}})
	}
	alive := []fleet.Member{m.o.Self}
	for member, at := range m.lastSeen {
		if now.Instant.Sub(at) <= m.o.LeaseDuration && member.Host != m.o.Self.Host {
			alive = append(alive, member)
		}
	}
	slices.SortFunc(alive, func(a, b fleet.Member) int { return strings.Compare(a.String(), b.String()) })
	if slices.Equal(alive, m.lastAlive) {
		return outputs
	}
	m.lastAlive = alive
	view := &fleet.View{Self: m.o.Self}
	for _, member := range alive {
		view.Members = append(view.Members, fleet.ViewMember{Member: member, Weight: fleet.TotalWeight / uint32(len(alive))})
	}
	for i := range view.Partitions {
		view.Partitions[i].Owner = alive[i%len(alive)]
	}
	return append(outputs, ViewPublished{View: view})
}
