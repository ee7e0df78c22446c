// Package naive implements a simple entry host for comparison: limits are split
// evenly between hosts, upstreams are chosen at random, every failed request is
// retried once whatever the semantics of its route, and there are no claims,
// leases or queues. It implements the callers' interface of docs/design.md,
// section 9, and is not shipped.
package naive
