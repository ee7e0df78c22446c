package upstream

import (
	"bytes"
	"slices"
	"strings"
	"sync"
	"time"
)

// FaultKind is a kind of fault.
type FaultKind string

// The faults of a request. They apply once the request has a slot.
const (
	// FaultCrash closes the listener and all connections while the request runs.
	FaultCrash FaultKind = "crash"
	// FaultClose runs the request and closes the connection without an answer.
	FaultClose FaultKind = "close"
	// FaultReset runs the request and resets the connection without an answer.
	FaultReset FaultKind = "reset"
	// FaultStall runs the request and never answers.
	FaultStall FaultKind = "stall"
	// FaultLate runs the request and answers after the delay.
	FaultLate FaultKind = "late"
	// FaultTwice sends the answer twice on the connection.
	FaultTwice FaultKind = "twice"
	// FaultCrossed sends the upstream's previous answer, which belongs to another
	// request, or a generated one if there is none.
	FaultCrossed FaultKind = "crossed"
	// FaultShort sends the full Content-Length but only half of the body, and
	// closes the connection.
	FaultShort FaultKind = "short"
	// FaultError runs the request and answers 500.
	FaultError FaultKind = "error"
)

// The faults of connections.
const (
	// FaultSilent makes the currently open connections silent permanently.
	FaultSilent FaultKind = "silent"
	// FaultRefuse refuses new connections until the fault is cleared.
	FaultRefuse FaultKind = "refuse"
)

var requestFaults = []FaultKind{
	FaultCrash, FaultClose, FaultReset, FaultStall, FaultLate, FaultTwice, FaultCrossed, FaultShort, FaultError,
}

// Fault is an active fault of an upstream.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Times is the number of requests that the fault applies to; zero means all
	// until it is cleared.
	Times int `json:"times"`
	// Marker restricts the fault to requests whose path, query or body contains it.
	Marker string `json:"marker"`
	// DelayMillis delays the effect: a crash from the start of the run, every
	// other effect from its end.
	DelayMillis float64 `json:"delayMillis"`
	// RestartAfterMillis is the time until a crashed upstream restarts; zero means
	// that it restarts only on POST /admin/restart.
	RestartAfterMillis float64 `json:"restartAfterMillis"`
}

func (f Fault) delay() time.Duration { return millis(f.DelayMillis) }

// faultTable holds the request faults of one upstream.
type faultTable struct {
	mu     sync.Mutex
	faults []Fault
}

func (t *faultTable) add(f Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = append(t.faults, f)
}

// clear removes the faults of a kind; an empty kind means all.
func (t *faultTable) clear(kind FaultKind) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = slices.DeleteFunc(t.faults, func(f Fault) bool { return kind == "" || f.Kind == kind })
}

func (t *faultTable) list() []Fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.faults)
}

// take returns the first fault that applies to a request and decrements its
// Times. Without such a fault, the Kind of the result is empty.
func (t *faultTable) take(target string, body []byte) Fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, f := range t.faults {
		if !f.matches(target, body) {
			continue
		}
		if f.Times == 1 {
			t.faults = slices.Delete(t.faults, i, i+1)
		} else if f.Times > 1 {
			t.faults[i].Times--
		}
		return f
	}
	return Fault{}
}

func (f Fault) matches(target string, body []byte) bool {
	return f.Marker == "" || strings.Contains(target, f.Marker) || bytes.Contains(body, []byte(f.Marker))
}
