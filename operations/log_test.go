package operations

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/traffic"
)

// scriptedCell returns a cell with scripted views and completed takeovers.
func scriptedCell(seed uint64, hosts int) *cell {
	c := newCell(seed, hosts, buildMachine)
	c.views = newViewService(c)
	c.startAll()
	c.rig.Run(3 * time.Second)
	return c
}

// TestLogCompaction guards against a log that grows without bound, and against a
// takeover that misses ids or restores a released id because segments were
// compacted and deleted.
func TestLogCompaction(t *testing.T) {
	c := scriptedCell(2, 1)
	for i := range 400 {
		c.call("host-00", fmt.Sprintf("id-%d", i), time.Second, nil)
		c.rig.Run(50 * time.Millisecond)
	}
	c.rig.Run(2 * time.Second)
	owner := c.running["host-00"].operations.(*Machine)
	require.Less(t, len(owner.log.segments), compactAfter+8)
	segments := 0
	for key := range c.rig.Store.Snapshot() {
		if key.Kind == claimsKind {
			segments++
		}
	}
	require.Less(t, segments, fleet.Partitions+compactAfter+16)

	c.replace("host-00")
	c.rig.Run(3 * testLease)
	for i := range 400 {
		c.call("host-00", fmt.Sprintf("id-%d", i), time.Second, nil)
	}
	c.rig.Run(time.Second)
	for _, k := range c.calls[400:] {
		require.Equal(t, DecisionRan, k.decision, k.id.Key)
	}
	c.rig.Run(30 * time.Minute)
	for key := range c.rig.Store.Snapshot() {
		require.NotContains(t, key.Name, owner.o.Self.Incarnation.String(), "the log of the earlier owner must have been removed")
	}
}

// TestReleaseSurvivesTakeover guards against a released id that a later owner
// treats as running, and against an id that ran and is granted again.
func TestReleaseSurvivesTakeover(t *testing.T) {
	c := scriptedCell(3, 4)
	released := true
	c.ending = func(int) Ending {
		released = !released
		if !released {
			return EndingRelease
		}
		return EndingComplete
	}
	first := c.call("host-00", "a", time.Second, nil)
	c.rig.Run(time.Second)
	require.True(t, first.released)
	c.replace(c.owner())
	c.rig.Run(3 * testLease)
	second := c.call("host-01", "a", time.Second, nil)
	c.rig.Run(time.Second)
	require.Equal(t, DecisionGranted, second.decision)
	c.replace(c.owner())
	c.rig.Run(3 * testLease)
	third := c.call("host-02", "a", time.Second, nil)
	c.rig.Run(time.Second)
	require.Equal(t, DecisionRan, third.decision)
	require.Equal(t, second.result, third.result)
}

// TestUncommittedTakeover guards against an id that the lost owner granted from
// memory and the next owner grants again. Ids with a later timestamp must still run.
func TestUncommittedTakeover(t *testing.T) {
	c := scriptedCell(4, 4)
	released := c.call("host-00", "freed", time.Second, nil)
	c.ending = func(int) Ending { return EndingRelease }
	c.rig.Run(time.Second)
	require.True(t, released.released)
	c.ending = func(int) Ending { return EndingComplete }
	owner := c.owner()
	c.setStoreDown(true)
	again := c.call("host-00", "freed", 3*time.Second, nil)
	c.rig.Run(2 * time.Second)
	require.Equal(t, DecisionGranted, again.decision)
	c.replace(owner)
	if again.host.node.Member.Host != owner {
		c.replace(again.host.node.Member.Host)
	}
	c.setStoreDown(false)
	c.rig.Run(4 * testLease)
	old := c.call("host-00", "freed", time.Second, nil)
	fresh := c.call("host-00", c.timedKey(1), time.Second, nil)
	c.rig.Run(time.Second)
	require.Equal(t, DecisionUnknown, old.decision)
	require.Equal(t, DecisionGranted, fresh.decision)
}

// TestIDTime checks the limits for the timestamp in an id. The rule for ids after an
// uncommitted takeover depends on them.
func TestIDTime(t *testing.T) {
	const now = int64(1_800_000_000_000)
	key := func(millis int64) string {
		return fmt.Sprintf("%08x-%04x-7abc-8def-0123456789ab", millis>>16, millis&0xffff)
	}
	require.False(t, isAhead(key(now+2000), now))
	require.True(t, isAhead(key(now+2001), now))
	require.False(t, isTooOld(key(now-86_300_000), now))
	require.True(t, isTooOld(key(now-86_400_000), now))
	require.False(t, isAfterTakeover(key(now+4000), now))
	require.True(t, isAfterTakeover(key(now+4001), now))
	require.False(t, isAfterTakeover("order-17", now))
	require.False(t, isAhead(fmt.Sprintf("%08x-%04x-4abc-8def-0123456789ab", now>>15, 0), now), "version 4")
}

// FuzzSegment guards against a panic or an oversized record from a damaged object.
func FuzzSegment(f *testing.F) {
	key := segmentKey(fleet.Incarnation{}, 0)
	result := &traffic.OperationResult{Status: 200, Body: []byte("x")}
	records := []record{{ID: operation("a"), State: stateFree}, {ID: operation("b"), State: stateRan, Result: result}}
	f.Add(encodeObject(&segment{Records: records}))
	f.Add([]byte{0x84})
	f.Fuzz(func(t *testing.T, value []byte) {
		s, err := decodeSegment(key, value)
		if err != nil {
			return
		}
		for i := range s.Records {
			require.Empty(t, s.Records[i].check())
		}
		again, err := decodeSegment(key, encodeObject(s))
		require.NoError(t, err)
		require.Equal(t, s, again)
	})
}
