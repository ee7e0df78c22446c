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
	"github.com/catkinspring/catkinspring/keys"
	"github.com/catkinspring/catkinspring/problem"
	"github.com/catkinspring/catkinspring/traffic"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	headerTimeout        = "X-Request-Timeout"
	headerReplayed       = "Idempotent-Replayed"
	// maxIdempotencyKey bounds the length of an idempotency key, in bytes.
	maxIdempotencyKey = 255
	// MaxKeptBody bounds the response body that is kept for repeats of an
	// at-most-once operation.
	MaxStoredBodyBytes = 16 << 10
	// quarantineRetryAfter is shorter than a quarantine, because a success on
	// another host ends it early.
	quarantineRetryAfter = time.Minute
)

// identity is who sent a request.
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
	who, err := g.authenticate(snapshot, route, &c.ctx.Request.Header)
	if err != nil {
		return err
	}
	c.trace.Customer = who.customerID()
	f := &forwarding{call: c, route: route, who: who}
	if err := f.checkLease(); err != nil {
		return err
	}
	if route.Access != configuration.AccessOpen && !route.Allows(who.customerID()) {
		return problem.NotRun(problem.KindCustomerNotAllowed, "the key's customer may not use this route")
	}
	return f.run()
}

// forwarding is a request with a route and, on keyed routes, a customer.
type forwarding struct {
	*call
	route *configuration.Route
	who   identity

	admission traffic.Admission
	claim     traffic.Claim
}

func (f *forwarding) atMostOnce() bool {
	return f.route.Semantics != configuration.SemanticsIdempotent
}

// needsLease reports whether the request may run only under the host's lease.
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
	fingerprint := dispatch.Fingerprint(f.who.customerID(), f.route.Name, f.ctx.Method(), target, body)
	if f.g.Quarantined(fingerprint) {
		return problem.NotRun(problem.KindQuarantined, "requests like this one crashed upstreams").WithRetryAfter(quarantineRetryAfter)
	}

	deadline := f.started.Add(timeout)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if !f.atMostOnce() {
		defer watchDisconnect(f.ctx.Conn(), cancel)()
	}
	f.request = &dispatch.Request{
		ID:          f.id,
		Route:       f.route,
		Customer:    f.who.customerID(),
		Weight:      f.weight(),
		Fingerprint: fingerprint,
		Message:     &f.ctx.Request,
		Target:      target,
		Key:         f.who.key,
		Deadline:    deadline,
		LastCheck:   f.lastCheck,
		Trace:       f.trace,
	}
	if f.needsLease() {
		f.request.Lease = f.g.Lease
	}
	return f.admitAndRun(ctx, operationKey)
}

// admitAndRun spends a token, claims the operation and runs the request. The
// token and the claim are settled by what is known of the request at the end,
// also after a panic.
func (f *forwarding) admitAndRun(ctx context.Context, operationKey string) (err error) {
	settled := false
	defer func() {
		if !settled {
			f.settle(f.afterPanic())
		}
	}()
	err = f.admitClaimDispatch(ctx, operationKey)
	settled = true
	f.settle(err)
	return err
}

// afterPanic returns the error that stands for a panic.
func (f *forwarding) afterPanic() error {
	if f.request.Written() {
		return problem.New(problem.KindInternal, problem.OutcomeUnknown, "the request failed inside the entry host")
	}
	return problem.NotRun(problem.KindInternal, "the request failed inside the entry host")
}

func (f *forwarding) admitClaimDispatch(ctx context.Context, operationKey string) error {
	if f.who.customer != nil {
		asked := time.Now()
		admission, err := f.g.Limiter.Admit(ctx, f.who.customer.ID)
		if err != nil {
			return notRun(err, problem.KindRateExceeded, "the customer's rate could not be checked")
		}
		f.admission = admission
		f.trace.Admitted(time.Since(asked))
	}
	if f.atMostOnce() {
		asked := time.Now()
		claim, earlier, err := f.g.Claimer.Claim(ctx, traffic.Operation{
			ID:          traffic.OperationID{Customer: f.who.customerID(), Key: operationKey},
			Fingerprint: f.request.Fingerprint,
			Deadline:    f.request.Deadline,
		})
		if err != nil {
			return notRun(err, problem.KindClaimUnavailable, "the operation could not be claimed")
		}
		if claim == nil {
			f.trace.Replayed(time.Since(asked))
			return f.replay(earlier)
		}
		f.claim = claim
		f.trace.Claimed(time.Since(asked))
	}
	return f.g.Dispatcher.Dispatch(ctx, f.request, &f.ctx.Response)
}

// notRun returns the problem for an error of a module that is asked before
// anything is written. Problems of the module itself stay.
func notRun(err error, kind problem.Kind, detail string) error {
	var refused *problem.Error
	if errors.As(err, &refused) {
		return refused
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		kind, detail = problem.KindDeadlineExceeded, "the request could not be admitted in time"
	}
	return problem.NotRun(kind, detail).WithCause(err)
}

// settle gives the token and the claim back if nothing ran, and records the
// result of an operation.
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

// resultOf copies a response, whose buffers are used again after the handler.
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

// replay answers a repeat of an operation that ran before.
func (f *forwarding) replay(earlier *traffic.OperationResult) error {
	if earlier == nil {
		return problem.NotRun(problem.KindClaimUnavailable, "the operation could not be claimed")
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
	if f.who.customer == nil {
		return 1
	}
	return max(1, f.who.customer.Weight)
}

// idempotencyKey returns a copy of the key of an at-most-once operation.
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

// timeout returns the caller's time bound, bounded by the route's.
func (f *forwarding) timeout() (time.Duration, error) {
	bound := f.route.Timeout()
	if bound <= 0 {
		bound = DefaultTimeout
	}
	value := f.ctx.Request.Header.Peek(headerTimeout)
	if len(value) == 0 {
		return bound, nil
	}
	millis, err := strconv.ParseUint(string(value), 10, 31)
	if err != nil || millis == 0 {
		return 0, malformed("the " + headerTimeout + " header is not a number of milliseconds")
	}
	return min(bound, time.Duration(millis)*time.Millisecond), nil
}

// checkSecrets refuses a request whose key would reach the upstream in a place
// from which it can't be removed without changing the request's meaning.
func (f *forwarding) checkSecrets(target, body []byte) error {
	path, _, _ := bytes.Cut(target, []byte("?"))
	header := &f.ctx.Request.Header
	holds := dispatch.BodyContainsKey(f.who.key, body)
	for _, text := range [][]byte{path, header.Host(), header.Peek(headerIdempotencyKey)} {
		holds = holds || dispatch.ContainsKey(f.who.key, text)
	}
	if holds {
		return malformed("the request holds a key outside its Authorization header")
	}
	return nil
}

// requestTarget returns a copy of path and query as they were received.
func requestTarget(header *fasthttp.RequestHeader) []byte {
	target := requestPath(header)
	uri := header.RequestURI()
	if at := bytes.IndexByte(uri, '?'); at >= 0 {
		query, _, _ := bytes.Cut(uri[at:], []byte("#"))
		return append(bytes.Clone(target), query...)
	}
	return bytes.Clone(target)
}

// bearer returns the token of the Authorization header.
func bearer(header *fasthttp.RequestHeader) ([]byte, bool) {
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
