package store

import (
	"context"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/machine"
)

// stub is an object store whose Get blocks until release is sent to or closed.
type stub struct {
	Objects
	release chan struct{}
	clock   *manualClock
	err     error
}

func (s *stub) Get(context.Context, machine.StoreKey) (Object, error) {
	<-s.release
	s.clock.advance()
	return Object{Version: 5, Value: []byte("v")}, s.err
}

func (s *stub) Create(context.Context, machine.StoreKey, []byte) (uint64, error) { return 6, s.err }

func (s *stub) Update(context.Context, machine.StoreKey, uint64, []byte) (uint64, error) {
	return 7, s.err
}

func (s *stub) Delete(context.Context, machine.StoreKey, uint64) error { return s.err }

type manualClock struct {
	mutex sync.Mutex
	now   machine.Instant
}

func (c *manualClock) advance() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.now++
}

func (c *manualClock) Now() machine.Now {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return machine.Now{Instant: c.now}
}

// Guards against a queue that grows or blocks, lost results, and a start time
// taken after the call.
func TestRunnerBoundsItsQueue(t *testing.T) {
	s := &stub{release: make(chan struct{}), clock: &manualClock{now: 100}}
	r := NewRunner(s, s.clock, RunnerOptions{Workers: 1, Queue: 2})
	results := make(chan machine.StoreResult, 10)
	done := func(result machine.StoreResult) { results <- result }
	r.Submit(machine.StoreCall{ID: 1, Op: machine.StoreGet}, done)
	s.release <- struct{}{}
	first := <-results
	require.Equal(t, machine.StoreResult{ID: 1, Outcome: machine.StoreOK, Version: 5, Value: []byte("v"), Started: 100}, first)
	// The worker holds at most one call and the queue two, so at least two of five
	// are refused.
	for id := uint64(2); id < 7; id++ {
		r.Submit(machine.StoreCall{ID: id, Op: machine.StoreGet}, done)
	}
	refused := len(results)
	require.GreaterOrEqual(t, refused, 2)
	close(s.release)
	outcomes := map[machine.StoreOutcome]int{}
	for range 5 {
		outcomes[(<-results).Outcome]++
	}
	require.Equal(t, refused, outcomes[machine.StoreNotApplied])
	require.Equal(t, 5-refused, outcomes[machine.StoreOK])
	r.Close()
}

// Guards against an error that is mapped to the wrong outcome, such as a write
// that may have taken effect to StoreNotApplied.
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
		r := NewRunner(&stub{err: test.err}, &manualClock{}, RunnerOptions{})
		result := make(chan machine.StoreResult, 1)
		r.Submit(machine.StoreCall{Op: machine.StoreUpdate}, func(got machine.StoreResult) { result <- got })
		require.Equal(t, test.want, <-result)
		r.Submit(machine.StoreCall{Op: 99}, func(got machine.StoreResult) { result <- got })
		require.Equal(t, machine.StoreNotApplied, (<-result).Outcome)
		r.Close()
	}
}
