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
	// arrivals are the requests that reached the cold upstream under test.
	arrivals []machine.Instant
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
	f := &fleetModel{t: t, now: second, hosts: hosts(n), demand: 60, coldRate: 3.3}
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
			f.tables[r.host].Done(f.now, r.id, upstream.Result{
				Outcome: upstream.Answered, Took: modelServiceTime,
				Response: &upstream.Response{Status: 200},
			})
		}
		f.running = kept
		for f.credit += f.demand * modelStep.Seconds(); f.credit >= 1; f.credit-- {
			f.request()
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
		f.tables[host].Done(f.now, c.ID, upstream.Result{Outcome: upstream.Unreachable, Unresponsive: f.silent})
	default:
		f.running = append(f.running, modelRequest{host: host, id: c.ID, ends: f.now.Add(modelServiceTime)})
		if c.ID == "u-1" && f.cold {
			f.arrivals = append(f.arrivals, f.now)
		}
	}
}

// apply delivers a new entry of the upstream under test to the given hosts.
func (f *fleetModel) apply(item catalog.Upstream, tables ...*Table) {
	for _, t := range tables {
		t.Apply(f.now, catalog.Update[catalog.Upstream]{Changes: []catalog.Change[catalog.Upstream]{{Name: string(item.ID), Item: item}}})
	}
}

// requireNoFlood checks that all hosts together sent the cold upstream at most its rate
// in each second, and some requests at all.
func (f *fleetModel) requireNoFlood() {
	f.t.Helper()
	require.Greater(f.t, len(f.arrivals), 3, "a cold upstream gets requests")
	worst := 0
	for i, first := range f.arrivals {
		n := 0
		for _, at := range f.arrivals[i:] {
			if at < first.Add(time.Second) {
				n++
			}
		}
		worst = max(worst, n)
	}
	allowed := f.coldRate*modelColdOver + modelColdSlack
	require.LessOrEqual(f.t, float64(worst), allowed, "requests in one second")
}

// Guards against hosts that all warm up every upstream until they have a list of hosts.
func TestColdUpstreamIsNotFloodedByHostsWithoutListOfHosts(t *testing.T) {
	f := newFleetModel(t, 87)
	f.entries[0].ColdFor = modelSlowStart
	f.apply(f.entries[0], f.tables...)
	for i, tb := range f.tables {
		if !tb.isWarmupHost(tb.members["u-1"]) {
			f.tables[i] = f.newHost(i, nil)
		}
	}
	f.cold = true
	f.run(modelSlowStart)
	f.requireNoFlood()
}

// Guards against requests at the full rate between a restart and the new entry.
func TestRestartedUpstreamIsNotFloodedBeforeItsEntryChanges(t *testing.T) {
	for _, silent := range []bool{false, true} {
		f := newFleetModel(t, 87)
		f.run(time.Second)
		f.down, f.silent = true, silent
		f.run(2 * time.Second)
		f.down, f.cold = false, true
		f.run(modelSlowStart)
		f.requireNoFlood()
	}
}

// Guards against requests at the full rate to a restored domain whose upstreams became
// cold, before their entries have arrived.
func TestRestoredDomainIsNotFloodedBeforeItsEntriesChange(t *testing.T) {
	f := newFleetModel(t, 87)
	domain := f.entries[0].Location.FailureDomain
	for _, tb := range f.tables {
		tb.SetEvacuated(f.now, []fleet.FailureDomain{domain})
	}
	f.run(time.Second)
	f.cold = true
	for _, tb := range f.tables {
		tb.SetEvacuated(f.now, nil)
	}
	f.run(modelSlowStart)
	f.requireNoFlood()
}

// Guards against a warm-up time of 0 for entries that arrive before the configuration.
func TestUpstreamThatStartsBeforeItsServiceIsConfiguredIsNotFlooded(t *testing.T) {
	f := newFleetModel(t, 87)
	restarted := f.entries[0]
	restarted.StartedMillis++
	for _, tb := range f.tables {
		tb.SetWarmup(nil)
	}
	f.apply(restarted, f.tables...)
	f.cold = true
	for _, tb := range f.tables {
		tb.SetWarmup(map[fleet.Pool]Warmup{"s": {SlowStart: modelSlowStart, Rate: f.coldRate}})
	}
	f.run(modelSlowStart)
	f.requireNoFlood()
}

// Guards against warm-up hosts that differ between lists and together exceed the rate.
func TestColdUpstreamIsNotFloodedByHostsWithDifferentLists(t *testing.T) {
	f := newFleetModel(t, 24)
	f.coldRate, f.demand = 17, 600
	f.entries[0].ColdFor = modelSlowStart
	// Two hosts of region b are new and become the warm-up hosts; the others do not know
	// them yet.
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
	f.cold = true
	f.run(modelSlowStart)
	f.requireNoFlood()
}

// Guards against hosts cut off from the store that do not know what the others read.
func TestUpstreamThatBecomesColdAgainIsNotFloodedByHostsCutOffFromTheStore(t *testing.T) {
	f := newFleetModel(t, 87)
	f.run(time.Second)
	f.entries[0].ColdFor = modelSlowStart
	view := &fleet.View{}
	for _, h := range f.hosts {
		view.Members = append(view.Members, fleet.ViewMember{Member: fleet.Member{Host: h.ID}, Reachable: true})
	}
	publisher := advisory.New(f.hosts[0].ID)
	publisher.Step(machine.Now{}, machine.ViewChanged{View: view})
	_, changed := f.tables[0].Apply(f.now, catalog.Update[catalog.Upstream]{Changes: []catalog.Change[catalog.Upstream]{{Name: "u-1", Item: f.entries[0]}}})
	require.Len(t, changed, 1)
	publisher.Step(machine.Now{}, advisory.Publish{Advisories: []advisory.Advisory{
		{Upstream: advisory.KeyOf("u-1"), ColdMillis: uint32(changed[0].ColdFor.Milliseconds())},
	}})
	for _, out := range publisher.Step(machine.Now{}, machine.Tick{}) {
		send := out.(machine.Send)
		to := slices.IndexFunc(f.hosts, func(h catalog.Host) bool { return h.ID == send.To })
		f.tables[to].Advise(f.now, send.Message.(advisory.Advisories).List)
	}
	f.cold = true
	f.run(modelSlowStart)
	f.requireNoFlood()
}

// idAheadOf returns a host ID with a prefix that ranks ahead of a list of hosts among
// the warm-up hosts of "u-1".
func idAheadOf(list []catalog.Host, prefix string) fleet.HostID {
	for n := 0; ; n++ {
		id := fmt.Sprint(prefix, "-", n)
		if !slices.ContainsFunc(list, func(h catalog.Host) bool { return hashPair(string(h.ID), "u-1") > hashPair(id, "u-1") }) {
			return fleet.HostID(id)
		}
	}
}
