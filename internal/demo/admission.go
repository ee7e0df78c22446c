package demo

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/internal/load"
	"github.com/catkinspring/catkinspring/internal/standin/upstream"
	"github.com/catkinspring/catkinspring/problem"
)

// span is the time within which a request was admitted: after its caller sent it
// and before its run started.
type span struct {
	from, to time.Time
}

// admission compares the runs of a customer with its rate and burst.
type admission struct {
	customer CustomerSpec
	runs     int
	// starts is the highest excess over rate and burst in any window of run
	// starts. Requests that wait for a slot start closer together than they were
	// admitted, so a small excess here is no proof.
	starts float64
	// proven is the highest excess of requests that were admitted for certain
	// within a window.
	proven float64
}

// overAdmission returns one row per customer.
func (e *evidence) overAdmission() []finding {
	var rows []finding
	for _, a := range e.admissions() {
		f := finding{
			name: "over-admission " + string(a.customer.ID),
			note: fmt.Sprintf("%d admitted; rate %.0f/s, burst %.0f", a.runs, a.customer.Rate, a.customer.Burst),
		}
		if a.starts > 0 || a.proven > 0 {
			f.count = max(1, int(max(a.starts, a.proven)+0.5))
			f.examples = []string{excessText(a)}
		}
		rows = append(rows, f)
	}
	return rows
}

// admissions returns the figures of each customer.
func (e *evidence) admissions() []admission {
	list := make([]admission, 0, len(e.customers))
	spans := e.spans()
	for _, c := range e.customers {
		own := spans[c.ID]
		list = append(list, admission{
			customer: c,
			runs:     len(own),
			starts:   excess(startsOf(own), c.Rate, c.Burst),
			proven:   excess(own, c.Rate, c.Burst),
		})
	}
	return list
}

// spans returns the admissions of keyed requests by customer. A request that an
// entry host ran twice, because an upstream crashed, was admitted once.
func (e *evidence) spans() map[fleet.Customer][]span {
	records := map[string]*load.Record{}
	for i := range e.records {
		if r := &e.records[i]; r.Keyed {
			records[r.Target] = r
		}
	}
	first := map[string]*upstream.Run{}
	for i := range e.upstreams.Runs {
		run := &e.upstreams.Runs[i]
		id := load.BaseID(run.RequestID)
		if known := first[id]; known == nil || run.Start.Before(known.Start) {
			first[id] = run
		}
	}
	spans := map[fleet.Customer][]span{}
	for id, run := range first {
		if r := records[run.Target]; r != nil {
			spans[r.Customer] = append(spans[r.Customer], span{from: sentAt(r, id), to: run.Start})
		}
	}
	return spans
}

// sentAt returns when the attempt with a request id was sent; the first attempt
// if its caller was not told the id.
func sentAt(r *load.Record, id string) time.Time {
	for _, a := range r.Attempts {
		if a.RequestID == id {
			return a.Start
		}
	}
	if len(r.Attempts) > 0 {
		return r.Attempts[0].Start
	}
	return r.Intended
}

func startsOf(spans []span) []span {
	starts := make([]span, 0, len(spans))
	for _, s := range spans {
		starts = append(starts, span{from: s.to, to: s.to})
	}
	return starts
}

// excess returns by how many requests the spans that lie within any window
// exceed burst + rate * window; 0 if none does.
func excess(spans []span, rate, burst float64) float64 {
	slices.SortFunc(spans, func(a, b span) int { return cmp.Compare(a.to.UnixNano(), b.to.UnixNano()) })
	highest := 0.0
	for i := range spans {
		begin, inside := spans[i].from, 0
		for k := range spans {
			if spans[k].from.Before(begin) {
				continue
			}
			inside++
			allowed := burst + rate*spans[k].to.Sub(begin).Seconds()
			highest = max(highest, float64(inside)-allowed)
		}
	}
	return highest
}

// startTime is the time after which wrongful refusals no longer count as those of
// the start, when hosts have no share of a rate yet.
const startTime = 3 * time.Second

// wrongfulRefusals compares the first attempts of the customers that stayed
// within rate and burst with one central bucket, full at the start.
type wrongfulRefusals struct {
	// admitted counts the attempts that the central bucket would have admitted,
	// refused those of them that were refused by rate, and early the refused ones
	// within startTime.
	admitted, refused, early int
}

// wrongful leaves out customers that sent more than their rate: their repeats
// take the tokens that a central bucket would have given to first attempts.
func (e *evidence) wrongful() wrongfulRefusals {
	attempts := map[fleet.Customer][]*load.Attempt{}
	for i := range e.records {
		r := &e.records[i]
		if r.Keyed && len(r.Attempts) > 0 && r.Attempts[0].Failure == load.FailureNone {
			attempts[r.Customer] = append(attempts[r.Customer], &r.Attempts[0])
		}
	}
	var total wrongfulRefusals
	for _, c := range e.customers {
		if w, within := e.centralBucket(c, attempts[c.ID]); within {
			total.admitted += w.admitted
			total.refused += w.refused
			total.early += w.early
		}
	}
	return total
}

// centralBucket replays attempts against one bucket and reports whether it would
// have admitted all of them. Refusals for other reasons take no token.
func (e *evidence) centralBucket(c CustomerSpec, attempts []*load.Attempt) (w wrongfulRefusals, within bool) {
	slices.SortFunc(attempts, func(a, b *load.Attempt) int { return a.Start.Compare(b.Start) })
	level, at := c.Burst, time.Time{}
	for _, a := range attempts {
		if !at.IsZero() {
			level = min(c.Burst, level+c.Rate*a.Start.Sub(at).Seconds())
		}
		at = a.Start
		limited := a.Status == fasthttp.StatusTooManyRequests
		if !limited && a.Outcome == problem.OutcomeNotRun {
			continue
		}
		if level < 1 {
			return wrongfulRefusals{}, false
		}
		level--
		w.admitted++
		if limited {
			w.refused++
			if a.Start.Before(e.facts.start.Add(startTime)) {
				w.early++
			}
		}
	}
	return w, true
}
