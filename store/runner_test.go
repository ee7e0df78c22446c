package store

import (
	"context"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/machine"
)

// gated is a store whose calls wait for the gate.
type gated struct {
	Objects
	gate  chan struct{}
	clock *stepClock
	err   error
}

func (g *gated) Get(context.Context, machine.StoreKey) (Object, error) {
	<-g.gate
	g.clock.advance()
	return Object{Version: 5, Value: []byte("v")}, g.err
}

func (g *gated) Create(context.Context, machine.StoreKey, []byte) (uint64, error) { return 6, g.err }

func (g *gated) Update(context.Context, machine.StoreKey, uint64, []byte) (uint64, error) {
	return 7, g.err
}

func (g *gated) Delete(context.Context, machine.StoreKey, uint64) error { return g.err }

type stepClock struct {
	mutex sync.Mutex
	now   machine.Instant
}

func (c *stepClock) advance() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.now++
}

func (c *stepClock) Now() machine.Now {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return machine.Now{Instant: c.now}
}

// Guards against a queue that grows or blocks, results that get lost, and a
// start time taken after the call.
func TestRunnerBoundsItsQueue(t *testing.T) {
	g := &gated{gate: make(chan struct{}), clock: &stepClock{now: 100}}
	r := NewRunner(g, g.clock, RunnerOptions{Workers: 1, Queue: 2})
	results := make(chan machine.StoreResult, 10)
	done := func(result machine.StoreResult) { results <- result }
	r.Submit(machine.StoreCall{ID: 1, Op: machine.StoreGet}, done)
	g.gate <- struct{}{}
	first := <-results
	require.Equal(t, machine.StoreResult{ID: 1, Outcome: machine.StoreOK, Version: 5, Value: []byte("v"), Started: 100}, first)
	// The worker holds at most one call and the queue two, so of five at least two
	// are refused.
	for id := uint64(2); id < 7; id++ {
		r.Submit(machine.StoreCall{ID: id, Op: machine.StoreGet}, done)
	}
	refused := len(results)
	require.GreaterOrEqual(t, refused, 2)
	close(g.gate)
	outcomes := map[machine.StoreOutcome]int{}
	for range 5 {
		outcomes[(<-results).Outcome]++
	}
	require.Equal(t, refused, outcomes[machine.StoreNotApplied])
	require.Equal(t, 5-refused, outcomes[machine.StoreOK])
	r.Close()
}

// Guards against an error that is mapped to a milder outcome than it has.
func TestRunnerMapsErrors(t *testing.T) {
	cases := []struct {
		err  error
		want machine.StoreResult
	}{
		{nil, machine.StoreResult{Outcome: machine.StoreOK, Version: 7}},
		{&NotFoundError{}, machine.StoreResult{Outcome: machine.StoreNotFound, Version: 7}},
		{&ConflictError{Current: 9}, machine.StoreResult{Outcome: machine.StoreConflict, Version: 9}},
		{&UnavailableError{}, machine.StoreResult{Outcome: machine.StoreNotApplied, Version: 7}},
		{&TooLargeError{}, machine.StoreResult{Outcome: machine.StoreNotApplied, Version: 7}},
		{&AnswerLostError{}, machine.StoreResult{Outcome: machine.StoreUnknown, Version: 7}},
		{context.Canceled, machine.StoreResult{Outcome: machine.StoreUnknown, Version: 7}},
	}
	for _, test := range cases {
		r := NewRunner(&gated{err: test.err}, &stepClock{}, RunnerOptions{})
		result := make(chan machine.StoreResult, 1)
		r.Submit(machine.StoreCall{Op: machine.StoreUpdate}, func(got machine.StoreResult) { result <- got })
		require.Equal(t, test.want, <-result)
		r.Submit(machine.StoreCall{Op: 99}, func(got machine.StoreResult) { result <- got })
		require.Equal(t, machine.StoreNotApplied, (<-result).Outcome)
		r.Close()
	}
}
