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

// cell is a few hosts that share suspicions.
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

// differing returns the hosts on which a fingerprint is not as wanted.
func (c *cell) differing(fingerprint uint64, quarantined bool) (out []string) {
	for id, table := range c.tables {
		if c.rig.Node(id).Running() && table.Quarantined(fingerprint) != quarantined {
			out = append(out, fmt.Sprintf("%s: quarantined(%d) is not %v", id, fingerprint, quarantined))
		}
	}
	return out
}

func crashOf(upstream fleet.Upstream, fingerprints ...uint64) Suspected {
	return Suspected{Upstream: upstream, Fingerprints: fingerprints, Alone: len(fingerprints) == 1}
}

// Guards against a request that goes on crashing upstreams on other hosts, and
// against refusing the requests that were in flight beside it.
func TestQuarantineRule(t *testing.T) {
	const culprit, bystander, other = 1, 2, 3
	c := newCell(1, 4)
	c.inject("h0", crashOf("u1", culprit, bystander))
	c.rig.Run(time.Second)
	require.Empty(t, c.differing(culprit, false), "one crash with others in flight is no proof")
	c.inject("h1", crashOf("u2", culprit, other))
	c.rig.Run(time.Second)
	require.Empty(t, c.differing(culprit, true))
	require.Empty(t, c.differing(bystander, false))
	require.Empty(t, c.differing(other, false))
	require.True(t, c.tables["h3"].Suspected(bystander))

	c.inject("h2", Succeeded{Fingerprint: culprit})
	c.rig.Run(time.Second)
	require.Empty(t, c.differing(culprit, false), "a success clears it")
	c.rig.Run(time.Minute)
	require.Empty(t, c.differing(culprit, false), "a repeated message must not bring it back")

	c.inject("h0", crashOf("u3", culprit))
	c.rig.Run(time.Second)
	require.Empty(t, c.differing(culprit, true), "a request alone in flight is quarantined at once")
	c.rig.Run(QuarantineTime - time.Minute)
	require.Empty(t, c.differing(culprit, true))
	c.rig.Run(2 * time.Minute)
	require.Empty(t, c.differing(culprit, false), "a quarantine ends")
}

// Guards against refusing innocent requests when an upstream fails by itself
// while each of several hosts has one request there.
func TestUpstreamFailureIsNotARequestsFault(t *testing.T) {
	c := newCell(2, 3)
	c.inject("h0", crashOf("u1", 1))
	c.inject("h1", crashOf("u1", 2))
	c.rig.Run(time.Second)
	require.Empty(t, append(c.differing(1, false), c.differing(2, false)...))
}

// Guards against suspicions without bound.
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
	// Three repeats to two of three hosts, after the longest delay.
	s.rig.Run(20 * time.Second)
}

func (s quarantineScenario) Check() []string {
	wrong := append(s.differing(1, true), s.differing(2, false)...)
	return append(append(wrong, s.differing(3, false)...), s.differing(4, false)...)
}

// Guards against hosts that disagree for good after lost, repeated, late or
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
