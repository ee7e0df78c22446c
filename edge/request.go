package edge

import (
	"context"
	"errors"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/ingress"
	"github.com/catkinspring/catkinspring/logsink"
	"github.com/catkinspring/catkinspring/policy"
	"github.com/catkinspring/catkinspring/problem"
	"github.com/catkinspring/catkinspring/steering"
	"github.com/catkinspring/catkinspring/traffic"
	"github.com/catkinspring/catkinspring/upstream"
)

const (
	// defaultTimeLeft bounds requests whose caller and route set no bound.
	defaultTimeLeft = 10 * time.Second
	// startRetryAfter is what callers are told by a host that has no configuration
	// yet; it comes within a second of the start.
	startRetryAfter = 500 * time.Millisecond
	// fullRetryAfter is what callers are told when all upstreams have enough work:
	// about the time in which an upstream finishes a request.
	fullRetryAfter = 400 * time.Millisecond
	// quarantineRetryAfter is what callers of a request that crashes upstreams are
	// told.
	quarantineRetryAfter = time.Minute
	// minTimeLeft is the time below which a request is not sent: a round trip
	// between regions.
	minTimeLeft = 100 * time.Millisecond
)

// depths are how much work an upstream may have, as a multiple of its slots, by
// the priority of a request. Higher priorities may wait in longer queues.
var depths = [...]float64{2.4, 2.0, 1.7}

func depthOf(priority int) float64 { return depths[max(0, min(priority, len(depths)-1))] }

// request is one request on its way through the host.
type request struct {
	e        *Edge
	in       *ingress.Request
	fields   ingress.Fields
	snapshot *policy.Snapshot
	route    *policy.Route
	customer *policy.Customer
	service  fleet.Pool
	// admission is the spent token of the customer; nil without a limit.
	admission traffic.Admission
	deadline  time.Time

	// tried are the upstreams that got the request.
	tried []fleet.Upstream
	// mayHaveRun is true once an attempt ended without it being known whether the
	// request ran.
	mayHaveRun bool
	last       upstream.Result
	choice     steering.Choice
	// hash recognises repeats of the request.
	hash uint64
}

// handle answers a request of a caller.
func (e *Edge) handle(ctx context.Context, in *ingress.Request) (response *ingress.Response) {
	e.arrivals.count.Add(1)
	r := &request{e: e, in: in, fields: e.Codec.CallerFields(in.Request), snapshot: e.snapshot.Load()}
	reason := "panic"
	defer func() {
		if value := recover(); value != nil {
			// The request may have run, so its connection ends without an answer.
			response = &ingress.Response{}
			e.log.Error().Str("request", r.fields.ID).Any("panic", value).Bytes("stack", debug.Stack()).Msg("request handler panicked")
		}
		r.finished(response, reason)
	}()
	response, reason = r.serve(ctx)
	if reason != "answered" && response.Status != 0 && e.server.NearConnectionLimit() {
		// Callers repeat refused requests on new connections.
		response.Close = true
	}
	return response
}

// finished counts and logs a finished request.
func (r *request) finished(response *ingress.Response, reason string) {
	f, took := r.e.figures, time.Since(r.in.Received)
	f.count("requests." + reason)
	f.latency.record(took)
	class := logsink.Failure
	if reason == "answered" && response.Status < 500 {
		class = logsink.Success
	}
	if r.e.lines.Allow(class) {
		r.log(response, reason, took)
	}
}

func (r *request) serve(ctx context.Context) (response *ingress.Response, reason string) {
	if response, reason = r.admit(ctx); response != nil {
		return response, reason
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	if !r.route.Idempotent {
		// A request that may run only once is not broken off when its caller leaves.
		// It is checked before each attempt instead.
		running, stop := context.WithDeadline(context.Background(), r.deadline)
		defer stop()
		return r.attempts(ctx, running)
	}
	return r.attempts(ctx, ctx)
}

// admit checks a request against the configuration and the customer's limit.
func (r *request) admit(ctx context.Context) (response *ingress.Response, reason string) {
	if r.snapshot == nil {
		return refuse(http.StatusServiceUnavailable, startRetryAfter), "no_configuration"
	}
	r.route = r.snapshot.RouteFor(r.in.Host, r.in.URL.EscapedPath())
	if r.route == nil {
		return refuse(http.StatusNotFound, 0), "no_route"
	}
	if r.snapshot.RequiresKey() {
		r.customer = r.snapshot.CustomerOf(r.fields.Key)
		if r.customer == nil && !r.route.AllowsAnonymous {
			return refuse(http.StatusUnauthorized, 0), "unknown_key"
		}
	}
	r.setDeadline()
	r.hash = r.fingerprint()
	if r.e.quarantine.Quarantined(r.hash) {
		return refuse(http.StatusServiceUnavailable, quarantineRetryAfter), "quarantined"
	}
	if r.customer != nil && !r.route.AllowsAnonymous && r.customer.Rate > 0 {
		admission, err := r.e.limits.Admit(ctx, r.customer.Name)
		if err != nil {
			return refuseQuota(err)
		}
		r.admission = admission
	}
	r.service = r.e.splits.next(r.route)
	r.e.budget.Deposit(r.e.now(), r.service)
	return nil, ""
}

func (r *request) setDeadline() {
	left := r.fields.TimeLeft
	if left <= 0 {
		left = defaultTimeLeft
	}
	if r.route.Timeout > 0 {
		left = min(left, r.route.Timeout)
	}
	r.deadline = r.in.Received.Add(left)
}

// attempts sends the request to upstreams until one answers. caller ends when
// the caller leaves, running bounds each attempt.
func (r *request) attempts(caller, running context.Context) (*ingress.Response, string) {
	out := &upstream.Request{ID: r.fields.ID, Method: r.in.Method, Target: r.in.RequestURI, Host: r.in.Host, Header: r.in.Header.Clone(), Body: r.in.Body}
	upstream.RemoveConnectionHeaders(out.Header)
	out.Header.Del("Expect")
	for {
		if response, reason := r.pick(caller); response != nil {
			return response, reason
		}
		r.tried = append(r.tried, r.choice.ID)
		r.exchange(running, out)
		if r.last.Outcome == upstream.Answered {
			return &ingress.Response{Status: r.last.Response.Status, Header: r.last.Response.Header, Body: r.last.Response.Body}, "answered"
		}
		if !r.last.Outcome.NotRun() {
			r.mayHaveRun = true
		}
		if !r.again(caller) {
			return r.failure()
		}
	}
}

// exchange makes one attempt and reports what became of it.
func (r *request) exchange(running context.Context, out *upstream.Request) {
	flight := r.e.flights.ForUpstream(r.choice.ID)
	flight.Add(r.hash)
	attempt := upstream.Attempt{Target: r.choice.ID, Customer: r.customerName(), TimeLeft: time.Until(r.deadline)}
	r.last = r.e.upstream.Exchange(running, r.choice.Target, out, attempt)
	flight.Remove(r.hash)
	r.finish()
	r.noteCrash(flight)
	r.e.figures.count("attempts." + r.last.Outcome.String())
	if r.last.Outcome == upstream.Answered {
		r.e.figures.attempt.record(r.last.Took)
		r.noteSuccess()
	}
}

func (r *request) customerName() fleet.Customer {
	if r.customer == nil {
		return ""
	}
	return r.customer.Name
}

func (r *request) finish() {
	if what := r.e.steering.Done(r.e.now(), r.choice.ID, r.last); what != "" {
		r.e.log.Info().Str("upstream", string(r.choice.ID)).Str("request", r.fields.ID).Str("change", what).
			AnErr("cause", r.last.Err).Msg("upstream changed")
	}
}

// pick chooses the upstream of the next attempt, or answers.
func (r *request) pick(caller context.Context) (*ingress.Response, string) {
	if caller.Err() == context.Canceled {
		return &ingress.Response{}, "caller_left"
	}
	if time.Until(r.deadline) < minTimeLeft {
		return r.failure()
	}
	choice, refusal := r.e.steering.Pick(r.e.now(), steering.Request{
		Service:        r.service,
		Affinity:       steering.HashObject(string(r.service) + "/" + r.object()),
		Allowed:        policy.Allowed(r.route, r.customer),
		Exclude:        r.tried,
		MaxUtilization: depthOf(policy.PriorityOf(r.route, r.customer)),
	})
	r.choice = choice
	if refusal == steering.Chosen {
		return nil, ""
	}
	if len(r.tried) > 0 {
		return r.failure()
	}
	r.refund()
	return refuse(http.StatusServiceUnavailable, fullRetryAfter), refusal.String()
}

// object is what requests are kept together by: the object that the caller
// names, else the request itself.
func (r *request) object() string {
	if r.fields.Affinity != "" && r.route.Sticky {
		return string(r.route.Name) + "/" + r.fields.Affinity
	}
	return r.fields.ID
}

// again reports whether another attempt follows, and pays for it.
func (r *request) again(caller context.Context) bool {
	switch {
	case caller.Err() != nil:
		return false
	case r.mayHaveRun && !r.route.Idempotent:
		return false
	case len(r.tried) >= r.route.MaxAttempts:
		return false
	}
	return r.e.budget.Withdraw(r.e.now(), r.service)
}

// failure answers a request whose attempts failed.
func (r *request) failure() (*ingress.Response, string) {
	switch {
	case !r.mayHaveRun:
		r.refund()
		return refuse(http.StatusServiceUnavailable, fullRetryAfter), "not_run"
	case r.last.Outcome == upstream.Cancelled:
		return &ingress.Response{}, "caller_left"
	case r.last.Outcome == upstream.TimedOut:
		return refuse(http.StatusGatewayTimeout, 0), "timed_out"
	}
	return refuse(http.StatusBadGateway, 0), "broken"
}

// refund gives the customer's token back for a request that has not run.
func (r *request) refund() {
	if r.admission != nil {
		r.admission.Refund()
	}
}

// refuseQuota answers a request for which there is no token.
func refuseQuota(err error) (*ingress.Response, string) {
	status, after, reason := http.StatusServiceUnavailable, fullRetryAfter, "no_share"
	var refused *problem.Error
	if errors.As(err, &refused) {
		after = max(after, refused.RetryAfter)
		if refused.Kind == problem.KindRateExceeded {
			status, after, reason = http.StatusTooManyRequests, refused.RetryAfter, "over_quota"
		}
	}
	return refuse(status, after), reason
}

// refuse returns a response of the host's own. Callers come back after the given
// time, if it is not 0.
func refuse(status int, after time.Duration) *ingress.Response {
	h := http.Header{}
	if after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	return &ingress.Response{Status: status, Header: h}
}

// log writes one line for a finished request.
func (r *request) log(response *ingress.Response, reason string, took time.Duration) {
	line := r.e.log.Info().Str("request", r.fields.ID).Int("status", response.Status).Str("outcome", reason).
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
	line.Msg("request")
}
