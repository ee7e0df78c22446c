package operator

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/internal/faulttest"
	"github.com/catkinspring/catkinspring/machine"
)

// Guards against a host that never gets the address of another one because the
// first messages between them are lost, and against an address that is kept after
// its host left.
func TestContactsReachAllHosts(t *testing.T) {
	const hosts = 6
	rig := faulttest.New(1)
	known := map[fleet.HostID]map[fleet.HostID]netip.AddrPort{}
	rig.OnOutput = func(n *faulttest.Node, out machine.Output) {
		known[n.Member.Host] = out.(ContactsChanged).Addresses
	}
	view := &fleet.View{}
	for i := range hosts {
		member := fleet.Member{Host: fleet.HostID(fmt.Sprintf("h%d", i)), Incarnation: rig.Incarnation()}
		view.Members = append(view.Members, fleet.ViewMember{Member: member})
		rig.AddNode(member, NewContacts(member, netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7", i+1))))
	}
	for _, n := range rig.Nodes() {
		rig.Inject(n, machine.ViewChanged{View: view})
	}
	rig.DropNext(hosts * (hosts - 1))
	rig.Run(3 * time.Second)
	for _, n := range rig.Nodes() {
		require.Len(t, known[n.Member.Host], hosts, n.Member.Host)
	}
	rig.Node("h0").Kill()
	for _, n := range rig.Nodes()[1:] {
		rig.Inject(n, machine.ViewChanged{View: &fleet.View{Members: view.Members[1:]}})
		require.Len(t, known[n.Member.Host], hosts-1, n.Member.Host)
	}
}
