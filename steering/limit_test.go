package steering

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/catalog"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/upstream"
)

const (
	// A limit holds over modelLimitWindow, with a tolerance and a few requests more, for
	// hosts that passed on an answer with it modelInformedFor before.
	modelLimitWindow = 4 * time.Second
	modelInformedFor = 500 * time.Millisecond
	modelLimitOver   = 1.5
	modelLimitSlack  = 5
)

// requireLimitHolds checks that the hosts that passed on an answer with the limit sent
// at most that from then on.
func (f *fleetModel) requireLimitHolds(limit float64) {
	f.t.Helper()
	counted := slices.DeleteFunc(slices.Clone(f.arrivals), func(a modelArrival) bool {
		since, informed := f.informed[a.host]
		return !informed || a.at < since.Add(modelInformedFor)
	})
	allowed := limit*modelLimitOver*modelLimitWindow.Seconds() + modelLimitSlack
	require.LessOrEqual(f.t, float64(mostWithin(modelLimitWindow, counted)), allowed, "requests in 4 s at a limit of %g", limit)
}

// sentSince returns how many requests reached the upstream under test.
func (f *fleetModel) sentSince(at machine.Instant) int {
	n := 0
	for _, a := range f.arrivals {
		if a.at >= at {
			n++
		}
	}
	return n
}

// Guards against hosts that do not keep to a limit, or that each send at the whole limit.
func TestStatedLimitHoldsOverAllHosts(t *testing.T) {
	for _, hosts := range []int{3, 6, 12, 87, 295} {
		for _, limit := range []float64{1, 4.6, 8.7, 30} {
			f := newFleetModel(t, hosts)
			f.demand = 150
			f.run(2 * time.Second)
			f.limit = limit
			limited := f.now
			f.run(20 * time.Second)
			f.requireLimitHolds(limit)
			capacity := 3 / modelServiceTime.Seconds()
			require.Greater(t, f.sentSince(limited), int(min(limit, capacity)*20/3), "the upstream gets a good part of what it takes")
		}
	}
}

// Guards against hosts with different lists that together exceed a limit.
func TestStatedLimitHoldsWithDifferentListsOfHosts(t *testing.T) {
	f := newFleetModel(t, 24)
	f.demand = 300
	const first, second = 19, 22
	before := slices.DeleteFunc(slices.Clone(f.hosts), func(h catalog.Host) bool { return h.ID == f.hosts[first].ID || h.ID == f.hosts[second].ID })
	f.hosts[first].ID, f.hosts[second].ID = idAheadOf(before, "new"), idAheadOf(before, "newer")
	for i := range f.tables {
		list := before
		if i == first || i == second {
			list = f.hosts
		}
		f.tables[i] = f.newHost(i, list)
	}
	f.limit = 8.7
	f.run(12 * time.Second)
	f.requireLimitHolds(f.limit)
}

// Guards against a limit that stays in force after the upstream has stopped stating it,
// also when no message reaches the other hosts.
func TestStatedLimitEndsWithTheStatements(t *testing.T) {
	for _, c := range []struct {
		hosts      int
		advisories bool
		within     time.Duration
	}{{12, false, 20 * time.Second}, {87, true, 4 * time.Second}} {
		f := newFleetModel(t, c.hosts)
		f.advisories = c.advisories
		f.run(2 * time.Second)
		f.limit = 4.6
		f.run(6 * time.Second)
		f.requireLimitHolds(f.limit)
		f.limit = 0
		f.run(c.within)
		ended := f.now
		f.run(4 * time.Second)
		require.Greater(t, f.sentSince(ended), 60, "the upstream gets its usual requests again")
	}
}

// Guards against an end of the limit for all hosts because of one response without it.
func TestSingleResponseWithoutTheLimitDoesNotEndIt(t *testing.T) {
	tb := newTable(0, upstreamsIn(1))
	answer := func(at machine.Instant, limit upstream.RateLimit) UpstreamChange {
		return tb.Done(at, "u-1", upstream.Result{Outcome: upstream.Answered, Response: &upstream.Response{Status: 200, Fields: upstream.Fields{Limit: limit}}})
	}
	limit := upstream.RateLimit{Known: true, PerSecond: 4}
	require.Equal(t, "states a limit", answer(2*second, limit).Description)
	require.Equal(t, "changed its limit", answer(2*second, upstream.RateLimit{Known: true, PerSecond: 3}).Description)
	require.Empty(t, answer(2*second, upstream.RateLimit{Known: true, PerSecond: 3.1}).Description, "each response may have another value")
	require.False(t, answer(3*second, upstream.RateLimit{}).LimitEnded)
	require.Equal(t, "changed its limit", answer(4*second, limit).Description)
	require.False(t, answer(5*second, upstream.RateLimit{}).LimitEnded)
	change := answer(6*second, upstream.RateLimit{})
	require.True(t, change.LimitEnded)
	require.Equal(t, "states no limit any more", change.Description)
}

// Guards against a limit that is lowered later.
func TestLoweredLimitHolds(t *testing.T) {
	f := newFleetModel(t, 87)
	f.run(2 * time.Second)
	f.limit = 20
	f.run(6 * time.Second)
	f.limit = 5
	f.run(4 * time.Second)
	f.arrivals = nil
	f.run(10 * time.Second)
	f.requireLimitHolds(f.limit)
}

// Guards against a pause that is shortened by a later failure, and against one whose
// beginning or end is not reported.
func TestPauseIsKeptAndReported(t *testing.T) {
	tb := newTable(0, upstreamsIn(1))
	answer := func(at machine.Instant, pause time.Duration) UpstreamChange {
		status := 200
		if pause > 0 {
			status = 503
		}
		return tb.Done(at, "u-1", upstream.Result{Outcome: upstream.Answered, Response: &upstream.Response{Status: status, Fields: upstream.Fields{Pause: pause}}})
	}
	change := answer(2*second, 3*time.Second)
	require.Equal(t, "asks for a pause", change.Description)
	require.Equal(t, 3*time.Second, change.PausedFor)
	require.Empty(t, answer(3*second, 0).Description, "the answer to an earlier request")
	tb.Done(3*second, "u-1", upstream.Result{Outcome: upstream.Misdirected, Response: &upstream.Response{Status: 421}})
	choice, refusal := tb.Pick(4*second, requestFor("x"))
	require.Equal(t, Full, refusal)
	require.Equal(t, time.Second, choice.AvailableIn, "callers are told when to come back")
	_, refusal = tb.Pick(5*second-1, requestFor("x"))
	require.Equal(t, Full, refusal)
	_, refusal = tb.Pick(5*second, requestFor("x"))
	require.Equal(t, Chosen, refusal)
	require.Equal(t, "answers after its pause", answer(6*second, 0).Description)
	require.Empty(t, answer(6*second, 0).Description)
}
