package endless

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sampleInterval is the time between two looks at the heap.
const sampleInterval = 20 * time.Millisecond

// Bounds are what a client must keep to.
type Bounds struct {
	// Calls is the number of calls at the same time.
	Calls int
	// Within is the time in which each call must have failed.
	Within time.Duration
	// Held bounds the bytes that the calls hold together at a time.
	Held int64
}

// Check calls a client against each form. header is that of Forms.
func Check(t *testing.T, header string, bounds Bounds, call func(address string) error) {
	t.Helper()
	for _, form := range Forms(header) {
		t.Run(form.Name, func(t *testing.T) {
			s, err := Serve(form, 0)
			require.NoError(t, err)
			defer func() { _ = s.Close() }()
			before, highest := LiveHeap(), int64(0)
			var group sync.WaitGroup
			for range bounds.Calls {
				group.Go(func() {
					began := time.Now()
					if err := call(s.Address().String()); err == nil {
						t.Error("the call succeeded")
					}
					if took := time.Since(began); took > bounds.Within {
						t.Errorf("the call took %v, %v are allowed", took, bounds.Within)
					}
				})
			}
			done := make(chan struct{})
			go func() { defer close(done); group.Wait() }()
			for ended := false; !ended; {
				select {
				case <-done:
					ended = true
				case <-time.After(sampleInterval):
				}
				highest = max(highest, LiveHeap())
			}
			require.LessOrEqual(t, highest-before, bounds.Held, "bytes held")
		})
	}
}
