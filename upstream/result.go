package upstream

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
)

// Attempt is what an upstream is told of one attempt of a request.
type Attempt struct {
	Target   fleet.Upstream
	Customer fleet.Customer
	// TimeLeft is the time after which nobody waits for the response.
	TimeLeft time.Duration
}

// Load is an upstream's own figure of its work.
type Load struct {
	Known                   bool
	Running, Waiting, Slots int
}

// Fields are what an upstream says in the header of a response.
type Fields struct {
	RequestID string
	// NotRun is true if the upstream says that it did not run the request.
	NotRun bool
	// WrongTarget is true if another upstream has the address now.
	WrongTarget bool
	Load        Load
}

// Codec translates headers.
type Codec interface {
	// SetAttempt writes an attempt into the header of a request, and removes the
	// caller's key and whatever a caller must not say.
	SetAttempt(h http.Header, a Attempt)
	// Response reads the header of a response.
	Response(r *http.Response) Fields
}

// Request is a request of a caller in the form in which it is sent.
type Request struct {
	// ID is the id under which the caller sent it; the response has the same.
	ID     string
	Method string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Host   string
	// Header has no header that concerns only the caller's connection.
	Header http.Header
	Body   []byte
}

// Response is a complete response.
type Response struct {
	Status int
	// Header has no header that concerns only the upstream's connection.
	Header http.Header
	Body   []byte
	Fields
}

// Outcome classifies an attempt.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Answered means a complete response of the upstream that ran the request.
	Answered Outcome = iota
	// Refused means that the upstream said that it did not run the request.
	Refused
	// Misdirected means that another upstream has the address.
	Misdirected
	// Unreachable means that nothing of the request was sent.
	Unreachable
	// Broken means that no complete response came; the request may have run.
	Broken
	// TimedOut means that the time was over; the request may have run.
	TimedOut
	// Cancelled means that the caller left; the request may have run.
	Cancelled
)

// String returns the word of the outcome in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"answered", "refused", "misdirected", "unreachable", "broken", "timed_out", "cancelled"}[o]
}

// NotRun reports whether the request certainly has not run.
func (o Outcome) NotRun() bool { return o == Refused || o == Misdirected || o == Unreachable }

// Result is the result of an attempt.
type Result struct {
	Outcome Outcome
	// Response is set if the outcome is Answered, Refused or Misdirected.
	Response *Response
	// Err is the cause of the other outcomes.
	Err error
	// Silent is true if the upstream's machine did not acknowledge what was sent, or
	// stopped to answer the kernel's probes.
	Unresponsive bool
	// Reused is true if the connection had carried a request before.
	Reused bool
	Took   time.Duration
}

// Target is an upstream with its address.
type Target struct {
	ID      fleet.Upstream
	Address netip.AddrPort
}
