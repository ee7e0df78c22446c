package traffic

import (
	"context"
	"net/netip"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// Clock returns the current time of the process.
type Clock interface {
	Now() machine.Now
}

// Lease is the lease of this host.
type Lease interface {
	// ValidUntil returns the instant at which the lease ends.
	ValidUntil() machine.Instant
}

// Limiter enforces the rates and bursts of customers.
type Limiter interface {
	// Admit takes one token of the customer. It may wait for a loan, for a bounded
	// time and at most until the context ends.
	Admit(ctx context.Context, customer fleet.Customer) (Admission, error)
}

// Admission is a token that was taken for a request.
type Admission interface {
	// Valid reports whether the host still holds the share that the token came
	// from. It is called immediately before a request is written to an upstream.
	Valid() bool
	// Refund returns the token. It may be called only if nothing ran.
	Refund()
}

// OperationID identifies an at-most-once operation.
type OperationID struct {
	Customer fleet.Customer `cbor:"1,keyasint"`
	Key      string         `cbor:"2,keyasint"`
}

// Operation is an at-most-once operation that a caller requests.
type Operation struct {
	ID OperationID
	// Fingerprint is a hash of customer, route, method, path with query, and body.
	Fingerprint uint64
	// Deadline bounds the wait for another attempt of the same operation.
	Deadline time.Time
}

// OperationResult is the response of an operation that ran.
type OperationResult struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint"`
	Body        []byte `cbor:"3,keyasint"`
	// BodyDropped is true if the body was too large to keep.
	BodyDropped bool `cbor:"4,keyasint"`
}

// Claimer grants each operation at most once across the fleet.
type Claimer interface {
	// Claim returns a claim if this host alone may run the operation now. If the
	// operation ran before, it returns its result and a nil claim. Otherwise it
	// returns a *problem.Error.
	Claim(ctx context.Context, op Operation) (Claim, *OperationResult, error)
}

// Claim is the right to run one operation once. Exactly one of Complete,
// Release and Abandon must be called.
type Claim interface {
	// Valid reports whether the claim still holds. It is called immediately
	// before the request is written to an upstream.
	Valid() bool
	// Complete records the response.
	Complete(result OperationResult)
	// Release reports that nothing ran, so that another attempt may run.
	Release()
	// Abandon reports that it is unknown whether the operation ran.
	Abandon()
}

// SlotRequest describes the request that needs a slot.
type SlotRequest struct {
	Route    fleet.Route
	Pool     fleet.Pool
	Customer fleet.Customer
	// Weight is the customer's weight for fair queueing, at least 1.
	Weight int
	// Bytes is the size of the request body.
	Bytes int
	// Exclude lists upstreams that were already tried.
	Exclude []fleet.Upstream
}

// Target is the upstream that was chosen.
type Target struct {
	Name     fleet.Upstream
	Address  netip.AddrPort
	Location fleet.Location
}

// Placer chooses upstreams.
type Placer interface {
	// Acquire returns a slot at an upstream. It may wait in a bounded queue
	// until the context ends.
	Acquire(ctx context.Context, request SlotRequest) (Slot, error)
}

// Slot is the capacity for one request at an upstream.
type Slot interface {
	Target() Target
	// Release returns the slot. It must be called exactly once.
	Release(report Report)
}

// Result classifies an attempt at an upstream.
type Result uint8

// The results of an attempt.
const (
	// ResultUnused means that the slot was not used.
	ResultUnused Result = iota
	// ResultAnswered means a complete response with any status.
	ResultAnswered
	// ResultShed means that the upstream reported that it did not run the request
	// (load shedding).
	ResultShed
	// ResultDraining means that the upstream reported that it is leaving.
	ResultDraining
	// ResultConnectFailed means that no connection could be opened.
	ResultConnectFailed
	// ResultConnectionFault means an unresponsive or broken connection while the
	// upstream itself was not at fault.
	ResultConnectionFault
	// ResultFailed means a connection reset or a truncated or malformed response.
	ResultFailed
	// ResultTimedOut means that no complete response came in time.
	ResultTimedOut
	// ResultCrashSuspected means that the request may have crashed the upstream.
	ResultCrashSuspected
	// ResultCancelled means that the caller disconnected.
	ResultCancelled
)

// Report describes how an attempt ended.
type Report struct {
	Result Result
	// Latency is the time from the first byte written to the end of the response.
	Latency time.Duration
	// Bytes is the size of the response.
	Bytes int
}
