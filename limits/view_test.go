package limits

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// Guards against dividing the limits of all customers again for each host that starts,
// leaves or stops responding: a fleet of n hosts that starts would divide n times on
// each of n hosts.
func TestLimitsAreDividedAgainOnlyForAnotherListOfHosts(t *testing.T) {
	divided := 0
	m := NewMachine(NewTable(&manualClock{at: machine.Instant(time.Hour)}, ignore), func(v *fleet.View, c fleet.Customer, burst float64) Division {
		divided++
		return DivideSmall(v, c, burst)
	})
	v := viewOf(30, 3)
	v.Self = v.Members[0].Member
	m.Step(machine.Now{}, machine.ViewChanged{View: v})
	input := SetCustomers{Revision: 1}
	for i := range 10 {
		input.Customers = append(input.Customers, CustomerLimit{ID: fleet.Customer(fmt.Sprint("c-", i)), Rate: 10, Burst: 30})
	}
	m.Step(machine.Now{}, input)
	change := func(edit func(*fleet.View)) int {
		next := *v
		next.Members = slices.Clone(v.Members)
		edit(&next)
		v, divided = &next, 0
		m.Step(machine.Now{}, machine.ViewChanged{View: v})
		for _, a := range m.accounts {
			require.Equal(t, DivideSmall(v, a.id, a.burst), a.division)
		}
		return divided
	}
	require.Zero(t, change(func(v *fleet.View) { v.Members[1].Reachable = !v.Members[1].Reachable }))
	require.Zero(t, change(func(v *fleet.View) { v.Members[2].Incarnation = fleet.Incarnation{1} }))
	require.Zero(t, change(func(v *fleet.View) { v.Members[3].State = fleet.StateLeaving }))
	require.Zero(t, change(func(v *fleet.View) { v.Members[3].ConfirmedGeneration = 7 }))
	require.Equal(t, 10, change(func(v *fleet.View) { v.Members = v.Members[:29] }))
	require.Equal(t, 10, change(func(v *fleet.View) { v.Members[4].Region = "0" }))
	require.Equal(t, 10, change(func(v *fleet.View) { v.Members[4].Weight-- }))
}
