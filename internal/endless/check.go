package endless

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// sampleInterval is the time between two looks at the heap.
	sampleInterval = 20 * time.Millisecond
	// paceInterval is the pause between two units of a paced form. The client then leaves little
	// garbage while the collector runs, so that little of what it holds is left out.
	paceInterval = 5 * time.Millisecond
	// maxCallTime is far above the timeouts of the clients: a call that takes longer waits
	// for the end of the answer.
	maxCallTime = 15 * time.Second
)

// Bounds are what a client must keep to.
type Bounds struct {
	// Calls is the number of calls at the same time.
	Calls int
	// Held bounds the bytes that the calls hold together at a time.
	Held int64
}

// Check calls a client against each form, sent without a pause and paced.
func Check(t *testing.T, header string, bounds Bounds, call func(address string) error) {
	t.Helper()
	for _, form := range Forms(header) {
		t.Run(form.Name, func(t *testing.T) { check(t, form, 0, bounds, call) })
		t.Run(form.Name+" paced", func(t *testing.T) { check(t, form, paceInterval, bounds, call) })
	}
}

func check(t *testing.T, form Form, pause time.Duration, bounds Bounds, call func(address string) error) {
	s, err := Serve(form, pause)
	require.NoError(t, err)
	defer func() { _ = s.Close() }()
	calls := make([]func(), bounds.Calls)
	for i := range calls {
		calls[i] = func() {
			began := time.Now()
			if err := call(s.Address().String()); err == nil {
				t.Error("the call succeeded")
			}
			if took := time.Since(began); took > maxCallTime {
				t.Errorf("the call took %v, %v are allowed", took, maxCallTime)
			}
		}
	}
	require.LessOrEqual(t, mostHeld(calls), bounds.Held, "bytes held")
}

// mostHeld runs the calls at the same time and returns the most bytes that they held together.
func mostHeld(calls []func()) int64 {
	before, highest := HeldHeap(), int64(0)
	var group sync.WaitGroup
	for _, call := range calls {
		group.Go(call)
	}
	done := make(chan struct{})
	go func() { defer close(done); group.Wait() }()
	for {
		select {
		case <-done:
			return highest
		case <-time.After(sampleInterval):
			highest = max(highest, HeldHeap()-before)
		}
	}
}
