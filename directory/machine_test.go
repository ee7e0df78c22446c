package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/internal/faulttest"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/store"
)

// cluster is a simulated cell with a platform list that the test sets.
type cluster struct {
	rig          *faulttest.Rig
	platformList store.HostList
	platformDown bool
	reads        map[fleet.HostID]int
	received     map[fleet.HostID][]store.ListedHost
}

func newCluster(seed uint64, hosts int) *cluster {
	c := &cluster{rig: faulttest.New(seed), reads: map[fleet.HostID]int{}, received: map[fleet.HostID][]store.ListedHost{}}
	view := &fleet.View{Version: 1}
	for i := range hosts {
		member := fleet.Member{Host: fleet.HostID(fmt.Sprintf("h%02d", i)), Incarnation: c.rig.Incarnation()}
		view.Members = append(view.Members, fleet.ViewMember{Member: member, State: fleet.StateActive, Reachable: true})
		c.rig.AddNode(member, NewMachine(member.Host))
	}
	c.rig.OnOutput = c.handleOutput
	for _, n := range c.rig.Nodes() {
		c.rig.Inject(n, machine.ViewChanged{View: view})
	}
	return c
}

func (c *cluster) handleOutput(n *faulttest.Node, out machine.Output) {
	switch out := out.(type) {
	case ReadList:
		c.reads[n.Member.Host]++
		result := ListRead{OK: !c.platformDown, List: c.platformList}
		result.List.AsOf = time.UnixMilli(n.Time().WallMillis)
		c.rig.After(10*time.Millisecond, func() { c.rig.Inject(n, result) })
	case Changed:
		c.received[n.Member.Host] = out.Hosts
	}
}

func (c *cluster) setHosts(names ...string) {
	c.platformList.Hosts = nil
	for _, name := range names {
		c.platformList.Hosts = append(c.platformList.Hosts, store.ListedHost{Name: name, Role: store.RoleUpstream, State: store.HostLive})
	}
}

func (c *cluster) requireHostCount(t *testing.T, want int) {
	t.Helper()
	for _, n := range c.rig.Nodes() {
		if n.Running() {
			require.Len(t, c.received[n.Member.Host], want, "host %s, seed 1", n.Member.Host)
		}
	}
}

// Guards against calls to the platform that grow with the number of hosts.
func TestOneHostReadsForTheCell(t *testing.T) {
	c := newCluster(1, 12)
	c.setHosts("u1", "u2")
	c.rig.Run(60 * time.Second)
	c.requireHostCount(t, 2)
	total := 0
	for _, n := range c.reads {
		total += n
	}
	// The reader reads once per second; the others read once at the start.
	require.LessOrEqual(t, total, 60+12)
}

// Guards against hosts that learn too late of a leaving upstream: a change of
// the platform's list must reach every host within 3 s.
func TestChangeReachesEveryHost(t *testing.T) {
	c := newCluster(1, 12)
	c.setHosts("u1", "u2")
	c.rig.Run(10 * time.Second)
	c.setHosts("u1")
	c.rig.DropNext(4)
	c.rig.Run(3 * time.Second)
	c.requireHostCount(t, 1)
}

// Guards against a cell that keeps an old list after its reader failed or was
// partitioned.
func TestHostsReadWhenTheReaderIsUnresponsive(t *testing.T) {
	for _, fault := range []func(c *cluster){
		func(c *cluster) { c.rig.Node("h00").Kill() },
		func(c *cluster) { c.rig.Isolate("h00") },
	} {
		c := newCluster(1, 6)
		c.setHosts("u1")
		c.rig.Run(10 * time.Second)
		fault(c)
		c.setHosts("u1", "u2", "u3")
		c.rig.Run(UpdateTimeout + 2*ReadInterval)
		c.requireHostCount(t, 3)
	}
}

// Guards against an older list overwriting a newer one.
func TestOlderListIsIgnored(t *testing.T) {
	m := NewMachine("h1")
	newer := store.HostList{AsOf: time.UnixMilli(2000), Hosts: []store.ListedHost{{Name: "u1"}}}
	require.Len(t, m.Step(machine.Now{Instant: 1}, ListRead{OK: true, List: newer}), 1)
	old := List{AsOfMillis: 1000, Entries: []Entry{{Name: "u1"}, {Name: "u2"}}}
	require.Empty(t, m.Step(machine.Now{Instant: 2}, machine.Received{Message: old}))
}
