// Package dispatch carries requests to upstreams and their responses back.
//
// It has its own connection pool, with one exchange at a time on each connection,
// so that it records for every request whether a byte of it was written. Only this
// package decides on retries and timeouts. A response is passed on only if it is
// complete and carries the ID of its request. A connection is reused only after an
// exchange without errors.
//
// The package also holds the quarantine of requests that crash upstreams: a
// traffic-side table, and a state machine that shares suspected crashes with the
// other hosts of the cell.
package dispatch
