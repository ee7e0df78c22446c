package limits_test

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/limits/internal/limitsim"
)

// TestMeasure prints the table of the README. LIMITS_SEED selects the run.
func TestMeasure(t *testing.T) {
	seed, err := strconv.ParseUint(os.Getenv("LIMITS_SEED"), 10, 64)
	if err != nil {
		t.Skip("set LIMITS_SEED to a number to print the table")
	}
	limitsim.PrintTable(os.Stdout, seed)
	limitsim.PrintCost(os.Stdout, seed)
	limitsim.PrintCustomers(os.Stdout, seed)
}

// TestUnevenDemand guards against wrongful refusals above 1% and messages above
// the control budget of 19 KB a second, in uneven demand.
func TestUnevenDemand(t *testing.T) {
	uneven := limitsim.Cases[1]
	uneven.Length = 20 * time.Second
	w := limitsim.Measure(1, limitsim.Loans, limitsim.Deployments[1], limitsim.ShortLease, uneven)
	require.LessOrEqual(t, w.WrongfulPercent(), 1.0)
	require.Zero(t, w.Over())
	require.Less(t, float64(w.Counts.Bytes)/uneven.Length.Seconds()/float64(w.Hosts), 19_000.0)
}
