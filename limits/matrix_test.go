package limits_test

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/internal/faulttest"
	"github.com/catkinspring/catkinspring/limits/internal/limitsim"
)

// TestMatrix guards against admissions beyond B + R*t in any window over all
// hosts, and against sums of tokens, bursts or rates beyond the limit, under
// each fault and each pair of faults. LIMITS_SWEEP=<seed> runs more steps and
// pairs with other seeds.
func TestMatrix(t *testing.T) {
	first, steps, pairSteps, pairFaults := uint64(1), 5, 1, limitsim.PairFaults
	if seed, err := strconv.ParseUint(os.Getenv("LIMITS_SWEEP"), 10, 64); err == nil {
		first, steps, pairSteps, pairFaults = seed, 60, 3, limitsim.Faults
	}
	build := func(v limitsim.Variant) func(uint64) faulttest.Scenario {
		return func(seed uint64) faulttest.Scenario { return limitsim.NewScenario(seed, v) }
	}
	singles := func(seed uint64, v limitsim.Variant) faulttest.Matrix {
		return faulttest.Matrix{Module: "limits", Seeds: []uint64{seed}, Faults: limitsim.Faults, Build: build(v), MaxSteps: steps}
	}
	pairs := func(v limitsim.Variant) faulttest.Matrix {
		return faulttest.Matrix{Module: "limits", Seeds: []uint64{first + 2}, Faults: pairFaults, Build: build(v), PairSteps: pairSteps, PairDelay: 700 * time.Millisecond}
	}
	for name, matrix := range map[string]faulttest.Matrix{
		"singles-1": singles(first, limitsim.Loans), "singles-2": singles(first+1, limitsim.Loans), "pairs": pairs(limitsim.Loans),
		"divided": singles(first, limitsim.Divided), "divided-pairs": pairs(limitsim.Divided),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			matrix.Run(t)
		})
	}
}

// TestMatrixFindsNaive guards against a matrix that checks nothing: it must find
// the violations of the naive loans, which lack the precautions of the design.
func TestMatrixFindsNaive(t *testing.T) {
	s := limitsim.NewScenario(1, limitsim.Naive)
	s.Run()
	require.NotEmpty(t, s.Check())
	require.Positive(t, s.OverAdmissions())
}
