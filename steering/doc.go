// Package steering chooses the upstream of each request.
//
// All hosts send the requests for one object to the same upstream without
// exchanging messages: a hash of the object selects the region, weighted by the
// region plan, and orders the upstreams there (rendezvous hashing). Load,
// failures and warm-up decide how far down that order a request goes.
//
// Table has no clock, goroutine or socket; methods that depend on the time take it.
package steering
