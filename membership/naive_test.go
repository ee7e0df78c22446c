package membership

import (
	"slices"
	"strings"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// naive is the baseline of the matrix: whoever was heard within a lease is
// alive, and the weight of the others is divided at once.
type naive struct {
	o     Options
	heard map[fleet.Member]machine.Instant
	next  machine.Instant
	last  []fleet.Member
}

type naiveHeartbeat struct{}

func (naiveHeartbeat) MessageNumber() uint16 { return 199 }

func (m *naive) Step(now machine.Now, in machine.Input) []machine.Output {
	if r, ok := in.(machine.Received); ok {
		m.heard[r.From] = now.Instant
	}
	if _, tick := in.(machine.Tick); !tick || now.Instant < m.next {
		return nil
	}
	m.next = now.Instant.Add(m.o.LeaseDuration / heartbeatsPerLease)
	outputs := []machine.Output{LeaseRenewed{ValidUntil: now.Instant.Add(m.o.LeaseDuration)}}
	for _, host := range []fleet.HostID{"host-00", "host-01", "host-02", "host-03", "host-04", "host-05"} {
		outputs = append(outputs, machine.Send{To: host, Message: naiveHeartbeat{}})
	}
	alive := []fleet.Member{m.o.Self}
	for member, at := range m.heard {
		if now.Instant.Sub(at) <= m.o.LeaseDuration && member.Host != m.o.Self.Host {
			alive = append(alive, member)
		}
	}
	slices.SortFunc(alive, func(a, b fleet.Member) int { return strings.Compare(a.String(), b.String()) })
	if slices.Equal(alive, m.last) {
		return outputs
	}
	m.last = alive
	view := &fleet.View{Self: m.o.Self}
	for _, member := range alive {
		view.Members = append(view.Members, fleet.ViewMember{Member: member, Weight: fleet.TotalWeight / uint32(len(alive))})
	}
	for i := range view.Partitions {
		view.Partitions[i].Owner = alive[i%len(alive)]
	}
	return append(outputs, ViewPublished{View: view})
}
