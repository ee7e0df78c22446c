package limits

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
)

// viewOf returns a view in which all regions have the same share, and so have all
// hosts of a region.
func viewOf(hosts, regions int) *fleet.View {
	v := &fleet.View{}
	inRegion := make([]int, regions)
	for i := range hosts {
		inRegion[i%regions]++
	}
	for i := range hosts {
		v.Members = append(v.Members, fleet.ViewMember{
			Member:   fleet.Member{Host: fleet.HostID(fmt.Sprintf("h-%03d", i))},
			Location: fleet.Location{Region: fleet.Region(fmt.Sprint(i % regions))},
			State:    fleet.StateActive, Weight: uint32(fleet.TotalWeight / min(hosts, regions) / inRegion[i%regions]), Reachable: i%4 > 0,
		})
	}
	return v
}

// Guards against a division that hands out more than the limit, or that differs
// between two hosts.
func TestDivisionNeverExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := viewOf(rapid.IntRange(1, 300).Draw(t, "hosts"), rapid.IntRange(1, 17).Draw(t, "regions"))
		burst := rapid.Float64Range(0, 1000).Draw(t, "burst")
		d := DivideSmall(v, "c", burst)
		sum := int64(0)
		for i := range v.Members {
			sum += d.units(&v.Members[i])
		}
		require.LessOrEqual(t, sum, int64(fleet.TotalWeight))
		require.GreaterOrEqual(t, sum, int64(fleet.TotalWeight-2*len(v.Members)))
		rand.New(rand.NewPCG(1, 2)).Shuffle(len(v.Members), func(i, j int) { v.Members[i], v.Members[j] = v.Members[j], v.Members[i] })
		for i := range v.Members {
			v.Members[i].Reachable = !v.Members[i].Reachable
		}
		require.Equal(t, d, DivideSmall(v, "c", burst))
	})
}

// Guards against quota holders with too few tokens, and against one quota holder
// that holds a large limit alone.
func TestQuotaHoldersOfSmallBursts(t *testing.T) {
	for _, c := range []struct {
		hosts   int
		burst   float64
		holders int
	}{{12, 48, 12}, {12, 25, 6}, {12, 14, 6}, {87, 600, 87}, {87, 175, 45}, {87, 61, 18}, {87, 20, 6}, {87, 1, 3}, {300, 61, 18}} {
		v := viewOf(c.hosts, 3)
		d, holders := DivideSmall(v, "c", c.burst), 0
		for i := range v.Members {
			if d.units(&v.Members[i]) > 0 {
				holders++
			}
		}
		require.Equal(t, c.holders, holders, "%d hosts, burst %v", c.hosts, c.burst)
	}
}

// Guards against an added host that moves the limits of customers of which it is
// not a quota holder.
func TestAddedHostMovesFewLimits(t *testing.T) {
	before, after := viewOf(87, 3), viewOf(88, 3)
	moved, holders := 0, 0
	for i := range 100 {
		customer := fleet.Customer(fmt.Sprint(i))
		divisionBefore, divisionAfter := DivideSmall(before, customer, 60), DivideSmall(after, customer, 60)
		for host := range divisionAfter {
			holders++
			if divisionBefore[host] == 0 {
				moved++
			}
		}
	}
	require.Less(t, moved, holders/20)
}

// Guards against a quota holder that lends fractions of a token, which admit nothing
// at the borrower: a customer beyond its rate got 78% of it in a fleet of 64.
func TestQuotaHolderLendsWholeTokens(t *testing.T) {
	p := &pair{clock: &manualClock{at: machine.Instant(time.Hour)}}
	for i := range p.members {
		p.members[i] = fleet.Member{Host: fleet.HostID(rune('a' + i)), Incarnation: fleet.Incarnation{byte(i + 1)}}
	}
	singleHolder := func(*fleet.View, fleet.Customer, float64) Division { return Division{"a": fleet.TotalWeight} }
	p.tables[0] = NewTable(p.clock, func(machine.Input) {})
	p.machines[0] = NewMachine(p.tables[0], singleHolder)
	step := func(in machine.Input) []machine.Output { return p.machines[0].Step(p.clock.Now(), in) }
	step(machine.LeaseChanged{ValidUntil: p.clock.at.Add(time.Hour)})
	step(SetCustomers{Revision: 1, Customers: []CustomerLimit{{ID: "c", Rate: 1, Burst: 10}}})
	step(p.view(0, fleet.TotalWeight/2))
	p.clock.at = p.clock.at.Add(increaseDelay)
	step(machine.Tick{})
	sequence := uint64(0)
	requestUnits := func() uint32 {
		sequence++
		want := Want{Customer: "c", Units: fleet.TotalWeight / 10, Purpose: ForWaiting}
		for _, out := range step(machine.Received{From: p.members[1], Message: Request{Sequence: sequence, Wants: []Want{want}}}) {
			if s, ok := out.(machine.Send); ok {
				if g, ok := s.Message.(Grant); ok {
					return g.Loans[0].Units
				}
			}
		}
		return 0
	}
	p.clock.at = p.clock.at.Add(500 * time.Millisecond)
	require.Zero(t, requestUnits(), "the quota holder has half a token")
	p.clock.at = p.clock.at.Add(600 * time.Millisecond)
	require.Equal(t, uint32(fleet.TotalWeight/10), requestUnits())
}
