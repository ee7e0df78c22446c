package load

import (
	"net/netip"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/problem"
)

// Failure is the reason why an attempt got no complete response.
type Failure string

// Failure values.
const (
	FailureNone Failure = ""
	// FailureConnect means that no connection was established, so nothing was sent.
	FailureConnect Failure = "connect"
	// FailureTimeout means that no complete response arrived in time.
	FailureTimeout Failure = "timeout"
	// FailureLost means that the connection closed before a response.
	FailureLost Failure = "lost"
	// FailureTruncated means that the connection closed within a response.
	FailureTruncated Failure = "truncated"
)

// Verdict is the final result of a request from the caller's point of view.
type Verdict string

// Verdict values.
const (
	// Answered means a complete and correct response to this request.
	Answered Verdict = "answered"
	// RefusedNotRun means that every attempt was refused as not run.
	RefusedNotRun Verdict = "refused-not-run"
	// Unknown means that at least one attempt may have run.
	Unknown Verdict = "unknown"
	// Wrong means a response with a success status that is incomplete or belongs to
	// another request.
	Wrong Verdict = "wrong"
	// NotSent means that the generator had too many requests in flight.
	NotSent Verdict = "not-sent"
)

// Attempt is one attempt of a request with the response of its entry host.
type Attempt struct {
	Host      netip.AddrPort  `json:"host"`
	Start     time.Time       `json:"start"`
	End       time.Time       `json:"end"`
	Status    int             `json:"status,omitempty"`
	Outcome   problem.Outcome `json:"outcome,omitempty"`
	Problem   string          `json:"problem,omitempty"`
	RequestID string          `json:"requestId,omitempty"`
	Failure   Failure         `json:"failure,omitempty"`
	// Error is the error text of a Failure, or the detail of a refusal.
	Error    string `json:"error,omitempty"`
	Replayed bool   `json:"replayed,omitempty"`
	// Mismatch names the part of a success response that does not fit this request.
	Mismatch string `json:"mismatch,omitempty"`

	retryAfter time.Duration
}

// succeeded reports a complete response with a success status, whether or not its
// body is correct.
func (a *Attempt) succeeded() bool {
	return a.Failure == FailureNone && a.Status >= 200 && a.Status < 300
}

// Reason returns the kind of a refusal or failure; empty after a success.
func (a *Attempt) Reason() string {
	if a.Failure != FailureNone {
		return string(a.Failure)
	}
	return a.Problem
}

// notRun reports whether, according to the response, nothing of the attempt ran.
func (a *Attempt) notRun() bool {
	return a.Failure == FailureConnect || a.Failure == FailureNone && a.Outcome == problem.OutcomeNotRun
}

// Record is one request with all of its attempts.
type Record struct {
	Customer fleet.Customer `json:"customer"`
	Stream   string         `json:"stream"`
	Route    fleet.Route    `json:"route"`
	Keyed    bool           `json:"keyed"`
	KeyID    string         `json:"keyId,omitempty"`
	Target   string         `json:"target"`
	// OperationKey is the idempotency key; empty for idempotent requests.
	OperationKey string    `json:"operationKey,omitempty"`
	BodyHash     string    `json:"bodyHash"`
	Intended     time.Time `json:"intended"`
	End          time.Time `json:"end"`
	Verdict      Verdict   `json:"verdict"`
	Attempts     []Attempt `json:"attempts"`
}

// Latency is the time from the intended start to the end of the request.
func (r *Record) Latency() time.Duration { return r.End.Sub(r.Intended) }

// Last returns the last attempt, or nil.
func (r *Record) Last() *Attempt {
	if len(r.Attempts) == 0 {
		return nil
	}
	return &r.Attempts[len(r.Attempts)-1]
}

// computeVerdict derives the verdict from all attempts.
func (r *Record) computeVerdict() Verdict {
	last := r.Last()
	switch {
	case last == nil:
		return RefusedNotRun
	case last.succeeded() && last.Mismatch != "":
		return Wrong
	case last.succeeded():
		return Answered
	}
	for i := range r.Attempts {
		if !r.Attempts[i].notRun() {
			return Unknown
		}
	}
	return RefusedNotRun
}
