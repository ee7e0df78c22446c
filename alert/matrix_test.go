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
	// detection is the time after which the others see that a host is gone.
	detection = 2 * time.Second
	// faultTime is how long a pause or a cut lasts.
	faultTime = 15 * time.Second
)

// announced is an event with the host that recorded it.
type announced struct {
	host fleet.HostID
	kind string
	text string
}

// recorder passes inputs on and keeps the events.
type recorder struct {
	*Machine
	events *[]announced
}

func (r recorder) Step(now machine.Now, in machine.Input) []machine.Output {
	out := r.Machine.Step(now, in)
	for _, o := range out {
		if e, ok := o.(machine.Event); ok && (e.Kind == EventFired || e.Kind == EventCleared) {
			*r.events = append(*r.events, announced{r.self.Host, e.Kind, e.Text})
		}
	}
	return out
}

// cluster is a cell in which one rule has to fire once and clear once.
type cluster struct {
	rig     *faulttest.Rig
	members []fleet.ViewMember
	gone    map[fleet.HostID]bool
	value   int
	events  []announced
	current map[fleet.HostID]CurrentAlerts
}

func newCluster(seed uint64, hosts int) *cluster {
	c := &cluster{rig: faulttest.New(seed), gone: map[fleet.HostID]bool{}, current: map[fleet.HostID]CurrentAlerts{}}
	c.rig.OnOutput = c.carryOut
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

func (c *cluster) carryOut(n *faulttest.Node, out machine.Output) {
	switch out := out.(type) {
	case CollectReport:
		c.rig.After(time.Millisecond, func() { c.rig.Inject(n, ReportCollected{Report: measure.Report{Quarantined: c.value, LeaseMillis: 1}}) })
	case CurrentAlerts:
		c.current[n.Member.Host] = out
	}
}

// changeViews tells each host whom it can reach.
func (c *cluster) changeViews() {
	for _, n := range c.rig.Nodes() {
		view := &fleet.View{Version: 1, Self: n.Member}
		for _, m := range c.members {
			m.Reachable = m.Host == n.Member.Host || !c.gone[m.Host] && !c.gone[n.Member.Host]
			view.Members = append(view.Members, m)
		}
		c.rig.Inject(n, machine.ViewChanged{View: view})
	}
}

// lose makes the others see after a while that a host is gone.
func (c *cluster) lose(id fleet.HostID) {
	c.rig.After(detection, func() {
		c.gone[id] = true
		c.changeViews()
	})
}

// back makes a host reachable again.
func (c *cluster) back(id fleet.HostID, undo func()) {
	c.rig.After(faultTime, func() {
		undo()
		delete(c.gone, id)
		c.changeViews()
	})
}

// evaluator returns the host that the fault hits.
func (c *cluster) evaluator() fleet.HostID {
	for _, m := range c.members {
		if !c.gone[m.Host] && c.rig.Node(m.Host).Running() {
			return m.Host
		}
	}
	return c.members[0].Host
}

func (c *cluster) Rig() *faulttest.Rig { return c.rig }

func (c *cluster) Run() {
	c.rig.Run(10 * time.Second)
	c.value = 1
	c.rig.Run(40 * time.Second)
	c.value = 0
	c.rig.Run(40 * time.Second)
}

// Check demands one firing and one clearing. The same change may be recorded
// twice, by two hosts and with the same text, if the evaluator lost its
// connections in the instant after the first record.
func (c *cluster) Check() []string {
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
	on := func(apply func(c *cluster, id fleet.HostID)) func(faulttest.Scenario) {
		return func(s faulttest.Scenario) {
			c := s.(*cluster)
			apply(c, c.evaluator())
		}
	}
	return []faulttest.Fault{
		{Name: "kill", Apply: on(func(c *cluster, id fleet.HostID) {
			c.rig.Node(id).Kill()
			c.lose(id)
		})},
		{Name: "pause", Apply: on(func(c *cluster, id fleet.HostID) {
			c.rig.Node(id).Pause()
			c.lose(id)
			c.back(id, func() { c.rig.Node(id).Resume() })
		})},
		{Name: "cut", Apply: on(func(c *cluster, id fleet.HostID) {
			c.rig.Isolate(id)
			c.lose(id)
			c.back(id, c.rig.Heal)
		})},
		{Name: "drop", Apply: func(s faulttest.Scenario) { s.Rig().DropNext(5) }},
		{Name: "duplicate", Apply: func(s faulttest.Scenario) { s.Rig().DuplicateNext(5) }},
		{Name: "delay", Apply: func(s faulttest.Scenario) { s.Rig().DelayNext(3 * time.Second) }},
	}
}

// Guards against an alert that fires or clears twice, or never, when the host
// that evaluates it is killed, paused or cut off at any step.
func TestMatrix(t *testing.T) {
	m := faulttest.Matrix{
		Module: "alert", Seeds: []uint64{1, 2}, Faults: faults(), MaxSteps: 60, PairSteps: 6, PairDelay: 4 * time.Second, Parallel: 4,
		Build: func(seed uint64) faulttest.Scenario { return newCluster(seed, 5) },
	}
	m.Run(t)
}

// Guards against a minority that announces a change of its own.
func TestMinorityAnnouncesNothing(t *testing.T) {
	c := newCluster(1, 5)
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
