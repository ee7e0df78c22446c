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

// admissionInterval is the interval in which a request was admitted: after its caller
// sent it and before its run started.
type admissionInterval struct {
	from, to time.Time
}

// admissionExcess compares the admitted requests of a customer with its rate and
// burst.
type admissionExcess struct {
	customer CustomerSpec
	runs     int
	// startExcess is the highest excess over rate and burst in any window, counted by
	// run starts. Requests that wait for a slot may start closer together than they
	// were admitted, so a small excess does not prove over-admission.
	startExcess float64
	// certainExcess is the highest excess counted by requests that were certainly
	// admitted within the window.
	certainExcess float64
}

// overAdmission returns one row per customer; its count is the rounded excess.
func (e *evidence) overAdmission() []checkResult {
	var rows []checkResult
	for _, a := range e.admissionExcesses() {
		row := checkResult{
			name: "over-admission " + string(a.customer.ID),
			note: fmt.Sprintf("%d admitted; rate %.0f/s, burst %.0f", a.runs, a.customer.Rate, a.customer.Burst),
		}
		if a.startExcess > 0 || a.certainExcess > 0 {
			row.count = max(1, int(max(a.startExcess, a.certainExcess)+0.5))
			row.examples = []string{formatExcess(a)}
		}
		rows = append(rows, row)
	}
	return rows
}

// admissionExcesses returns the excess of each customer.
func (e *evidence) admissionExcesses() []admissionExcess {
	list := make([]admissionExcess, 0, len(e.customers))
	admissionIntervals := e.admissionIntervals()
	for _, c := range e.customers {
		own := admissionIntervals[c.ID]
		list = append(list, admissionExcess{
			customer:      c,
			runs:          len(own),
			startExcess:   excess(startPoints(own), c.Rate, c.Burst),
			certainExcess: excess(own, c.Rate, c.Burst),
		})
	}
	return list
}

// admissionIntervals returns the admissions of keyed requests by customer. A request
// that an entry host ran again after an upstream crashed was admitted only once.
func (e *evidence) admissionIntervals() map[fleet.Customer][]admissionInterval {
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
	admissionIntervals := map[fleet.Customer][]admissionInterval{}
	for id, run := range first {
		if r := records[run.Target]; r != nil {
			admissionIntervals[r.Customer] = append(admissionIntervals[r.Customer], admissionInterval{from: sentAt(r, id), to: run.Start})
		}
	}
	return admissionIntervals
}

// sentAt returns when the attempt with a request ID was sent. If the caller did not
// receive the ID, it returns when the first attempt was sent.
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

func startPoints(intervals []admissionInterval) []admissionInterval {
	starts := make([]admissionInterval, 0, len(intervals))
	for _, s := range intervals {
		starts = append(starts, admissionInterval{from: s.to, to: s.to})
	}
	return starts
}

// excess returns the highest number of requests above burst + rate * window in any
// window, counting the intervals that lie within it; 0 if there is no excess.
func excess(intervals []admissionInterval, rate, burst float64) float64 {
	slices.SortFunc(intervals, func(a, b admissionInterval) int { return cmp.Compare(a.to.UnixNano(), b.to.UnixNano()) })
	highest := 0.0
	for i := range intervals {
		begin, inside := intervals[i].from, 0
		for k := range intervals {
			if intervals[k].from.Before(begin) {
				continue
			}
			inside++
			allowed := burst + rate*intervals[k].to.Sub(begin).Seconds()
			highest = max(highest, float64(inside)-allowed)
		}
	}
	return highest
}

// startupPeriod is the time after the start of the traffic in which wrongful refusals
// are counted separately, because hosts have no share of a rate yet.
const startupPeriod = 3 * time.Second

// wrongfulRefusals counts refusals by rate that one central token bucket, full at the
// start, would not have made. It covers the first attempts of the customers that
// stayed within rate and burst.
type wrongfulRefusals struct {
	// admitted counts the attempts that the central bucket would have admitted,
	// refused those of them that were refused by rate, and duringStartup those of the
	// refused that were sent within startupPeriod.
	admitted, refused, duringStartup int
}

// wrongful counts the wrongful refusals of all customers. It leaves out customers that
// exceeded their rate: their retries take the tokens that a central bucket would have
// given to first attempts.
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
		if w, within := e.replayCentralBucket(c, attempts[c.ID]); within {
			total.admitted += w.admitted
			total.refused += w.refused
			total.duringStartup += w.duringStartup
		}
	}
	return total
}

// replayCentralBucket replays attempts against one token bucket and reports whether it
// would have admitted all of them. Refusals for other reasons take no token.
func (e *evidence) replayCentralBucket(c CustomerSpec, attempts []*load.Attempt) (w wrongfulRefusals, within bool) {
	slices.SortFunc(attempts, func(a, b *load.Attempt) int { return a.Start.Compare(b.Start) })
	tokens, at := c.Burst, time.Time{}
	for _, a := range attempts {
		if !at.IsZero() {
			tokens = min(c.Burst, tokens+c.Rate*a.Start.Sub(at).Seconds())
		}
		at = a.Start
		limited := a.Status == fasthttp.StatusTooManyRequests
		if !limited && a.Outcome == problem.OutcomeNotRun {
			continue
		}
		if tokens < 1 {
			return wrongfulRefusals{}, false
		}
		tokens--
		w.admitted++
		if limited {
			w.refused++
			if a.Start.Before(e.events.start.Add(startupPeriod)) {
				w.duringStartup++
			}
		}
	}
	return w, true
}
