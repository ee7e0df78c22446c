package operations

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/traffic"
)

// naiveMachine keeps claims only in the memory of the partition's owner. It writes no
// log, and a new owner grants claims immediately.
type naiveMachine struct {
	self    fleet.Member
	view    *fleet.View
	claims  map[traffic.OperationID]*naiveClaim
	pending map[uint64]Begin
	out     []machine.Output
}

type naiveClaim struct {
	holder  fleet.Member
	attempt uint64
	result  *traffic.OperationResult
}

func buildNaive(self fleet.Member) machine.Machine {
	return &naiveMachine{self: self, claims: map[traffic.OperationID]*naiveClaim{}, pending: map[uint64]Begin{}}
}

func (n *naiveMachine) Step(_ machine.Now, in machine.Input) []machine.Output {
	n.out = nil
	switch in := in.(type) {
	case machine.ViewChanged:
		n.view = in.View
	case Begin:
		n.pending[in.Attempt] = in
		n.sendToOwner(in.ID, Request{Attempt: in.Attempt, ID: in.ID})
	case Finish:
		if b, ok := n.pending[in.Attempt]; ok {
			delete(n.pending, in.Attempt)
			n.sendToOwner(b.ID, Report{Attempt: in.Attempt, ID: b.ID, Ending: in.Ending, Result: &in.Result})
		}
	case machine.Received:
		n.receive(in.From, in.Message)
	}
	return n.out
}

func (n *naiveMachine) sendToOwner(id traffic.OperationID, message machine.Message) {
	if n.view == nil {
		return
	}
	owner := n.view.Partitions[PartitionOf(id)].Owner
	if owner == n.self {
		n.receive(n.self, message)
		return
	}
	n.out = append(n.out, machine.Send{To: owner.Host, Message: message})
}

func (n *naiveMachine) receive(from fleet.Member, message machine.Message) {
	switch message := message.(type) {
	case Request:
		n.request(from, message)
	case Report:
		if c := n.claims[message.ID]; c != nil {
			c.result = message.Result
		}
	case Answer:
		if _, ok := n.pending[message.Attempt]; ok && message.To == n.self.Incarnation {
			n.out = append(n.out, Decided{Attempt: message.Attempt, Decision: message.Decision, Result: message.Result})
		}
	}
}

func (n *naiveMachine) request(from fleet.Member, r Request) {
	c := n.claims[r.ID]
	answer := Answer{To: from.Incarnation, Attempt: r.Attempt, Decision: DecisionGranted}
	switch {
	case c == nil:
		n.claims[r.ID] = &naiveClaim{holder: from, attempt: r.Attempt}
	case c.result != nil:
		answer.Decision, answer.Result = DecisionRan, c.result
	case c.holder != from || c.attempt != r.Attempt:
		answer.Decision = DecisionRunning
	}
	if from == n.self {
		n.receive(n.self, answer)
		return
	}
	n.out = append(n.out, machine.Send{To: from.Host, Message: answer})
}

// TestNaiveFails guards against a fault matrix that passes any implementation: it
// must find ids that naiveMachine lets run more than once.
func TestNaiveFails(t *testing.T) {
	twice := 0
	for _, f := range faultsNamed("kill-owner", "replace-owner", "pause-owner", "leave") {
		m := newMatrix(1, true, buildNaive)
		for _, step := range []int{60, 120, 180} {
			s := m.Build(1).(*cell)
			s.rig.OnStep = func(n int) {
				if n == step {
					f.Apply(s)
				}
			}
			s.Run()
			s.Check()
			for _, executions := range s.executions {
				if len(executions) > 1 {
					twice++
				}
			}
		}
	}
	t.Log("ids that ran more than once:", twice)
	require.Positive(t, twice)
}
