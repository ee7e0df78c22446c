package operations

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/internal/faulttest"
	"github.com/catkinspring/catkinspring/machine"
)

const (
	startTime   = 4 * time.Second
	trafficTime = 5 * time.Second
	// healTime covers a host's retirement, the end of its lease and a takeover.
	healTime     = 4 * testLease
	callTimeout  = 1500 * time.Millisecond
	maxTries     = 8
	callInterval = 120 * time.Millisecond
)

// matrixWorkload starts a cell and sends calls while faults happen.
func matrixWorkload(c *cell) {
	c.startAll()
	c.rig.Run(startTime)
	key := ""
	for i := range int(trafficTime / callInterval) {
		if i%2 == 0 {
			key = c.newKey(i)
		}
		host := c.hosts[(i*7+i/3)%len(c.hosts)]
		c.caller(host, key, 0)
		if i%5 == 0 {
			c.caller(c.hosts[(i+2)%len(c.hosts)], key, 0)
		}
		c.rig.Run(callInterval)
	}
}

// newKey returns a UUID of version 7 or, for every third n, another kind of key.
func (c *cell) newKey(n int) string {
	if n%3 == 0 {
		return fmt.Sprintf("id-%02d", n)
	}
	return c.timedKey(n)
}

// timedKey returns a UUID of version 7 with the current time.
func (c *cell) timedKey(n int) string {
	millis := c.running[c.hosts[0]].node.Time().WallMillis
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", millis>>16, millis&0xffff, n)
}

// heal ends every fault.
func (c *cell) heal() {
	c.rig.Heal()
	if c.views != nil {
		clear(c.views.cuts)
	}
	c.setStoreDown(false)
	c.rig.Store.Latency = 5 * time.Millisecond
	for _, id := range c.hosts {
		c.cutStore(id, false)
	}
	for _, p := range c.all {
		if !p.node.Killed() {
			p.node.Resume()
		}
	}
}

// caller repeats a call at the next host until it gets a final answer or has used
// maxTries.
func (c *cell) caller(host fleet.HostID, key string, tries int) {
	p := c.running[host]
	retry := func() { c.retry(host, key, tries) }
	if p.node.Killed() || p.retired {
		c.rig.After(50*time.Millisecond, retry)
		return
	}
	k := c.call(host, key, callTimeout, func(k *call) {
		if k.decision == DecisionUnavailable || k.decision == DecisionRunning {
			c.rig.After(100*time.Millisecond, retry)
		}
	})
	c.rig.After(callTimeout+time.Second, func() {
		if k.decision == 0 && p.waiting[k.attempt] == k {
			c.rig.Logf("caller of %s at %s gets no answer", key, host)
			k.then = nil
			retry()
		}
	})
}

func (c *cell) retry(host fleet.HostID, key string, tries int) {
	if tries >= maxTries {
		return
	}
	for i, id := range c.hosts {
		if id == host {
			c.caller(c.hosts[(i+1)%len(c.hosts)], key, tries+1)
			return
		}
	}
}

// finalCalls repeats each id at two hosts and sends new ids to each host.
func (c *cell) finalCalls() {
	seen := map[string]bool{}
	var alive []fleet.HostID
	for _, id := range c.hosts {
		if !c.gone[id] {
			alive = append(alive, id)
		}
	}
	for _, k := range append([]*call(nil), c.calls...) {
		if seen[k.id.Key] {
			continue
		}
		seen[k.id.Key] = true
		c.call(alive[0], k.id.Key, callTimeout, nil)
		c.rig.Run(60 * time.Millisecond)
		c.call(alive[len(alive)-1], k.id.Key, callTimeout, nil)
	}
	c.rig.Run(2 * time.Second)
	var newCalls []*call
	for i, id := range alive {
		for n := range 3 {
			newCalls = append(newCalls, c.call(id, c.timedKey(1000+10*i+n), callTimeout, nil))
		}
	}
	c.rig.Run(2 * time.Second)
	for _, k := range newCalls {
		if k.decision != DecisionGranted && !k.released {
			c.addViolation("new id %s at %s after the heal: decision %d", k.id.Key, k.host.node.Member, k.decision)
		}
	}
}

// Check ends all faults, sends the final calls and returns the violations of the
// invariants. It is not part of Run, so that no fault starts after the heal.
func (c *cell) Check() []string {
	c.heal()
	c.healed = true
	c.rig.Run(healTime)
	c.finalCalls()
	byID := map[string][]*call{}
	var order []string
	for _, k := range c.calls {
		if byID[k.id.Key] == nil {
			order = append(order, k.id.Key)
		}
		byID[k.id.Key] = append(byID[k.id.Key], k)
	}
	for _, key := range order {
		c.checkID(key, byID[key])
	}
	return c.violations
}

// checkID checks the guarantees to callers: at most one execution, correct
// refusals, consistent answers to repeats, and unknown outcomes only after a loss.
func (c *cell) checkID(key string, calls []*call) {
	executions := c.executions[operation(key)]
	if len(executions) > 1 {
		c.addViolation("%s ran %d times", key, len(executions))
	}
	lost, holderLost := false, false
	for _, k := range calls {
		holderLost = holderLost || k.executed && (k.host.node.Killed() && !k.host.left || k.host.retired)
		lost = lost || k.host.node.Killed() || k.host.retired || k.host.left
	}
	result, ranAt := "", machine.Instant(0)
	for _, k := range calls {
		switch k.decision {
		case DecisionUnavailable:
			if k.executed {
				c.addViolation("%s ran although %s refused it as not run", key, k.host.node.Member)
			}
		case DecisionGranted, DecisionRan:
			if len(executions) == 0 {
				c.addViolation("%s was answered but never ran", key)
			}
			if result != "" && k.result != result {
				c.addViolation("%s was answered with different results: %q and %q", key, result, k.result)
			}
			result = k.result
			if ranAt == 0 || k.ended < ranAt {
				ranAt = k.ended
			}
		case DecisionUnknown:
			if !lost && !c.uncommittedTakeover() {
				c.addViolation("%s is unknown at %s although no host was lost", key, k.host.node.Member)
			}
		}
	}
	for _, k := range calls {
		late := ranAt != 0 && k.started > ranAt
		if late && k.decision == DecisionUnknown && !holderLost && !c.uncommittedTakeover() {
			c.addViolation("%s was answered with its result and later as unknown", key)
		}
	}
}

// uncommittedTakeover reports whether some host declared uncommitted mode and some
// host was lost.
func (c *cell) uncommittedTakeover() bool { return c.declared && c.hostLost }

// lastCall returns the most recent call, or nil.
func (c *cell) lastCall() *call {
	if len(c.calls) == 0 {
		return nil
	}
	return c.calls[len(c.calls)-1]
}

// owner returns the owner of the id of the most recent call.
func (c *cell) owner() fleet.HostID {
	k := c.lastCall()
	if k == nil {
		return c.hosts[0]
	}
	if view := k.host.view; view != nil {
		if owner := view.Partitions[PartitionOf(k.id)].Owner; owner.Host != "" {
			return owner.Host
		}
	}
	return c.hosts[0]
}

// requester returns the host of the most recent call that was not made at owner.
func (c *cell) requester() fleet.HostID {
	owner := c.owner()
	for i := len(c.calls) - 1; i >= 0; i-- {
		if host := c.calls[i].host.node.Member.Host; host != owner {
			return host
		}
	}
	return c.hosts[1]
}

func onCell(apply func(c *cell)) func(s faulttest.Scenario) {
	return func(s faulttest.Scenario) {
		if c := s.(*cell); !c.healed {
			apply(c)
		}
	}
}

// pause pauses a host for a time.
func (c *cell) pause(id fleet.HostID, d time.Duration) {
	n := c.running[id].node
	n.Pause()
	c.rig.After(d, n.Resume)
}

// onFullCell applies a fault that removes a host permanently, unless one is already
// gone and the remaining hosts would lose their majority.
func onFullCell(apply func(c *cell)) func(s faulttest.Scenario) {
	return onCell(func(c *cell) {
		if len(c.gone) == 0 {
			apply(c)
		}
	})
}

var matrixFaults = []faulttest.Fault{
	{Name: "kill-owner", Apply: onFullCell(func(c *cell) { c.kill(c.owner()) })},
	{Name: "kill-requester", Apply: onFullCell(func(c *cell) { c.kill(c.requester()) })},
	{Name: "replace-owner", Apply: onCell(func(c *cell) { c.replace(c.owner()) })},
	{Name: "replace-requester", Apply: onCell(func(c *cell) { c.replace(c.requester()) })},
	{Name: "pause-owner", Apply: onCell(func(c *cell) { c.pause(c.owner(), 2*testLease) })},
	{Name: "pause-requester", Apply: onCell(func(c *cell) { c.pause(c.requester(), 2*testLease) })},
	{Name: "pause-owner-briefly", Apply: onCell(func(c *cell) { c.pause(c.owner(), 300*time.Millisecond) })},
	{Name: "cut", Apply: onCell(func(c *cell) { c.cut(c.owner(), c.requester()); c.cut(c.requester(), c.owner()) })},
	{Name: "cut-answers", Apply: onCell(func(c *cell) { c.cut(c.owner(), c.requester()) })},
	{Name: "cut-requests", Apply: onCell(func(c *cell) { c.cut(c.requester(), c.owner()) })},
	{Name: "isolate-owner", Apply: onCell(func(c *cell) { c.isolate(c.owner()) })},
	{Name: "region-cut", Apply: onCell(func(c *cell) {
		c.isolate(c.hosts[0])
		c.isolate(c.hosts[3])
		c.cutStore(c.hosts[0], true)
	})},
	{Name: "slow-link", Apply: onCell(func(c *cell) { c.rig.DelayLink(c.owner(), c.requester(), 700*time.Millisecond) })},
	{Name: "drop", Apply: onCell(func(c *cell) { c.rig.DropNext(6) })},
	{Name: "duplicate", Apply: onCell(func(c *cell) { c.rig.DuplicateNext(12) })},
	{Name: "reorder", Apply: onCell(func(c *cell) { c.rig.DelayNext(400 * time.Millisecond) })},
	{Name: "store-outage", Apply: onCell(func(c *cell) { c.setStoreDown(true) })},
	{Name: "store-outage-briefly", Apply: onCell(func(c *cell) {
		c.setStoreDown(true)
		c.rig.After(time.Second, func() { c.setStoreDown(false) })
	})},
	{Name: "store-cut-owner", Apply: onCell(func(c *cell) { c.cutStore(c.owner(), true) })},
	{Name: "slow-store", Apply: onCell(func(c *cell) { c.rig.Store.Latency = 350 * time.Millisecond })},
	{Name: "lost-answers", Apply: onCell(func(c *cell) { c.rig.Store.LoseAnswers(4) })},
	{Name: "leave", Apply: onFullCell(func(c *cell) { c.leave(c.owner()) })},
}

// pairFaults lists the faults that are combined in pairs.
var pairFaults = []string{
	"kill-owner", "replace-owner", "replace-requester", "pause-owner", "pause-requester",
	"isolate-owner", "store-outage", "store-outage-briefly", "store-cut-owner", "lost-answers", "leave",
}

func faultsNamed(names ...string) []faulttest.Fault {
	var faults []faulttest.Fault
	for _, f := range matrixFaults {
		if slices.Contains(names, f.Name) {
			faults = append(faults, f)
		}
	}
	return faults
}

func newMatrix(seed uint64, scripted bool, build func(self fleet.Member) machine.Machine) *faulttest.Matrix {
	return &faulttest.Matrix{
		Module:    "operations",
		Seeds:     []uint64{seed},
		PairDelay: 600 * time.Millisecond,
		Build: func(seed uint64) faulttest.Scenario {
			c := newCell(seed, 4, build)
			if scripted {
				c.views = newViewService(c)
			}
			c.workload = matrixWorkload
			return c
		},
	}
}

// TestMatrix injects each fault at many steps, and pairs of faults, and checks the
// invariants of at-most-once operations. A few cells run with the real membership,
// the others with scripted views.
func TestMatrix(t *testing.T) {
	run := func(name string, scripted bool, set func(m *faulttest.Matrix)) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := newMatrix(1, scripted, buildMachine)
			set(m)
			m.Run(t)
		})
	}
	run("singles", true, func(m *faulttest.Matrix) {
		m.Faults = matrixFaults
		m.MaxSteps = 12
	})
	run("pairs", true, func(m *faulttest.Matrix) {
		m.Faults = faultsNamed(pairFaults...)
		m.PairSteps = 3
	})
	run("membership", false, func(m *faulttest.Matrix) {
		m.Faults = faultsNamed(pairFaults...)
		m.MaxSteps = 3
	})
}
