package measure

import (
	"fmt"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinspring/catkinspring/internal/demo"
	"github.com/catkinspring/catkinspring/internal/load"
	"github.com/catkinspring/catkinspring/problem"
)

// addRefusals adds the requests that were refused by rate although within it, by
// three measures.
func (o *observation) addRefusals(c *Column, usual func(*load.Record) bool) {
	var records []load.Record
	keyed := 0
	for i := range o.records {
		if r := &o.records[i]; o.counted(r) {
			records = append(records, *r)
			if r.Keyed {
				keyed++
			}
		}
	}
	wrongful, admitted := demo.CountWrongfulRefusals(o.scenario.spec().Customers, records)
	addPart(c, "wrongful refusals, customers always within their rate, as internal/demo", wrongful, admitted)
	central, within, spare := 0, 0, 0
	for i := range o.scenario.Customers {
		customer := &o.scenario.Customers[i]
		n, of := o.centralRefusals(customer, usual)
		central, within = central+n, within+of
		spare += o.spareRefusals(customer)
	}
	addPart(c, "wrongful refusals, central bucket over first attempts, customers that do not surge", central, within)
	addPart(c, "wrongful refusals, possible besides all that was admitted, of keyed requests", spare, keyed)
}

func addPart(c *Column, name string, part, of int) {
	c.add(name, 0, float64(part), float64(of)).Note = fmt.Sprintf("%.2f%%", 100*float64(part)/float64(max(1, of)))
}

// centralRefusals replays first attempts of a customer against one bucket, full
// at the start, and returns those that it admits although they were refused by
// rate, and all that it admits. Other refusals take no token.
func (o *observation) centralRefusals(c *Customer, match func(*load.Record) bool) (wrongful, admitted int) {
	var attempts []*load.Attempt
	for i := range o.records {
		r := &o.records[i]
		if r.Customer == c.ID && r.Keyed && match(r) && len(r.Attempts) > 0 && (limited(&r.Attempts[0]) || tookToken(&r.Attempts[0])) {
			attempts = append(attempts, &r.Attempts[0])
		}
	}
	slices.SortFunc(attempts, func(a, b *load.Attempt) int { return a.Start.Compare(b.Start) })
	level, at := c.Burst, o.start
	for _, a := range attempts {
		level = min(c.Burst, level+c.Rate*a.Start.Sub(at).Seconds())
		at = a.Start
		if level < 1 {
			continue
		}
		level--
		admitted++
		if limited(a) {
			wrongful++
		}
	}
	return wrongful, admitted
}

// spareRefusals returns how many of a customer's requests were refused by rate
// although each of them could have run besides everything that was admitted,
// within rate and burst. A replay of first attempts in their order would also
// count requests of a customer above its rate whose tokens its other requests got.
func (o *observation) spareRefusals(c *Customer) int {
	var taken, refused []time.Duration
	for i := range o.records {
		r := &o.records[i]
		if r.Customer != c.ID || !r.Keyed {
			continue
		}
		for k := range r.Attempts {
			if a := &r.Attempts[k]; tookToken(a) {
				taken = append(taken, a.Start.Sub(o.start))
			}
		}
		if o.counted(r) && len(r.Attempts) > 0 && limited(&r.Attempts[0]) {
			refused = append(refused, r.Attempts[0].Start.Sub(o.start))
		}
	}
	slices.Sort(taken)
	slices.Sort(refused)
	n := 0
	for _, at := range refused {
		if fits(taken, at, c.Rate, c.Burst) {
			n++
			place, _ := slices.BinarySearch(taken, at)
			taken = slices.Insert(taken, place, at)
		}
	}
	return n
}

func limited(a *load.Attempt) bool {
	return a.Failure == load.FailureNone && a.Status == fasthttp.StatusTooManyRequests
}

// tookToken reports whether an attempt was admitted, as far as its caller knows.
func tookToken(a *load.Attempt) bool {
	if a.Failure != load.FailureNone {
		return a.Failure != load.FailureConnect
	}
	return a.Outcome != problem.OutcomeNotRun
}

// fits reports whether one more admission leaves all later ones within rate and
// burst of a bucket that is full at the start. The times are sorted.
func fits(taken []time.Duration, added time.Duration, rate, burst float64) bool {
	// without is the level of the bucket, and owed what the further admission
	// still lowers it by: what an overflow has not yet made up for.
	without, owed, last := burst, 0.0, time.Duration(0)
	advance := func(to time.Duration) {
		filled := without + rate*(to-last).Seconds()
		if over := filled - burst; over > 0 {
			owed = max(0, owed-over)
			filled = burst
		}
		without, last = filled, to
	}
	k := 0
	for ; k < len(taken) && taken[k] < added; k++ {
		advance(taken[k])
		without = max(0, without-1)
	}
	advance(added)
	if without < 1 {
		return false
	}
	owed = 1
	for ; k < len(taken); k++ {
		advance(taken[k])
		if owed == 0 {
			return true
		}
		if without-owed < 1 {
			return false
		}
		without--
	}
	return true
}
