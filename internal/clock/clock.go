// Package clock reads the clocks of the process.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/catkinspring/catkinspring/machine"
)

// jump is the change of the wall clock against the steady clock above which the
// machine may have been suspended. It is far above the steering of a wall clock
// and below any time that must expire during a suspension.
const jump = 50 * time.Millisecond

// Clock is a steady clock that also counts the time for which the machine was
// suspended. The runtime's steady clock stands still then, so that a lease or loan
// would look valid afterwards although its other side has seen it end.
//
// The time of suspensions is read from the boot-time clock, which costs a system
// call, when the wall clock has moved against the steady one: a suspension moves
// it too. It is safe for concurrent use.
type Clock struct {
	start time.Time
	// ahead is how far the wall clock is ahead of the steady clock, in nanoseconds.
	ahead atomic.Int64
	// suspended is the time of suspensions since the start, in nanoseconds.
	suspended atomic.Int64
	before    time.Duration

	wall func() time.Time
	boot func() time.Duration
}

// New returns a clock whose instants count from now.
func New() *Clock { return newClock(time.Now, bootAhead) }

func newClock(wall func() time.Time, boot func() time.Duration) *Clock {
	c := &Clock{start: wall(), before: boot(), wall: wall, boot: boot}
	c.ahead.Store(c.start.UnixNano())
	return c
}

// bootAhead returns how far the boot-time clock is ahead of the steady clock.
func bootAhead() time.Duration {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		// Both clocks exist on every supported kernel.
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}

// Now returns the steady clock with suspensions, and the wall clock.
func (c *Clock) Now() machine.Now {
	now := c.wall()
	steady := now.Sub(c.start)
	if moved := now.UnixNano() - int64(steady) - c.ahead.Load(); moved > int64(jump) || moved < -int64(jump) {
		c.ahead.Add(moved)
		c.noteSuspension()
	}
	return machine.Now{Instant: machine.Instant(int64(steady) + c.suspended.Load()), WallMillis: now.UnixMilli()}
}

// noteSuspension reads the time of suspensions. It never decreases.
func (c *Clock) noteSuspension() {
	total := int64(c.boot() - c.before)
	for {
		known := c.suspended.Load()
		if total <= known || c.suspended.CompareAndSwap(known, total) {
			return
		}
	}
}

// Time returns the wall clock time of an instant of this clock.
func (c *Clock) Time(i machine.Instant) time.Time {
	return c.start.Add(time.Duration(int64(i) - c.suspended.Load()))
}
