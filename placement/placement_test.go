package placement

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/problem"
	"github.com/catkinspring/catkinspring/traffic"
)

var regionNames = []fleet.Region{"ostland", "vestland", "nordland"}

// fakeClock is a clock that a test sets.
type fakeClock struct{ now machine.Instant }

func (c *fakeClock) Now() machine.Now { return machine.Now{Instant: c.now} }

func hostID(i int) fleet.HostID { return fleet.HostID(fmt.Sprintf("h%02d", i)) }

// testView returns a view of hosts that are spread over the regions.
func testView(hosts int) *fleet.View {
	v := &fleet.View{Version: 1}
	for i := range hosts {
		v.Members = append(v.Members, fleet.ViewMember{
			Member:    fleet.Member{Host: hostID(i)},
			Location:  fleet.Location{Region: regionNames[i%len(regionNames)]},
			State:     fleet.StateActive,
			Reachable: true,
			Weight:    uint32(fleet.TotalWeight / hosts),
		})
	}
	return v
}

func testUpstreams(n, slots int) []ListedUpstream {
	list := make([]ListedUpstream, 0, n)
	for i := range n {
		list = append(list, ListedUpstream{
			Name:     fleet.Upstream(fmt.Sprintf("u%02d", i)),
			Pool:     "pool",
			Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+i)),
			Location: fleet.Location{Region: regionNames[i%len(regionNames)]},
			Slots:    slots,
		})
	}
	return list
}

func newTestTable(clock traffic.Clock, region fleet.Region, random func() uint64) *Table {
	return NewTable(Config{
		Location:            fleet.Location{Region: region},
		Clock:               clock,
		Delay:               func(fleet.Region) time.Duration { return 35 * time.Millisecond },
		Random:              random,
		MaxQueuePerCustomer: 64,
		MaxQueue:            1024,
		Post:                func(machine.Input) bool { return true },
		Registry:            metrics.NewRegistry(),
	})
}

// newTestMachine returns a machine with a view and a list of upstreams, and the
// upstreams that it published.
func newTestMachine(i int, view *fleet.View, list []ListedUpstream) (*Machine, []KnownUpstream) {
	m := NewMachine(hostID(i), regionNames[i%len(regionNames)])
	now := machine.Now{Instant: 1}
	m.Step(now, machine.ViewChanged{View: view})
	for _, out := range m.Step(now, UpstreamsListed{Upstreams: list}) {
		if changed, ok := out.(UpstreamsChanged); ok {
			return m, changed.Upstreams
		}
	}
	return m, nil
}

// Guards against a home slot that is assigned to two hosts, which brings back the
// herding that home slots prevent, and against slots assigned to no host.
func TestHomeSlotsArePartitioned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 16).Draw(t, "hosts")
		list := testUpstreams(rapid.IntRange(1, 46).Draw(t, "upstreams"), rapid.IntRange(1, 5).Draw(t, "slots"))
		homes := map[fleet.Upstream]int{}
		for i := range hosts {
			_, known := newTestMachine(i, testView(hosts), list)
			for _, k := range known {
				homes[k.Name] += k.HomeSlots
			}
		}
		for _, u := range list {
			if homes[u.Name] != u.Slots {
				t.Fatalf("upstream %s: %d of %d slots are home slots", u.Name, homes[u.Name], u.Slots)
			}
		}
	})
}

// Guards against hosts that decide at the same time on the same estimates and
// overload another region together.
func TestRemoteLimitsStayWithinRegionCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 16).Draw(t, "hosts")
		slots := rapid.IntRange(1, 5).Draw(t, "slots")
		list := testUpstreams(rapid.IntRange(3, 46).Draw(t, "upstreams"), slots)
		capacity := map[fleet.Region]int{}
		for _, u := range list {
			capacity[u.Location.Region] += u.Slots
		}
		limits := map[fleet.Region]int{}
		for i := range hosts {
			m, _ := newTestMachine(i, testView(hosts), list)
			for _, l := range m.remoteLimits(1) {
				limits[l.Region] += l.Limit
			}
		}
		for region, limit := range limits {
			if float64(limit) > maxRemoteUtilization*float64(capacity[region]) {
				t.Fatalf("region %s: limits add up to %d of %d slots", region, limit, capacity[region])
			}
		}
	})
}

// Guards against a shift cap that holds for each host but not for all hosts
// together, and against restarted hosts that get a new burst.
func TestShiftCapHoldsForAllHostsTogether(t *testing.T) {
	const hosts, capMbit = 12, 40.0
	rapid.Check(t, func(t *rapid.T) {
		shiftCap := ShiftCap{Mbit: capMbit, SharePerSecond: 1}
		shifters := make([]*shifter, hosts)
		for i := range shifters {
			shifters[i] = newShifter(shiftCap, 1.0/hosts)
		}
		response := rapid.IntRange(1_000, 200_000).Draw(t, "response")
		restartEvery := rapid.IntRange(50, 400).Draw(t, "restartEvery")
		perSecond := make([]float64, 20)
		for step := range 20 * 100 {
			now := machine.Instant(time.Hour) + machine.Instant(step)*machine.Instant(10*time.Millisecond)
			if step%restartEvery == 0 {
				shifters[step%hosts] = newShifter(shiftCap, 1.0/hosts)
			}
			for _, s := range shifters {
				s.recordArrival(now)
				if charge, ok := s.allow(now, "vestland", 500); ok {
					perSecond[step/100] += float64(500 + response)
					s.settle(now, "vestland", charge, 500, response)
				}
			}
		}
		// A new host has no estimate of response sizes, so each may shift one response
		// too many.
		allowance := float64(hosts*(response+500)) + shiftBurstTime.Seconds()*capMbit*bytesPerMbit
		for second, bytes := range perSecond {
			if bytes > capMbit*bytesPerMbit+allowance {
				t.Fatalf("second %d: %.0f bytes were shifted, cap %.0f", second, bytes, capMbit*bytesPerMbit)
			}
		}
	})
}

// Guards against shifting a whole region's traffic at once: the shifted share may
// grow by at most SharePerSecond per second.
func TestShiftedShareGrowsSlowly(t *testing.T) {
	s := newShifter(ShiftCap{Mbit: 10_000, SharePerSecond: 0.1}, 1)
	shifted, total := 0, 0
	for step := range 200 {
		now := machine.Instant(time.Hour) + machine.Instant(step)*machine.Instant(10*time.Millisecond)
		s.recordArrival(now)
		total++
		if _, ok := s.allow(now, "vestland", 100); ok {
			shifted++
		}
	}
	require.Positive(t, shifted)
	require.LessOrEqual(t, float64(shifted)/float64(total), 0.2)
}

func acquire(t *testing.T, table *Table, request traffic.SlotRequest) traffic.Slot {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s, err := table.Acquire(ctx, request)
	require.NoError(t, err)
	return s
}

// Guards against sending requests to an upstream that announced in a response that
// it is draining, while the host list and the health endpoint still report it live.
func TestLeavingUpstreamGetsNoRequests(t *testing.T) {
	clock := &fakeClock{now: 1}
	table := newTestTable(clock, "ostland", func() uint64 { return 0 })
	m, known := newTestMachine(0, testView(1), testUpstreams(1, 3))
	table.SetUpstreams(known)
	request := traffic.SlotRequest{Pool: "pool", Weight: 1}
	s := acquire(t, table, request)
	s.Release(traffic.Report{Result: traffic.ResultDraining})
	_, err := table.Acquire(context.Background(), request)
	var refused *problem.Error
	require.ErrorAs(t, err, &refused)
	require.Equal(t, problem.OutcomeNotRun, refused.Outcome)

	// The cell marks it as leaving too, and a lagging host list does not undo that.
	m.Step(machine.Now{Instant: 2}, LeavingSeen{Upstream: "u00"})
	require.Nil(t, m.Step(machine.Now{Instant: 3}, UpstreamsListed{Upstreams: testUpstreams(1, 3)}))
	require.True(t, m.published[0].Leaving)
}

// Guards against using an estimate that is no longer updated for ever, or taking it
// as zero.
func TestStaleEstimateIsReplacedByTheMedian(t *testing.T) {
	now := machine.Instant(time.Hour)
	u := &upstream{slots: 4, othersInFlight: 4, othersUpdatedAt: now}
	require.InDelta(t, 4, u.estimateOthers(now, 1.5), 1e-9)
	require.InDelta(t, 2, u.estimateOthers(now.Add(estimateHalfLife), 1.5), 1e-9)
	require.InDelta(t, 1.5, u.estimateOthers(now.Add(staleAfter), 1.5), 1e-9)
}

// Guards against using all slots of a cold upstream at once.
func TestNewUpstreamStartsSlowly(t *testing.T) {
	now := machine.Instant(time.Hour)
	u := &upstream{slots: 10, slowStartSince: now}
	require.InDelta(t, 1, u.capacity(now), 1e-9)
	require.InDelta(t, 5.5, u.capacity(now.Add(slowStartTime/2)), 1e-9)
	require.InDelta(t, 10, u.capacity(now.Add(2*slowStartTime)), 1e-9)
}

// Guards against sending requests to an upstream that refuses connections, and
// against never trying it again.
func TestFailedUpstreamIsEjectedAndRetried(t *testing.T) {
	now := machine.Instant(time.Hour)
	u := &upstream{slots: 3}
	u.observe(now, traffic.ResultConnectFailed)
	require.False(t, u.usable(now))
	require.True(t, u.usable(now.Add(ejectBase)))
	u.inFlight = 1
	require.False(t, u.usable(now.Add(ejectBase)), "more than one trial request at a time")
	u.observe(now.Add(ejectBase), traffic.ResultAnswered)
	require.True(t, u.usable(now.Add(ejectBase)))
}

// Guards against a customer that sends several times its share and delays the others.
func TestQueueServesCustomersByWeight(t *testing.T) {
	q := newFairQueue(64, 1024)
	for range 50 {
		require.NotNil(t, q.push(traffic.SlotRequest{Customer: "large", Weight: 1}))
	}
	for range 10 {
		require.NotNil(t, q.push(traffic.SlotRequest{Customer: "small", Weight: 1}))
		require.NotNil(t, q.push(traffic.SlotRequest{Customer: "heavy", Weight: 2}))
	}
	served := map[fleet.Customer]int{}
	for range 20 {
		w := q.waiting[0]
		q.serve(w)
		served[w.request.Customer]++
	}
	require.InDelta(t, 5, served["large"], 1)
	require.InDelta(t, 5, served["small"], 1)
	require.InDelta(t, 10, served["heavy"], 1)
}

// Guards against an unbounded queue, and against one customer that fills it.
func TestQueueIsBounded(t *testing.T) {
	q := newFairQueue(2, 3)
	require.NotNil(t, q.push(traffic.SlotRequest{Customer: "a"}))
	require.NotNil(t, q.push(traffic.SlotRequest{Customer: "a"}))
	require.Nil(t, q.push(traffic.SlotRequest{Customer: "a"}))
	w := q.push(traffic.SlotRequest{Customer: "b"})
	require.NotNil(t, w)
	require.Nil(t, q.push(traffic.SlotRequest{Customer: "c"}))
	require.True(t, q.remove(w))
	require.False(t, q.remove(w))
	require.NotNil(t, q.push(traffic.SlotRequest{Customer: "c"}))
}

// BenchmarkAcquire measures acquiring and releasing a slot with 34 upstreams.
func BenchmarkAcquire(b *testing.B) {
	clock := &fakeClock{now: machine.Instant(time.Hour)}
	state := uint64(1)
	table := newTestTable(clock, "ostland", func() uint64 {
		state = state*6364136223846793005 + 1442695040888963407
		return state >> 33
	})
	_, known := newTestMachine(0, testView(12), testUpstreams(34, 3))
	table.SetUpstreams(known)
	request := traffic.SlotRequest{Pool: "pool", Weight: 1}
	b.ReportAllocs()
	for b.Loop() {
		s, err := table.Acquire(context.Background(), request)
		if err != nil {
			b.Fatal(err)
		}
		s.Release(traffic.Report{Result: traffic.ResultAnswered})
	}
}
