// Package policy holds the operators' configuration, indexed for the request path:
// routes by host and path, services, customers by key, and the limits on what callers
// may send.
//
// A Snapshot is immutable. The process publishes a new one for each accepted version
// through an atomic pointer; Newer decides whether it may replace the current one, so
// that the version never decreases within an incarnation.
package policy
