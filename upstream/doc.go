// Package upstream sends requests to upstreams and reads their responses over a pool
// of persistent connections.
//
// Exchange makes exactly one attempt: it never sends a request twice. Its Result
// describes the attempt, in particular whether the request may have run. A connection
// is reused only after a complete response to the request that was sent on it, with no
// further bytes behind it. It never carries a request again that was refused on it.
package upstream
