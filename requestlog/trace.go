package requestlog

import (
	"sync"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/problem"
	"github.com/catkinspring/catkinspring/traffic"
)

// maxSteps bounds the steps of a request: an admission, a claim, three attempts,
// and the reason why there was no further one.
const maxSteps = 6

type stepKind uint8

const (
	stepAdmission stepKind = iota
	stepClaim
	stepReplay
	stepAttempt
	stepNoRetry
)

// step is one thing that happened to a request.
type step struct {
	kind     stepKind
	took     time.Duration
	upstream fleet.Upstream
	location fleet.Location
	result   traffic.Result
	wrote    bool
	reason   string
}

// Trace gathers the steps of one request. It is not safe for concurrent use. All
// methods may be called on nil.
type Trace struct {
	ID       string
	Started  time.Time
	Customer fleet.Customer
	Route    fleet.Route

	steps    [maxSteps]step
	count    int
	attempts int
}

// traces recycles traces, which are larger than everything else that a request
// needs.
var traces = sync.Pool{New: func() any { return new(Trace) }}

// Acquire returns the trace of a new request. Release must be called once.
func Acquire(id string, started time.Time) *Trace {
	t := traces.Get().(*Trace)
	t.ID, t.Started = id, started
	return t
}

// Release gives the trace back. It must not be used afterwards.
func (t *Trace) Release() {
	*t = Trace{}
	traces.Put(t)
}

func (t *Trace) add(s step) {
	if t == nil || t.count == maxSteps {
		return
	}
	t.steps[t.count] = s
	t.count++
}

// Admitted says that a token of the customer was spent, after a wait.
func (t *Trace) Admitted(wait time.Duration) { t.add(step{kind: stepAdmission, took: wait}) }

// Claimed says that this host alone may run the operation.
func (t *Trace) Claimed(took time.Duration) { t.add(step{kind: stepClaim, took: took}) }

// Replayed says that the operation ran before and its response is repeated.
func (t *Trace) Replayed(took time.Duration) { t.add(step{kind: stepReplay, took: took}) }

// Attempted says how an attempt at an upstream ended. Wrote is true if a byte of
// the request was written.
func (t *Trace) Attempted(target traffic.Target, result traffic.Result, wrote bool, took time.Duration) {
	if t == nil {
		return
	}
	t.attempts++
	t.add(step{kind: stepAttempt, took: took, upstream: target.Name, location: target.Location, result: result, wrote: wrote})
}

// NotRetried says why no further attempt was made. The reason is a part of a
// sentence and holds nothing that a caller sent.
func (t *Trace) NotRetried(reason string) { t.add(step{kind: stepNoRetry, reason: reason}) }

// Shifted returns the regions of attempts that were not in the given one.
func (t *Trace) ShiftedRegions(own fleet.Region) []fleet.Region {
	var regions []fleet.Region
	for i := range t.count {
		s := &t.steps[i]
		if s.kind == stepAttempt && s.location.Region != own && s.location.Region != "" {
			regions = append(regions, s.location.Region)
		}
	}
	return regions
}

// Attempts returns the number of attempts at upstreams.
func (t *Trace) Attempts() int { return t.attempts }

// End says how a request ended.
type End struct {
	// Status is the status that the caller got.
	Status int
	// Outcome is OutcomeRun for a response of an upstream.
	Outcome problem.Outcome
	// Kind and Detail are those of the problem document; empty for a response of
	// an upstream.
	Kind    problem.Kind
	Detail  string
	Elapsed time.Duration
}

// Recorder takes finished requests. It must not block, and must not keep the
// trace.
type Recorder interface {
	Finish(t *Trace, end End)
}

// Recorders passes each request on to several recorders.
type Recorders []Recorder

// Finish passes a request on.
func (r Recorders) Finish(t *Trace, end End) {
	for _, recorder := range r {
		recorder.Finish(t, end)
	}
}
