package edge

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/catalog"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/gossip"
)

// Guards against a restarted host that counts hosts without a sign of life among the
// fresh watchers, so that nobody reads the latest state.
func TestHostsThatLeftAreNoFreshWatchers(t *testing.T) {
	peer := func(id, region string, confirmed bool) gossip.Peer {
		p := gossip.Peer{Host: catalog.Host{ID: fleet.HostID(id), Location: fleet.Location{Region: fleet.Region(region)}}, Alive: true}
		if confirmed {
			p.Member = fleet.Member{Host: p.ID, Incarnation: gossip.IncarnationOf(1)}
		}
		return p
	}
	peers := []gossip.Peer{peer("h-1", "a", false), peer("h-2", "b", false), peer("h-3", "a", true), peer("h-4", "b", true), peer("h-5", "a", true)}
	for id, fresh := range map[fleet.HostID]bool{"h-1": false, "h-2": false, "h-3": true, "h-4": true, "h-5": false} {
		require.Equal(t, fresh, isFreshWatcher(id, peers), id)
	}
}
