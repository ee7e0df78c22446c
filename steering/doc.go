// Package steering chooses the upstream of each request.
//
// All hosts send the requests for one object to the same upstream without
// exchanging messages: a hash of the object selects the region, weighted by the
// region plan, and orders the upstreams there (rendezvous hashing). Load, failures,
// warm-up and what upstreams state about themselves decide how far down that order a
// request goes.
//
// A promise over all hosts, such as the rate of a cold upstream, is divided among few of
// them by rendezvous hashing (share.go). What a host does not know is no permission: it
// sends nothing on its behalf until it does.
//
// Table has no clock, goroutine or socket; methods that depend on the time take it.
package steering
