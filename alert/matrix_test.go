package alert

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/internal/faulttest"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/measure"
)

const (
	testRule = "alert crashes if quarantined > 0 for 3s severity page"
	// detectionDelay is the time after which the other hosts consider a failed host
	// unreachable.
	detectionDelay = 2 * time.Second
	// faultDuration is how long a pause or a network partition lasts.
	faultDuration = 15 * time.Second
)

// recordedEvent is an alert event and the host that recorded it.
type recordedEvent struct {
	host fleet.HostID
	kind string
	text string
}

// recorder passes inputs to the machine and stores its alert events.
type recorder struct {
	*Machine
	events *[]recordedEvent
}

func (r recorder) Step(now machine.Now, in machine.Input) []machine.Output {
	out := r.Machine.Step(now, in)
	for _, o := range out {
		if e, ok := o.(machine.Event); ok && (e.Kind == EventFired || e.Kind == EventCleared) {
			*r.events = append(*r.events, recordedEvent{r.self.Host, e.Kind, e.Text})
		}
	}
	return out
}

// simulatedCell is a simulated cell in which one rule must fire once and clear once.
type simulatedCell struct {
	rig         *faulttest.Rig
	members     []fleet.ViewMember
	unreachable map[fleet.HostID]bool
	// value is the Quarantined value that every host reports.
	value   int
	events  []recordedEvent
	current map[fleet.HostID]CurrentAlerts
}

func newSimulatedCell(seed uint64, hosts int) *simulatedCell {
	c := &simulatedCell{rig: faulttest.New(seed), unreachable: map[fleet.HostID]bool{}, current: map[fleet.HostID]CurrentAlerts{}}
	c.rig.OnOutput = c.handleOutput
	for i := range hosts {
		member := fleet.Member{Host: fleet.HostID(fmt.Sprintf("h%d", i)), Incarnation: c.rig.Incarnation()}
		c.members = append(c.members, fleet.ViewMember{Member: member, State: fleet.StateActive})
		c.rig.AddNode(member, recorder{New(member), &c.events})
	}
	for _, n := range c.rig.Nodes() {
		c.rig.Inject(n, machine.LeaseChanged{ValidUntil: n.Time().Instant.Add(time.Hour)})
		c.rig.Inject(n, SetRules{Revision: 1, Lines: []string{testRule}})
	}
	c.changeViews()
	return c
}

func (c *simulatedCell) handleOutput(n *faulttest.Node, out machine.Output) {
	switch out := out.(type) {
	case CollectReport:
		c.rig.After(time.Millisecond, func() { c.rig.Inject(n, ReportCollected{Report: measure.Report{Quarantined: c.value, LeaseMillis: 1}}) })
	case CurrentAlerts:
		c.current[n.Member.Host] = out
	}
}

// changeViews gives each host a view with the members that it can reach.
func (c *simulatedCell) changeViews() {
	for _, n := range c.rig.Nodes() {
		view := &fleet.View{Version: 1, Self: n.Member}
		for _, m := range c.members {
			m.Reachable = m.Host == n.Member.Host || !c.unreachable[m.Host] && !c.unreachable[n.Member.Host]
			view.Members = append(view.Members, m)
		}
		c.rig.Inject(n, machine.ViewChanged{View: view})
	}
}

// markUnreachable marks a host as unreachable after detectionDelay.
func (c *simulatedCell) markUnreachable(id fleet.HostID) {
	c.rig.After(detectionDelay, func() {
		c.unreachable[id] = true
		c.changeViews()
	})
}

// recoverAfterFault undoes a fault after faultDuration and makes the host reachable.
func (c *simulatedCell) recoverAfterFault(id fleet.HostID, undo func()) {
	c.rig.After(faultDuration, func() {
		undo()
		delete(c.unreachable, id)
		c.changeViews()
	})
}

// expectedEvaluator returns the first running reachable host, to which faults apply.
func (c *simulatedCell) expectedEvaluator() fleet.HostID {
	for _, m := range c.members {
		if !c.unreachable[m.Host] && c.rig.Node(m.Host).Running() {
			return m.Host
		}
	}
	return c.members[0].Host
}

func (c *simulatedCell) Rig() *faulttest.Rig { return c.rig }

func (c *simulatedCell) Run() {
	c.rig.Run(10 * time.Second)
	c.value = 1
	c.rig.Run(40 * time.Second)
	c.value = 0
	c.rig.Run(40 * time.Second)
}

// Check requires one firing and one clearing. The same change may be recorded
// twice, by two hosts and with the same text, if the evaluator lost its
// connections immediately after the first record.
func (c *simulatedCell) Check() []string {
	texts := map[string]map[string]bool{EventFired: {}, EventCleared: {}}
	for _, e := range c.events {
		texts[e.kind][e.text] = true
	}
	var violations []string
	for kind, list := range texts {
		if len(list) != 1 {
			violations = append(violations, fmt.Sprintf("%d different %s: %v", len(list), kind, c.events))
		}
	}
	if len(c.events) > 3 {
		violations = append(violations, fmt.Sprintf("%d records of two changes", len(c.events)))
	}
	for _, n := range c.rig.Nodes() {
		if n.Running() && len(c.current[n.Member.Host].Firing) > 0 {
			violations = append(violations, string(n.Member.Host)+" still shows a firing alert")
		}
	}
	return violations
}

func faults() []faulttest.Fault {
	onEvaluator := func(apply func(c *simulatedCell, id fleet.HostID)) func(faulttest.Scenario) {
		return func(s faulttest.Scenario) {
			c := s.(*simulatedCell)
			apply(c, c.expectedEvaluator())
		}
	}
	return []faulttest.Fault{
		{Name: "kill", Apply: onEvaluator(func(c *simulatedCell, id fleet.HostID) {
			c.rig.Node(id).Kill()
			c.markUnreachable(id)
		})},
		{Name: "pause", Apply: onEvaluator(func(c *simulatedCell, id fleet.HostID) {
			c.rig.Node(id).Pause()
			c.markUnreachable(id)
			c.recoverAfterFault(id, func() { c.rig.Node(id).Resume() })
		})},
		{Name: "cut", Apply: onEvaluator(func(c *simulatedCell, id fleet.HostID) {
			c.rig.Isolate(id)
			c.markUnreachable(id)
			c.recoverAfterFault(id, c.rig.Heal)
		})},
		{Name: "drop", Apply: func(s faulttest.Scenario) { s.Rig().DropNext(5) }},
		{Name: "duplicate", Apply: func(s faulttest.Scenario) { s.Rig().DuplicateNext(5) }},
		{Name: "delay", Apply: func(s faulttest.Scenario) { s.Rig().DelayNext(3 * time.Second) }},
	}
}

// Guards against an alert that fires or clears twice, or never, when the evaluator
// is killed, paused or partitioned at any step.
func TestMatrix(t *testing.T) {
	m := faulttest.Matrix{
		Module: "alert", Seeds: []uint64{1, 2}, Faults: faults(), MaxSteps: 60, PairSteps: 6, PairDelay: 4 * time.Second, Parallel: 4,
		Build: func(seed uint64) faulttest.Scenario { return newSimulatedCell(seed, 5) },
	}
	m.Run(t)
}

// Guards against a partitioned minority that records alert events.
func TestMinorityRecordsNoEvents(t *testing.T) {
	c := newSimulatedCell(1, 5)
	c.rig.Run(10 * time.Second)
	for _, id := range []fleet.HostID{"h0", "h1"} {
		for _, other := range []fleet.HostID{"h2", "h3", "h4"} {
			c.rig.CutBoth(id, other)
		}
	}
	c.value = 1
	c.rig.Run(30 * time.Second)
	require.Empty(t, c.events)
}
