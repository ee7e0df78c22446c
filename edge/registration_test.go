package edge

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/catalog"
	"github.com/catkinspring/catkinspring/limits"
	"github.com/catkinspring/catkinspring/machine"
)

// Guards against an entry that loses or lowers what the host, or its predecessor,
// recorded of its division of the limits: others have relied on it.
func TestEntryNeverTakesBackARecord(t *testing.T) {
	e := &Edge{registrationDue: make(chan struct{}, 1)}
	e.Settings.ID = "h"
	next, due := e.entryToWrite([]catalog.Host{{ID: "other", Registered: 3, Revision: 3}})
	require.True(t, due)
	require.Equal(t, catalog.Host{ID: "h"}, next)

	stored := catalog.Host{ID: "h", Registered: 5, Revision: 9, Joined: 8, Generation: 7}
	_, due = e.entryToWrite([]catalog.Host{stored})
	require.False(t, due)

	e.limitsOutput(machine.Now{}, limits.Settled{Generation: 6})
	_, due = e.entryToWrite([]catalog.Host{stored})
	require.False(t, due)

	e.limitsOutput(machine.Now{}, limits.Settled{Generation: 11})
	next, due = e.entryToWrite([]catalog.Host{stored})
	require.True(t, due)
	stored.Generation = 11
	require.Equal(t, stored, next)

	e.Settings.Location.Region = "r"
	next, due = e.entryToWrite([]catalog.Host{stored})
	require.True(t, due)
	stored.Location.Region = "r"
	require.Equal(t, stored, next)
}
