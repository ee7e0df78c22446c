package operations

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/internal/faulttest"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/membership"
	"github.com/catkinspring/catkinspring/traffic"
)

// testLease is the lease duration of all scenarios.
const testLease = membership.MinLeaseDuration

// process is one incarnation. It combines the real membership and the machine under
// test, as the control loop does.
type process struct {
	cell       *cell
	node       *faulttest.Node
	membership *membership.Membership
	operations machine.Machine
	view       *fleet.View
	version    uint64
	joined     bool
	leaseUntil machine.Instant
	retired    bool
	left       bool
	attempts   uint64
	waiting    map[uint64]*call
	// storeCalls holds the calls of both machines; the index is the id in the rig.
	storeCalls []storeCall
}

// storeCall is a store call of one of the two machines of a process.
type storeCall struct {
	id         uint64
	operations bool
}

// Step applies an input to both machines and routes their outputs to each other.
func (p *process) Step(now machine.Now, in machine.Input) []machine.Output {
	if p.membership == nil {
		if v, ok := in.(machine.ViewChanged); ok {
			if v.View.Version <= p.version {
				return nil
			}
			p.view, p.version = v.View, v.View.Version
		}
		return p.operations.Step(now, in)
	}
	if r, ok := in.(machine.StoreResult); ok {
		of := p.storeCalls[r.ID]
		r.ID = of.id
		if of.operations {
			return p.route(now, true, p.operations.Step(now, r))
		}
		return p.route(now, false, p.membership.Step(now, r))
	}
	// Each machine ignores the inputs of the other.
	out := p.route(now, false, p.membership.Step(now, in))
	return append(out, p.route(now, true, p.operations.Step(now, in))...)
}

// route passes outputs to the other machine if they are for it and returns the rest.
func (p *process) route(now machine.Now, fromOperations bool, outputs []machine.Output) []machine.Output {
	var out []machine.Output
	toOperations := func(in machine.Input) { out = append(out, p.route(now, true, p.operations.Step(now, in))...) }
	toMembership := func(in machine.Input) { out = append(out, p.route(now, false, p.membership.Step(now, in))...) }
	for _, o := range outputs {
		switch o := o.(type) {
		case machine.StoreCall:
			p.storeCalls = append(p.storeCalls, storeCall{id: o.ID, operations: fromOperations})
			o.ID = uint64(len(p.storeCalls) - 1)
			out = append(out, o)
		case membership.ViewPublished:
			p.view = o.View
			toOperations(machine.ViewChanged{View: o.View})
		case membership.LeaseRenewed:
			p.leaseUntil = o.ValidUntil
			toOperations(machine.LeaseChanged{ValidUntil: o.ValidUntil})
		case membership.UncommittedAcknowledged:
			toOperations(UncommittedAcknowledged{Since: o.Since})
		case DeclareUncommitted:
			p.cell.declared = true
			toMembership(membership.SetUncommitted{Since: o.Since})
		case ClearUncommitted:
			toMembership(membership.ClearUncommitted{})
		default:
			out = append(out, o)
		}
	}
	return out
}

// valid is the lease check immediately before an upstream is written to.
func (p *process) valid() bool {
	return !p.retired && p.node.Time().Instant < p.leaseUntil
}

// call is a caller's request at one host.
type call struct {
	host     *process
	id       traffic.OperationID
	attempt  uint64
	started  machine.Instant
	ended    machine.Instant
	decision Decision
	result   string
	executed bool
	// execution is the result of the execution, even if the caller did not get it.
	execution string
	released  bool
	waited    bool
	then      func(k *call)
}

// cell simulates a cell of hosts in three regions with a simulated upstream.
type cell struct {
	rig *faulttest.Rig
	// views replaces the real membership if it is set.
	views      *viewService
	build      func(self fleet.Member) machine.Machine
	hosts      []fleet.HostID
	running    map[fleet.HostID]*process
	all        []*process
	calls      []*call
	executions map[traffic.OperationID][]*call
	violations []string
	workload   func(c *cell)
	// runFor is the delay before the simulated upstream executes an operation and
	// again before it responds.
	runFor time.Duration
	// ending returns how the n-th execution ends.
	ending func(n int) Ending
	// declared (a host announced uncommitted mode) and hostLost (a host was lost)
	// explain unknown outcomes.
	declared bool
	hostLost bool
	healed   bool
	gone     map[fleet.HostID]bool
}

var cellRegions = []fleet.Region{"ostland", "vestland", "nordland"}

func newCell(seed uint64, hosts int, build func(self fleet.Member) machine.Machine) *cell {
	c := &cell{
		rig:        faulttest.New(seed),
		build:      build,
		running:    map[fleet.HostID]*process{},
		executions: map[traffic.OperationID][]*call{},
		gone:       map[fleet.HostID]bool{},
		runFor:     20 * time.Millisecond,
		ending:     func(int) Ending { return EndingComplete },
	}
	c.rig.OnOutput = c.output
	c.hosts = faulttest.HostIDs(hosts)
	return c
}

func (c *cell) Rig() *faulttest.Rig { return c.rig }

func (c *cell) Run() { c.workload(c) }

func (c *cell) start(id fleet.HostID) *process {
	member := fleet.Member{Host: id, Incarnation: c.rig.Incarnation()}
	index := slices.Index(c.hosts, id)
	region := cellRegions[index%len(cellRegions)]
	p := &process{cell: c, operations: c.build(member), waiting: map[uint64]*call{}}
	if c.views == nil {
		p.membership = c.newMembership(member, region)
	}
	p.node = c.rig.AddNode(member, p)
	c.running[id] = p
	c.all = append(c.all, p)
	return p
}

func (c *cell) newMembership(member fleet.Member, region fleet.Region) *membership.Membership {
	return membership.New(membership.Options{
		Self:          member,
		Location:      fleet.Location{Region: region, FailureDomain: fleet.FailureDomain(region + "-1")},
		Cell:          "a",
		LeaseDuration: testLease,
		LeaveDelay:    testLease / 4,
		Rand:          rand.New(rand.NewPCG(c.rig.Rand.Uint64(), 1)),
	})
}

func (c *cell) startAll() {
	for _, id := range c.hosts {
		c.start(id)
	}
}

// leave starts the planned departure of a host.
func (c *cell) leave(id fleet.HostID) {
	p := c.running[id]
	switch {
	case !p.valid():
	case c.views == nil:
		c.rig.Inject(p.node, membership.Leave{})
	case c.views.find(p.node.Member) != nil:
		m := c.views.find(p.node.Member)
		m.leaving, m.leavingAt = true, c.rig.Now()
		c.views.version++
	}
}

// cut drops messages from one host to another.
func (c *cell) cut(from, to fleet.HostID) {
	c.rig.Cut(from, to)
	if c.views != nil {
		c.views.cuts[[2]fleet.HostID{from, to}] = true
	}
}

func (c *cell) isolate(id fleet.HostID) {
	for _, other := range c.hosts {
		if other != id {
			c.cut(id, other)
			c.cut(other, id)
		}
	}
}

func (c *cell) setStoreDown(down bool) {
	c.rig.Store.SetDown(down)
	if c.views != nil {
		c.views.storeDown = down
	}
}

func (c *cell) cutStore(id fleet.HostID, cut bool) {
	c.rig.Store.SetHostCut(id, cut)
	if c.views != nil {
		c.views.storeCut[id] = cut
	}
}

// kill stops a host permanently.
func (c *cell) kill(id fleet.HostID) {
	c.hostLost = true
	c.gone[id] = true
	c.running[id].node.Kill()
}

// replace kills the incarnation of a host and starts a new one.
func (c *cell) replace(id fleet.HostID) {
	c.hostLost = true
	delete(c.gone, id)
	c.running[id].node.Kill()
	c.start(id)
}

func (c *cell) output(n *faulttest.Node, out machine.Output) {
	var p *process
	for _, other := range c.all {
		if other.node == n {
			p = other
		}
	}
	switch out := out.(type) {
	case Decided:
		p.decided(out)
	case DeclareUncommitted:
		c.declared = true
		c.views.declare(p, out.Since)
	case ClearUncommitted:
		c.views.clear(p)
	case membership.Retired:
		c.hostLost = true
		p.retired = true
		if c.running[n.Member.Host] == p {
			c.rig.After(50*time.Millisecond, func() { c.replace(n.Member.Host) })
		}
	case membership.Left:
		p.left = true
		c.hostLost = true
		c.gone[n.Member.Host] = true
		c.rig.After(10*time.Millisecond, n.Kill)
	}
}

// call sends a request for an operation to a host and calls then when it has ended.
func (c *cell) call(host fleet.HostID, key string, wait time.Duration, then func(c *call)) *call {
	p := c.running[host]
	p.attempts++
	k := &call{host: p, id: operation(key), attempt: p.attempts, started: c.rig.Now(), then: then}
	c.calls = append(c.calls, k)
	p.waiting[k.attempt] = k
	c.rig.Logf("caller asks %s for %s (attempt %d)", host, key, k.attempt)
	c.rig.Inject(p.node, Begin{Attempt: k.attempt, ID: k.id, Fingerprint: 7, Wait: wait})
	return k
}

func operation(key string) traffic.OperationID {
	return traffic.OperationID{Customer: "c", Key: key}
}

func (p *process) decided(d Decided) {
	k := p.waiting[d.Attempt]
	if k == nil {
		return
	}
	switch d.Decision {
	case DecisionWaiting:
		k.waited = true
	case DecisionGranted:
		p.cell.onHost(p, p.cell.runFor, func() { p.run(k) })
	case DecisionRan:
		p.end(k, d.Decision, string(d.Result.Body))
	default:
		p.end(k, d.Decision, "")
	}
}

// onHost calls f after d, or once the process runs again.
func (c *cell) onHost(p *process, d time.Duration, f func()) {
	c.rig.After(d, func() {
		switch {
		case p.node.Killed():
		case !p.node.Running():
			c.onHost(p, 50*time.Millisecond, f)
		default:
			f()
		}
	})
}

// run executes a granted operation at the simulated upstream.
func (p *process) run(k *call) {
	if p.waiting[k.attempt] != k {
		return
	}
	c := p.cell
	if !p.valid() {
		p.finish(k, Finish{Attempt: k.attempt, Ending: EndingRelease}, DecisionUnavailable, "")
		return
	}
	n := 0
	for _, executed := range c.executions {
		n += len(executed)
	}
	ending := c.ending(n)
	if ending == EndingRelease {
		k.released = true
		p.finish(k, Finish{Attempt: k.attempt, Ending: ending}, DecisionUnavailable, "")
		return
	}
	k.executed = true
	c.executions[k.id] = append(c.executions[k.id], k)
	c.rig.Logf("upstream runs %s for %s (attempt %d)", k.id.Key, p.node.Member.Host, k.attempt)
	result := fmt.Sprintf("%s@%d", k.id.Key, n)
	k.execution = result
	c.onHost(p, c.runFor, func() {
		if ending == EndingAbandon {
			p.finish(k, Finish{Attempt: k.attempt, Ending: ending}, DecisionUnknown, "")
			return
		}
		f := Finish{Attempt: k.attempt, Ending: EndingComplete, Result: traffic.OperationResult{Status: 200, Body: []byte(result)}}
		p.finish(k, f, DecisionGranted, result)
	})
}

// finish reports the end of an attempt and answers the caller.
func (p *process) finish(k *call, f Finish, d Decision, result string) {
	p.cell.rig.Inject(p.node, f)
	p.end(k, d, result)
}

func (p *process) end(k *call, d Decision, result string) {
	delete(p.waiting, k.attempt)
	k.decision = d
	k.result = result
	k.ended = p.cell.rig.Now()
	p.cell.rig.Logf("caller of %s at %s gets %d %q", k.id.Key, p.node.Member.Host, d, result)
	if k.then != nil {
		k.then(k)
	}
}

func (c *cell) addViolation(format string, args ...any) {
	if len(c.violations) < 4 {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
	}
}

func buildMachine(self fleet.Member) machine.Machine { return New(Options{Self: self}) }
