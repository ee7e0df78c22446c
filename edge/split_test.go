package edge

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/policy"
)

// Guards against parts of a weighted route that miss their shares over short
// periods, also after the weights change.
func TestWeightedPartsStayWithinOneRequestOfTheirShare(t *testing.T) {
	var table splitTable
	for _, parts := range [][]policy.WeightedService{
		{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}},
		{{Service: "a", Weight: 1}, {Service: "b", Weight: 2}, {Service: "c", Weight: 4}},
	} {
		r := &policy.Route{Name: "r", Parts: parts}
		total := 0
		for _, p := range parts {
			total += p.Weight
		}
		got := map[fleet.Pool]int{}
		for n := 1; n <= 300; n++ {
			got[table.next(r)]++
			for _, p := range parts {
				require.InDelta(t, float64(n*p.Weight)/float64(total), got[p.Service], 1.01)
			}
		}
	}
	require.Equal(t, fleet.Pool("x"), table.next(&policy.Route{Name: "one", Parts: []policy.WeightedService{{Service: "x"}}}))
}
