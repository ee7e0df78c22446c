package upstream

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/internal/bytebudget"
)

// Attempt holds what the header of a request states about one attempt.
type Attempt struct {
	Target   fleet.Upstream
	Customer fleet.Customer
	// TimeLeft is the time until the deadline, after which nobody waits for the response.
	TimeLeft time.Duration
}

// Load is the load that an upstream reports.
type Load struct {
	// Known is false if the upstream reported no numbers of running and waiting requests.
	Known bool
	// Running and Waiting are numbers of requests. Slots is 0 if it is unknown.
	Running, Waiting, Slots int
	// Slowdown is how long work takes on the upstream's machine at the moment, relative to
	// the usual time; 0 if the upstream did not state it.
	Slowdown float64
}

// Fields holds the values that an upstream reports in the header of a response.
type Fields struct {
	RequestID string
	// NotRun is true if the upstream states that it did not run the request.
	NotRun bool
	// WrongTarget is true if the address now belongs to another upstream.
	WrongTarget bool
	Load        Load
	// ColdFor is the remaining warm-up time; 0 if the upstream did not state one.
	ColdFor time.Duration
	// Pause is for how long the upstream, which refused the request, requests that this
	// host sends no further ones; 0 if it stated no pause.
	Pause time.Duration
	// Leaving is true if the upstream states that it is about to stop.
	Leaving bool
	// Limit is the rate of requests that the upstream takes from all hosts together.
	Limit RateLimit
}

// RateLimit is a limit that an upstream states.
type RateLimit struct {
	// Known is false if the upstream stated no limit.
	Known bool
	// PerSecond is the number of requests per second.
	PerSecond float64
}

// Codec translates between attempts or responses and a platform's headers.
type Codec interface {
	// SetAttempt writes an attempt into the header of a request. It removes the
	// caller's key and all headers that a caller must not set.
	SetAttempt(h http.Header, a Attempt)
	// Response reads the header of a response.
	Response(r *http.Response) Fields
}

// Request is a caller's request in the form in which it is sent upstream.
type Request struct {
	// ID is the ID that the caller gave to its attempt; the response carries the same
	// ID.
	ID     string
	Method string
	// Target is the path and query exactly as received from the caller.
	Target string
	Host   string
	// Header contains no hop-by-hop headers.
	Header http.Header
	Body   []byte
}

// Response is a complete response of an upstream.
type Response struct {
	Status int
	// Header contains no hop-by-hop headers.
	Header http.Header
	Body   []byte
	Fields
	// memory is the reservation for Body.
	memory *bytebudget.Account
}

// Release returns the memory that is reserved for the body. It must be called once the
// body of an answered request is no longer needed.
func (r *Response) Release() { r.memory.Release() }

// Outcome classifies an attempt.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Answered means a complete response of an upstream that ran the request.
	Answered Outcome = iota
	// Refused means that the upstream stated that it did not run the request.
	Refused
	// Misdirected means that the address belongs to another upstream.
	Misdirected
	// Unreachable means that no byte of the request was sent.
	Unreachable
	// Broken means that no complete response arrived; the request may have run.
	Broken
	// TimedOut means that the deadline passed; the request may have run.
	TimedOut
	// Cancelled means that the caller disconnected, or that the context ended while
	// the connection was being opened. It is treated as if the request may have run.
	Cancelled
)

// String returns the name of the outcome in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"answered", "refused", "misdirected", "unreachable", "broken", "timed_out", "cancelled"}[o]
}

// NotRun reports whether the request certainly did not run.
func (o Outcome) NotRun() bool { return o == Refused || o == Misdirected || o == Unreachable }

// Result is the result of an attempt.
type Result struct {
	Outcome Outcome
	// Response is set if the outcome is Answered, Refused or Misdirected.
	Response *Response
	// Err is the cause of the other outcomes.
	Err error
	// Unresponsive is true if the upstream's machine did not acknowledge a new
	// connection, sent data or the kernel's keep-alive probes.
	Unresponsive bool
	// Rejected is true if the upstream's machine refused or reset the connection, or
	// closed it without a byte of a response, as when the process has ended.
	Rejected bool
	// Reused is true if the connection had carried an earlier request.
	Reused bool
	// Took is the duration of the attempt.
	Took time.Duration
}

// Target is an upstream with its address.
type Target struct {
	ID      fleet.Upstream
	Address netip.AddrPort
}
