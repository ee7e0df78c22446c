package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/internal/faulttest"
	"github.com/catkinspring/catkinspring/machine"
)

// lease is the lease duration of all scenarios.
const lease = MinLeaseDuration

// maxDrift is the maximum drift between two clocks in parts per million.
const maxDrift = 1000

// process is one incarnation under test with the state it last published.
type process struct {
	node       *faulttest.Node
	machine    machine.Machine
	view       *fleet.View
	leaseUntil machine.Instant
	retired    bool
	left       bool
}

// hasValidLease reports whether the lease is valid by the process's own clock,
// also while the process is paused.
func (p *process) hasValidLease() bool {
	return p.view != nil && !p.retired && !p.left && p.node.Time().Instant < p.leaseUntil
}

// cellScenario is a cell of hosts in three regions.
type cellScenario struct {
	rig        *faulttest.Rig
	lease      time.Duration
	build      func(o Options) machine.Machine
	hosts      []fleet.HostID
	running    map[fleet.HostID]*process
	all        []*process
	violations []string
	script     func(s *cellScenario)
	// lastFaultEnd is when the last fault ends without a repair; 0 without a fault.
	lastFaultEnd machine.Instant
	killed       map[fleet.HostID]bool // hosts that a fault killed permanently
	onOutput     func(p *process, out machine.Output)
}

var scenarioRegions = []fleet.Region{"ostland", "vestland", "nordland"}

func newCell(seed uint64, hosts int, build func(o Options) machine.Machine) *cellScenario {
	s := &cellScenario{
		rig:     faulttest.New(seed),
		lease:   lease,
		build:   build,
		running: map[fleet.HostID]*process{},
		killed:  map[fleet.HostID]bool{},
	}
	s.rig.OnOutput = s.handleOutput
	s.hosts = faulttest.HostIDs(hosts)
	return s
}

func (s *cellScenario) Rig() *faulttest.Rig { return s.rig }

func (s *cellScenario) Run() { s.script(s) }

// start starts a new incarnation of a host.
func (s *cellScenario) start(id fleet.HostID) *process {
	member := fleet.Member{Host: id, Incarnation: s.rig.Incarnation()}
	index := slices.Index(s.hosts, id)
	region := scenarioRegions[index%len(scenarioRegions)]
	p := &process{}
	p.machine = s.build(Options{
		Self:          member,
		Location:      fleet.Location{Region: region, FailureDomain: fleet.FailureDomain(region + "-1")},
		Cell:          "a",
		LeaseDuration: s.lease,
		LeaveDelay:    s.lease / 4,
		Rand:          rand.New(rand.NewPCG(s.rig.Rand.Uint64(), 1)),
	})
	p.node = s.rig.AddNode(member, p.machine)
	p.node.SetDrift(s.rig.Rand.Int64N(maxDrift) - maxDrift/2)
	s.running[id] = p
	s.all = append(s.all, p)
	return p
}

func (s *cellScenario) startAll() {
	for _, id := range s.hosts {
		s.start(id)
	}
}

// replace kills the incarnation of a host and starts a new one.
func (s *cellScenario) replace(id fleet.HostID) {
	s.running[id].node.Kill()
	s.start(id)
}

func (s *cellScenario) process(n *faulttest.Node) *process {
	for _, p := range s.all {
		if p.node == n {
			return p
		}
	}
	return nil
}

func (s *cellScenario) handleOutput(n *faulttest.Node, out machine.Output) {
	p := s.process(n)
	switch out := out.(type) {
	case ViewPublished:
		p.view = out.View
	case LeaseRenewed:
		p.leaseUntil = out.ValidUntil
	case Retired:
		p.retired = true
		if s.running[n.Member.Host] == p {
			s.rig.After(50*time.Millisecond, func() { s.replace(n.Member.Host) })
		}
	case Left:
		p.left = true
	}
	if s.onOutput != nil {
		s.onOutput(p, out)
	}
	s.checkExclusiveOwnership()
}

// checkExclusiveOwnership checks the main safety property: the incarnations that
// have a valid lease by their own clock never hold more than the total weight,
// and no two of them own the same partition.
func (s *cellScenario) checkExclusiveOwnership() {
	weight := uint32(0)
	var owners [fleet.Partitions]*process
	for _, p := range s.all {
		if p.node.Killed() || !p.hasValidLease() {
			continue
		}
		for i := range p.view.Members {
			if p.view.Members[i].Member == p.view.Self {
				weight += p.view.Members[i].Weight
			}
		}
		for i := range owners {
			if !p.view.Owns(i) {
				continue
			}
			if other := owners[i]; other != nil {
				s.recordViolation("partition %d owned by %s and %s", i, other.node.Member, p.node.Member)
			}
			owners[i] = p
		}
	}
	if weight > fleet.TotalWeight {
		s.recordViolation("weights sum to %d", weight)
	}
}

func (s *cellScenario) recordViolation(format string, args ...any) {
	if len(s.violations) < 3 {
		text := fmt.Sprintf(format, args...)
		s.rig.Logf("VIOLATION %s", text)
		s.violations = append(s.violations, fmt.Sprintf("%s: %s", time.Duration(s.rig.Now())-time.Hour, text))
	}
}

// Check returns the violations of the run. At its end every running host must
// hold a lease, and all weight and partitions must be in use.
func (s *cellScenario) Check() []string {
	if reason := s.unsettled(); reason != "" {
		s.recordViolation("at the end %s", reason)
	}
	return s.violations
}

// unsettled returns how the cell differs from its normal state, or "".
func (s *cellScenario) unsettled() string {
	weight := uint32(0)
	owned := 0
	for _, id := range s.hosts {
		p := s.running[id]
		if s.killed[id] || p.left {
			continue
		}
		if !p.hasValidLease() {
			return fmt.Sprintf("%s holds no lease", p.node.Member)
		}
		if self := p.view.Find(id); self != nil {
			weight += self.Weight
		}
		for i := range p.view.Partitions {
			if p.view.Owns(i) {
				owned++
			}
		}
	}
	if weight != fleet.TotalWeight || owned != fleet.Partitions {
		return fmt.Sprintf("weight %d and %d partitions are in use", weight, owned)
	}
	return ""
}

// settle runs until the cell is in its normal state, but at most for d.
func (s *cellScenario) settle(d time.Duration) {
	end := s.rig.Now().Add(d)
	for s.rig.Now() < end && (s.rig.Now() < s.lastFaultEnd || s.unsettled() != "") {
		s.rig.Run(lease / 4)
	}
}
