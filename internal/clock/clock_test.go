package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// simulated is a machine with a boot-time clock that tests move.
type simulated struct{ boot time.Duration }

func (s *simulated) clock() *Clock { return newClock(time.Now, func() time.Duration { return s.boot }) }

// Guards against a loan that looks valid after a suspension that its lender has
// seen it end in.
func TestSuspensionCounts(t *testing.T) {
	s := &simulated{}
	c := s.clock()
	before := c.Now().Instant
	s.boot = 6 * time.Second
	c.ahead.Add(-int64(6 * time.Second)) // the wall clock went on, the steady one stood still
	after := c.Now().Instant
	require.GreaterOrEqual(t, after.Sub(before), 6*time.Second)
	require.Less(t, c.Now().Instant.Sub(after), time.Second, "a suspension counts once")
}

// Guards against a wall clock that moves the steady time.
func TestJumpOfTheWallClockAloneCountsNothing(t *testing.T) {
	for _, by := range []time.Duration{time.Hour, -time.Hour} {
		s := &simulated{}
		c := s.clock()
		before := c.Now().Instant
		c.ahead.Add(-int64(by))
		require.Less(t, c.Now().Instant.Sub(before), time.Second)
		require.GreaterOrEqual(t, c.Now().Instant, before)
	}
}

func TestRealClocksCanBeRead(t *testing.T) {
	c := New()
	c.noteSuspension()
	require.Less(t, c.Now().Instant.Sub(0), time.Second)
}
