package membership

import (
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/internal/faulttest"
	"github.com/catkinspring/catkinspring/machine"
)

// Times of the matrix scenario. A retirement takes at most 2T plus its margins and
// some heartbeats. settleTime is twice that, because a pair of faults may need two
// retirements in sequence.
const (
	leaveAt         = 3 * lease
	replaceAt       = 5 * lease
	faultsEnd       = 7 * lease
	settleTime      = 6 * lease
	platformListLag = lease

	longestFault = 4 * lease

	storeLatency = 5 * time.Millisecond
)

// runMatrixScript forms a cell, lets one host leave and return, replaces another
// one and gives the cell time to settle after the faults.
func runMatrixScript(s *cellScenario) {
	r := s.rig
	s.startAll()
	s.onOutput = func(p *process, out machine.Output) {
		if _, left := out.(Left); left && s.running[p.node.Member.Host] == p {
			r.After(lease/4, func() { s.replace(p.node.Member.Host) })
		}
	}
	s.startPlatformLists()
	r.After(leaveAt, func() { r.Inject(s.running["host-04"].node, Leave{}) })
	r.After(replaceAt, func() { s.replaceUnlessKilled("host-03") })
	r.After(faultsEnd, func() {
		r.Heal()
		r.Store.SetDown(false)
	})
	r.Run(faultsEnd)
	if s.lastFaultEnd > 0 {
		// The run without faults ends here, so that no fault is injected later.
		s.settle(settleTime)
	}
}

// startPlatformLists repeatedly sends the platform's list to all hosts, each time
// platformListLag after it was read.
func (s *cellScenario) startPlatformLists() {
	list := PlatformHosts{}
	for _, id := range s.hosts {
		left := s.running[id] != nil && s.running[id].left
		list.Hosts = append(list.Hosts, PlatformHost{Host: id, Live: !s.killed[id] && !left})
	}
	s.rig.After(platformListLag, func() {
		for _, p := range s.running {
			s.rig.Inject(p.node, list)
		}
		s.startPlatformLists()
	})
}

func (s *cellScenario) replaceUnlessKilled(id fleet.HostID) {
	if !s.killed[id] {
		s.replace(id)
	}
}

// killFirstRunning permanently stops the first host that is still running.
func (s *cellScenario) killFirstRunning() {
	for _, id := range s.hosts {
		if !s.killed[id] {
			s.killed[id] = true
			s.running[id].node.Kill()
			return
		}
	}
}

func (s *cellScenario) pause(id fleet.HostID, d time.Duration) {
	n := s.running[id].node
	n.Pause()
	s.rig.After(d, n.Resume)
}

// isolate cuts links and heals them after d.
func (s *cellScenario) isolate(d time.Duration, shouldCut func(from, to fleet.HostID) bool) {
	for _, from := range s.hosts {
		for _, to := range s.hosts {
			if from != to && shouldCut(from, to) {
				s.rig.Cut(from, to)
			}
		}
	}
	s.rig.After(d, s.rig.Heal)
}

func (s *cellScenario) region(id fleet.HostID) int {
	return int(id[len(id)-1]-'0') % len(scenarioRegions)
}

func fault(name string, apply func(s *cellScenario)) faulttest.Fault {
	return faulttest.Fault{Name: name, Apply: func(s faulttest.Scenario) {
		cell := s.(*cellScenario)
		cell.lastFaultEnd = cell.rig.Now().Add(longestFault)
		apply(cell)
	}}
}

var matrixFaults = []faulttest.Fault{
	fault("kill", (*cellScenario).killFirstRunning),
	fault("pause", func(s *cellScenario) { s.pause("host-01", lease*3/2) }),
	fault("pause-long", func(s *cellScenario) { s.pause("host-02", longestFault) }),
	fault("cut", func(s *cellScenario) {
		s.isolate(2*lease, func(from, to fleet.HostID) bool { return from == "host-00" || to == "host-00" })
	}),
	fault("one-way-cut", func(s *cellScenario) {
		s.isolate(2*lease, func(from, _ fleet.HostID) bool { return from == "host-01" })
	}),
	fault("region-cut", func(s *cellScenario) {
		s.isolate(2*lease, func(from, to fleet.HostID) bool { return (s.region(from) == 0) != (s.region(to) == 0) })
	}),
	fault("split", func(s *cellScenario) {
		s.isolate(2*lease, func(from, to fleet.HostID) bool { return s.region(from) != s.region(to) })
	}),
	fault("slow-link", func(s *cellScenario) {
		for _, to := range s.hosts {
			s.rig.DelayLink("host-02", to, lease/4)
		}
	}),
	fault("drop", func(s *cellScenario) { s.rig.DropNext(30) }),
	fault("duplicate", func(s *cellScenario) { s.rig.DuplicateNext(30) }),
	fault("reorder", func(s *cellScenario) {
		for i := range 10 {
			s.rig.After(time.Duration(i)*faulttest.TickInterval, func() { s.rig.DelayNext(lease / 2) })
		}
	}),
	fault("store-outage", func(s *cellScenario) {
		s.rig.Store.SetDown(true)
		s.rig.After(2*lease, func() { s.rig.Store.SetDown(false) })
	}),
	fault("store-slow", func(s *cellScenario) {
		s.rig.Store.Latency = lease / 3
		s.rig.After(2*lease, func() { s.rig.Store.Latency = storeLatency })
	}),
	fault("lost-answers", func(s *cellScenario) { s.rig.Store.LoseAnswers(4) }),
	fault("store-cut", func(s *cellScenario) {
		s.rig.Store.SetHostCut("host-00", true)
		s.rig.After(3*lease, func() { s.rig.Store.SetHostCut("host-00", false) })
	}),
	fault("replace", func(s *cellScenario) { s.replaceUnlessKilled("host-05") }),
	fault("replace-all", func(s *cellScenario) {
		for _, id := range s.hosts {
			s.replaceUnlessKilled(id)
		}
	}),
	fault("clock", func(s *cellScenario) { s.running["host-00"].node.WallOffset = -time.Hour }),
}

func newMatrix(name string, build func(o Options) machine.Machine) *faulttest.Matrix {
	return &faulttest.Matrix{
		Module: name,
		Seeds:  []uint64{1},
		Faults: matrixFaults,
		Build: func(seed uint64) faulttest.Scenario {
			s := newCell(seed, 6, build)
			s.script = runMatrixScript
			return s
		},
		MaxSteps:  16,
		PairSteps: 1,
		PairDelay: lease / 2,
		Parallel:  min(runtime.NumCPU(), 8),
	}
}

// TestMatrix guards against two incarnations holding the same weight or
// partition, and against a cell that does not recover, under each fault and
// each pair of faults.
func TestMatrix(t *testing.T) {
	newMatrix("membership", buildMembership).Run(t)
}

// TestMatrixDetectsNaive guards against a matrix that detects nothing: a module
// that uses only timeouts must fail it because weight or partitions are held
// twice.
func TestMatrixDetectsNaive(t *testing.T) {
	m := newMatrix("naive", func(o Options) machine.Machine { return &naive{o: o, lastSeen: map[fleet.Member]machine.Instant{}} })
	m.PairSteps = 0
	m.MaxSteps = 4
	failures := m.Violations(t)
	doubleHeld := 0
	for _, violations := range failures {
		text := strings.Join(violations, " ")
		if strings.Contains(text, "weights sum") || strings.Contains(text, "owned by") {
			doubleHeld++
		}
	}
	t.Logf("naive: %d cells fail, %d of them with weight or partitions held twice", len(failures), doubleHeld)
	require.Positive(t, doubleHeld)
}
