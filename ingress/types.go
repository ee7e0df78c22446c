package ingress

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
)

// Fields are what a caller says in the header of a request.
type Fields struct {
	// ID is the caller's id of this attempt; empty if there is none.
	ID string
	// Key is the caller's key; it must not be logged or passed on.
	Key string
	// TimeLeft is how long the caller waits; 0 if it does not say.
	TimeLeft time.Duration
	// Affinity names the object that the request concerns; empty if there is none.
	Affinity string
}

// Question asks which entry hosts a caller should use.
type LookupRequest struct {
	Region        fleet.Region
	FailureDomain fleet.FailureDomain
}

// Answer names entry hosts.
type LookupResponse struct {
	Addresses []netip.AddrPort
	MaxAge    time.Duration
}

// Codec translates what callers send.
type Codec interface {
	CallerFields(r *http.Request) Fields
	LookupRequest(r *http.Request) LookupRequest
	// Answer returns the value whose JSON form is the body of an answer.
	LookupResponse(a LookupResponse) any
}

// Request is a complete request.
type Request struct {
	*http.Request
	Body []byte
	// Received is when the header began to arrive.
	Received time.Time
}

// Response is a complete response.
type Response struct {
	Status int
	// Header has no header that concerns only one connection.
	Header http.Header
	Body   []byte
	// Close ends the connection after the response, unless further requests have
	// been read.
	Close bool
}

// Handler answers a request. The context ends when the caller leaves.
type Handler func(ctx context.Context, r *Request) *Response

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
