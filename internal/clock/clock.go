// Package clock reads the clocks of the process.
package clock

import (
	"time"

	"github.com/catkinspring/catkinspring/machine"
)

// Clock reads the clocks of the process.
type Clock struct {
	start time.Time
}

// New returns a clock whose instants count from now.
func New() *Clock {
	return &Clock{start: time.Now()}
}

// Now returns the monotonic and the wall clock.
func (c *Clock) Now() machine.Now {
	now := time.Now()
	return machine.Now{Instant: machine.Instant(now.Sub(c.start)), WallMillis: now.UnixMilli()}
}

// Time returns the wall clock time of an instant of this clock.
func (c *Clock) Time(i machine.Instant) time.Time {
	return c.start.Add(time.Duration(i))
}
