package limitsim

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/internal/faulttest"
	"github.com/catkinspring/catkinspring/limits"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/traffic"
)

const (
	// pollInterval is the time between two polls of waiting requests.
	pollInterval = 5 * time.Millisecond
	// inputDelay is the longest delivery delay of a view or a revision to a host.
	inputDelay = 600 * time.Millisecond
)

// Options describe a world.
type Options struct {
	Seed    uint64
	Variant Variant
	// Regions is the number of regions, Hosts the number of hosts.
	Regions, Hosts int
	// Near and Far are the one-way latencies within and between regions.
	Near, Far time.Duration
	// Lease is the duration of a host lease. The share of a lost host is reassigned
	// after Reassign; 0 means never.
	Lease, Reassign time.Duration
	Customers       []limits.CustomerLimit
	// Load is the demand as a fraction of each customer's rate.
	Load float64
	// Profile is the fraction of the demand that arrives at each host.
	Profile []float64
	// Refunds is the fraction of the admitted requests that are refunded.
	Refunds float64
	// CountMessages counts messages and their encoded sizes.
	CountMessages bool
	// CheckSums checks the sums of tokens, bursts and rates at each admission.
	CheckSums bool
	// NoTokensFor is the time from the start in which no host can hold a token. The
	// checkers then start without tokens, which makes them stricter.
	NoTokensFor time.Duration
	// Warmup is the time from the start that the counts leave out.
	Warmup time.Duration
}

// World is one simulated cell.
type World struct {
	Options
	// Center is the host that runs the central counter.
	Center fleet.HostID
	// StoreUnavailable makes the store unavailable: membership reassigns no shares.
	StoreUnavailable bool

	rig       *faulttest.Rig
	variant   Variant
	hosts     []*Host
	customers []limits.CustomerLimit
	checkers  []*Checker
	ideals    []*Checker
	surge     []float64
	// unretired are the shares of replaced incarnations that are not retired yet.
	unretired  []share
	version    uint64
	revisions  map[fleet.Revision]float64
	revision   fleet.Revision
	cuts       map[[2]fleet.HostID]bool
	start      machine.Instant
	violations []string
	Counts     Counts
}

// Counts are the counters of a run after its warm-up.
type Counts struct {
	Offered, Admitted, Refused int
	// Wrongful counts the refused requests that an ideal bucket for all hosts would
	// have admitted, IdealAdmitted all that it would have admitted.
	Wrongful, IdealAdmitted int
	// Customers has the wrongful refusals and the ideal admissions of each customer.
	Customers       [][2]int
	Messages, Bytes int
	// Waited is the total time from arrival to admission.
	Waited time.Duration
	// ByType counts the messages by their number.
	ByType map[uint16]int
}

// NewWorld returns a world at the start of its time.
func NewWorld(o Options) *World {
	w := &World{
		Options:   o,
		rig:       faulttest.New(o.Seed),
		variant:   o.Variant,
		customers: o.Customers,
		surge:     make([]float64, len(o.Customers)),
		revisions: map[fleet.Revision]float64{},
		cuts:      map[[2]fleet.HostID]bool{},
	}
	w.start = w.rig.Now()
	w.Counts.ByType = map[uint16]int{}
	w.Counts.Customers = make([][2]int, len(o.Customers))
	w.rig.Latency = o.Near
	for i, c := range o.Customers {
		checker := NewChecker(w.start, c.Rate, c.Burst)
		if o.NoTokensFor > 0 {
			checker.at, checker.available = w.start.Add(o.NoTokensFor), 0
		}
		w.checkers = append(w.checkers, checker)
		w.ideals = append(w.ideals, NewChecker(w.start, c.Rate, c.Burst))
		w.surge[i] = 1
	}
	for i := range o.Hosts {
		id := fleet.HostID(fmt.Sprintf("host-%02d", i))
		region := fleet.Region(fmt.Sprintf("region-%d", i*o.Regions/o.Hosts))
		w.hosts = append(w.hosts, &Host{ID: id, Region: region, world: w})
	}
	w.Center = w.hosts[0].ID
	w.setLatencies()
	for _, h := range w.hosts {
		h.startIncarnation()
		h.share.sentWeight = fleet.TotalWeight / int64(o.Hosts)
	}
	w.SetRates(1)
	w.publishViews()
	w.updateMembership()
	for i := range w.customers {
		w.scheduleArrival(i)
	}
	w.poll()
	return w
}

// Rig returns the test rig of the world.
func (w *World) Rig() *faulttest.Rig { return w.rig }

// Host returns a host.
func (w *World) Host(i int) *Host { return w.hosts[i] }

func (w *World) setLatencies() {
	for _, a := range w.hosts {
		for _, b := range w.hosts {
			if a.Region != b.Region {
				w.rig.DelayLink(a.ID, b.ID, w.Far-w.Near)
			}
		}
	}
}

// scheduleArrival schedules the next request of a customer. Demand is a Poisson
// process; a request goes to a host by the profile, and to another if that one is
// down.
func (w *World) scheduleArrival(customer int) {
	rate := w.customers[customer].Rate * w.Load * w.surge[customer]
	interval := time.Duration(w.rig.Rand.ExpFloat64() / rate * float64(time.Second))
	w.rig.After(interval, func() {
		w.offer(w.pickHost(), customer)
		w.scheduleArrival(customer)
	})
}

func (w *World) pickHost() *Host {
	x := w.rig.Rand.Float64()
	for i, fraction := range w.Profile {
		x -= fraction
		if x < 0 {
			if h := w.hosts[i]; w.serves(h) {
				return h
			}
			break
		}
	}
	for range 64 {
		if h := w.hosts[w.rig.Rand.IntN(len(w.hosts))]; w.serves(h) {
			return h
		}
	}
	return nil
}

// serves reports whether callers can use a host: they avoid one that is down or
// lost its lease. There are no leases at the start.
func (w *World) serves(h *Host) bool {
	if !h.running() || !w.variant.Leases {
		return h.running()
	}
	return w.rig.Now() < h.share.leaseEnd || w.rig.Now().Sub(w.start) < time.Second
}

// offer sends one request of a customer to a host.
func (w *World) offer(h *Host, customer int) {
	if h == nil {
		return
	}
	ideal := w.ideals[customer]
	admits := ideal.Admit(w.rig.Now())
	ideal.admissions = ideal.admissions[:0]
	if w.counting() {
		w.Counts.Offered++
		if admits {
			w.Counts.IdealAdmitted++
			w.Counts.Customers[customer][1]++
		}
	}
	h.begin(customer, admits)
}

// Burst sends a number of requests of a customer to a host within a time.
func (w *World) Burst(host, customer, requests int, within time.Duration) {
	for i := range requests {
		w.rig.After(within*time.Duration(i)/time.Duration(requests), func() {
			if h := w.hosts[host]; h.running() {
				w.offer(h, customer)
			}
		})
	}
}

// Surge multiplies the demand of a customer.
func (w *World) Surge(customer int, factor float64) { w.surge[customer] = factor }

func (w *World) counting() bool { return w.rig.Now().Sub(w.start) >= w.Warmup }

func (w *World) refused(r request) {
	if w.counting() {
		w.Counts.Refused++
		if r.idealAdmits {
			w.Counts.Wrongful++
			w.Counts.Customers[r.customer][0]++
		}
	}
}

// admitted checks an admission at the time at which the request would be written to
// an upstream.
func (w *World) admitted(h *Host, r request, a traffic.Admission) {
	if !a.Valid() {
		w.refused(r)
		return
	}
	if w.counting() {
		w.Counts.Admitted++
		w.Counts.Waited += w.rig.Now().Sub(r.began)
	}
	w.checkSums(r.customer)
	if w.Refunds > 0 && w.rig.Rand.Float64() < w.Refunds {
		w.rig.After(time.Duration(w.rig.Rand.Int64N(int64(time.Second))), func() {
			if h.running() {
				a.Refund()
			}
		})
		return
	}
	if _, counted := a.(centralAdmission); !counted {
		w.checkAdmission(h, r.customer)
	}
}

// checkAdmission passes an admission to the checker of the customer.
func (w *World) checkAdmission(h *Host, customer int) {
	if !w.checkers[customer].Admit(w.rig.Now()) {
		w.recordViolation("%s admitted a request of %s beyond the limit", h.ID, w.customers[customer].ID)
	}
}

func (w *World) customer(id fleet.Customer) int {
	return slices.IndexFunc(w.customers, func(c limits.CustomerLimit) bool { return c.ID == id })
}

// checkSums compares the tokens, bursts and rates on all hosts with the limit.
func (w *World) checkSums(customer int) {
	if !w.CheckSums {
		return
	}
	var sum limits.Holding
	for _, h := range w.hosts {
		if h.dead {
			continue
		}
		held := h.driver.Holding(w.customers[customer].ID)
		sum.Tokens += held.Tokens
		sum.Burst += held.Burst
		sum.Rate += held.Rate
	}
	c := w.checkers[customer]
	if sum.Tokens > c.burst+tolerance || sum.Burst > c.burst+tolerance || sum.Rate > c.rate+tolerance {
		w.recordViolation("hosts hold %.6f tokens, burst %.6f of %.6f, rate %.6f of %.6f", sum.Tokens, sum.Burst, c.burst, sum.Rate, c.rate)
	}
}

func (w *World) recordViolation(format string, args ...any) {
	text := fmt.Sprintf("%s: ", time.Duration(w.rig.Now().Sub(w.start))) + fmt.Sprintf(format, args...)
	w.rig.Logf("breach %s", text)
	if len(w.violations) < 5 {
		w.violations = append(w.violations, text)
	}
}

// Violations returns the violations that were found: those at admissions, and
// those from comparing all windows.
func (w *World) Violations() []string {
	found := w.violations
	for i, c := range w.checkers {
		if text := c.AllWindows(); text != "" {
			found = append(found, fmt.Sprintf("%s: %s", w.customers[i].ID, text))
		}
	}
	return found
}

// OverAdmissions returns the number of admissions beyond the limits.
func (w *World) OverAdmissions() int {
	total := 0
	for _, c := range w.checkers {
		total += c.OverAdmissions
	}
	return total
}

func (w *World) poll() {
	for _, h := range w.hosts {
		if len(h.waiting) > 0 {
			h.poll()
		}
	}
	w.rig.After(pollInterval, w.poll)
}

// SetRates publishes a revision with all rates and bursts times a factor.
func (w *World) SetRates(factor float64) {
	w.revision++
	w.revisions[w.revision] = factor
	for _, h := range w.hosts {
		w.sendRevision(h)
	}
}

func (w *World) sendRevision(h *Host) {
	in := limits.SetCustomers{Revision: w.revision}
	factor := w.revisions[w.revision]
	for _, c := range w.customers {
		in.Customers = append(in.Customers, limits.CustomerLimit{ID: c.ID, Rate: c.Rate * factor, Burst: c.Burst * factor})
	}
	w.inject(h, in)
}

// refreshLimits sets the checkers to the highest limit in force on any host.
func (w *World) refreshLimits() {
	highest := 0.0
	for _, h := range w.hosts {
		if !h.dead {
			highest = math.Max(highest, h.factor)
		}
	}
	for i, c := range w.customers {
		w.checkers[i].SetLimit(w.rig.Now(), c.Rate*highest, c.Burst*highest)
	}
}

// inject delivers an input to the host's current incarnation after a random delay.
func (w *World) inject(h *Host, in machine.Input) {
	node := h.node
	w.rig.After(time.Duration(w.rig.Rand.Int64N(int64(inputDelay))), func() {
		if h.node == node {
			w.rig.Inject(node, in)
		}
	})
}
