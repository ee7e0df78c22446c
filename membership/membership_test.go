package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/internal/faulttest"
	"github.com/catkinspring/catkinspring/machine"
)

func buildMembership(o Options) machine.Machine { return New(o) }

// newFormedCell returns a cell in its normal state, whose leases are renewed by
// acknowledgements as well as by store reads.
func newFormedCell(t *testing.T, seed uint64, hosts int) *cellScenario {
	t.Helper()
	s := newCell(seed, hosts, buildMembership)
	s.startAll()
	s.rig.Run(4 * lease)
	require.Empty(t, s.Check())
	return s
}

// waitFor runs the rig until a condition holds and returns how long it took.
func (s *cellScenario) waitFor(t *testing.T, limit time.Duration, condition func() bool) time.Duration {
	t.Helper()
	start := s.rig.Now()
	for !condition() {
		require.Less(t, s.rig.Now().Sub(start), limit, "bound exceeded: %s", s.unsettled())
		s.rig.Run(faulttest.TickInterval)
	}
	return s.rig.Now().Sub(start)
}

func margin() time.Duration { return New(Options{LeaseDuration: lease}).margin() }

// reclaimBound is the bound in the design document: 2T, its margins and some
// heartbeats (two to detect, one for the writer's rank, one to confirm).
func reclaimBound() time.Duration {
	return 2*lease + 2*margin() + 4*lease/heartbeatsPerLease
}

// TestReclaim guards against weight and partitions of a dead host that
// stay unused longer than the design document allows, or are reused too early.
func TestReclaim(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		s := newFormedCell(t, seed, 6)
		s.killFirstRunning()
		took := s.waitFor(t, reclaimBound(), func() bool { return s.unsettled() == "" })
		t.Logf("seed %d: reclaimed after %s, bound %s", seed, took, reclaimBound())
	}
}

// TestReplaceAll guards against a cell that never recovers, or recovers before
// the old leases have expired, when all hosts are replaced at once.
func TestReplaceAll(t *testing.T) {
	s := newFormedCell(t, 1, 6)
	s.startPlatformLists()
	for _, id := range s.hosts {
		s.replace(id)
	}
	bound := 2*lease + 2*margin() + 8*lease/heartbeatsPerLease
	took := s.waitFor(t, bound, func() bool { return s.unsettled() == "" })
	require.Greater(t, took, 2*lease)
	t.Logf("recovered after %s, bound %s", took, bound)
	require.Empty(t, s.Check())
}

// TestStoreOutage guards against a fleet that stops when the store does, and
// against weight that moves while the store is down.
func TestStoreOutage(t *testing.T) {
	s := newFormedCell(t, 1, 6)
	s.rig.Store.SetDown(true)
	s.rig.Run(time.Minute)
	require.Empty(t, s.Check())
	s.killFirstRunning()
	s.rig.Run(time.Minute)
	require.Contains(t, s.unsettled(), "weight 83333")
	s.rig.Store.SetDown(false)
	s.waitFor(t, reclaimBound()+lease, func() bool { return s.unsettled() == "" })
	require.Empty(t, s.Check())
}

// TestSplit guards against a minority that stops although it reads the
// store, a minority that continues without it, and a majority that stops.
func TestSplit(t *testing.T) {
	s := newFormedCell(t, 1, 6)
	minority := func(id fleet.HostID) bool { return id < "host-02" }
	s.isolate(time.Hour, func(from, to fleet.HostID) bool { return minority(from) != minority(to) })
	for _, id := range s.hosts {
		s.rig.Store.SetHostCut(id, !minority(id))
	}
	for range 20 {
		s.rig.Run(lease / 4)
		for _, id := range s.hosts {
			require.True(t, s.running[id].hasValidLease(), "%s", id)
		}
	}
	s.rig.Store.SetDown(true)
	s.rig.Run(lease + margin())
	for _, id := range s.hosts {
		require.Equal(t, !minority(id), s.running[id].hasValidLease(), "%s", id)
	}
	for _, id := range s.hosts {
		s.rig.Store.SetHostCut(id, false)
	}
	s.rig.Store.SetDown(false)
	s.rig.Heal()
	s.settle(settleTime)
	require.Empty(t, s.Check())
}

// TestLeave guards against a planned stop that leaves weight unused for a lease
// duration or moves it while the host still uses it.
func TestLeave(t *testing.T) {
	s := newFormedCell(t, 1, 6)
	p := s.running["host-02"]
	s.rig.Inject(p.node, Leave{})
	handover := lease/4 + 3*lease/heartbeatsPerLease
	s.waitFor(t, handover, func() bool { return p.left })
	s.waitFor(t, 2*lease/heartbeatsPerLease, func() bool { return s.unsettled() == "" })
	require.Empty(t, s.Check())
	s.start("host-02")
	s.waitFor(t, 2*lease, func() bool { return s.unsettled() == "" })
}

// TestRestoredStore guards against a fleet that reverts to an old roster when
// the store is restored from a backup.
func TestRestoredStore(t *testing.T) {
	s := newFormedCell(t, 1, 6)
	backup := s.rig.Store.Snapshot()
	s.replace("host-05")
	s.rig.Run(4 * lease)
	require.Empty(t, s.Check())
	s.rig.Store.Restore(backup)
	s.rig.Run(4 * lease)
	require.Empty(t, s.Check())
	value, _ := s.rig.Store.Read(rosterKey("a"))
	r, err := decodeRoster(value)
	require.NoError(t, err)
	require.NotNil(t, r.find(s.running["host-05"].node.Member.Incarnation))
}

// TestUncommittedClaimsAfterTakeover guards against a new owner that assumes it
// knows all claims although the old owner may have granted uncommitted ones.
func TestUncommittedClaimsAfterTakeover(t *testing.T) {
	s := newFormedCell(t, 1, 6)
	p := s.running["host-00"]
	acknowledged := 0
	s.onOutput = func(_ *process, out machine.Output) {
		if _, ok := out.(UncommittedAcknowledged); ok {
			acknowledged++
		}
	}
	s.rig.Store.SetDown(true)
	s.rig.Inject(p.node, SetUncommitted{Since: p.node.Time().Instant})
	require.Zero(t, acknowledged, "no majority can have acknowledged yet")
	s.waitFor(t, 100*time.Millisecond, func() bool { return acknowledged == 1 })
	var owned []int
	for i := range p.view.Partitions {
		if p.view.Owns(i) {
			owned = append(owned, i)
		}
	}
	s.killFirstRunning()
	s.rig.Store.SetDown(false)
	s.waitFor(t, reclaimBound()+lease, func() bool { return s.unsettled() == "" })
	for i, partition := range s.running["host-03"].view.Partitions {
		if contains(owned, i) {
			require.True(t, partition.PreviousUncommitted, "partition %d", i)
			require.Equal(t, p.node.Member, partition.Previous)
		} else {
			require.False(t, partition.PreviousUncommitted, "partition %d", i)
		}
	}
}

func contains(numbers []int, n int) bool {
	for _, element := range numbers {
		if element == n {
			return true
		}
	}
	return false
}

// TestRevision guards against a host that does not report which peers have a
// newer configuration.
func TestRevision(t *testing.T) {
	s := newFormedCell(t, 1, 6)
	seen := map[fleet.HostID]RevisionSeen{}
	s.onOutput = func(p *process, out machine.Output) {
		if r, ok := out.(RevisionSeen); ok {
			seen[p.node.Member.Host] = r
		}
	}
	for _, id := range s.hosts[:2] {
		s.rig.Inject(s.running[id].node, SetRevision{Revision: 7})
	}
	s.rig.Run(lease / 4)
	require.Equal(t, RevisionSeen{Revision: 7, Hosts: s.hosts[:2]}, seen["host-05"])
	require.Equal(t, RevisionSeen{Revision: 7, Hosts: s.hosts[1:2]}, seen["host-00"])
}

// TestStoreReads guards against a rate of store calls that grows with the number
// of hosts: about one or two hosts of a cell read per third of a lease.
func TestStoreReads(t *testing.T) {
	for _, hosts := range []int{6, 24} {
		s := newFormedCell(t, 1, hosts)
		callsBefore := s.rig.Store.Calls
		s.rig.Run(10 * lease)
		calls := s.rig.Store.Calls - callsBefore
		t.Logf("%d hosts: %d store calls in 30 thirds of a lease", hosts, calls)
		require.LessOrEqual(t, calls, 2*30)
	}
}
