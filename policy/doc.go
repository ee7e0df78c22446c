// Package policy holds the operators' configuration in the form that the request
// path reads: routes by host and path, services, customers by key, and the limits
// towards callers.
//
// A Snapshot is immutable. The process publishes a new one for each accepted
// version through an atomic pointer; Newer decides whether it may replace the
// present one, so that a version never goes back within an incarnation.
package policy
