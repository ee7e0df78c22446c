package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/machine"
)

func buildMembership(o Options) machine.Machine { return New(o) }

// TestColdStart guards against a cell that does not form, or divides unevenly.
func TestColdStart(t *testing.T) {
	s := newCell(1, 6, buildMembership)
	s.startAll()
	s.rig.Run(3 * lease)
	require.Empty(t, s.Check())
	for _, id := range s.hosts {
		p := s.running[id]
		require.InDelta(t, 1_000_000/6, p.view.Find(id).Weight, 1, "weight of %s", id)
	}
	t.Log("store calls", s.rig.Store.Calls, "steps", s.rig.Steps(), "until", time.Duration(s.rig.Now()))
}
