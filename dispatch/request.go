package dispatch

import (
	"encoding/binary"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/catkinspring/catkinspring/configuration"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/keys"
	"github.com/catkinspring/catkinspring/requestlog"
	"github.com/catkinspring/catkinspring/traffic"
)

// The headers between entry hosts and upstreams.
const (
	HeaderRequestID = "X-Request-Id"
	// HeaderCustomer is the customer whose key came with the request. It is absent
	// on open routes; a caller's own header of that name is not forwarded.
	HeaderCustomer = "X-Customer"
	// HeaderDeadline is the time after which an upstream must abandon the request,
	// in Unix milliseconds.
	HeaderDeadline = "X-Request-Deadline"
	// HeaderNotRun is "true" on a 503 of an upstream that did not run the request.
	HeaderNotRun = "X-Not-Run"
	// HeaderDraining is "true" in addition to HeaderNotRun if the upstream is
	// draining.
	HeaderDraining = "X-Draining"
)

// Request is a caller's request.
type Request struct {
	// ID is unique for each request and can't be guessed.
	ID       string
	Route    *configuration.Route
	Customer fleet.Customer
	// Weight is the customer's weight, at least 1.
	Weight int
	// Fingerprint is the result of Fingerprint for the request.
	Fingerprint uint64
	// Message is the request as it was received. It is not changed, and not used
	// after Dispatch returns.
	Message *fasthttp.Request
	// Target is the path and query of the request to the upstream.
	Target []byte
	// Key is the caller's key, which no upstream may receive; zero on open routes.
	Key keys.Key
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Lease limits the deadline that is sent to the upstream; nil on open routes.
	Lease traffic.Lease
	// LastCheck is called immediately before the first byte of each attempt is
	// written. Nothing is written if it returns an error.
	LastCheck func() error
	// Trace records the attempts; nil records nothing.
	Trace *requestlog.Trace

	written  atomic.Bool
	upstream atomic.Pointer[fleet.Upstream]
}

// Written reports whether a byte of the request may have been written to an
// upstream. It may be called at any time, by any goroutine.
func (r *Request) Written() bool { return r.written.Load() }

// Upstream returns the upstream of the last attempt that was begun, or "". It may be
// called at any time, by any goroutine.
func (r *Request) Upstream() fleet.Upstream {
	if name := r.upstream.Load(); name != nil {
		return *name
	}
	return ""
}

func (r *Request) atMostOnce() bool {
	return r.Route.Semantics != configuration.SemanticsIdempotent
}

// Fingerprint returns a hash that identifies equal requests. A configuration that gives them
// another route doesn't change it. Each part is preceded by its length, so that different
// parts can't add up to the same bytes.
func Fingerprint(customer fleet.Customer, method, target, body []byte) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	writePart(&digest, []byte(customer))
	writePart(&digest, method)
	writePart(&digest, target)
	writePart(&digest, body)
	return digest.Sum64()
}

func writePart(digest *xxhash.Digest, part []byte) {
	var size [8]byte
	binary.LittleEndian.PutUint64(size[:], uint64(len(part)))
	_, _ = digest.Write(size[:])
	_, _ = digest.Write(part)
}
