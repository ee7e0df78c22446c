package load

import (
	"net/netip"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/problem"
)

// Failure says how an attempt ended without a complete response.
type Failure string

// The failures of an attempt.
const (
	FailureNone Failure = ""
	// FailureConnect means that no connection was made, so nothing was sent.
	FailureConnect Failure = "connect"
	// FailureTimeout means that no complete response came in time.
	FailureTimeout Failure = "timeout"
	// FailureLost means that the connection ended before a response.
	FailureLost Failure = "lost"
	// FailureTruncated means that the connection ended within a response.
	FailureTruncated Failure = "truncated"
)

// Verdict says what a caller knows at the end of a request.
type Verdict string

// The verdicts on a request.
const (
	// Answered means a complete response to the caller's own request.
	Answered Verdict = "answered"
	// RefusedNotRun means that every attempt was refused as not run.
	RefusedNotRun Verdict = "refused-not-run"
	// Unknown means that an attempt may have run.
	Unknown Verdict = "unknown"
	// Wrong means a response with a success status that is not the caller's own
	// or not complete.
	Wrong Verdict = "wrong"
	// NotSent means that the generator had too many requests under way.
	NotSent Verdict = "not-sent"
)

// Attempt is what one entry host told a caller.
type Attempt struct {
	Host      netip.AddrPort  `json:"host"`
	Start     time.Time       `json:"start"`
	End       time.Time       `json:"end"`
	Status    int             `json:"status,omitempty"`
	Outcome   problem.Outcome `json:"outcome,omitempty"`
	Problem   string          `json:"problem,omitempty"`
	RequestID string          `json:"requestId,omitempty"`
	Failure   Failure         `json:"failure,omitempty"`
	// Error is the text of the error behind Failure, or the detail of a refusal.
	Error    string `json:"error,omitempty"`
	Replayed bool   `json:"replayed,omitempty"`
	// Mismatch says in what a success was not the response to this request.
	Mismatch string `json:"mismatch,omitempty"`

	retryAfter time.Duration
}

// succeeded reports a complete success status, whether its body is right or not.
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

// notRun reports that nothing of the attempt ran, as far as the caller was told.
func (a *Attempt) notRun() bool {
	return a.Failure == FailureConnect || a.Failure == FailureNone && a.Outcome == problem.OutcomeNotRun
}

// Record is one request with everything that its caller was told.
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

// Latency is counted from the intended start.
func (r *Record) Latency() time.Duration { return r.End.Sub(r.Intended) }

// Last returns the last attempt, or nil.
func (r *Record) Last() *Attempt {
	if len(r.Attempts) == 0 {
		return nil
	}
	return &r.Attempts[len(r.Attempts)-1]
}

// verdict judges a request by all of its attempts.
func (r *Record) verdict() Verdict {
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
