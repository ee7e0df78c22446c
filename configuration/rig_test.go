package configuration

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/internal/faulttest"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	testKey    = "00112233445566aa"
	testDigest = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
	// heartbeatInterval is T/8 for the default lease of T = 10 s.
	heartbeatInterval = 1250 * time.Millisecond
)

// heartbeat replaces the heartbeat of package membership; it carries the revision.
type heartbeat struct{ Revision fleet.Revision }

func (heartbeat) MessageNumber() uint16 { return 100 }

// host is a configuration machine with stand-ins for its environment: heartbeats, and
// watches of the head by some of the hosts.
type host struct {
	machine       machine.Machine
	revision      func() fleet.Revision
	cell          *cell
	id            fleet.HostID
	watches       bool
	seenVersion   uint64
	nextHeartbeat machine.Instant
	published     Published
	highest       fleet.Revision
	// reached holds when each revision, or a higher one, came into force here.
	reached map[fleet.Revision]machine.Instant
}

// cell is a set of hosts run by the fault-test rig.
type cell struct {
	rig     *faulttest.Rig
	build   func(fleet.Member) (machine.Machine, func() fleet.Revision)
	members map[fleet.HostID]fleet.Member
	ids     []fleet.HostID
	hosts   map[fleet.HostID]*host
	results map[uint64]NoteResult
	// answered holds when each request was answered.
	answered map[uint64]machine.Instant
	// onTick is called at each tick of a host, if it is set.
	onTick func(h *host)
	// repairs counts the EventRestored events.
	repairs int
	errors  []string
}

func buildMachine(self fleet.Member) (machine.Machine, func() fleet.Revision) {
	m := New(self)
	return m, m.Revision
}

func newCell(seed uint64, size int, build func(fleet.Member) (machine.Machine, func() fleet.Revision)) *cell {
	c := &cell{
		rig: faulttest.New(seed), build: build,
		members: map[fleet.HostID]fleet.Member{}, hosts: map[fleet.HostID]*host{}, results: map[uint64]NoteResult{}, answered: map[uint64]machine.Instant{},
	}
	c.rig.OnOutput = c.output
	for i := range size {
		c.ids = append(c.ids, fleet.HostID(fmt.Sprintf("h%d", i)))
	}
	for _, id := range c.ids {
		c.start(id)
	}
	c.sendViews()
	return c
}

// start starts a new incarnation of a host with empty state.
func (c *cell) start(id fleet.HostID) {
	member := fleet.Member{Host: id, Incarnation: c.rig.Incarnation()}
	m, revision := c.build(member)
	h := &host{machine: m, revision: revision, cell: c, id: id, watches: slices.Index(c.ids, id) < 3, reached: map[fleet.Revision]machine.Instant{}}
	c.members[id] = member
	c.hosts[id] = h
	c.rig.AddNode(member, h)
}

// sendViews sends every host a view in which all current incarnations are reachable.
func (c *cell) sendViews() {
	for _, id := range c.ids {
		view := &fleet.View{Version: 1, Self: c.members[id]}
		for _, other := range c.ids {
			view.Members = append(view.Members, fleet.ViewMember{Member: c.members[other], State: fleet.StateActive, Reachable: true})
		}
		c.rig.Inject(c.rig.Node(id), machine.ViewChanged{View: view})
	}
}

// Step runs the machine together with the watch and heartbeat stand-ins.
func (h *host) Step(now machine.Now, in machine.Input) []machine.Output {
	if received, ok := in.(machine.Received); ok {
		if beat, ok := received.Message.(heartbeat); ok {
			return h.machine.Step(now, PeerRevision{Revision: beat.Revision, Host: received.From.Host})
		}
	}
	out := h.machine.Step(now, in)
	for _, o := range out {
		if e, ok := o.(machine.Event); ok && e.Kind == EventRestored {
			h.cell.repairs++
		}
	}
	if _, ok := in.(machine.Tick); ok {
		if h.cell.onTick != nil {
			h.cell.onTick(h)
		}
		out = append(out, h.watch(now)...)
		out = append(out, h.beat(now)...)
	}
	return out
}

func (h *host) watch(now machine.Now) []machine.Output {
	_, version := h.cell.rig.Store.Read(HeadKey)
	if !h.watches || version == h.seenVersion {
		return nil
	}
	h.seenVersion = version
	return h.machine.Step(now, HeadChanged{})
}

func (h *host) beat(now machine.Now) []machine.Output {
	if now.Instant < h.nextHeartbeat {
		return nil
	}
	h.nextHeartbeat = now.Instant.Add(heartbeatInterval)
	var out []machine.Output
	for _, id := range h.cell.ids {
		if id != h.id {
			out = append(out, machine.Send{To: id, Message: heartbeat{Revision: h.revision()}})
		}
	}
	return out
}

func (c *cell) output(n *faulttest.Node, out machine.Output) {
	h := c.hosts[n.Member.Host]
	switch out := out.(type) {
	case Published:
		h.published = out
		if out.Snapshot == nil {
			return
		}
		if out.Snapshot.Revision < h.highest {
			c.failf("%s went from revision %d to %d", h.id, h.highest, out.Snapshot.Revision)
		}
		for r := h.highest + 1; r <= out.Snapshot.Revision; r++ {
			h.reached[r] = c.rig.Now()
		}
		h.highest = out.Snapshot.Revision
	case NoteResult:
		c.rig.Logf("%s result %+v", h.id, out)
		if _, repeated := c.results[out.RequestID]; repeated {
			c.failf("request %d was answered twice", out.RequestID)
		}
		c.results[out.RequestID] = out
		c.answered[out.RequestID] = c.rig.Now()
	}
}

func (c *cell) failf(format string, args ...any) {
	c.errors = append(c.errors, fmt.Sprintf(format, args...))
}

// apply sends a note to a host.
func (c *cell) apply(id fleet.HostID, request uint64, n *Note) {
	c.rig.Inject(c.rig.Node(id), ApplyNote{RequestID: request, Note: n})
}

// usable reports whether traffic on a host would accept the test key.
func (h *host) usable() bool {
	if h.published.Snapshot == nil {
		return false
	}
	_, known := h.published.Snapshot.KeyOwner(testKey)
	return known && !h.published.Suspended.Has(testKey)
}

func addNote(id string, rate float64) *Note {
	n := &Note{ID: id}
	n.Added.Customers = []Customer{{ID: "feltlag-nord", Rate: rate, Burst: rate, Weight: 1, Keys: []Key{{ID: testKey, Digest: testDigest}}}}
	return n
}

func withdrawNote(id string) *Note {
	n := &Note{ID: id}
	n.Withdrawn.Keys = []string{testKey}
	return n
}

func rateNote(id string, rate float64) *Note {
	n := &Note{ID: id}
	n.Changed.Customers = []CustomerLimits{{ID: "feltlag-nord", Rate: rate, Burst: rate, Weight: 1}}
	return n
}

// Guards against an accepted note that does not come into force on every host, or
// does so too late without faults.
func TestNoteTakesEffectEverywhere(t *testing.T) {
	c := newCell(1, 12, buildMachine)
	c.rig.Run(2 * time.Second)
	c.apply("h5", 1, addNote("first", 10))
	c.rig.Run(time.Second)
	require.Equal(t, NoteResult{RequestID: 1, Revision: 1, Changes: c.results[1].Changes}, c.results[1])
	started := c.rig.Now()
	c.apply("h7", 2, withdrawNote("second"))
	for slices.ContainsFunc(c.ids, func(id fleet.HostID) bool { return c.hosts[id].revision() < 2 }) {
		c.rig.Run(time.Millisecond)
		require.Less(t, c.rig.Now().Sub(started), 3*time.Second)
	}
	for _, id := range c.ids {
		require.False(t, c.hosts[id].usable())
	}
	t.Logf("withdrawal in force on 12 hosts after %v", c.rig.Now().Sub(started))
	// Hosts that waited for a heartbeat would take up to 1.25 s.
	require.Less(t, c.rig.Now().Sub(started), 200*time.Millisecond)
	c.rig.Run(time.Second)
	require.NoError(t, c.results[2].Err)
	c.apply("h1", 3, withdrawNote("second"))
	c.rig.Run(time.Second)
	require.Equal(t, NoteResult{RequestID: 3, Revision: 2, Repeated: true}, c.results[3])
	require.Empty(t, c.errors)
}
