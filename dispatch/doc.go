// Package dispatch carries requests to upstreams and their responses back.
//
// It has its own pool of connections, with one exchange at a time on each, so
// that it knows for every request whether a byte of it was written. Retries and
// time bounds are decided here alone. A response is passed on only if it is
// complete and carries the id of its request. A connection is used again only
// after a faultless exchange.
//
// The package also holds the quarantine of requests that crash upstreams: a
// traffic-side table, and a state machine that shares suspicions with the other
// hosts of the cell.
package dispatch
