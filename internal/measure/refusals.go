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

// addRefusals adds the requests that were refused by rate although their customer's
// rate and burst permitted them, counted in three ways.
func (o *observation) addRefusals(c *Column, nonSurging func(*load.Record) bool) {
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
	wrongful, admitted := demo.CountWrongfulRefusals(o.scenario.fleetSpec().Customers, records)
	addFraction(c, "wrongful refusals, customers always within their rate, as internal/demo", wrongful, admitted)
	central, within, spare := 0, 0, 0
	for i := range o.scenario.Customers {
		customer := &o.scenario.Customers[i]
		n, total := o.wrongfulByCentralBucket(customer, nonSurging)
		central, within = central+n, within+total
		spare += o.wrongfulWithSpareTokens(customer)
	}
	addFraction(c, "wrongful refusals, central bucket over first attempts, customers that do not surge", central, within)
	addFraction(c, "wrongful refusals, possible besides all that was admitted, of keyed requests", spare, keyed)
}

func addFraction(c *Column, name string, count, total int) {
	c.add(name, 0, float64(count), float64(total)).Note = fmt.Sprintf("%.2f%%", 100*float64(count)/float64(max(1, total)))
}

// wrongfulByCentralBucket replays the first attempts of a customer against one
// central bucket that starts full. It returns how many of those that the bucket
// admits were refused by rate, and how many it admits. Attempts refused for other
// reasons take no token.
func (o *observation) wrongfulByCentralBucket(c *Customer, match func(*load.Record) bool) (wrongful, admitted int) {
	var attempts []*load.Attempt
	for i := range o.records {
		r := &o.records[i]
		if r.Customer == c.ID && r.Keyed && match(r) && len(r.Attempts) > 0 && (isRateLimited(&r.Attempts[0]) || tookToken(&r.Attempts[0])) {
			attempts = append(attempts, &r.Attempts[0])
		}
	}
	slices.SortFunc(attempts, func(a, b *load.Attempt) int { return a.Start.Compare(b.Start) })
	tokens, last := c.Burst, o.start
	for _, a := range attempts {
		tokens = min(c.Burst, tokens+c.Rate*a.Start.Sub(last).Seconds())
		last = a.Start
		if tokens < 1 {
			continue
		}
		tokens--
		admitted++
		if isRateLimited(a) {
			wrongful++
		}
	}
	return wrongful, admitted
}

// wrongfulWithSpareTokens returns how many of a customer's requests were refused by
// rate although each of them could have run in addition to everything that was
// admitted, within rate and burst. A replay of first attempts in order would also
// count the refusals of a customer that exceeds its rate, although other requests of
// the customer used the tokens.
func (o *observation) wrongfulWithSpareTokens(c *Customer) int {
	var admitted, refused []time.Duration
	for i := range o.records {
		r := &o.records[i]
		if r.Customer != c.ID || !r.Keyed {
			continue
		}
		for k := range r.Attempts {
			if a := &r.Attempts[k]; tookToken(a) {
				admitted = append(admitted, a.Start.Sub(o.start))
			}
		}
		if o.counted(r) && len(r.Attempts) > 0 && isRateLimited(&r.Attempts[0]) {
			refused = append(refused, r.Attempts[0].Start.Sub(o.start))
		}
	}
	slices.Sort(admitted)
	slices.Sort(refused)
	n := 0
	for _, at := range refused {
		if fitsRateAndBurst(admitted, at, c.Rate, c.Burst) {
			n++
			index, _ := slices.BinarySearch(admitted, at)
			admitted = slices.Insert(admitted, index, at)
		}
	}
	return n
}

func isRateLimited(a *load.Attempt) bool {
	return a.Failure == load.FailureNone && a.Status == fasthttp.StatusTooManyRequests
}

// tookToken reports whether an attempt was admitted, as far as its caller can tell.
func tookToken(a *load.Attempt) bool {
	if a.Failure != load.FailureNone {
		return a.Failure != load.FailureConnect
	}
	return a.Outcome != problem.OutcomeNotRun
}

// fitsRateAndBurst reports whether one more admission leaves all later ones within
// rate and burst of a bucket that starts full. The times in admitted are sorted.
func fitsRateAndBurst(admitted []time.Duration, added time.Duration, rate, burst float64) bool {
	// tokens is the level of the bucket without the added admission. deficit is how
	// much lower it is with it; overflow of the bucket reduces the deficit.
	tokens, deficit, last := burst, 0.0, time.Duration(0)
	advance := func(to time.Duration) {
		refilled := tokens + rate*(to-last).Seconds()
		if overflow := refilled - burst; overflow > 0 {
			deficit = max(0, deficit-overflow)
			refilled = burst
		}
		tokens, last = refilled, to
	}
	k := 0
	for ; k < len(admitted) && admitted[k] < added; k++ {
		advance(admitted[k])
		tokens = max(0, tokens-1)
	}
	advance(added)
	if tokens < 1 {
		return false
	}
	deficit = 1
	for ; k < len(admitted); k++ {
		advance(admitted[k])
		if deficit == 0 {
			return true
		}
		if tokens-deficit < 1 {
			return false
		}
		tokens--
	}
	return true
}
