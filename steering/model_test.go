package steering

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/advisory"
	"github.com/catkinspring/catkinspring/catalog"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/upstream"
)

const (
	modelStep        = 10 * time.Millisecond
	modelServiceTime = 300 * time.Millisecond
	modelColdOver    = 1.5
	modelColdSlack   = 8
	modelSlowStart   = 3 * time.Second
	modelEntryLapse  = 4500 * time.Millisecond
)

// fleetModel is a fleet of hosts under a virtual clock, with the objects of one
// upstream, "u-1", under load. Its requests arrive at all hosts in turn.
type fleetModel struct {
	t       *testing.T
	now     machine.Instant
	hosts   []catalog.Host
	tables  []*Table
	entries []catalog.Upstream
	// down is true while the upstream under test can't be reached, silent if its machine
	// does not answer then, cold while it is cold. All are hidden from the hosts.
	down, silent, cold bool
	objects            []string
	// demand is the rate of requests for these objects, per second.
	demand   float64
	coldRate float64
	sent     int
	credit   float64
	running  []modelRequest
	// limit is the rate that the upstream under test states in its answers; 0 if none.
	limit float64
	// advisories is true if hosts notify the others of limits that have ended.
	advisories bool
	// informed is since when each host has passed on an answer with a limit.
	informed map[int]machine.Instant
	arrivals []modelArrival
}

// modelArrival is a request that reached the upstream under test.
type modelArrival struct {
	at   machine.Instant
	host int
	cold bool
}

type modelRequest struct {
	host int
	id   fleet.Upstream
	ends machine.Instant
}

// newFleetModel returns a fleet of n hosts in three regions that have the same lists.
// "u-1" is in failure domain a of region b, five others are in domain b; the regions a
// and c have six each.
func newFleetModel(t *testing.T, n int) *fleetModel {
	f := &fleetModel{t: t, now: second, hosts: hosts(n), demand: 60, coldRate: 3.3, informed: map[int]machine.Instant{}}
	f.entries = append(f.entries, entry(1, "b"))
	for i := range 17 {
		other := entry(i+2, []fleet.Region{"a", "b", "c"}[i%3])
		other.Location.FailureDomain = fleet.FailureDomain(other.Location.Region + "-b")
		f.entries = append(f.entries, other)
	}
	for i := range f.hosts {
		f.tables = append(f.tables, f.newHost(i, f.hosts))
	}
	for i := 0; len(f.objects) < 8; i++ {
		object := fmt.Sprint("object-", i)
		if c, refusal := f.tables[1].Pick(f.now, requestFor(object)); refusal == Chosen {
			f.tables[1].Done(f.now, c.ID, upstream.Result{Outcome: upstream.Cancelled})
			if c.ID == "u-1" {
				f.objects = append(f.objects, object)
			}
		}
	}
	return f
}

// newHost returns the table of a host that has just listed the entries.
func (f *fleetModel) newHost(i int, list []catalog.Host) *Table {
	t := New(Config{Host: f.hosts[i].ID, Location: f.hosts[i].Location, MaxRegionShift: 0.15, ColdTolerance: modelColdOver, ColdSlack: modelColdSlack, EntryLapse: modelEntryLapse})
	t.SetWarmup(map[fleet.Pool]Warmup{"s": {SlowStart: modelSlowStart, Rate: f.coldRate}})
	if list != nil {
		t.SetHosts(list)
	}
	t.Apply(f.now, completeUpdate(f.entries...))
	return t
}

// run plays the load for a time.
func (f *fleetModel) run(d time.Duration) {
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(modelStep) {
		kept := f.running[:0]
		for _, r := range f.running {
			if r.ends > f.now {
				kept = append(kept, r)
				continue
			}
			f.answer(r)
		}
		f.running = kept
		for f.credit += f.demand * modelStep.Seconds(); f.credit >= 1; f.credit-- {
			f.request()
		}
	}
}

// answer ends a request.
func (f *fleetModel) answer(r modelRequest) {
	response := &upstream.Response{Status: 200}
	if r.id == "u-1" && f.limit > 0 {
		response.Limit = upstream.RateLimit{Known: true, PerSecond: f.limit}
		if _, known := f.informed[r.host]; !known {
			f.informed[r.host] = f.now
		}
	}
	change := f.tables[r.host].Done(f.now, r.id, upstream.Result{Outcome: upstream.Answered, Took: modelServiceTime, Response: response})
	if change.LimitEnded && f.advisories {
		for _, t := range f.tables {
			t.Advise(f.now, []advisory.Advisory{{Upstream: advisory.KeyOf(r.id), LimitEnded: true}})
		}
	}
}

// request sends the next request at the next host of region b.
func (f *fleetModel) request() {
	var local []int
	for i, h := range f.hosts {
		if h.Location.Region == "b" {
			local = append(local, i)
		}
	}
	host := local[f.sent%len(local)]
	object := f.objects[f.sent/len(local)%len(f.objects)]
	f.sent++
	c, refusal := f.tables[host].Pick(f.now, requestFor(object))
	switch {
	case refusal != Chosen:
	case c.ID == "u-1" && f.down:
		f.tables[host].Done(f.now, c.ID, upstream.Result{Outcome: upstream.Unreachable, Unresponsive: f.silent, Rejected: !f.silent})
	default:
		f.running = append(f.running, modelRequest{host: host, id: c.ID, ends: f.now.Add(modelServiceTime)})
		if c.ID == "u-1" {
			f.arrivals = append(f.arrivals, modelArrival{at: f.now, host: host, cold: f.cold})
		}
	}
}

// apply delivers a new entry of the upstream under test to the given hosts.
func (f *fleetModel) apply(item catalog.Upstream, tables ...*Table) {
	for _, t := range tables {
		t.Apply(f.now, catalog.Update[catalog.Upstream]{Changes: []catalog.Change[catalog.Upstream]{{Name: string(item.ID), Item: item}}})
	}
}

// mostWithin returns the largest number of arrivals in any window of a length.
func mostWithin(window time.Duration, arrivals []modelArrival) int {
	most := 0
	for i, first := range arrivals {
		n := 0
		for _, a := range arrivals[i:] {
			if a.at < first.at.Add(window) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// requireNoFlood checks that all hosts together sent the cold upstream at most its rate
// in each second, and some requests at all.
func (f *fleetModel) requireNoFlood() {
	f.t.Helper()
	cold := slices.DeleteFunc(slices.Clone(f.arrivals), func(a modelArrival) bool { return !a.cold })
	require.Greater(f.t, len(cold), 3, "a cold upstream gets requests")
	allowed := f.coldRate*modelColdOver + modelColdSlack
	require.LessOrEqual(f.t, float64(mostWithin(time.Second, cold)), allowed, "requests in one second")
}
