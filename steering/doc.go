// Package steering chooses the upstream of each request.
//
// Requests for one object go to the same upstream from all hosts, without a
// message between them: a hash of the object decides the region, in the
// proportions of the region plan, and the order of the upstreams there. Load,
// failures and warm-up decide how far down that order a request goes.
//
// Table has no clock, goroutine or socket; every method takes the time.
package steering
