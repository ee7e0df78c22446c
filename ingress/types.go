package ingress

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/internal/bytebudget"
)

// Fields are the values that a caller sets in the header of a request.
type Fields struct {
	// ID is the ID that the caller gave to this attempt; may be empty.
	ID string
	// Key is the caller's key; it must not be logged or forwarded.
	Key string
	// TimeLeft is how long the caller waits; 0 if not given.
	TimeLeft time.Duration
	// Affinity names the object that the request concerns; may be empty.
	Affinity string
}

// LookupRequest is a lookup of the entry hosts that a caller should use.
type LookupRequest struct {
	Region        fleet.Region
	FailureDomain fleet.FailureDomain
}

// LookupResponse is the response to a lookup of entry hosts.
type LookupResponse struct {
	Addresses []netip.AddrPort
	// MaxAge is how long the caller may cache the response.
	MaxAge time.Duration
}

// Codec translates requests and lookups of callers.
type Codec interface {
	// CallerFields returns the fields in the header of a request.
	CallerFields(r *http.Request) Fields
	LookupRequest(r *http.Request) LookupRequest
	// LookupResponse returns the value whose JSON form is the body of the response.
	LookupResponse(a LookupResponse) any
}

// Request is a request with its whole body.
type Request struct {
	*http.Request
	Body []byte
	// head and memory are the reservations for the header and for Body, which end when the
	// handler returns.
	head, memory *bytebudget.Account
	// Received is when the first byte of the header arrived.
	Received time.Time
	// sentTo is the upstream that last got the request.
	sentTo atomic.Pointer[fleet.Upstream]
}

func (r *Request) releaseMemory() {
	r.head.Release()
	r.memory.Release()
}

// SetSentTo records that the request is sent to an upstream.
func (r *Request) SetSentTo(u fleet.Upstream) { r.sentTo.Store(&u) }

// SentTo returns the upstream that last got the request; empty if none did.
func (r *Request) SentTo() fleet.Upstream {
	if u := r.sentTo.Load(); u != nil {
		return *u
	}
	return ""
}

// Response is a response with its whole body. A Status of 0 closes the connection
// without a response.
type Response struct {
	Status int
	// Header must not contain connection-specific (hop-by-hop) headers.
	Header http.Header
	Body   []byte
	// Close closes the connection after the response, unless further requests have
	// been read.
	Close bool
	// Release, if set, is called once the response has been written or dropped.
	Release func()
}

// Refuse returns a response that the host itself generates. It asks callers to retry
// after the given time, unless that is 0.
func Refuse(status int, retryAfter time.Duration) *Response {
	h := http.Header{}
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	return &Response{Status: status, Header: h}
}

// release calls Release.
func (r *Response) release() {
	if r.Release != nil {
		r.Release()
	}
}

// Handler serves a request. The context ends when the caller disconnects.
type Handler func(ctx context.Context, r *Request) *Response

// Limits are the size limits and timeouts for callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
