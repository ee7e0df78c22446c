package faulttest

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// TickInterval is the time between two ticks of a node.
const TickInterval = 50 * time.Millisecond

// wallStartMillis is the wall clock of every rig at its start, in Unix milliseconds.
const wallStartMillis = 1_800_000_000_000

// Node is one simulated host with its state machine.
type Node struct {
	Member  fleet.Member
	Machine machine.Machine
	// Offset is added to the node's monotonic clock, so that no test compares
	// the clocks of two nodes.
	Offset time.Duration
	// WallOffset is added to the node's wall clock.
	WallOffset time.Duration

	drift      int64 // rate error of the monotonic clock, in parts per million; positive if it runs fast
	driftSince machine.Instant

	rig        *Rig
	down       bool
	paused     bool
	heldInputs []machine.Input
}

// Rig is a set of nodes with a network, a store and one virtual clock.
type Rig struct {
	Rand  *rand.Rand
	Store *Store
	// Latency is the one-way delay of a message, before jitter.
	Latency time.Duration
	// Jitter is the largest random delay that is added to Latency.
	Jitter time.Duration
	// OnOutput is called for the outputs that the rig does not handle itself.
	OnOutput func(n *Node, out machine.Output)
	// OnStep is called before each delivery of a message or a store result.
	OnStep func(step int)

	seed          uint64
	now           machine.Instant
	nodes         map[fleet.HostID]*Node
	hostOrder     []fleet.HostID
	queue         deliveries
	sequence      uint64
	steps         int
	cutLinks      map[link]bool
	linkDelays    map[link]time.Duration
	dropNext      int
	duplicateNext int
	delayNext     time.Duration
	trace         []string
	keepTrace     bool
}

type link struct{ from, to fleet.HostID }

// New returns an empty rig whose randomness comes from the seed.
func New(seed uint64) *Rig {
	r := &Rig{
		Rand:       rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		Latency:    3 * time.Millisecond,
		Jitter:     2 * time.Millisecond,
		seed:       seed,
		now:        machine.Instant(time.Hour),
		nodes:      map[fleet.HostID]*Node{},
		cutLinks:   map[link]bool{},
		linkDelays: map[link]time.Duration{},
	}
	r.Store = newStore(r)
	return r
}

// Incarnation returns a new incarnation from the rig's randomness.
func (r *Rig) Incarnation() fleet.Incarnation {
	var i fleet.Incarnation
	for k := range i {
		i[k] = byte(r.Rand.UintN(256))
	}
	return i
}

// AddNode adds a running node. Its first tick comes within TickInterval.
func (r *Rig) AddNode(member fleet.Member, m machine.Machine) *Node {
	n := &Node{Member: member, Machine: m, rig: r, Offset: time.Duration(r.Rand.Int64N(int64(time.Hour)))}
	if _, known := r.nodes[member.Host]; !known {
		r.hostOrder = append(r.hostOrder, member.Host)
	}
	r.nodes[member.Host] = n
	r.schedule(time.Duration(r.Rand.Int64N(int64(TickInterval))), delivery{node: n, input: machine.Tick{}})
	return n
}

// HostIDs returns n host IDs: host-00, host-01 and so on.
func HostIDs(n int) []fleet.HostID {
	ids := make([]fleet.HostID, 0, n)
	for i := range n {
		ids = append(ids, fleet.HostID(fmt.Sprintf("host-%02d", i)))
	}
	return ids
}

// Node returns the running or stopped node of a host.
func (r *Rig) Node(id fleet.HostID) *Node { return r.nodes[id] }

// Nodes returns all nodes in the order in which their hosts were added.
func (r *Rig) Nodes() []*Node {
	nodes := make([]*Node, 0, len(r.hostOrder))
	for _, id := range r.hostOrder {
		nodes = append(nodes, r.nodes[id])
	}
	return nodes
}

// Now returns the virtual time.
func (r *Rig) Now() machine.Instant { return r.now }

// Steps returns the number of deliveries so far.
func (r *Rig) Steps() int { return r.steps }

// KeepTrace makes the rig record its actions, for Trace.
func (r *Rig) KeepTrace() { r.keepTrace = true }

// Trace returns the recorded lines.
func (r *Rig) Trace() []string { return r.trace }

// Logf adds a line to the trace.
func (r *Rig) Logf(format string, args ...any) {
	if r.keepTrace {
		r.trace = append(r.trace, fmt.Sprintf("%12s ", time.Duration(r.now)-time.Hour)+fmt.Sprintf(format, args...))
	}
}

// Cut drops every later message from one host to another.
func (r *Rig) Cut(from, to fleet.HostID) { r.cutLinks[link{from, to}] = true }

// CutBoth drops every later message between two hosts.
func (r *Rig) CutBoth(a, b fleet.HostID) {
	r.Cut(a, b)
	r.Cut(b, a)
}

// Isolate cuts a host from all others.
func (r *Rig) Isolate(id fleet.HostID) {
	for _, other := range r.hostOrder {
		if other != id {
			r.CutBoth(id, other)
		}
	}
}

// Heal removes every cut and delay of the network.
func (r *Rig) Heal() {
	r.cutLinks = map[link]bool{}
	r.linkDelays = map[link]time.Duration{}
}

// DelayLink adds a delay to every later message from one host to another.
func (r *Rig) DelayLink(from, to fleet.HostID, d time.Duration) { r.linkDelays[link{from, to}] = d }

// DropNext drops the next n messages.
func (r *Rig) DropNext(n int) { r.dropNext += n }

// DuplicateNext delivers the next n messages twice.
func (r *Rig) DuplicateNext(n int) { r.duplicateNext += n }

// DelayNext delays the next message, so that later ones overtake it.
func (r *Rig) DelayNext(d time.Duration) { r.delayNext = d }

// Run advances the virtual clock by d.
func (r *Rig) Run(d time.Duration) {
	end := r.now.Add(d)
	for len(r.queue) > 0 && r.queue[0].at <= end {
		next := heap.Pop(&r.queue).(delivery)
		r.now = next.at
		r.deliver(next)
	}
	r.now = end
}

// Inject gives an input to a node at the current time.
func (r *Rig) Inject(n *Node, in machine.Input) { n.receive(in) }

func (r *Rig) deliver(d delivery) {
	if d.call != nil {
		d.call()
		return
	}
	if d.node.down {
		return
	}
	if _, tick := d.input.(machine.Tick); tick {
		r.schedule(TickInterval, d)
	} else {
		if r.OnStep != nil {
			r.OnStep(r.steps)
		}
		r.steps++
		if d.node.down {
			return
		}
		r.Logf("%s <- %T %+v", d.node.Member.Host, d.input, d.input)
	}
	d.node.receive(d.input)
}

func (r *Rig) schedule(after time.Duration, d delivery) {
	r.sequence++
	d.at = r.now.Add(after)
	d.sequence = r.sequence
	heap.Push(&r.queue, d)
}

// After calls f after the given time.
func (r *Rig) After(d time.Duration, f func()) { r.schedule(d, delivery{call: f}) }

func (r *Rig) send(from *Node, out machine.Send) {
	l := link{from.Member.Host, out.To}
	to := r.nodes[out.To]
	if to == nil || r.cutLinks[l] {
		return
	}
	if r.dropNext > 0 {
		r.dropNext--
		return
	}
	delay := r.Latency + r.linkDelays[l] + r.jitter()
	if r.delayNext > 0 {
		delay += r.delayNext
		r.delayNext = 0
	}
	copies := 1
	if r.duplicateNext > 0 {
		r.duplicateNext--
		copies = 2
	}
	for range copies {
		input := machine.Received{From: from.Member, Message: out.Message}
		r.schedule(delay, delivery{call: func() { r.deliverMessage(l, input) }})
		delay += r.jitter()
	}
}

// deliverMessage delivers a message to the node that the host has at the time of
// delivery, which AddNode may have replaced since the message was sent.
func (r *Rig) deliverMessage(l link, in machine.Input) {
	if !r.cutLinks[l] {
		r.deliver(delivery{node: r.nodes[l.to], input: in})
	}
}

func (r *Rig) jitter() time.Duration {
	if r.Jitter <= 0 {
		return 0
	}
	return time.Duration(r.Rand.Int64N(int64(r.Jitter)))
}

// Time returns the node's clocks.
func (n *Node) Time() machine.Now {
	return machine.Now{
		Instant:    n.rig.now.Add(n.Offset + n.driftOffset()),
		WallMillis: wallStartMillis + (time.Duration(n.rig.now) + n.WallOffset).Milliseconds(),
	}
}

// SetDrift sets how much faster than real time the monotonic clock runs from now
// on, in parts per million; slower if negative.
func (n *Node) SetDrift(partsPerMillion int64) {
	n.Offset += n.driftOffset()
	n.drift = partsPerMillion
	n.driftSince = n.rig.now
}

func (n *Node) driftOffset() time.Duration {
	return n.rig.now.Sub(n.driftSince) * time.Duration(n.drift) / 1_000_000
}

// Kill stops the node permanently. Messages to it are lost.
func (n *Node) Kill() { n.down = true }

// Killed reports whether the node was killed.
func (n *Node) Killed() bool { return n.down }

// Running reports whether the node is neither killed nor paused.
func (n *Node) Running() bool { return !n.down && !n.paused }

// Pause holds back every input of the node, as SIGSTOP does.
func (n *Node) Pause() { n.paused = true }

// Resume delivers the inputs that were held back.
func (n *Node) Resume() {
	n.paused = false
	heldInputs := n.heldInputs
	n.heldInputs = nil
	for _, in := range heldInputs {
		n.receive(in)
	}
}

func (n *Node) receive(in machine.Input) {
	if n.down {
		return
	}
	if n.paused {
		if _, tick := in.(machine.Tick); !tick || len(n.heldInputs) == 0 {
			n.heldInputs = append(n.heldInputs, in)
		}
		return
	}
	for _, out := range n.Machine.Step(n.Time(), in) {
		n.carryOut(out)
	}
}

func (n *Node) carryOut(out machine.Output) {
	switch out := out.(type) {
	case machine.Send:
		n.rig.send(n, out)
	case machine.StoreCall:
		n.rig.Store.call(n, out)
	case machine.Event:
		n.rig.Logf("%s event %s %s %s", n.Member.Host, out.Kind, out.Subject, out.Text)
	default:
		if n.rig.OnOutput != nil {
			n.rig.OnOutput(n, out)
		}
	}
}

type delivery struct {
	at       machine.Instant
	sequence uint64
	node     *Node
	input    machine.Input
	call     func()
}

type deliveries []delivery

func (q deliveries) Len() int { return len(q) }

func (q deliveries) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

func (q deliveries) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *deliveries) Push(x any) { *q = append(*q, x.(delivery)) }

func (q *deliveries) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
