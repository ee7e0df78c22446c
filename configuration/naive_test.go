package configuration

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/internal/faulttest"
	"github.com/catkinspring/catkinspring/machine"
)

// naive works without the protocol: the last writer wins, a lost answer counts as
// a refusal, nothing is announced, and hosts adopt whatever the store holds.
type naive struct {
	call     uint64
	calls    map[uint64]func(machine.StoreResult)
	head     *Head
	snapshot *Snapshot
	out      []machine.Output
}

func buildNaive(fleet.Member) (machine.Machine, func() fleet.Revision) {
	n := &naive{calls: map[uint64]func(machine.StoreResult){}, head: &Head{}}
	return n, func() fleet.Revision { return n.head.Revision }
}

func (n *naive) Step(_ machine.Now, in machine.Input) []machine.Output {
	n.out = nil
	switch in := in.(type) {
	case machine.Tick:
		if n.snapshot == nil {
			n.follow()
		}
	case machine.StoreResult:
		n.calls[in.ID](in)
	case PeerRevision:
		if in.Revision > n.head.Revision {
			n.follow()
		}
	case HeadChanged:
		n.follow()
	case ApplyNote:
		n.write(in, nil)
	}
	return n.out
}

func (n *naive) store(call machine.StoreCall, done func(machine.StoreResult)) {
	n.call++
	call.ID = n.call
	n.calls[call.ID] = done
	n.out = append(n.out, call)
}

func (n *naive) follow() {
	n.store(machine.StoreCall{Op: machine.StoreGet, Key: HeadKey}, func(r machine.StoreResult) {
		if head, err := decodeHead(r.Value); r.Outcome == machine.StoreOK && err == nil {
			n.fetch(head, head.Shards, shards{})
		}
	})
}

func (n *naive) fetch(head *Head, missing []Digest, parts shards) {
	if len(missing) == 0 {
		s, _ := joinShards(head, parts)
		n.adopt(head, s)
		return
	}
	n.store(machine.StoreCall{Op: machine.StoreGet, Key: missing[0].key()}, func(r machine.StoreResult) {
		if part, err := decodeShard(missing[0], r.Value); r.Outcome == machine.StoreOK && err == nil {
			parts[missing[0]] = part
			n.fetch(head, missing[1:], parts)
		}
	})
}

func (n *naive) adopt(head *Head, s *Snapshot) {
	n.head, n.snapshot = head, s
	n.out = append(n.out, Published{Snapshot: s})
}

// write updates the head; after a conflict it overwrites the newer head.
func (n *naive) write(in ApplyNote, next *Snapshot) {
	n.store(machine.StoreCall{Op: machine.StoreGet, Key: HeadKey}, func(read machine.StoreResult) {
		head, err := decodeHead(read.Value)
		if err == nil && next == nil && n.snapshot != nil {
			next, err = Apply(n.snapshot, in.Note)
		}
		if read.Outcome != machine.StoreOK || err != nil || next == nil {
			n.out = append(n.out, NoteResult{RequestID: in.RequestID, Err: &StoreError{Reason: "failed"}})
			return
		}
		order, parts := cutShards(next, nil)
		for _, digest := range order {
			part := parts[digest]
			n.store(machine.StoreCall{Op: machine.StoreCreate, Key: digest.key(), Value: part.encode()}, func(machine.StoreResult) {})
		}
		head = nextHead(head, order, AcceptedNote{ID: in.Note.ID, Revision: next.Revision})
		update := machine.StoreCall{Op: machine.StoreUpdate, Key: HeadKey, Version: read.Version, Value: mustEncode(head)}
		n.store(update, func(r machine.StoreResult) { n.written(in, head, next, r) })
	})
}

func (n *naive) written(in ApplyNote, head *Head, next *Snapshot, r machine.StoreResult) {
	switch r.Outcome {
	case machine.StoreOK:
		n.adopt(head, next)
		n.out = append(n.out, NoteResult{RequestID: in.RequestID, Revision: head.Revision})
	case machine.StoreConflict:
		n.write(in, next)
	default:
		n.out = append(n.out, NoteResult{RequestID: in.RequestID, Err: &StoreError{Reason: "failed"}})
	}
}

// violationsOf runs a scenario with one fault at a step and returns violations.
func violationsOf(build func(uint64) faulttest.Scenario, fault string, step int) []string {
	s := build(1)
	s.Rig().OnStep = func(at int) {
		for _, f := range matrixFaults() {
			if at == step && f.Name == fault {
				f.Apply(s)
			}
		}
	}
	s.Run()
	return s.Check()
}

// Guards against a matrix that passes without the protocol: the naive
// implementation must fail the same checks.
func TestNaiveFailsTheMatrix(t *testing.T) {
	require.NotEmpty(t, violationsOf(race(buildNaive), "", 0), "race without faults")
	for _, fault := range []string{"lost-answer", "restore-older", "cut-peer", "store-outage"} {
		failed := 0
		for step := range 60 {
			if len(violationsOf(withdrawal(buildNaive), fault, step)) > 0 {
				failed++
			}
		}
		t.Logf("naive implementation: %s violates an invariant at %d of 60 steps", fault, failed)
		require.Positive(t, failed, fault)
	}
}

// Guards against checks that no implementation can pass: the state machine must pass
// the race and the fault under which the naive implementation fails.
func TestMachinePassesWhereNaiveFails(t *testing.T) {
	started := time.Now()
	require.Empty(t, violationsOf(race(buildMachine), "", 0))
	for step := range 60 {
		require.Empty(t, violationsOf(withdrawal(buildMachine), "lost-answer", step))
	}
	t.Logf("61 runs in %v", time.Since(started))
}
