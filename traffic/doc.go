// Package traffic defines the interfaces through which the request path calls
// the other modules.
//
// The gateway admits a request with a Limiter, claims an at-most-once operation
// with a Claimer, and passes it to the dispatcher, which acquires a slot at an
// upstream from a Placer. All implementations are safe for concurrent use and
// return *problem.Error when they refuse.
package traffic
