package control

import (
	"github.com/catkinspring/catkinspring/internal/clock"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// customOutput is an output that the loop passes to the module's own handler.
type customOutput struct{}

func (customOutput) MachineOutput() {}

// fakeMachine returns fixed outputs and records its name for each input.
type fakeMachine struct {
	outputs []machine.Output
	inputs  *[]string
	name    string
}

func (s fakeMachine) Step(_ machine.Now, _ machine.Input) []machine.Output {
	*s.inputs = append(*s.inputs, s.name)
	return s.outputs
}

func newTestLoop(steps *[]string) *Loop {
	return New(clock.New(), Effects{
		Send:   func(to fleet.HostID, _ machine.Message) { *steps = append(*steps, "send "+string(to)) },
		Call:   func(machine.StoreCall, func(machine.StoreResult)) {},
		Record: func(machine.Now, machine.Event) {},
	}, metrics.NewRegistry())
}

// Guards against a message that confirms a view to peers before the other modules
// have applied it: two hosts could then hold the same share.
func TestViewIsAppliedBeforeLaterOutputs(t *testing.T) {
	var steps []string
	l := newTestLoop(&steps)
	first := l.Add(Module{Name: "first", Machine: fakeMachine{outputs: []machine.Output{customOutput{}, machine.Send{To: "peer"}}, inputs: &steps, name: "first"}}, nil)
	l.Add(Module{Name: "second", Machine: fakeMachine{inputs: &steps, name: "second"}}, nil)
	l.modules[first].Output = func(machine.Now, machine.Output) { l.StepOthers(first, machine.ViewChanged{}) }
	l.process(queuedInput{module: first, input: machine.Tick{}})
	require.Equal(t, []string{"first", "second", "send peer"}, steps)
}

// Guards against a caller that blocks on a full inbox, and against inputs that are
// dropped without being counted.
func TestFullInboxDropsAndCounts(t *testing.T) {
	var steps []string
	l := newTestLoop(&steps)
	id := l.Add(Module{Name: "m", Machine: fakeMachine{inputs: &steps, name: "m"}}, nil)
	for range inboxSize {
		require.True(t, l.Post(id, machine.Tick{}))
	}
	require.False(t, l.Post(id, machine.Tick{}))
	require.EqualValues(t, 1, l.dropped.Count())
}

// Guards against a store worker that waits forever for a loop that has stopped.
func TestResultAfterStopIsDropped(t *testing.T) {
	var steps []string
	l := newTestLoop(&steps)
	id := l.Add(Module{Name: "m", Machine: fakeMachine{inputs: &steps, name: "m"}}, nil)
	for range inboxSize {
		l.Post(id, machine.Tick{})
	}
	close(l.stopped)
	done := make(chan struct{})
	go func() {
		l.deliverResult(id, machine.StoreResult{})
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("the worker is still waiting")
	}
}
