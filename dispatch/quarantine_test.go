package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/internal/faulttest"
	"github.com/catkinspring/catkinspring/machine"
)

// cell is a set of hosts that share suspected crashes.
type cell struct {
	rig    *faulttest.Rig
	tables map[fleet.HostID]*Table
}

func newCell(seed uint64, hosts int) *cell {
	c := &cell{rig: faulttest.New(seed), tables: map[fleet.HostID]*Table{}}
	view := &fleet.View{}
	for i := range hosts {
		id := fleet.HostID(fmt.Sprint("h", i))
		member := fleet.Member{Host: id, Incarnation: c.rig.Incarnation()}
		c.tables[id] = &Table{}
		c.rig.AddNode(member, NewQuarantine(member, c.tables[id]))
		view.Members = append(view.Members, fleet.ViewMember{Member: member, State: fleet.StateActive})
	}
	for _, n := range c.rig.Nodes() {
		c.rig.Inject(n, machine.ViewChanged{View: view})
	}
	return c
}

func (c *cell) inject(host fleet.HostID, in machine.Input) { c.rig.Inject(c.rig.Node(host), in) }

// differing returns the running hosts on which the quarantine state of a fingerprint
// is not the expected one.
func (c *cell) differing(fingerprint uint64, quarantined bool) (mismatches []string) {
	for id, table := range c.tables {
		if c.rig.Node(id).Running() && table.Quarantined(fingerprint) != quarantined {
			mismatches = append(mismatches, fmt.Sprintf("%s: quarantined(%d) is not %v", id, fingerprint, quarantined))
		}
	}
	return mismatches
}

func crashOf(upstream fleet.Upstream, fingerprints ...uint64) Suspected {
	return Suspected{Upstream: upstream, Fingerprints: fingerprints, Alone: len(fingerprints) == 1}
}

// Guards against a request that continues to crash upstreams through other hosts,
// and against refusing the requests that were in flight at the same time.
func TestQuarantineRule(t *testing.T) {
	const crashing, concurrent1, concurrent2 = 1, 2, 3
	c := newCell(1, 4)
	c.inject("h0", crashOf("u1", crashing, concurrent1))
	c.rig.Run(time.Second)
	require.Empty(t, c.differing(crashing, false), "one crash with others in flight must not quarantine")
	c.inject("h1", crashOf("u2", crashing, concurrent2))
	c.rig.Run(time.Second)
	require.Empty(t, c.differing(crashing, true))
	require.Empty(t, c.differing(concurrent1, false))
	require.Empty(t, c.differing(concurrent2, false))
	require.True(t, c.tables["h3"].Suspected(concurrent1))

	c.inject("h2", Succeeded{Fingerprint: crashing})
	c.rig.Run(time.Second)
	require.Empty(t, c.differing(crashing, false), "a success must clear the quarantine")
	c.rig.Run(time.Minute)
	require.Empty(t, c.differing(crashing, false), "a resent message must not restore the quarantine")

	c.inject("h0", crashOf("u3", crashing))
	c.rig.Run(time.Second)
	require.Empty(t, c.differing(crashing, true), "the only request in flight must be quarantined at once")
	c.rig.Run(QuarantineTime - time.Minute)
	require.Empty(t, c.differing(crashing, true))
	c.rig.Run(2 * time.Minute)
	require.Empty(t, c.differing(crashing, false), "a quarantine must expire")
}

// Guards against quarantining requests when an upstream fails by itself while each
// of several hosts has one request there.
func TestUpstreamFailureQuarantinesNoRequest(t *testing.T) {
	c := newCell(2, 3)
	c.inject("h0", crashOf("u1", 1))
	c.inject("h1", crashOf("u1", 2))
	c.rig.Run(time.Second)
	require.Empty(t, append(c.differing(1, false), c.differing(2, false)...))
}

// Guards against an unbounded number of suspects.
func TestSuspectsAreBounded(t *testing.T) {
	q := NewQuarantine(fleet.Member{Host: "h0"}, &Table{})
	for i := range uint64(maxSuspects + 100) {
		q.Step(machine.Now{Instant: 1}, crashOf("u1", i, i+1))
	}
	require.Len(t, q.suspects, maxSuspects)
}

type quarantineScenario struct{ *cell }

func (s quarantineScenario) Rig() *faulttest.Rig { return s.rig }

func (s quarantineScenario) Run() {
	s.inject("h0", crashOf("u1", 1, 2))
	s.rig.Run(100 * time.Millisecond)
	s.inject("h1", crashOf("u2", 1, 3))
	s.inject("h2", crashOf("u3", 4))
	s.rig.Run(100 * time.Millisecond)
	s.inject("h2", Succeeded{Fingerprint: 4})
	s.rig.Run(100 * time.Millisecond)
	s.rig.Heal()
	// Long enough for three resends to two of three hosts after the longest delay.
	s.rig.Run(20 * time.Second)
}

func (s quarantineScenario) Check() []string {
	mismatches := append(s.differing(1, true), s.differing(2, false)...)
	return append(append(mismatches, s.differing(3, false)...), s.differing(4, false)...)
}

// Guards against hosts that disagree permanently after lost, duplicated, delayed or
// reordered messages or a partition.
func TestQuarantineMatrix(t *testing.T) {
	rig := func(f func(*faulttest.Rig)) func(faulttest.Scenario) {
		return func(s faulttest.Scenario) { f(s.Rig()) }
	}
	(&faulttest.Matrix{
		Module: "quarantine",
		Seeds:  []uint64{1, 2},
		Faults: []faulttest.Fault{
			{Name: "drop", Apply: rig(func(r *faulttest.Rig) { r.DropNext(3) })},
			{Name: "duplicate", Apply: rig(func(r *faulttest.Rig) { r.DuplicateNext(3) })},
			{Name: "delay", Apply: rig(func(r *faulttest.Rig) { r.DelayNext(5 * time.Second) })},
			{Name: "isolate", Apply: rig(func(r *faulttest.Rig) { r.Isolate("h3") })},
			{Name: "cut", Apply: rig(func(r *faulttest.Rig) { r.CutBoth("h1", "h2") })},
		},
		Build:     func(seed uint64) faulttest.Scenario { return quarantineScenario{newCell(seed, 4)} },
		MaxSteps:  24,
		PairSteps: 4,
		PairDelay: 50 * time.Millisecond,
	}).Run(t)
}
