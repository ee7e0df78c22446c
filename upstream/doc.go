// Package upstream sends requests to upstreams and reads their responses on a
// pool of kept connections.
//
// Exchange makes exactly one attempt: it never sends a request twice. Its Result
// says what is known of the attempt, in particular whether the request may have
// run. A connection is used again only after a complete response to the request
// that was sent on it, with nothing behind it.
package upstream
