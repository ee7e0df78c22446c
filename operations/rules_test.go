package operations

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// receive passes a message from the peer to the owner without answering store calls.
func (o *ownerRig) receive(message machine.Message) []machine.Output {
	o.now.Instant += machine.Instant(writeInterval)
	return o.m.Step(o.now, machine.Received{From: o.peer, Message: message})
}

// commit answers the pending write of the log.
func (o *ownerRig) commit() []machine.Output {
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

// TestGrantNeedsCommitAndLease guards against a grant that is not in the log, and
// against one after the lease has expired.
func TestGrantNeedsCommitAndLease(t *testing.T) {
	o := newOwnerRig()
	require.Empty(t, sent[Answer](o.receive(Request{Attempt: 1, ID: operation("a")})))
	require.Equal(t, DecisionGranted, sent[Answer](o.commit())[0].Decision)
	o.receive(Request{Attempt: 2, ID: operation("b")})
	o.m.lease = o.now.Instant
	require.Empty(t, sent[Answer](o.commit()))
	require.Equal(t, DecisionRetry, sent[Answer](o.receive(Request{Attempt: 2, ID: operation("b")}))[0].Decision)
	o.m.lease += machine.Instant(time.Hour)
	require.Equal(t, DecisionGranted, sent[Answer](o.receive(Request{Attempt: 2, ID: operation("b")}))[0].Decision)
}

// TestReleaseAcknowledgedWhenDurable guards against a requester that stops resending
// a release while the attempt is still running according to the log.
func TestReleaseAcknowledgedWhenDurable(t *testing.T) {
	o := newOwnerRig()
	o.receive(Request{Attempt: 1, ID: operation("a")})
	o.commit()
	o.receive(Request{Attempt: 2, ID: operation("a"), WaitMillis: 60_000})
	release := Report{Attempt: 1, ID: operation("a"), Ending: EndingRelease}
	require.False(t, sent[ReportAnswer](o.receive(release))[0].Durable)
	require.False(t, sent[ReportAnswer](o.receive(release))[0].Durable)
	require.Equal(t, DecisionGranted, sent[Answer](o.commit())[0].Decision, "the request that waited")
	require.True(t, sent[ReportAnswer](o.receive(release))[0].Durable)
}

// TestLateGrantIsReleased guards against an id that stays claimed by an attempt whose
// caller was refused.
func TestLateGrantIsReleased(t *testing.T) {
	o := newOwnerRig()
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

// TestSealStopsOwner guards against a takeover that does not seal the old log, and
// against an owner that grants claims although its log was sealed.
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

	o := newOwnerRig()
	o.receive(Request{Attempt: 1, ID: operation("a")})
	o.m.Step(o.now, machine.StoreResult{ID: o.m.store.next, Outcome: machine.StoreConflict})
	seal := encodeObject(&segment{Owner: o.m.o.Self.Incarnation, Number: o.m.log.next, Sealer: o.peer.Incarnation})
	out := o.m.Step(o.now, machine.StoreResult{ID: o.m.store.next, Outcome: machine.StoreOK, Version: 5, Value: seal})
	require.Empty(t, sent[Answer](out))
	require.Equal(t, DecisionRetry, sent[Answer](o.receive(Request{Attempt: 2, ID: operation("b")}))[0].Decision)
}

// TestTakeoverIgnoresEarlierEpochs guards against a takeover that uses records of an
// earlier epoch in an owner's log, which other owners have superseded since.
func TestTakeoverIgnoresEarlierEpochs(t *testing.T) {
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
