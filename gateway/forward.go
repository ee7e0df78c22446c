package gateway

import (
	"bytes"
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinspring/catkinspring/configuration"
	"github.com/catkinspring/catkinspring/dispatch"
	"github.com/catkinspring/catkinspring/fleet"
	"github.com/catkinspring/catkinspring/internal/httpcheck"
	"github.com/catkinspring/catkinspring/keys"
	"github.com/catkinspring/catkinspring/problem"
	"github.com/catkinspring/catkinspring/traffic"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	headerTimeout        = "X-Request-Timeout"
	headerReplayed       = "Idempotent-Replayed"
	// maxIdempotencyKey is the maximum length of an idempotency key, in bytes.
	maxIdempotencyKey = 255
	// MaxStoredBodyBytes is the maximum size of a response body that is stored for
	// repeats of an at-most-once operation.
	MaxStoredBodyBytes = 16 << 10
	// quarantineRetryAfter is shorter than a quarantine, because a successful
	// request on another host ends the quarantine early.
	quarantineRetryAfter = time.Minute
)

// identity holds the key of a request and, on keyed routes, its customer.
type identity struct {
	key      keys.Key
	digest   keys.Digest
	customer *configuration.Customer
}

func (i *identity) customerID() fleet.Customer {
	if i.customer == nil {
		return ""
	}
	return i.customer.ID
}

// forward checks a request and runs it at an upstream.
func (c *call) forward(path string) error {
	g := c.g
	if g.Draining() {
		return problem.NotRun(problem.KindDraining, "the entry host is stopping; use another one")
	}
	snapshot := g.Snapshot()
	if snapshot == nil {
		return problem.NotRun(problem.KindNotReady, "the entry host has no configuration yet")
	}
	route := snapshot.RouteFor(path)
	if route == nil {
		return problem.NotRun(problem.KindRouteUnknown, "no route has this path")
	}
	if method := string(c.ctx.Method()); method == fasthttp.MethodConnect || method == fasthttp.MethodTrace {
		return problem.NotRun(problem.KindMethodNotAllowed, "the method is not forwarded")
	}
	c.trace.Route = route.Name
	caller, err := g.authenticate(snapshot, route, &c.ctx.Request.Header)
	if err != nil {
		return err
	}
	c.trace.Customer = caller.customerID()
	f := &forwarding{call: c, route: route, caller: caller}
	if err := f.checkLease(); err != nil {
		return err
	}
	if route.Access != configuration.AccessOpen && !route.Allows(caller.customerID()) {
		return problem.NotRun(problem.KindCustomerNotAllowed, "the key's customer may not use this route")
	}
	return f.run()
}

// forwarding is a request whose route and, on keyed routes, customer are known.
type forwarding struct {
	*call
	route  *configuration.Route
	caller identity

	admission traffic.Admission
	claim     traffic.Claim
}

func (f *forwarding) atMostOnce() bool {
	return f.route.Semantics != configuration.SemanticsIdempotent
}

// needsLease reports whether the request may run only under a valid lease.
func (f *forwarding) needsLease() bool {
	return f.route.Access != configuration.AccessOpen || f.atMostOnce()
}

func (f *forwarding) checkLease() error {
	if f.needsLease() && !f.g.leaseValid() {
		return problem.NotRun(problem.KindLeaseExpired, "the entry host has lost contact with the others; use another one")
	}
	return nil
}

func (f *forwarding) run() error {
	body := f.ctx.Request.Body()
	if len(body) > f.route.MaxBodyBytes {
		return problem.NotRun(problem.KindBodyTooLarge, "the body is larger than the route allows")
	}
	target := requestTarget(&f.ctx.Request.Header)
	if err := f.checkSecrets(target, body); err != nil {
		return err
	}
	operationKey, err := f.idempotencyKey()
	if err != nil {
		return err
	}
	timeout, err := f.timeout()
	if err != nil {
		return err
	}
	if err := f.checkTimeLeft(timeout); err != nil {
		return err
	}
	fingerprint := dispatch.Fingerprint(f.caller.customerID(), f.ctx.Method(), target, body)
	if f.g.Quarantined(fingerprint) {
		return problem.NotRun(problem.KindQuarantined, "requests like this one crashed upstreams").WithRetryAfter(quarantineRetryAfter)
	}

	deadline := f.started.Add(timeout)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if !f.atMostOnce() {
		defer watchDisconnect(f.ctx.Conn(), cancel)()
	}
	if !f.cancelOnAbort(cancel) {
		return problem.NotRun(problem.KindDraining, "the entry host is stopping; use another one")
	}
	f.request = &dispatch.Request{
		ID:          f.id,
		Route:       f.route,
		Customer:    f.caller.customerID(),
		Weight:      f.weight(),
		Fingerprint: fingerprint,
		Message:     &f.ctx.Request,
		Target:      target,
		Key:         f.caller.key,
		Deadline:    deadline,
		LastCheck:   f.lastCheck,
		Trace:       f.trace,
	}
	if f.needsLease() {
		f.request.Lease = f.g.Lease
	}
	f.dispatched.Store(f.request)
	return f.admitAndRun(ctx, operationKey)
}

// admitAndRun takes a token, claims the operation and runs the request. At the
// end, also after a panic, the token and the claim are settled by the outcome.
func (f *forwarding) admitAndRun(ctx context.Context, operationKey string) (err error) {
	settled := false
	defer func() {
		if !settled {
			f.settle(f.panicError())
		}
	}()
	err = f.admitClaimDispatch(ctx, operationKey)
	settled = true
	f.settle(err)
	return err
}

// panicError returns the error to report for a request whose handler panicked.
func (f *forwarding) panicError() error {
	if f.request.Written() {
		return problem.New(problem.KindInternal, problem.OutcomeUnknown, "the request failed inside the entry host")
	}
	return problem.NotRun(problem.KindInternal, "the request failed inside the entry host")
}

func (f *forwarding) admitClaimDispatch(ctx context.Context, operationKey string) error {
	if f.caller.customer != nil {
		started := time.Now()
		admission, err := f.g.Limiter.Admit(ctx, f.caller.customer.ID)
		if err != nil {
			return notRunError(err, problem.KindRateExceeded, "the customer's rate could not be checked")
		}
		f.admission = admission
		f.trace.Admitted(time.Since(started))
	}
	if f.atMostOnce() {
		started := time.Now()
		claim, earlier, err := f.g.Claimer.Claim(ctx, traffic.Operation{
			ID:          traffic.OperationID{Customer: f.caller.customerID(), Key: operationKey},
			Fingerprint: f.request.Fingerprint,
			Deadline:    f.request.Deadline,
		})
		if err != nil {
			return notRunError(err, problem.KindClaimUnavailable, "the operation could not be claimed")
		}
		if claim == nil {
			f.trace.Replayed(time.Since(started))
			return f.replay(earlier)
		}
		f.claim = claim
		f.trace.Claimed(time.Since(started))
	}
	return f.g.Dispatcher.Dispatch(ctx, f.request, &f.ctx.Response)
}

// notRunError converts an error of a module that is called before anything is
// written to an upstream. It returns a *problem.Error of the module unchanged.
func notRunError(err error, kind problem.Kind, detail string) error {
	var refused *problem.Error
	if errors.As(err, &refused) {
		return refused
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		kind, detail = problem.KindDeadlineExceeded, "the request could not be admitted in time"
	}
	return problem.NotRun(kind, detail).WithCause(err)
}

// settle refunds the token and releases the claim if nothing ran. Otherwise it
// completes the claim with the result, or abandons it after an error.
func (f *forwarding) settle(err error) {
	notRun := err != nil && outcomeOf(err) == problem.OutcomeNotRun
	if f.admission != nil && notRun {
		f.admission.Refund()
	}
	if f.claim == nil {
		return
	}
	switch {
	case err == nil:
		f.claim.Complete(resultOf(&f.ctx.Response))
	case notRun:
		f.claim.Release()
	default:
		f.claim.Abandon()
	}
}

func outcomeOf(err error) problem.Outcome {
	var refused *problem.Error
	if errors.As(err, &refused) {
		return refused.Outcome
	}
	return problem.OutcomeUnknown
}

// resultOf copies a response, because its buffers are reused after the handler.
func resultOf(response *fasthttp.Response) traffic.OperationResult {
	result := traffic.OperationResult{
		Status:      response.StatusCode(),
		ContentType: string(response.Header.ContentType()),
	}
	if body := response.Body(); len(body) <= MaxStoredBodyBytes {
		result.Body = bytes.Clone(body)
	} else {
		result.BodyDropped = true
	}
	return result
}

// replay answers a repeated request with the stored result of its operation.
func (f *forwarding) replay(earlier *traffic.OperationResult) error {
	if earlier == nil {
		return problem.NotRun(problem.KindClaimUnavailable, "the operation could not be claimed")
	}
	if !httpcheck.IsFinal(earlier.Status) {
		// The result comes from a peer or from the store. fasthttp writes a status of 0 as
		// 200, and any other as it is.
		return problem.New(problem.KindOperationRan, problem.OutcomeRun,
			"the operation ran; its stored response has no valid status and cannot be repeated")
	}
	if earlier.BodyDropped {
		return problem.New(problem.KindOperationRan, problem.OutcomeRun,
			"the operation ran with status "+strconv.Itoa(earlier.Status)+"; its response is too large to be repeated")
	}
	response := &f.ctx.Response
	response.SetStatusCode(earlier.Status)
	if earlier.ContentType != "" {
		response.Header.SetContentType(earlier.ContentType)
	}
	response.Header.Set(headerReplayed, "true")
	response.SetBody(earlier.Body)
	return nil
}

func (f *forwarding) weight() int {
	if f.caller.customer == nil {
		return 1
	}
	return max(1, f.caller.customer.Weight)
}

// idempotencyKey returns a copy of the key of an at-most-once operation, or "" on
// idempotent routes.
func (f *forwarding) idempotencyKey() (string, error) {
	if !f.atMostOnce() {
		return "", nil
	}
	values := f.ctx.Request.Header.PeekAll(headerIdempotencyKey)
	if len(values) == 0 || len(values) == 1 && len(values[0]) == 0 {
		return "", problem.NotRun(problem.KindIdempotencyKeyMissing, "this route needs one "+headerIdempotencyKey+" header")
	}
	if len(values) > 1 || len(values[0]) > maxIdempotencyKey {
		return "", malformed("the " + headerIdempotencyKey + " header occurs more than once or is longer than 255 bytes")
	}
	for _, b := range values[0] {
		if b < ' ' || b > '~' {
			return "", malformed("the " + headerIdempotencyKey + " header is not printable ASCII")
		}
	}
	return string(values[0]), nil
}

// timeout returns the timeout that the caller requests, capped by the route's.
func (f *forwarding) timeout() (time.Duration, error) {
	limit := f.route.Timeout()
	if limit <= 0 {
		limit = DefaultTimeout
	}
	value := f.ctx.Request.Header.Peek(headerTimeout)
	if len(value) == 0 {
		return limit, nil
	}
	millis, err := strconv.ParseUint(string(value), 10, 31)
	if err != nil || millis == 0 {
		return 0, malformed("the " + headerTimeout + " header is not a number of milliseconds")
	}
	return min(limit, time.Duration(millis)*time.Millisecond), nil
}

// checkSecrets refuses a request that holds its key in a place from which it
// can't be removed without changing the meaning of the request.
func (f *forwarding) checkSecrets(target, body []byte) error {
	path, _, _ := bytes.Cut(target, []byte("?"))
	header := &f.ctx.Request.Header
	holdsKey := dispatch.BodyContainsKey(f.caller.key, body)
	for _, text := range [][]byte{path, header.Host(), header.Peek(headerIdempotencyKey)} {
		holdsKey = holdsKey || dispatch.ContainsKey(f.caller.key, text)
	}
	if holdsKey {
		return malformed("the request holds a key outside its Authorization header")
	}
	return nil
}

// requestTarget returns a copy of the path and query as received.
func requestTarget(header *fasthttp.RequestHeader) []byte {
	target := requestPath(header)
	uri := header.RequestURI()
	if queryStart := bytes.IndexByte(uri, '?'); queryStart >= 0 {
		query, _, _ := bytes.Cut(uri[queryStart:], []byte("#"))
		return append(bytes.Clone(target), query...)
	}
	return bytes.Clone(target)
}

// bearerToken returns the bearer token if there is exactly one Authorization
// header and its scheme is Bearer.
func bearerToken(header *fasthttp.RequestHeader) ([]byte, bool) {
	values := header.PeekAll(fasthttp.HeaderAuthorization)
	if len(values) != 1 {
		return nil, false
	}
	scheme, token, found := bytes.Cut(values[0], []byte(" "))
	if !found || !strings.EqualFold(string(scheme), "Bearer") {
		return nil, false
	}
	return bytes.TrimSpace(token), true
}
