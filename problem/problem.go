package problem

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome states whether a request ran, as far as the host knows.
type Outcome string

// The outcomes of a request.
const (
	// OutcomeNotRun means that no upstream has run or will run the request.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that an upstream may have run the request.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeRun means that an upstream ran the request once.
	OutcomeRun Outcome = "run"
)

// Kind is the type of a failure. It is the last part of the problem type URI.
type Kind string

// The kinds of failure.
const (
	KindKeyMissing Kind = "key-missing"
	KindKeyInvalid Kind = "key-invalid"
	// KindKeySuspended means that a note that withdraws the key was announced and is
	// not decided yet.
	KindKeySuspended          Kind = "key-suspended"
	KindCustomerNotAllowed    Kind = "customer-not-allowed"
	KindRouteUnknown          Kind = "route-unknown"
	KindMethodNotAllowed      Kind = "method-not-allowed"
	KindMalformed             Kind = "malformed-request"
	KindBodyTooLarge          Kind = "body-too-large"
	KindHeadersTooLarge       Kind = "headers-too-large"
	KindRequestTimeout        Kind = "request-timeout"
	KindIdempotencyKeyMissing Kind = "idempotency-key-missing"
	KindIdempotencyKeyReused  Kind = "idempotency-key-reused"
	KindOperationRunning      Kind = "operation-running"
	KindOperationUnknown      Kind = "operation-unknown"
	// KindOperationRan means that the operation ran before, but its response was not
	// stored and can't be repeated.
	KindOperationRan Kind = "operation-ran"
	// KindOperationIDTime means that the time in the operation ID is too far ahead of
	// the clock of the ID's owner.
	KindOperationIDTime   Kind = "operation-id-time"
	KindClaimUnavailable  Kind = "claim-unavailable"
	KindRateExceeded      Kind = "rate-exceeded"
	KindNoCapacity        Kind = "no-capacity"
	KindQueueFull         Kind = "queue-full"
	KindQuarantined       Kind = "quarantined"
	KindLeaseExpired      Kind = "lease-expired"
	KindDraining          Kind = "draining"
	KindNotReady          Kind = "not-ready"
	KindUpstreamFailed    Kind = "upstream-failed"
	KindResponseTruncated Kind = "upstream-response-truncated"
	KindDeadlineExceeded  Kind = "deadline-exceeded"
	KindInternal          Kind = "internal-error"
)

// statusByKind holds the HTTP status of each kind.
var statusByKind = map[Kind]int{
	KindKeyMissing:            http.StatusUnauthorized,
	KindKeyInvalid:            http.StatusUnauthorized,
	KindKeySuspended:          http.StatusServiceUnavailable,
	KindCustomerNotAllowed:    http.StatusForbidden,
	KindRouteUnknown:          http.StatusNotFound,
	KindMethodNotAllowed:      http.StatusMethodNotAllowed,
	KindMalformed:             http.StatusBadRequest,
	KindBodyTooLarge:          http.StatusRequestEntityTooLarge,
	KindHeadersTooLarge:       http.StatusRequestHeaderFieldsTooLarge,
	KindRequestTimeout:        http.StatusRequestTimeout,
	KindIdempotencyKeyMissing: http.StatusBadRequest,
	KindIdempotencyKeyReused:  http.StatusUnprocessableEntity,
	KindOperationRunning:      http.StatusConflict,
	KindOperationUnknown:      http.StatusConflict,
	KindOperationRan:          http.StatusConflict,
	KindOperationIDTime:       http.StatusBadRequest,
	KindClaimUnavailable:      http.StatusServiceUnavailable,
	KindRateExceeded:          http.StatusTooManyRequests,
	KindNoCapacity:            http.StatusServiceUnavailable,
	KindQueueFull:             http.StatusServiceUnavailable,
	KindQuarantined:           http.StatusServiceUnavailable,
	KindLeaseExpired:          http.StatusServiceUnavailable,
	KindDraining:              http.StatusServiceUnavailable,
	KindNotReady:              http.StatusServiceUnavailable,
	KindUpstreamFailed:        http.StatusBadGateway,
	KindResponseTruncated:     http.StatusBadGateway,
	KindDeadlineExceeded:      http.StatusGatewayTimeout,
	KindInternal:              http.StatusInternalServerError,
}

// Error is a failure that is reported to a caller.
type Error struct {
	Kind    Kind
	Outcome Outcome
	// Detail is a human-readable explanation. It must not contain a key.
	Detail string
	// RetryAfter is the time after which a retry may succeed; 0 if unknown.
	RetryAfter time.Duration
	// Cause is the underlying error, for logs; it may be nil.
	Cause error
}

// New returns an error of a kind with an outcome and a detail.
func New(kind Kind, outcome Outcome, detail string) *Error {
	return &Error{Kind: kind, Outcome: outcome, Detail: detail}
}

// NotRun returns an error with OutcomeNotRun.
func NotRun(kind Kind, detail string) *Error {
	return New(kind, OutcomeNotRun, detail)
}

// WithRetryAfter sets the time after which a retry may succeed and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// WithCause sets the underlying error and returns e.
func (e *Error) WithCause(cause error) *Error {
	e.Cause = cause
	return e
}

// Status returns the HTTP status of the failure.
func (e *Error) Status() int {
	if status, ok := statusByKind[e.Kind]; ok {
		return status
	}
	return http.StatusInternalServerError
}

func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s (%s): %s: %v", e.Kind, e.Outcome, e.Detail, e.Cause)
	}
	return fmt.Sprintf("%s (%s): %s", e.Kind, e.Outcome, e.Detail)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }
