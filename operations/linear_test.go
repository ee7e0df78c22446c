package operations

import (
	"math"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/traffic"
)

// claimOutput is the outcome of a call as seen by its caller.
type claimOutput struct {
	decision Decision
	result   string
}

// claimModel is the sequential specification of an id: it runs once, and from then
// on every answer with a result has that result.
var claimModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, _, output any) (bool, any) {
		ran := state.(string)
		o := output.(claimOutput)
		switch o.decision {
		case DecisionGranted:
			return ran == "", o.result
		case DecisionRan:
			return ran == o.result, ran
		default:
			return true, ran
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

// history returns the calls for one id. An execution whose caller got no answer may
// take effect at any later time.
func (c *cell) history(id traffic.OperationID) []porcupine.Operation {
	var operations []porcupine.Operation
	for n, k := range c.calls {
		o := claimOutput{decision: k.decision, result: k.result}
		end := int64(k.ended)
		if k.executed && k.decision != DecisionGranted {
			o = claimOutput{decision: DecisionGranted, result: k.execution}
			end = math.MaxInt64
		}
		if k.id != id || o.decision == 0 {
			continue
		}
		operations = append(operations, porcupine.Operation{ClientId: n, Call: int64(k.started), Return: end, Output: o})
	}
	return operations
}

// TestLinearizable guards against answers that are not linearizable, such as a
// result that is returned before a second execution.
func TestLinearizable(t *testing.T) {
	checked := 0
	for i, f := range matrixFaults {
		s := newMatrix(uint64(i), true, buildMachine).Build(uint64(300 + i)).(*cell)
		s.rig.OnStep = func(n int) {
			if n == 100+10*i {
				f.Apply(s)
			}
		}
		s.Run()
		s.rig.OnStep = nil
		require.Empty(t, s.Check(), f.Name)
		seen := map[traffic.OperationID]bool{}
		for _, k := range s.calls {
			if !seen[k.id] {
				seen[k.id] = true
				checked++
				require.True(t, porcupine.CheckOperations(claimModel, s.history(k.id)), "%s under %s", k.id.Key, f.Name)
			}
		}
	}
	t.Log("ids checked:", checked)
}
