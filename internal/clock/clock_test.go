package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fakeBoot is a boot-time clock that tests set.
type fakeBoot struct{ boot time.Duration }

func (s *fakeBoot) clock() *Clock { return newClock(time.Now, func() time.Duration { return s.boot }) }

// Guards against a loan that still looks valid after a suspension during which it
// has expired for its lender.
func TestSuspensionIsCounted(t *testing.T) {
	s := &fakeBoot{}
	c := s.clock()
	before := c.Now().Instant
	s.boot = 6 * time.Second
	c.wallOffset.Add(-int64(6 * time.Second)) // the wall clock advanced, the monotonic clock stopped
	after := c.Now().Instant
	require.GreaterOrEqual(t, after.Sub(before), 6*time.Second)
	require.Less(t, c.Now().Instant.Sub(after), time.Second, "a suspension is counted once")
}

// Guards against a wall clock change that moves the monotonic time.
func TestWallClockJumpIsNotCounted(t *testing.T) {
	for _, by := range []time.Duration{time.Hour, -time.Hour} {
		s := &fakeBoot{}
		c := s.clock()
		before := c.Now().Instant
		c.wallOffset.Add(-int64(by))
		require.Less(t, c.Now().Instant.Sub(before), time.Second)
		require.GreaterOrEqual(t, c.Now().Instant, before)
	}
}

func TestSystemClocksAreReadable(t *testing.T) {
	c := New()
	c.updateSuspended()
	require.Less(t, c.Now().Instant.Sub(0), time.Second)
}
