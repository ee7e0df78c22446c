package operations

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// receive gives a message of the peer to the owner, without store results.
func (o *benchOwner) receive(message machine.Message) []machine.Output {
	o.now.Instant += machine.Instant(writeInterval)
	return o.m.Step(o.now, machine.Received{From: o.peer, Message: message})
}

// commit answers the open write of the log.
func (o *benchOwner) commit() []machine.Output {
	return o.m.Step(o.now, machine.StoreResult{ID: o.m.store.next, Outcome: machine.StoreOK, Version: 1})
}

// sent returns the messages of type M among outputs.
func sent[M machine.Message](outputs []machine.Output) []M {
	var messages []M
	for _, out := range outputs {
		if s, ok := out.(machine.Send); ok {
			if message, ok := s.Message.(M); ok {
				messages = append(messages, message)
			}
		}
	}
	return messages
}

// TestGrantNeedsCommitAndLease guards against a grant that the log does not
// hold, and against one after the end of the lease.
func TestGrantNeedsCommitAndLease(t *testing.T) {
	o := newBenchOwner()
	require.Empty(t, sent[Answer](o.receive(Request{Attempt: 1, ID: operation("a")})))
	require.Equal(t, DecisionGranted, sent[Answer](o.commit())[0].Decision)
	o.receive(Request{Attempt: 2, ID: operation("b")})
	o.m.lease = o.now.Instant
	require.Empty(t, sent[Answer](o.commit()))
	require.Equal(t, DecisionRetry, sent[Answer](o.receive(Request{Attempt: 2, ID: operation("b")}))[0].Decision)
	o.m.lease += machine.Instant(time.Hour)
	require.Equal(t, DecisionGranted, sent[Answer](o.receive(Request{Attempt: 2, ID: operation("b")}))[0].Decision)
}

// TestReleaseAcknowledgedWhenDurable guards against a release that its reporter
// forgets while the log still says that the attempt runs.
func TestReleaseAcknowledgedWhenDurable(t *testing.T) {
	o := newBenchOwner()
	o.receive(Request{Attempt: 1, ID: operation("a")})
	o.commit()
	o.receive(Request{Attempt: 2, ID: operation("a"), WaitMillis: 60_000})
	release := Report{Attempt: 1, ID: operation("a"), Ending: EndingRelease}
	require.False(t, sent[ReportAnswer](o.receive(release))[0].Durable)
	require.False(t, sent[ReportAnswer](o.receive(release))[0].Durable)
	require.Equal(t, DecisionGranted, sent[Answer](o.commit())[0].Decision, "the request that waited")
	require.True(t, sent[ReportAnswer](o.receive(release))[0].Durable)
}

// TestLateGrantIsReleased guards against an id that stays with an attempt whose
// caller was refused.
func TestLateGrantIsReleased(t *testing.T) {
	o := newBenchOwner()
	view := *o.m.view
	for i := range view.Partitions {
		view.Partitions[i] = fleet.Partition{Owner: o.peer, Epoch: 2}
	}
	o.step(machine.ViewChanged{View: &view})
	o.step(Begin{Attempt: 1, ID: operation("a"), Wait: time.Millisecond})
	o.step(machine.Tick{})
	to := o.m.o.Self.Incarnation
	o.receive(ReportAnswer{To: to, Attempt: 1, Durable: true})
	require.Zero(t, o.m.Pending())
	late := o.receive(Answer{To: to, Attempt: 1, Decision: DecisionGranted, ID: operation("a")})
	require.Equal(t, EndingRelease, sent[Report](late)[0].Ending)
}

// TestSealStopsOwner guards against a takeover that leaves the old log open, and
// against an owner that grants although its log was sealed.
func TestSealStopsOwner(t *testing.T) {
	c := scriptedCell(5, 4)
	c.call("host-00", "a", time.Second, nil)
	c.rig.Run(time.Second)
	old := c.running[c.owner()].node.Member.Incarnation
	c.replace(c.owner())
	c.rig.Run(3 * testLease)
	sealed := 0
	for key, value := range c.rig.Store.Snapshot() {
		if s, err := decodeSegment(key, value); err == nil && s.Owner == old && !s.Sealer.IsZero() {
			sealed++
		}
	}
	require.Equal(t, 1, sealed)

	o := newBenchOwner()
	o.receive(Request{Attempt: 1, ID: operation("a")})
	o.m.Step(o.now, machine.StoreResult{ID: o.m.store.next, Outcome: machine.StoreConflict})
	seal := encodeObject(&segment{Owner: o.m.o.Self.Incarnation, Number: o.m.log.next, Sealer: o.peer.Incarnation})
	out := o.m.Step(o.now, machine.StoreResult{ID: o.m.store.next, Outcome: machine.StoreOK, Version: 5, Value: seal})
	require.Empty(t, sent[Answer](out))
	require.Equal(t, DecisionRetry, sent[Answer](o.receive(Request{Attempt: 2, ID: operation("b")}))[0].Decision)
}

// TestTakeoverReadsOwnEpoch guards against records of an earlier tenure in the
// log of an owner, which other owners superseded in between.
func TestTakeoverReadsOwnEpoch(t *testing.T) {
	c := newCell(6, 1, buildMachine)
	c.views = newViewService(c)
	dead := fleet.Member{Host: "gone", Incarnation: fleet.Incarnation{9}}
	p := PartitionOf(operation("a"))
	running := record{ID: operation("a"), Holder: dead, State: stateRunning, ClaimedMillis: 1_800_003_600_000, Epoch: 1}
	c.rig.Store.Write(segmentKey(dead.Incarnation, 0), encodeObject(&segment{Owner: dead.Incarnation, Records: []record{running}}))
	c.rig.Store.Write(anchorKey(p), encodeObject(&anchor{Epoch: 3, Owner: dead}))
	c.views.partitions[p].Partition = fleet.Partition{Owner: dead, Epoch: 3}
	c.start("host-00")
	c.rig.Run(3 * time.Second)
	k := c.call("host-00", "a", time.Second, nil)
	c.rig.Run(time.Second)
	require.Equal(t, DecisionGranted, k.decision)
}
