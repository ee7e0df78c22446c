// Package admission queues requests for which the upstreams of their service have no free capacity.
//
// A Queue decides which waiting requests are tried next, which ones can no longer be
// served in time, which ones a full queue refuses, and when a refused caller should
// retry. It has no clock, goroutine or randomness of its own and is not safe for
// concurrent use.
package admission
