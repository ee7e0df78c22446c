package operations

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// ownerRig runs a machine that owns every partition.
type ownerRig struct {
	m    *Machine
	now  machine.Now
	peer fleet.Member
}

func newOwnerRig() *ownerRig {
	self := fleet.Member{Host: "a", Incarnation: fleet.Incarnation{1}}
	o := &ownerRig{m: New(Options{Self: self}), peer: fleet.Member{Host: "b", Incarnation: fleet.Incarnation{2}}}
	o.now = machine.Now{Instant: 1, WallMillis: 1_800_000_000_000}
	view := &fleet.View{Version: 1, Self: self, Members: []fleet.ViewMember{
		{Member: self, State: fleet.StateActive}, {Member: o.peer, State: fleet.StateActive},
	}}
	for i := range view.Partitions {
		view.Partitions[i] = fleet.Partition{Owner: self, Epoch: 1}
	}
	o.step(machine.LeaseChanged{ValidUntil: machine.Instant(time.Hour * 100)})
	o.step(machine.ViewChanged{View: view})
	return o
}

// step applies an input and answers each resulting store call immediately.
func (o *ownerRig) step(in machine.Input) {
	o.now.Instant += machine.Instant(writeInterval)
	inputs := []machine.Input{in}
	for len(inputs) > 0 {
		out := o.m.Step(o.now, inputs[0])
		inputs = inputs[1:]
		for _, output := range out {
			call, ok := output.(machine.StoreCall)
			switch {
			case !ok:
			case call.Op == machine.StoreGet:
				inputs = append(inputs, machine.StoreResult{ID: call.ID, Outcome: machine.StoreNotFound})
			default:
				inputs = append(inputs, machine.StoreResult{ID: call.ID, Outcome: machine.StoreOK, Version: 1})
			}
		}
	}
}

func (o *ownerRig) claim(n int) {
	id := operation(fmt.Sprintf("0198c0de-0000-4000-8000-%012x", n))
	o.step(machine.Received{From: o.peer, Message: Request{Attempt: uint64(n), ID: id, Fingerprint: 1}})
}

// BenchmarkOwner measures the control loop's time for a claim and its report.
func BenchmarkOwner(b *testing.B) {
	o := newOwnerRig()
	for n := 0; b.Loop(); n++ {
		if o.m.table.full() {
			o = newOwnerRig()
		}
		o.claim(n)
		id := operation(fmt.Sprintf("0198c0de-0000-4000-8000-%012x", n))
		o.step(machine.Received{From: o.peer, Message: Report{Attempt: uint64(n), ID: id, Fingerprint: 1, Ending: EndingRelease}})
	}
	b.ReportMetric(float64(time.Second)/float64(b.Elapsed().Nanoseconds()/int64(b.N)), "claims/s")
}

// BenchmarkMemory measures the memory per claim without a result.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		o := newOwnerRig()
		runtime.GC()
		runtime.ReadMemStats(&before)
		const claims = 100_000
		for n := range claims {
			o.claim(n)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/claims, "B/claim")
		runtime.KeepAlive(o)
	}
}

// BenchmarkStoreCalls measures, in virtual time, the store calls per operation and
// the latency of grants with one owner.
func BenchmarkStoreCalls(b *testing.B) {
	for _, latency := range []time.Duration{5 * time.Millisecond, 35 * time.Millisecond} {
		for _, rate := range []int{2, 50, 500} {
			b.Run(fmt.Sprintf("store=%s/rate=%d", latency, rate), func(b *testing.B) {
				for b.Loop() {
					measureStoreCalls(b, latency, rate)
				}
			})
		}
	}
}

func measureStoreCalls(b *testing.B, latency time.Duration, rate int) {
	c := scriptedCell(1, 1)
	c.rig.Store.Latency = latency / 2
	c.runFor = 0
	c.rig.Run(testLease)
	before := c.rig.Store.Calls
	const seconds = 20
	for n := range rate * seconds {
		c.call("host-00", fmt.Sprintf("id-%d", n), 5*time.Second, nil)
		c.rig.Run(time.Second / time.Duration(rate))
	}
	calls := c.rig.Store.Calls - before
	c.rig.Run(5 * time.Second)
	var waits []time.Duration
	for _, k := range c.calls {
		if k.decision != DecisionGranted {
			b.Fatalf("%s: decision %d", k.id.Key, k.decision)
		}
		waits = append(waits, k.ended.Sub(k.started))
	}
	slices.Sort(waits)
	b.ReportMetric(float64(calls)/float64(rate*seconds), "calls/operation")
	b.ReportMetric(float64(calls)/seconds, "calls/s")
	b.ReportMetric(float64(waits[len(waits)/2])/1e6, "p50-ms")
	b.ReportMetric(float64(waits[len(waits)*99/100])/1e6, "p99-ms")
}
