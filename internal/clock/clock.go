// Package clock reads the monotonic, wall and boot-time clocks.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/catkinspring/catkinspring/machine"
)

// suspensionThreshold is the change of the wall clock relative to the monotonic
// clock above which the machine may have been suspended. It is far above the
// gradual adjustment of a wall clock and below any time that must expire during a
// suspension.
const suspensionThreshold = 50 * time.Millisecond

// Clock is a monotonic clock that includes the time for which the machine was
// suspended. The monotonic clock of the Go runtime stops during a suspension, so a
// lease or loan would look valid afterwards although it has expired for its other
// side.
//
// A suspension also moves the wall clock relative to the monotonic clock. Only after
// such a change is the suspended time read from the boot-time clock, which costs a
// system call. It is safe for concurrent use.
type Clock struct {
	start time.Time
	// wallOffset is how far the wall clock is ahead of the monotonic clock, in
	// nanoseconds.
	wallOffset atomic.Int64
	// suspended is the total time of suspensions since the start, in nanoseconds.
	suspended         atomic.Int64
	initialBootOffset time.Duration

	readWall       func() time.Time
	readBootOffset func() time.Duration
}

// New returns a clock whose instants count from now.
func New() *Clock { return newClock(time.Now, bootOffset) }

func newClock(readWall func() time.Time, readBootOffset func() time.Duration) *Clock {
	c := &Clock{start: readWall(), initialBootOffset: readBootOffset(), readWall: readWall, readBootOffset: readBootOffset}
	c.wallOffset.Store(c.start.UnixNano())
	return c
}

// bootOffset returns how far the boot-time clock is ahead of the monotonic clock.
func bootOffset() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		// Both clocks exist on every supported kernel.
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}

// Now returns the monotonic clock including suspensions, and the wall clock.
func (c *Clock) Now() machine.Now {
	now := c.readWall()
	monotonic := now.Sub(c.start)
	if change := now.UnixNano() - int64(monotonic) - c.wallOffset.Load(); change > int64(suspensionThreshold) || change < -int64(suspensionThreshold) {
		c.wallOffset.Add(change)
		c.updateSuspended()
	}
	return machine.Now{Instant: machine.Instant(int64(monotonic) + c.suspended.Load()), WallMillis: now.UnixMilli()}
}

// updateSuspended reads the total time of suspensions. It never decreases.
func (c *Clock) updateSuspended() {
	total := int64(c.readBootOffset() - c.initialBootOffset)
	for {
		previous := c.suspended.Load()
		if total <= previous || c.suspended.CompareAndSwap(previous, total) {
			return
		}
	}
}

// Time returns the wall clock time of an instant of this clock.
func (c *Clock) Time(i machine.Instant) time.Time {
	return c.start.Add(time.Duration(int64(i) - c.suspended.Load()))
}
