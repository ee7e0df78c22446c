package edge

import (
	"context"
	"errors"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/ingress"
	"github.com/catkinspring/catkinspring/internal/httpcheck"
	"github.com/catkinspring/catkinspring/logsink"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/policy"
	"github.com/catkinspring/catkinspring/problem"
	"github.com/catkinspring/catkinspring/steering"
	"github.com/catkinspring/catkinspring/traffic"
	"github.com/catkinspring/catkinspring/upstream"
)

const (
	// defaultTimeout applies to requests whose caller and route set no timeout.
	defaultTimeout = 10 * time.Second
	// noConfigurationRetryAfter is the Retry-After of a host that has no configuration
	// yet; the configuration arrives within a second of the start.
	noConfigurationRetryAfter = 500 * time.Millisecond
	// startRetryAfter is the Retry-After of a host that still does not know which upstreams are
	// cold when a hold ends. Other hosts take the request at once.
	startRetryAfter = 100 * time.Millisecond
	// capacityRetryAfter is the Retry-After when all upstreams are at capacity: about
	// the time in which an upstream finishes a request.
	capacityRetryAfter = 400 * time.Millisecond
	// quarantineRetryAfter is the Retry-After of a request that crashes upstreams.
	quarantineRetryAfter = time.Minute
	// minTimeLeft is the shortest time to the deadline at which an attempt is still
	// made: a round trip between regions.
	minTimeLeft = 100 * time.Millisecond
)

// maxUtilizations are the maximum loads of an upstream, as multiples of its slots, by
// the priority of a request. Requests of higher priority may wait in longer queues.
var maxUtilizations = [...]float64{2.4, 2.0, 1.7}

func maxUtilizationOf(p int) float64 { return maxUtilizations[max(0, min(p, len(maxUtilizations)-1))] }

// request is the state of one request while the host handles it.
type request struct {
	e        *Edge
	in       *ingress.Request
	fields   ingress.Fields
	snapshot *policy.Snapshot
	route    *policy.Route
	customer *policy.Customer
	service  fleet.Pool
	// admission is the token taken from the customer's limit; nil without a limit.
	admission traffic.Admission
	deadline  time.Time
	// expires is the deadline on the host's clock, which counts suspensions of the
	// machine; the runtime's clock, on which deadline lies, does not.
	expires machine.Instant

	// tried are the upstreams to which the request was sent.
	tried []fleet.Upstream
	// mayHaveRun is true once an attempt has failed after which it is unknown whether
	// the request ran.
	mayHaveRun bool
	// last is the result of the last attempt, choice its upstream.
	last   upstream.Result
	choice steering.Choice
	// secondAttempt says what became of the second attempt; empty if there was none.
	secondAttempt secondAttempt
	// fingerprint identifies repeats of the request; see computeFingerprint.
	fingerprint uint64
	// estimated is true if the service's upstreams state enough to estimate when the request
	// completes. Only then it may wait for room.
	estimated bool
	// waiting is what the log line says about the wait for room.
	waiting waitRecord
}

// handle serves one request of a caller.
func (e *Edge) handle(ctx context.Context, in *ingress.Request) (response *ingress.Response) {
	e.arrivals.count.Add(1)
	if stop := e.stop.Load(); stop != nil && in.Received.After(stop.began) {
		stop.read.Add(1)
	}
	r := &request{e: e, in: in, fields: e.Codec.CallerFields(in.Request), snapshot: e.snapshot.Load()}
	outcome := "panic"
	defer func() {
		if value := recover(); value != nil {
			// The request may have run.
			response = ingress.Refuse(http.StatusBadGateway, 0)
			e.log.Error().Str("request", r.fields.ID).Any("panic", value).Bytes("stack", debug.Stack()).Msg("request handler panicked")
		}
		r.recordRequest(response, outcome)
	}()
	response, outcome = r.serve(ctx)
	if outcome != "answered" && response.Status != 0 && e.server.NearConnectionLimit() {
		// Callers retry refused requests on new connections.
		response.Close = true
	}
	return response
}

// recordRequest counts and logs a finished request.
func (r *request) recordRequest(response *ingress.Response, outcome string) {
	m, took := r.e.hostMetrics, time.Since(r.in.Received)
	m.count("requests." + outcome)
	m.latency.record(took)
	class := logsink.Failure
	if outcome == "answered" && response.Status < 500 {
		class = logsink.Success
	}
	if r.e.logSink.Allow(class) {
		r.log(response, outcome, took)
	}
}

// logUnreadable counts and logs a request that was refused because it could not be read.
func (e *Edge) logUnreadable(cause error, status int) {
	e.hostMetrics.count("requests.unreadable")
	if e.logSink.Allow(logsink.Failure) {
		e.log.Warn().Int("status", status).Err(cause).Msg("request could not be read")
	}
}

// serve admits a request and sends it to upstreams. It returns the response and the
// outcome for logs and metrics.
func (r *request) serve(ctx context.Context) (response *ingress.Response, outcome string) {
	if response, outcome = r.admit(ctx); response != nil {
		return response, outcome
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	if !r.route.Idempotent {
		// An attempt of a request that may run only once is not cancelled when the caller
		// disconnects. The caller is checked before each attempt instead.
		attemptCtx, stop := context.WithDeadline(r.e.server.Work(), r.deadline)
		defer stop()
		return r.attempts(ctx, attemptCtx)
	}
	return r.attempts(ctx, ctx)
}

// admit checks a request against the configuration and the customer's limit. It
// returns a response only if the request is refused.
func (r *request) admit(ctx context.Context) (response *ingress.Response, outcome string) {
	if r.snapshot == nil {
		return ingress.Refuse(http.StatusServiceUnavailable, noConfigurationRetryAfter), "no_configuration"
	}
	r.route = r.snapshot.RouteFor(r.in.Host, r.in.URL.EscapedPath())
	if r.route == nil {
		return ingress.Refuse(http.StatusNotFound, 0), "no_route"
	}
	if r.snapshot.RequiresKey() {
		r.customer = r.snapshot.CustomerOf(r.fields.Key)
		if r.customer == nil && !r.route.AllowsAnonymous {
			return ingress.Refuse(http.StatusUnauthorized, 0), "unknown_key"
		}
	}
	// The deadline comes first: it counts a suspension of the machine during the hold.
	r.setDeadline()
	if !r.e.start.await(ctx, r.timeLeft()-minTimeLeft) {
		return ingress.Refuse(http.StatusServiceUnavailable, startRetryAfter), "starting"
	}
	r.fingerprint = r.computeFingerprint()
	if r.e.quarantine.Quarantined(r.fingerprint) {
		return ingress.Refuse(http.StatusServiceUnavailable, quarantineRetryAfter), "quarantined"
	}
	if r.customer != nil && !r.route.AllowsAnonymous && r.customer.Rate > 0 {
		admission, err := r.e.limits.Admit(ctx, r.customer.Name)
		if err != nil {
			return refuseQuota(err)
		}
		r.admission = admission
	}
	r.service = r.e.splits.next(r.route)
	r.estimated = r.e.steering.EstimatesCompletion(r.service)
	r.e.budget.Deposit(r.e.now(), r.service)
	r.e.hedging.deposit(r.e.now(), r.service)
	return nil, ""
}

func (r *request) setDeadline() {
	timeout := r.fields.TimeLeft
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if r.route.Timeout > 0 {
		timeout = min(timeout, r.route.Timeout)
	}
	r.deadline = r.in.Received.Add(timeout)
	r.expires = r.e.now().Add(time.Until(r.deadline))
}

// timeLeft returns the time until the caller stops waiting.
func (r *request) timeLeft() time.Duration {
	return min(time.Until(r.deadline), r.expires.Sub(r.e.now()))
}

// attempts sends the request to upstreams until one responds. callerCtx ends when
// the caller disconnects; attemptCtx bounds each attempt.
func (r *request) attempts(callerCtx, attemptCtx context.Context) (*ingress.Response, string) {
	out := &upstream.Request{ID: r.fields.ID, Method: r.in.Method, Target: r.in.RequestURI, Host: r.in.Host, Header: r.in.Header.Clone(), Body: r.in.Body}
	upstream.RemoveConnectionHeaders(out.Header)
	out.Header.Del("Expect")
	for {
		if response, outcome := r.pick(callerCtx); response != nil {
			return response, outcome
		}
		r.tried = append(r.tried, r.choice.ID)
		r.exchange(attemptCtx, out)
		if r.mayHaveRun && isNotRunResponse(r.last) {
			// An earlier attempt may have run, so the guarantee of this response does not hold for the request.
			r.last.Response.Release()
			return r.failure()
		}
		if r.last.Outcome == upstream.Answered {
			answer := r.last.Response
			return &ingress.Response{Status: answer.Status, Header: answer.Header, Body: answer.Body, Release: answer.Release}, "answered"
		}
		if !r.last.Outcome.NotRun() {
			r.mayHaveRun = true
		}
		if !r.allowRetry(callerCtx) {
			return r.failure()
		}
	}
}

// exchange makes one attempt, and a second one if the first is slow and may have one. It sets last and
// choice to the result that counts and its upstream.
func (r *request) exchange(attemptCtx context.Context, out *upstream.Request) {
	if delay, ok := r.secondAttemptDelay(); ok {
		r.exchangeTwice(attemptCtx, out, delay)
		return
	}
	r.last = r.send(attemptCtx, r.choice, out)
	r.reportAttempt(r.choice, r.last)
	r.recordDelay(r.last)
	r.reportCrash(r.choice, r.last)
}

// send makes one attempt. Like the functions that report its result, it does not change
// the request, so that two attempts may run at a time.
func (r *request) send(ctx context.Context, c steering.Choice, out *upstream.Request) upstream.Result {
	r.in.SetSentTo(c.ID)
	if stop := r.e.stop.Load(); stop != nil && stop.isLate(time.Now()) {
		stop.sentLate.Add(1)
	}
	inFlight := r.e.inFlightRequests.ForUpstream(c.ID)
	inFlight.Add(r.fingerprint)
	defer inFlight.Remove(r.fingerprint)
	attempt := upstream.Attempt{Target: c.ID, Customer: r.customerName(), TimeLeft: r.timeLeft()}
	return r.e.upstream.Exchange(ctx, c.Target, out, attempt)
}

func (r *request) customerName() fleet.Customer {
	if r.customer == nil {
		return ""
	}
	return r.customer.Name
}

// reportAttempt reports the result of an attempt to steering, and counts it.
func (r *request) reportAttempt(c steering.Choice, result upstream.Result) {
	if change := r.e.steering.Done(r.e.now(), c.ID, result); change.Description != "" {
		upstreamChanged(r.e.log.Info(), change).Str("request", r.fields.ID).AnErr("cause", result.Err).Msg("upstream changed")
		r.e.publish(change)
	}
	r.e.steering.RecordWork(c, result)
	r.e.hostMetrics.count("attempts." + result.Outcome.String())
	if result.Outcome == upstream.Broken {
		reason := string(httpcheck.ReasonOf(result.Err))
		r.e.hostMetrics.count("attempts.broken." + reason)
		r.e.log.Info().Str("request", r.fields.ID).Str("upstream", string(c.ID)).Str("reason", reason).
			Bool("unresponsive", result.Unresponsive).AnErr("cause", result.Err).Msg("response is broken")
	}
	if result.Outcome == upstream.Answered {
		r.e.hostMetrics.attempt.record(result.Took)
		r.reportSuccess(result)
	}
	r.e.waiting.attemptEnded(r.service)
}

// pick selects the upstream of the next attempt. It returns a response if the
// request ends instead.
func (r *request) pick(callerCtx context.Context) (*ingress.Response, string) {
	if response, outcome := r.checkAttempt(callerCtx); response != nil {
		return response, outcome
	}
	r.e.waiting.serveBefore(r)
	choice, refusal := r.e.steering.Pick(r.e.now(), r.placement())
	r.choice = choice
	if refusal == steering.Chosen {
		return nil, ""
	}
	if len(r.tried) > 0 {
		return r.failure()
	}
	if refusal == steering.Full && r.estimated {
		if response, outcome := r.e.waiting.wait(callerCtx, r); response != nil || r.choice.ID != "" {
			return response, outcome
		}
	}
	return r.refuseFull(refusal.String())
}

// refuseFull returns the response to a request for which there is no room.
func (r *request) refuseFull(outcome string) (*ingress.Response, string) {
	r.refund()
	return ingress.Refuse(http.StatusServiceUnavailable, max(r.retryAfter(), r.choice.AvailableIn)), outcome
}

// checkAttempt returns a response if the request ends before its next attempt.
func (r *request) checkAttempt(callerCtx context.Context) (*ingress.Response, string) {
	if callerLeft(callerCtx) {
		return &ingress.Response{}, "caller_left"
	}
	if r.timeLeft() < minTimeLeft {
		return r.failure()
	}
	if len(r.tried) == 0 && r.admission != nil && !r.admission.Valid() {
		// The machine stood still since the request was admitted, for example.
		return ingress.Refuse(http.StatusServiceUnavailable, capacityRetryAfter), "admission_ended"
	}
	if stop := r.e.stop.Load(); stop != nil && !stop.allowsAttempt(time.Now(), r.deadline, r.e.steering.ServiceTime(r.service)) {
		stop.refused.Add(1)
		if r.mayHaveRun {
			return r.failure()
		}
		r.refund()
		return ingress.Refuse(http.StatusServiceUnavailable, stoppingRetryAfter), "stopping"
	}
	return nil, ""
}

// placement returns the properties of the request by which an upstream is chosen.
func (r *request) placement() steering.Request {
	priority := policy.PriorityOf(r.route, r.customer)
	return steering.Request{
		Service:        r.service,
		Affinity:       steering.HashObject(string(r.service) + "/" + r.affinityKey()),
		Allowed:        policy.Allowed(r.route, r.customer),
		Exclude:        r.tried,
		MaxUtilization: maxUtilizationOf(priority),
		Route:          r.route.Name,
		Priority:       r.route.Priority,
		TimeLeft:       r.timeLeft(),
		TargetLatency:  r.route.TargetLatency,
		TargetLeft:     r.route.TargetLatency - time.Since(r.in.Received),
	}
}

// callerLeft reports whether a context ended because the caller disconnected.
func callerLeft(callerCtx context.Context) bool {
	return errors.Is(context.Cause(callerCtx), context.Canceled)
}

// affinityKey returns the key whose requests prefer the same upstream: the object
// that the caller names on a sticky route, else the request's own ID.
func (r *request) affinityKey() string {
	if r.fields.Affinity != "" && r.route.Sticky {
		return string(r.route.Name) + "/" + r.fields.Affinity
	}
	return r.fields.ID
}

// allowRetry reports whether the request is retried, and charges the retry budget.
func (r *request) allowRetry(callerCtx context.Context) bool {
	switch {
	case callerCtx.Err() != nil:
		return false
	case r.mayHaveRun && !r.route.Idempotent:
		return false
	case len(r.tried) >= r.route.MaxAttempts:
		return false
	}
	return r.e.budget.Withdraw(r.e.now(), r.service)
}

// failure returns the response to a request whose attempts failed. Only if none of them may have
// run, its status guarantees that the request has not run.
func (r *request) failure() (*ingress.Response, string) {
	switch {
	case !r.mayHaveRun:
		r.refund()
		return ingress.Refuse(http.StatusServiceUnavailable, r.retryAfter()), "not_run"
	case r.e.server.Work().Err() != nil:
		return ingress.Refuse(http.StatusBadGateway, 0), "stopped"
	case r.last.Outcome == upstream.Cancelled:
		return &ingress.Response{}, "caller_left"
	case r.last.Outcome == upstream.TimedOut || r.timeLeft() <= 0:
		return ingress.Refuse(http.StatusGatewayTimeout, 0), "timed_out"
	}
	return ingress.Refuse(http.StatusBadGateway, 0), "broken"
}

// refund returns the customer's token for a request that has not run.
func (r *request) refund() {
	if r.admission != nil {
		r.admission.Refund()
	}
}

// refuseQuota returns the response to a request that got no token.
func refuseQuota(err error) (*ingress.Response, string) {
	status, retryAfter, outcome := http.StatusServiceUnavailable, capacityRetryAfter, "no_share"
	var refused *problem.Error
	if errors.As(err, &refused) {
		retryAfter = max(retryAfter, refused.RetryAfter)
		if refused.Kind == problem.KindRateExceeded {
			status, retryAfter, outcome = http.StatusTooManyRequests, refused.RetryAfter, "over_quota"
		}
	}
	return ingress.Refuse(status, retryAfter), outcome
}

// log writes the log line of a finished request.
func (r *request) log(response *ingress.Response, outcome string, took time.Duration) {
	line := r.e.log.Info().Str("request", r.fields.ID).Int("status", response.Status).Str("outcome", outcome).
		Dur("took", took).Dur("bound", r.fields.TimeLeft)
	if r.snapshot != nil {
		line = line.Uint64("version", r.snapshot.Version)
	}
	if r.route != nil {
		line = line.Str("route", string(r.route.Name)).Str("service", string(r.service))
	}
	if r.customer != nil {
		line = line.Str("customer", string(r.customer.Name))
	}
	if r.choice.Region != "" {
		line = line.Str("region", string(r.choice.Region))
	}
	if len(r.tried) > 0 {
		line = line.Any("tried", r.tried).Str("last", r.last.Outcome.String()).Float64("load", r.choice.Load).
			Int("slots", r.choice.Slots).Int("rank", r.choice.Rank).
			Bool("cold", r.choice.Cold).Dur("attempt", r.last.Took).AnErr("cause", r.last.Err)
	}
	if r.secondAttempt != "" {
		line = line.Str("second_attempt", string(r.secondAttempt))
	}
	line = r.waiting.add(line)
	if r.last.Response != nil && r.last.Response.Limit.Known {
		line = line.Float64("limit", r.last.Response.Limit.PerSecond)
	}
	line.Msg("request")
}
