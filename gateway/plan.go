package gateway

import (
	"time"

	"github.com/catkinspring/catkinspring/machine"
)

// StopPlan decides which requests a stopping host still passes on.
type StopPlan struct {
	// End is the instant at which the requests that still run are ended.
	End machine.Instant
	// Reserve is the time that a request is expected to take at most. Requests with an
	// earlier deadline are expected to end by that.
	Reserve time.Duration
}

// Admits reports whether a request that is passed on now is expected to end before the
// stop does. timeout is the time until the request's deadline.
func (p *StopPlan) Admits(now machine.Instant, timeout time.Duration) bool {
	return p == nil || p.End.Sub(now) >= min(timeout, p.Reserve)
}
