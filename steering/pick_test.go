package steering

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/upstream"
)

// chooseBySorting is the plain definition of choose: it sorts all upstreams by their
// position in the order of the object and goes through them.
func chooseBySorting(t *Table, now machine.Instant, r *Request, members []*member) candidate {
	var order []candidate
	for _, m := range members {
		if !slices.Contains(r.Exclude, m.ID) {
			order = append(order, candidate{member: m, score: r.score(m), load: m.load(now)})
		}
	}
	slices.SortFunc(order, func(a, b candidate) int {
		if a.score > b.score {
			return -1
		}
		return 1
	})
	var warm []candidate
	for _, c := range order {
		switch {
		case len(warm) == 2 || !c.healthy(now):
		case !t.restricted(now, c.member):
			warm = append(warm, c)
		case c.load < float64(c.Slots) && t.admit(now, c.member):
			return c
		}
	}
	for _, bound := range []struct {
		index       int
		utilization float64
	}{{0, maxFirstUtilization}, {1, maxSecondUtilization}, {0, r.MaxUtilization}, {1, r.MaxUtilization}} {
		if bound.index < len(warm) && warm[bound.index].utilization() <= bound.utilization {
			return warm[bound.index]
		}
	}
	return candidate{}
}

// randomTable returns a table of upstreams of two regions in random states.
func randomTable(seed uint64, now machine.Instant) (*Table, []fleet.Upstream) {
	random := rand.New(rand.NewPCG(seed, 0))
	table := newTable(0, upstreamsIn(1+random.IntN(12), random.IntN(12)))
	table.SetWarmup(map[fleet.Pool]Warmup{"s": {SlowStart: time.Minute, Rate: 2}})
	var ids []fleet.Upstream
	for id := range table.members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		m := table.members[id]
		m.inFlight = random.IntN(9)
		m.otherHostsLoad, m.otherHostsLoadAt = float64(random.IntN(4)), now
		switch random.IntN(7) {
		case 0:
			m.limiter = warmupLimiter{coldUntil: now.Add(time.Minute), bucket: tokenBucket{tokens: float64(random.IntN(2)), refilledAt: now}}
		case 1:
			m.ejectedUntil = now.Add(time.Second)
		case 2:
			m.failureRate, m.failureRateAt = random.Float64(), now
		case 3:
			m.failures, m.inFlight = 1, random.IntN(2)
		case 4:
			m.Draining = random.IntN(2) == 0
		case 5:
			m.limit = statedLimit{
				known: random.IntN(2) == 0, perSecond: 2, statedAt: now, trialAt: now.Add(time.Duration(random.IntN(2))),
				bucket: tokenBucket{tokens: float64(random.IntN(2)), refilledAt: now},
			}
		}
	}
	table.rebuildPools()
	return table, ids
}

// Guards against a choice that differs from the plain definition, in any state of the
// upstreams, which would send an object to different upstreams on different hosts.
func TestChooseFollowsThePlainDefinition(t *testing.T) {
	now := machine.Instant(time.Hour)
	chosen, cold, limited, refused := 0, 0, 0, 0
	for seed := range uint64(20000) {
		actual, ids := randomTable(seed, now)
		expected, _ := randomTable(seed, now)
		random := rand.New(rand.NewPCG(seed, 1))
		r := Request{Service: "s", Affinity: random.Uint64(), MaxUtilization: maxFirstUtilization + random.Float64()}
		for range random.IntN(3) {
			r.Exclude = append(r.Exclude, ids[random.IntN(len(ids))])
		}
		for i, p := range actual.services["s"].regions {
			want := chooseBySorting(expected, now, &r, expected.services["s"].regions[i].members)
			got := actual.choose(now, &r, p.members)
			require.Equal(t, want.member == nil, got.member == nil, "seed %d", seed)
			if want.member == nil {
				refused++
				continue
			}
			require.Equal(t, want.ID, got.ID, "seed %d", seed)
			require.Equal(t, want.load, got.load, "seed %d", seed)
			chosen++
			if got.limiter.active(now) {
				cold++
			}
			if got.limit.known {
				limited++
			}
		}
	}
	require.Greater(t, chosen, 1000)
	require.Greater(t, cold, 200)
	require.Greater(t, limited, 200)
	require.Greater(t, refused, 200)
}

// Guards against crashes that can't be told apart because the choice doesn't say which
// incarnation of the upstream it means.
func TestChoiceNamesTheIncarnation(t *testing.T) {
	entries := upstreamsIn(1)
	entries.Changes[0].Item.StartedMillis = 1234
	choice, refusal := newTable(0, entries).Pick(1, requestFor("object"))
	require.Equal(t, Chosen, refusal)
	require.EqualValues(t, 1234, choice.StartedMillis)
}

// Guards against a choice whose garbage grows with the fleet.
func TestPickDoesNotAllocate(t *testing.T) {
	table, r := newTable(0, upstreamsIn(64, 64, 64)), requestFor("object")
	require.Zero(t, testing.AllocsPerRun(100, func() {
		choice, refusal := table.Pick(1, r)
		require.Equal(t, Chosen, refusal)
		table.Done(1, choice.ID, upstream.Result{Outcome: upstream.Cancelled})
	}))
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 34, 192, 576, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table, r := newTable(0, upstreamsIn(n/3, n/3, n/3)), requestFor("object")
			b.ReportAllocs()
			for b.Loop() {
				choice, _ := table.Pick(1, r)
				table.Done(1, choice.ID, upstream.Result{Outcome: upstream.Cancelled})
			}
		})
	}
}
