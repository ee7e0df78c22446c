package requestlog

import (
	"sync"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/problem"
	"github.com/catkinspring/catkinspring/traffic"
)

// maxSteps is the maximum number of steps of a request: an admission, a claim,
// three attempts, and the reason why there was no further attempt.
const maxSteps = 6

type stepKind uint8

const (
	stepAdmission stepKind = iota
	stepClaim
	stepReplay
	stepAttempt
	stepNoRetry
)

// step is one recorded step of a request.
type step struct {
	kind           stepKind
	duration       time.Duration
	upstream       fleet.Upstream
	location       fleet.Location
	result         traffic.Result
	requestWritten bool
	// reason is why no further attempt was made, or why the response of an attempt is broken.
	reason string
}

// Trace collects the steps of one request. It is not safe for concurrent use. All
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

// tracePool reuses traces, which are larger than everything else that a request
// needs.
var tracePool = sync.Pool{New: func() any { return new(Trace) }}

// Acquire returns a trace for a new request. Release must be called once.
func Acquire(id string, started time.Time) *Trace {
	t := tracePool.Get().(*Trace)
	t.ID, t.Started = id, started
	return t
}

// Release returns the trace to the pool. It must not be used afterwards.
func (t *Trace) Release() {
	*t = Trace{}
	tracePool.Put(t)
}

func (t *Trace) add(s step) {
	if t == nil || t.count == maxSteps {
		return
	}
	t.steps[t.count] = s
	t.count++
}

// Admitted records that a token of the customer was taken, after a wait.
func (t *Trace) Admitted(wait time.Duration) { t.add(step{kind: stepAdmission, duration: wait}) }

// Claimed records that only this host may run the operation.
func (t *Trace) Claimed(duration time.Duration) { t.add(step{kind: stepClaim, duration: duration}) }

// Replayed records that the operation ran before and its response is replayed.
func (t *Trace) Replayed(duration time.Duration) { t.add(step{kind: stepReplay, duration: duration}) }

// Attempted records the result of an attempt at an upstream. requestWritten is
// true if any byte of the request was written.
func (t *Trace) Attempted(target traffic.Target, result traffic.Result, requestWritten bool, duration time.Duration) {
	if t == nil {
		return
	}
	t.attempts++
	t.add(step{kind: stepAttempt, duration: duration, upstream: target.Name, location: target.Location, result: result, requestWritten: requestWritten})
}

// ResponseBroken records why the response of the last attempt is broken.
func (t *Trace) ResponseBroken(reason string) {
	if t != nil && t.count > 0 && t.steps[t.count-1].kind == stepAttempt {
		t.steps[t.count-1].reason = reason
	}
}

// NotRetried records why no further attempt was made. The reason is a clause of a
// sentence and must not contain anything that a caller sent.
func (t *Trace) NotRetried(reason string) { t.add(step{kind: stepNoRetry, reason: reason}) }

// ShiftedRegions returns the regions of attempts outside the given region.
func (t *Trace) ShiftedRegions(localRegion fleet.Region) []fleet.Region {
	var regions []fleet.Region
	for i := range t.count {
		s := &t.steps[i]
		if s.kind == stepAttempt && s.location.Region != localRegion && s.location.Region != "" {
			regions = append(regions, s.location.Region)
		}
	}
	return regions
}

// Attempts returns the number of attempts at upstreams.
func (t *Trace) Attempts() int { return t.attempts }

// End describes how a request ended.
type End struct {
	// Status is the HTTP status of the response to the caller.
	Status int
	// Outcome is OutcomeRun if the response came from an upstream.
	Outcome problem.Outcome
	// Kind and Detail are those of the problem document; empty if the response
	// came from an upstream.
	Kind    problem.Kind
	Detail  string
	Elapsed time.Duration
}

// Recorder receives finished requests. It must not block, and must not retain the
// trace.
type Recorder interface {
	Finish(t *Trace, end End)
}

// Recorders passes each request to several recorders.
type Recorders []Recorder

// Finish passes the request to each recorder.
func (r Recorders) Finish(t *Trace, end End) {
	for _, recorder := range r {
		recorder.Finish(t, end)
	}
}
