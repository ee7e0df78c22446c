package limitsim

import (
	"fmt"
	"io"
	"time"

	"github.com/sourcegraph/conc/iter"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/limits"
)

const (
	// measuredHosts and measuredRegions are the size of each deployment.
	measuredHosts   = 12
	measuredRegions = 3
	measuredWarmup  = 30 * time.Second
	// measuredLoad is the demand of the measurements as a fraction of each rate.
	measuredLoad = 0.9
	// measuredParallel is the number of cases that run in parallel.
	measuredParallel = 4
)

// Deployment is the network of one of the two organisations, with one-way latencies.
type Deployment struct {
	Name      string
	Near, Far time.Duration
}

// Deployments are the two of docs/design.md, section 1.
var Deployments = []Deployment{
	{Name: "cooperative", Near: 3 * time.Millisecond, Far: 35 * time.Millisecond},
	{Name: "authority", Near: 5 * time.Millisecond, Far: 55 * time.Millisecond},
}

// Lease is a duration of the host lease and the time from its end until the
// share of a lost host is reassigned.
type Lease struct {
	Name               string
	Duration, Reassign time.Duration
}

// ShortLease is the design's lease; LongLease is the one that is renewed only
// through the store.
var (
	ShortLease = Lease{Name: "10 s", Duration: 10 * time.Second, Reassign: 10*time.Second + 200*time.Millisecond}
	LongLease  = Lease{Name: "75 min", Duration: 75 * time.Minute, Reassign: 75*time.Minute + 46*time.Second}
)

// MeasuredCustomers are eight customers, a few of them large.
var MeasuredCustomers = []limits.CustomerLimit{
	{ID: "customer-1", Rate: 400, Burst: 400},
	{ID: "customer-2", Rate: 300, Burst: 300},
	{ID: "customer-3", Rate: 200, Burst: 200},
	{ID: "customer-4", Rate: 40, Burst: 40},
	{ID: "customer-5", Rate: 20, Burst: 20},
	{ID: "customer-6", Rate: 10, Burst: 10},
	{ID: "customer-7", Rate: 5, Burst: 5},
	{ID: "customer-8", Rate: 2, Burst: 4},
}

// Case is one measured situation.
type Case struct {
	Name string
	// Length is the measured time after the warm-up.
	Length  time.Duration
	Profile []float64
	// Leases is true if the duration of the lease matters.
	Leases bool
	// Event happens at the end of the warm-up.
	Event func(w *World)
}

// Even spreads demand evenly.
func Even(hosts int) []float64 {
	profile := make([]float64, hosts)
	for i := range profile {
		profile[i] = 1 / float64(hosts)
	}
	return profile
}

// Uneven sends 60% of the demand to one host and the rest to three hosts in
// other places.
func Uneven(hosts int) []float64 {
	profile := make([]float64, hosts)
	profile[1] = 0.6
	for i := range 3 {
		profile[(i+1)*hosts/4+1] += 0.4 / 3
	}
	return profile
}

// Cases are the measured situations.
var Cases = []Case{
	{Name: "even demand", Length: time.Minute, Profile: Even(measuredHosts)},
	{Name: "uneven demand, 60% at one host", Length: time.Minute, Profile: Uneven(measuredHosts)},
	{Name: "burst at one host", Length: 30 * time.Second, Profile: Even(measuredHosts), Event: burst},
	{Name: "one host dies", Length: 2 * time.Minute, Profile: Even(measuredHosts), Leases: true, Event: func(w *World) {
		w.Kill(w.Host(0))
	}},
	{Name: "a region of four hosts dies", Length: 2 * time.Minute, Profile: Even(measuredHosts), Leases: true, Event: func(w *World) {
		for i := range 4 {
			w.Kill(w.Host(i))
		}
	}},
	{Name: "a region is cut off for 5 min", Length: 6 * time.Minute, Profile: Even(measuredHosts), Leases: true, Event: func(w *World) {
		w.CutRegion(w.Host(measuredHosts - 1).Region)
		w.HealAfter(5 * time.Minute)
	}},
	{Name: "store away, one host dies", Length: time.Hour, Profile: Even(measuredHosts), Event: func(w *World) {
		w.StoreUnavailable = true
		w.Kill(w.Host(0))
	}},
	{Name: "store away, one host dies, uneven", Length: time.Hour, Profile: Uneven(measuredHosts), Event: func(w *World) {
		w.StoreUnavailable = true
		w.Kill(w.Host(0))
	}},
}

// burst sends half of the first customer's burst to one host within half a
// second, on top of its demand, every five seconds.
func burst(w *World) {
	for i := range 6 {
		w.rig.After(time.Duration(i)*5*time.Second, func() {
			w.Burst(2, 0, int(w.customers[0].Burst/2), 500*time.Millisecond)
		})
	}
}

// Measure runs one case.
func Measure(seed uint64, v Variant, d Deployment, l Lease, c Case) *World {
	w := NewWorld(Options{
		Seed:          seed,
		Variant:       v,
		Regions:       measuredRegions,
		Hosts:         measuredHosts,
		Near:          d.Near,
		Far:           d.Far,
		Lease:         l.Duration,
		Reassign:      l.Reassign,
		Customers:     MeasuredCustomers,
		Load:          measuredLoad,
		Profile:       c.Profile,
		Warmup:        measuredWarmup,
		CountMessages: v.Name == Loans.Name,
	})
	w.rig.Run(measuredWarmup)
	if c.Event != nil {
		c.Event(w)
	}
	w.rig.Run(c.Length)
	return w
}

// WrongfulPercent returns the wrongful refusals in percent of the requests that
// an ideal bucket admits.
func (w *World) WrongfulPercent() float64 {
	return 100 * float64(w.Counts.Wrongful) / float64(max(1, w.Counts.IdealAdmitted))
}

// row is one line of the table that PrintTable prints.
type row struct {
	deployment Deployment
	lease      Lease
	situation  Case
}

// PrintTable runs the cases with every variant and prints one row for each.
func PrintTable(out io.Writer, seed uint64) {
	fmt.Fprintf(out, "Seed %d, load %.0f%% of each rate, %d hosts, %d customers.\n\n", seed, 100*measuredLoad, measuredHosts, len(MeasuredCustomers))
	fmt.Fprintln(out, "| deployment | case | lease | loans | static split | central counter | mean wait, loans | mean wait, central | over-admission, all three | messages/s, bytes/s of a host |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	var rows []row
	for _, d := range Deployments {
		for _, c := range Cases {
			rows = append(rows, row{d, ShortLease, c})
			if c.Leases {
				rows = append(rows, row{d, LongLease, c})
			}
		}
	}
	mapper := iter.Mapper[row, string]{MaxGoroutines: measuredParallel}
	for _, text := range mapper.Map(rows, func(r *row) string { return r.measure(seed) }) {
		fmt.Fprintln(out, text)
	}
}

func (r *row) measure(seed uint64) string {
	loans := Measure(seed, Loans, r.deployment, r.lease, r.situation)
	static := Measure(seed, Static, r.deployment, r.lease, r.situation)
	central := Measure(seed, Central, r.deployment, r.lease, r.situation)
	hostSeconds := measuredHosts * r.situation.Length.Seconds()
	return fmt.Sprintf("| %s | %s | %s | %.2f%% | %.2f%% | %.2f%% | %.1f ms | %.1f ms | %d | %.0f, %.0f |",
		r.deployment.Name, r.situation.Name, r.lease.Name,
		loans.WrongfulPercent(), static.WrongfulPercent(), central.WrongfulPercent(),
		loans.MeanWait(), central.MeanWait(), loans.OverAdmissions()+static.OverAdmissions()+central.OverAdmissions(),
		float64(loans.Counts.Messages)/hostSeconds, float64(loans.Counts.Bytes)/hostSeconds)
}

// MeanWait returns the mean time to an admission in milliseconds.
func (w *World) MeanWait() float64 {
	return w.Counts.Waited.Seconds() * 1000 / float64(max(1, w.Counts.Admitted))
}

// Cost returns the messages and bytes that one host sends per second, in a cell with
// the given numbers of hosts and customers under uneven demand, and the wrongful
// refusals in percent.
func Cost(seed uint64, hosts, customers int) (messages, bytes, wrongful float64) {
	const length = 20 * time.Second
	o := Options{
		Seed:          seed,
		Variant:       Loans,
		Regions:       measuredRegions,
		Hosts:         hosts,
		Near:          Deployments[0].Near,
		Far:           Deployments[0].Far,
		Lease:         ShortLease.Duration,
		Reassign:      ShortLease.Reassign,
		Load:          measuredLoad,
		Profile:       Uneven(hosts),
		Warmup:        length,
		CountMessages: true,
	}
	for i := range customers {
		id := fleet.Customer(fmt.Sprintf("customer-%03d", i))
		o.Customers = append(o.Customers, limits.CustomerLimit{ID: id, Rate: 20, Burst: 20})
	}
	w := NewWorld(o)
	w.rig.Run(2 * length)
	hostSeconds := float64(hosts) * length.Seconds()
	return float64(w.Counts.Messages) / hostSeconds, float64(w.Counts.Bytes) / hostSeconds, w.WrongfulPercent()
}

// PrintCost prints the messages and bytes that a host sends per second.
func PrintCost(out io.Writer, seed uint64) {
	fmt.Fprintln(out, "\n| hosts | customers | messages/s of a host | bytes/s of a host | wrongful refusals |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- |")
	for _, size := range [][2]int{{12, 8}, {12, 64}, {64, 8}, {64, 64}} {
		messages, bytes, wrongful := Cost(seed, size[0], size[1])
		fmt.Fprintf(out, "| %d | %d | %.0f | %.0f | %.2f%% |\n", size[0], size[1], messages, bytes, wrongful)
	}
}

// PrintCustomers prints the wrongful refusals of each customer under even and under
// uneven demand.
func PrintCustomers(out io.Writer, seed uint64) {
	fmt.Fprintln(out, "\n| deployment | case | customer | rate, burst | wrongful refusals |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- |")
	for _, d := range Deployments {
		for _, c := range Cases[:2] {
			w := Measure(seed, Loans, d, ShortLease, c)
			for i, customer := range MeasuredCustomers {
				counts := w.Counts.Customers[i]
				fmt.Fprintf(out, "| %s | %s | %s | %g, %g | %.1f%% of %d |\n", d.Name, c.Name, customer.ID,
					customer.Rate, customer.Burst, 100*float64(counts[0])/float64(max(1, counts[1])), counts[1])
			}
		}
	}
}
