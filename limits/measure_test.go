package limits_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/limits/internal/limitsim"
)

// TestUnevenDemand guards against more than 1% wrongful refusals and against
// messages beyond the control budget of 19 KB per second per host, under uneven
// demand.
func TestUnevenDemand(t *testing.T) {
	uneven := limitsim.Cases[1]
	uneven.Length = 20 * time.Second
	w := limitsim.Measure(1, limitsim.Loans, limitsim.Deployments[1], limitsim.ShortLease, uneven)
	require.LessOrEqual(t, w.WrongfulPercent(), 1.0)
	require.Zero(t, w.OverAdmissions())
	require.Less(t, float64(w.Counts.Bytes)/uneven.Length.Seconds()/float64(w.Hosts), 19_000.0)
}
