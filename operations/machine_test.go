package operations

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

func buildMachine(self fleet.Member) machine.Machine { return New(Options{Self: self}) }

// TestClaimAndRepeat guards against a cell that grants nothing, runs an id again
// or forgets its result.
func TestClaimAndRepeat(t *testing.T) {
	c := newCell(1, 4, buildMachine)
	c.startAll()
	c.rig.Run(3 * testLease)
	first := c.call("host-00", "a", time.Second, nil)
	second := c.call("host-01", "a", time.Second, nil)
	c.rig.Run(time.Second)
	third := c.call("host-02", "a", time.Second, nil)
	c.rig.Run(time.Second)
	require.Len(t, c.executions[operation("a")], 1)
	require.ElementsMatch(t, []Decision{DecisionGranted, DecisionRan}, []Decision{first.decision, second.decision})
	require.Equal(t, DecisionRan, third.decision)
	require.Equal(t, first.result, second.result)
	require.Equal(t, first.result, third.result)
}
