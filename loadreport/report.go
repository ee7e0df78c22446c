// Package loadreport exchanges what upstreams state about their load between the hosts
// of one failure domain.
//
// A host receives the load of an upstream only in responses to its own requests. In a
// large fleet these are too rare: with 98 hosts and 12 requests per second to an upstream,
// each host receives one in 8 s.
package loadreport

import (
	"time"

	"github.com/catkinspring/catkinspring/advisory"
)

// Report is what an upstream stated in a response to one host.
type Report struct {
	Upstream advisory.Key
	// Load is the number of running and waiting requests.
	Load int
	// Slowdown is how long work takes on the upstream's machine, relative to the usual time;
	// 0 if the upstream did not state it.
	Slowdown float64
	// Age is the time since the response.
	Age time.Duration
}

// MaxAge is the age from which on a report is of no use: requests take less time, so the
// load has changed completely.
const MaxAge = 2500 * time.Millisecond
