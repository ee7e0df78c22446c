package edge

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc/panics"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/hedge"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/steering"
	"github.com/catkinspring/catkinspring/upstream"
)

// SecondAttempts configures second attempts at slow requests (hedged requests).
type SecondAttempts struct {
	// MaxShare is the share of a service's requests that may get one; 0 turns them off.
	MaxShare float64
	// Quantile is the quantile of the times of a route's attempts after which the second
	// attempt starts.
	Quantile float64
}

// secondAttempt says what became of a second attempt, for logs and metrics.
type secondAttempt string

// The ends of a second attempt.
const (
	// secondWon means that its response was passed on.
	secondWon secondAttempt = "won"
	// secondLost means that the first attempt succeeded while the second one ran.
	secondLost secondAttempt = "lost"
	// secondFailed means that it did not succeed, or that it ended with the request.
	secondFailed secondAttempt = "failed"
)

// hedging is the state of second attempts on this host.
type hedging struct {
	delays  *hedge.Delays
	limiter *hedge.Limiter
}

func newHedging(s SecondAttempts) *hedging {
	if s.MaxShare <= 0 {
		return nil
	}
	return &hedging{delays: hedge.NewDelays(s.Quantile), limiter: hedge.NewLimiter(s.MaxShare)}
}

// deposit counts a request of a service.
func (h *hedging) deposit(now machine.Instant, service fleet.Pool) {
	if h != nil {
		h.limiter.Deposit(now, service)
	}
}

// OvertakenError reports an attempt whose response was dropped because another attempt at the
// same request had succeeded.
type OvertakenError struct{}

func (*OvertakenError) Error() string { return "another attempt at the request succeeded first" }

// secondAttemptDelay returns after which time a second attempt may start; false if the
// request gets none. A request gets one second attempt at most.
func (r *request) secondAttemptDelay() (time.Duration, bool) {
	if r.e.hedging == nil || !r.route.Idempotent || r.secondAttempt != "" || len(r.tried) >= r.route.MaxAttempts ||
		r.e.isStopping() || !r.e.steering.EstimatesCompletion(r.service) {
		return 0, false
	}
	delay, ok := r.e.hedging.delays.Delay(r.route.Name)
	return delay, ok && delay+minTimeLeft < r.timeLeft()
}

// recordDelay records the time of a first attempt that succeeded or was overtaken. Second
// attempts are left out, because they run only at upstreams with free slots. So are attempts that ran during
// a pause of this process, because their times include it. Services without estimates get no second attempts;
// their times would only cost messages.
func (r *request) recordDelay(result upstream.Result) {
	if r.e.hedging == nil || !r.estimated || !r.route.Idempotent || !isOvertaken(result) && !isWork(result) {
		return
	}
	if now := r.e.now(); !r.e.pauses.overlaps(now.Add(-result.Took), now) {
		r.e.hedging.delays.Record(r.route.Name, result.Took)
	}
}

// isSuccess reports whether a result ends the request. A 429 does not, because the other attempt may
// have run.
func isSuccess(result upstream.Result) bool {
	return result.Outcome == upstream.Answered && result.Response.Status < http.StatusInternalServerError && !isNotRunResponse(result)
}

// isNotRunResponse reports whether a result is a response that guarantees callers that the request has not run.
func isNotRunResponse(result upstream.Result) bool {
	return result.Outcome == upstream.Answered &&
		(result.Response.Status == http.StatusServiceUnavailable || result.Response.Status == http.StatusTooManyRequests)
}

// isWork reports whether a result is a response for which the upstream worked. A 404 after 1 ms says nothing
// about how long the route's requests take.
func isWork(result upstream.Result) bool {
	return result.Outcome == upstream.Answered && result.Response.Status/100 == 2
}

func isOvertaken(result upstream.Result) bool {
	_, overtaken := result.Err.(*OvertakenError)
	return overtaken
}

// attempt is one of two attempts at a request.
type attempt struct {
	choice steering.Choice
	second bool
	result upstream.Result
}

// race is a first attempt at a request and the second one, if any.
type race struct {
	r      *request
	out    *upstream.Request
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// over is true once an attempt has succeeded or the request has ended.
	over bool
	// ended receives each attempt that ended before the race was over, and the one that
	// succeeded. Both attempts fit in.
	ended chan *attempt
	// panicked receives the panic of an attempt.
	panicked chan *panics.Recovered
}

// exchangeTwice makes an attempt, and after the delay a second one if that may be made then. It
// returns when one has succeeded or all have failed, and doesn't wait for the other one to end.
func (r *request) exchangeTwice(attemptCtx context.Context, out *upstream.Request, delay time.Duration) {
	x := &race{r: r, out: out, ended: make(chan *attempt, 2), panicked: make(chan *panics.Recovered, 2)}
	x.ctx, x.cancel = context.WithCancel(attemptCtx)
	defer x.finish()
	go x.run(&attempt{choice: r.choice})
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var failed []*attempt
	for running := 1; running > 0; {
		select {
		case <-timer.C:
			second, ok := x.chooseSecond()
			if !ok {
				continue
			}
			r.tried = append(r.tried, second.ID)
			r.secondAttempt = secondFailed
			r.e.hostMetrics.count("second_attempts.sent")
			running++
			go x.run(&attempt{choice: second, second: true})
		case a := <-x.ended:
			running--
			if !isSuccess(a.result) {
				failed = append(failed, a)
				continue
			}
			r.noteSuccess(a, running > 0)
			r.pass(a, failed)
			return
		case p := <-x.panicked:
			releaseResponses(failed)
			panic(p.String())
		}
	}
	r.pass(mostConclusive(failed), failed)
}

// noteSuccess records which attempt succeeded. otherRuns is true if another one was still running.
func (r *request) noteSuccess(a *attempt, otherRuns bool) {
	switch {
	case a.second:
		r.secondAttempt = secondWon
		r.e.hostMetrics.count("second_attempts.won")
	case otherRuns:
		r.secondAttempt = secondLost
		r.e.hostMetrics.count("second_attempts.lost")
	}
}

// pass makes an attempt the one that counts, and releases the responses of others that failed.
func (r *request) pass(a *attempt, failed []*attempt) {
	r.choice, r.last = a.choice, a.result
	releaseResponses(slices.DeleteFunc(failed, func(f *attempt) bool { return f == a }))
}

// releaseResponses releases the responses of attempts.
func releaseResponses(attempts []*attempt) {
	for _, a := range attempts {
		if a.result.Outcome == upstream.Answered && a.result.Response != nil {
			a.result.Response.Release()
		}
	}
}

// mostConclusive returns the attempt that says most about a request whose attempts have all failed: the
// first with a response, else the last after which the request may have run. A 503 or 429 comes after
// these, because it guarantees that the request has not run.
func mostConclusive(failed []*attempt) *attempt {
	best := failed[0]
	for _, a := range failed[1:] {
		if difference := conclusiveness(a.result) - conclusiveness(best.result); difference > 0 ||
			difference == 0 && a.result.Outcome != upstream.Answered {
			best = a
		}
	}
	return best
}

// conclusiveness orders the results of failed attempts; see mostConclusive.
func conclusiveness(result upstream.Result) int {
	switch {
	case result.Outcome.NotRun():
		return 0
	case isNotRunResponse(result):
		return 1
	case result.Outcome == upstream.Answered:
		return 3
	}
	return 2
}

// finish cancels what still runs. It releases responses that were not received because an attempt panicked.
func (x *race) finish() {
	x.mu.Lock()
	x.over = true
	x.mu.Unlock()
	x.cancel()
	for {
		select {
		case a := <-x.ended:
			releaseResponses([]*attempt{a})
		default:
			return
		}
	}
}

// chooseSecond chooses the upstream of the second attempt, unless the caller has left, or the first attempt has
// ended and its result is only not received yet.
func (x *race) chooseSecond() (steering.Choice, bool) {
	if len(x.ended) > 0 || x.ctx.Err() != nil {
		return steering.Choice{}, false
	}
	return x.r.chooseSecond()
}

// run makes an attempt. A check for a crash, which may take a round trip, comes last, so that the other
// attempt is not delayed.
func (x *race) run(a *attempt) {
	settled := false
	recovered := panics.Try(func() {
		a.result = x.r.send(x.ctx, a.choice, x.out)
		result := x.settle(a)
		settled = true
		x.r.reportCrash(a.choice, result)
	})
	if recovered != nil {
		if !settled {
			releaseResponses([]*attempt{a})
		}
		x.r.e.log.Error().Str("request", x.r.fields.ID).Str("panic", recovered.String()).Msg("attempt panicked")
		x.panicked <- recovered
	}
}

// settle decides whether an attempt succeeded first, reports it and returns the result that was reported.
// The response of an attempt that was overtaken is released. The mutex is held until the end, so that an
// attempt that failed before the other one succeeded is received first.
func (x *race) settle(a *attempt) upstream.Result {
	x.mu.Lock()
	defer x.mu.Unlock()
	result := a.result
	if x.over {
		result = overtaken(result)
	}
	x.r.reportAttempt(a.choice, result)
	if !a.second {
		x.r.recordDelay(result)
	}
	if x.over {
		return result
	}
	if isSuccess(result) {
		x.over = true
		x.cancel()
	}
	x.ended <- a
	return result
}

// overtaken returns the result of an attempt that ended after the other one had succeeded. Results that
// are neither a response nor a cancellation stay: they say something about the upstream.
func overtaken(result upstream.Result) upstream.Result {
	switch result.Outcome {
	case upstream.Answered:
		result.Response.Release()
	case upstream.Cancelled:
	default:
		return result
	}
	return upstream.Result{Outcome: upstream.Cancelled, Err: &OvertakenError{}, Reused: result.Reused, Took: result.Took}
}

// chooseSecond chooses the upstream of a second attempt while the first one runs.
func (r *request) chooseSecond() (steering.Choice, bool) {
	e, now := r.e, r.e.now()
	if e.isStopping() || r.mayCrashUpstreams() {
		return steering.Choice{}, false
	}
	if e.steering.RefusedLately(now, r.service) || e.waiting.any(r.service) {
		e.hostMetrics.count("second_attempts.denied_room")
		return steering.Choice{}, false
	}
	request := r.placement()
	request.Second = true
	// A whole slot is free.
	request.MaxUtilization = 1
	c, refusal := e.steering.Pick(now, request)
	if refusal != steering.Chosen {
		e.hostMetrics.count("second_attempts.denied_room")
		return steering.Choice{}, false
	}
	denied := ""
	switch {
	case !r.fits(c):
		denied = "second_attempts.denied_room"
	case !e.hedging.limiter.Allow(now, r.service):
		denied = "second_attempts.denied_share"
	case !e.budget.Withdraw(now, r.service):
		denied = "second_attempts.denied_budget"
	default:
		return c, true
	}
	e.steering.GiveBack(c)
	e.hostMetrics.count(denied)
	return steering.Choice{}, false
}

// fits reports whether an upstream has a free slot for a second attempt, is warm, and is expected to
// respond in the time left. An expected time of 0 is unknown.
func (r *request) fits(c steering.Choice) bool {
	return !c.Cold && c.Load < float64(c.Slots) && c.Expected > 0 && c.Expected <= r.timeLeft()
}

// mayCrashUpstreams reports whether the request, or one that is in flight at the upstream of its first attempt, is
// suspected of crashing upstreams. A second attempt would carry it to another one.
func (r *request) mayCrashUpstreams() bool {
	if r.e.quarantine.Suspected(r.fingerprint) {
		return true
	}
	inFlight, now := r.e.inFlightRequests.ForUpstream(r.choice.ID), time.Now()
	if inFlight.BrokeLately(now) {
		return true
	}
	for _, fingerprint := range inFlight.Suspects(now) {
		if r.e.quarantine.Suspected(fingerprint) {
			return true
		}
	}
	return false
}
