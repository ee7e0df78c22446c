package edge

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/catkinspring/catkinspring/catalog"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/gossip"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	// modelStep is the resolution of the model's clock; machines tick each modelTick.
	modelStep = 10 * time.Millisecond
	modelTick = 50 * time.Millisecond
	// modelLatency is the time of a message between two hosts, modelCall that of a call to
	// the store, modelRetry the time between two failed calls, modelStaleLag the age of
	// stale reads.
	modelLatency  = 40 * time.Millisecond
	modelCall     = 100 * time.Millisecond
	modelRetry    = 600 * time.Millisecond
	modelStaleLag = 4 * time.Second
	// modelStart is when a scenario begins: long after the hosts have started.
	modelStart = machine.Instant(8 * time.Second)
)

// modelFleet runs the decisions of a fleet under a virtual clock beside a store with one
// change, and others before and after it.
type modelFleet struct {
	random *rand.Rand
	// loss is the share of messages that are lost.
	loss     float64
	now      machine.Instant
	hosts    []*modelHost
	byID     map[fleet.HostID]*modelHost
	messages []modelMessage
	plan     []modelEvent
	// burst is the time between two other changes, the first of which is offset after the
	// start; 0 without them.
	burst, offset time.Duration
	// slow is how much later the store answers each call.
	slow time.Duration
	// changeAt is when the store acknowledges the change.
	changeAt machine.Instant
	starts   uint32
	// joins is true if hosts that start from now on join a running fleet.
	joins bool
	// calls counts the calls to the store since modelStart that read the latest state.
	calls int
}

type modelMessage struct {
	at   machine.Instant
	from fleet.Member
	to   *modelHost
	body machine.Message
}

type modelEvent struct {
	at machine.Instant
	do func()
}

// modelHost is one host with its copy of the store.
type modelHost struct {
	fleet   *modelFleet
	entry   catalog.Host
	member  fleet.Member
	up, cut bool
	// lacks are the hosts that this host's list of hosts lacks.
	lacks  map[fleet.HostID]bool
	gossip *gossip.Machine
	role   *modelRole
	// touched is true once the scenario has disturbed this host.
	touched bool
	// complete is the revision of this host's copy, known the highest that it knows of.
	complete, known uint64
	// listDone is when a list completes; 0 if none runs. timer decides when one is requested
	// because a peer knows a later change.
	listDone machine.Instant
	timer    listTimer
	// watchBegins is when the pause of a reader ends, watchEnds when its watch returns
	// without a change.
	watchBegins, watchEnds machine.Instant
}

// firstRevision is the revision of the store before all changes.
const firstRevision uint64 = 1

// revisionAt returns the revision of the store at an instant.
func (f *modelFleet) revisionAt(at machine.Instant) uint64 {
	revision := firstRevision
	if f.burst > 0 && at.Sub(0) >= f.offset {
		revision += uint64((at.Sub(0)-f.offset)/f.burst) + 1
	}
	if at >= f.changeAt {
		revision++
	}
	return revision
}

// changed reports whether the change is in force on a host.
func (h *modelHost) changed() bool { return h.complete >= h.fleet.revisionAt(h.fleet.changeAt) }

func newModelFleet(n int, seed uint64, changeAt machine.Instant) *modelFleet {
	f := &modelFleet{random: rand.New(rand.NewPCG(seed, 34)), byID: map[fleet.HostID]*modelHost{}, changeAt: changeAt}
	for i := range n {
		region := fleet.Region([]string{"nordland", "ostland", "vestland"}[i*3/n])
		h := &modelHost{fleet: f, entry: catalog.Host{ID: fleet.HostID(fmt.Sprintf("h-%03d", i)), Location: fleet.Location{Region: region}}}
		f.hosts = append(f.hosts, h)
		f.byID[h.entry.ID] = h
	}
	for _, h := range f.hosts {
		h.start()
	}
	f.joins = true
	return f
}

// at plans an event of the scenario.
func (f *modelFleet) at(after time.Duration, do func()) {
	f.plan = append(f.plan, modelEvent{at: modelStart.Add(after), do: do})
}

// run plays the model until an instant and calls check after each step.
func (f *modelFleet) run(until machine.Instant, check func()) {
	for ; f.now < until; f.now = f.now.Add(modelStep) {
		for i := range f.plan {
			if f.plan[i].do != nil && f.now >= f.plan[i].at {
				f.plan[i].do()
				f.plan[i].do = nil
			}
		}
		f.deliver()
		for i, h := range f.hosts {
			if !h.up {
				continue
			}
			if (f.now.Sub(0)+time.Duration(i)*modelStep)%modelTick == 0 {
				h.tick()
			}
			h.readStore()
		}
		check()
	}
}

func (f *modelFleet) deliver() {
	// All messages take the same time, so they are due in the order in which they were sent.
	for len(f.messages) > 0 && f.messages[0].at <= f.now {
		m := f.messages[0]
		f.messages = f.messages[1:]
		if m.to.up {
			m.to.receive(machine.Received{From: m.from, Message: m.body})
		}
	}
}

func (h *modelHost) send(out machine.Send) {
	f := h.fleet
	if f.random.Float64() >= f.loss {
		f.messages = append(f.messages, modelMessage{at: f.now.Add(modelLatency), from: h.member, to: f.byID[out.To], body: out.Message})
	}
}

// start runs a new process of the host. Its first list is the latest state.
func (h *modelHost) start() {
	f := h.fleet
	f.starts++
	h.up, h.known, h.complete = true, firstRevision, firstRevision
	h.listDone, h.timer, h.watchBegins, h.watchEnds = f.now.Add(modelCall), listTimer{}, 0, 0
	h.member = fleet.Member{Host: h.entry.ID, Incarnation: gossip.IncarnationOf(f.starts)}
	h.gossip = gossip.New(gossip.Config{Host: h.entry.ID, Location: h.entry.Location, Incarnation: f.starts, Joins: f.joins})
	h.role = newModelRole(h)
	h.stepGossip(h.hostList())
	h.stepGossip(gossip.AnnounceSelf{})
}

// listWithout sets a list of hosts that lacks some.
func (h *modelHost) listWithout(lacks ...*modelHost) {
	h.lacks = map[fleet.HostID]bool{}
	for _, other := range lacks {
		h.lacks[other.entry.ID] = true
	}
	h.stepGossip(h.hostList())
}

// hostList returns the list of hosts that the host has.
func (h *modelHost) hostList() gossip.SetHosts {
	f := h.fleet
	all := make([]catalog.Host, 0, len(f.hosts))
	for _, other := range f.hosts {
		if !h.lacks[other.entry.ID] {
			all = append(all, other.entry)
		}
	}
	return gossip.SetHosts{Hosts: all}
}

func (h *modelHost) kill() { h.up, h.touched = false, true }

// stop is a planned stop with the time that it takes on an idle host.
func (h *modelHost) stop() {
	h.touched = true
	h.stepGossip(gossip.SetSelf{Leaving: true})
	h.fleet.plan = append(h.fleet.plan, modelEvent{at: h.fleet.now.Add(acceptAfterStop), do: func() { h.up = false }})
}

func (h *modelHost) setCut(cut bool) { h.cut, h.touched = cut, true }

// revisions returns the list that the host reports to its peers.
func (h *modelHost) revisions() []uint64 { return []uint64{h.complete} }

func (h *modelHost) stepGossip(in machine.Input) {
	for _, out := range h.gossip.Step(machine.Now{Instant: h.fleet.now}, in) {
		switch out := out.(type) {
		case machine.Send:
			h.send(out)
		case gossip.PeersChanged:
			h.learn(out.Revisions)
			h.role.peers(out.Peers)
		}
	}
}

// learn notes the revisions that peers know.
func (h *modelHost) learn(revisions []uint64) {
	if len(revisions) > 0 {
		h.known = max(h.known, revisions[0])
	}
}

// list requests the latest state unless it is being read.
func (h *modelHost) list() {
	if h.listDone == 0 {
		h.listDone = h.fleet.now.Add(modelCall + h.fleet.slow)
		h.fleet.countCall()
	}
}

func (f *modelFleet) countCall() {
	if f.now >= modelStart {
		f.calls++
	}
}

// readStore models catalog.Follow and checkStaleCopies for the kind of object with the longest
// pauses.
func (h *modelHost) readStore() {
	now := h.fleet.now
	latest := h.fleet.revisionAt(now.Add(-modelCall / 2))
	switch {
	case h.listDone != 0 && now >= h.listDone && h.cut:
		h.listDone = now.Add(modelRetry)
	case h.listDone != 0 && now >= h.listDone:
		h.listDone, h.watchBegins, h.watchEnds = 0, now, now.Add(readerWatch(0))
		h.role.listed()
		h.apply(latest)
	case h.listDone != 0 || h.cut || now < h.watchBegins:
	case h.role.reads():
		h.watch(latest)
	default:
		h.apply(h.fleet.revisionAt(now.Add(-modelStaleLag)))
	}
	if h.timer.isDue(now, h.complete, h.known, h.role.listDelay()) {
		h.list()
	}
}

// watch models the watch of a reader, which returns with a change or at its end.
func (h *modelHost) watch(latest uint64) {
	now := h.fleet.now
	switch {
	case latest > h.complete:
		pause := watchPause(kindUpstreams, true)
		h.watchBegins, h.watchEnds = now.Add(pause), now.Add(pause+readerWatch(pause))
		h.fleet.countCall()
		h.apply(latest)
	case now >= h.watchEnds.Add(h.fleet.slow):
		h.watchEnds = now.Add(readerWatch(0))
		h.fleet.countCall()
	}
}

func (h *modelHost) apply(revision uint64) {
	if revision <= h.complete {
		return
	}
	h.complete = revision
	if h.role.reads() {
		h.stepGossip(gossip.RevisionsObserved{Revisions: h.revisions()})
	}
}
