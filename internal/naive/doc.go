// Package naive is a simple entry host for comparison: an even split of limits, a
// random upstream, one retry whatever the semantics of the route, and no claims,
// leases or queues. It has the callers' interface of docs/design.md, section 9,
// and is not shipped.
package naive
