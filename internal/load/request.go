package load

import (
	"context"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/catkinspring/catkinspring/internal/standin/upstream"
	"github.com/catkinspring/catkinspring/problem"
)

// unknownRetry is the wait before a repeat after an unknown outcome that names
// no time.
const unknownRetry = 200 * time.Millisecond

// answerMargin is the time that is left for the answer after the deadline that an
// entry host is given.
const answerMargin = 200 * time.Millisecond

// sender sends one request until it is answered, refused for good, or out of
// attempts or time.
type sender struct {
	run     *run
	arrival *arrival
	caller  *caller
	record  *Record
	body    []byte
	// tried holds the hosts of the present round over the answer's hosts.
	tried []netip.AddrPort
}

func (s *sender) send(ctx context.Context) {
	for len(s.record.Attempts) < s.run.scenario.Attempts && ctx.Err() == nil {
		host, again := s.choose(ctx)
		if !host.IsValid() {
			break
		}
		if again {
			pause(ctx, s.retryAfter())
		}
		if !s.hasTime(ctx) {
			break
		}
		a := s.attempt(ctx, host)
		s.record.Attempts = append(s.record.Attempts, a)
		if a.Failure == FailureConnect {
			s.caller.demote(s.arrival.stream.Route, host)
		}
		if s.finished(ctx) {
			break
		}
	}
	s.record.End = time.Now()
	s.record.Verdict = s.record.verdict()
}

// hasTime reports whether an answer could still arrive within the time bound of
// the request. An attempt without that time would be recorded as a timeout, and
// its request as unknown, although nothing was sent.
func (s *sender) hasTime(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() == nil && (!ok || time.Until(deadline) > answerMargin+2*s.arrival.customer.ClientDelay)
}

// choose returns the first host of the answer that was not tried. Again is true
// if all of them were tried and a new round begins.
func (s *sender) choose(ctx context.Context) (host netip.AddrPort, again bool) {
	hosts := s.caller.hosts(ctx, s.arrival.stream.Route)
	if len(hosts) == 0 {
		return netip.AddrPort{}, false
	}
	for _, h := range hosts {
		if !slices.Contains(s.tried, h) {
			s.tried = append(s.tried, h)
			return h, false
		}
	}
	s.tried = append(s.tried[:0], hosts[0])
	return hosts[0], true
}

// retryAfter returns the wait that the last response asked for, bounded.
func (s *sender) retryAfter() time.Duration {
	wait := unknownRetry
	if last := s.record.Last(); last != nil && last.retryAfter > 0 {
		wait = last.retryAfter
	}
	return min(wait, s.run.scenario.MaxRetryAfter)
}

// finished decides after an attempt whether to repeat. It waits where the
// response asked for it.
func (s *sender) finished(ctx context.Context) bool {
	last := s.record.Last()
	switch {
	case last.succeeded():
		return true
	case last.Failure != FailureNone || last.Status == fasthttp.StatusServiceUnavailable:
		return false
	case last.Status == fasthttp.StatusTooManyRequests:
		// The rate holds over all hosts, so another host does not help.
		s.tried = nil
		pause(ctx, s.retryAfter())
		return false
	case last.Outcome == problem.OutcomeUnknown:
		pause(ctx, s.retryAfter())
		return false
	}
	return true
}

func (s *sender) attempt(ctx context.Context, host netip.AddrPort) Attempt {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	s.write(ctx, request, host)
	delay := s.arrival.customer.ClientDelay
	pause(ctx, delay)
	a := Attempt{Host: host, Start: time.Now()}
	deadline := a.Start.Add(s.run.scenario.AttemptTimeout)
	if bound, ok := ctx.Deadline(); ok && bound.Before(deadline) {
		deadline = bound
	}
	err := s.run.clients.to(host).DoDeadline(request, response, deadline)
	a.End = time.Now()
	pause(ctx, delay)
	if err != nil {
		a.Failure, a.Error = classify(err), err.Error()
		return a
	}
	s.read(&a, response)
	return a
}

// timeout returns the time that an entry host is given. It is shorter than the
// caller's own, so that a refusal at the end of it still arrives.
func (s *sender) timeout(ctx context.Context) time.Duration {
	own := s.run.scenario.AttemptTimeout
	if end, ok := ctx.Deadline(); ok {
		own = min(own, time.Until(end))
	}
	return max(own/2, own-answerMargin-2*s.arrival.customer.ClientDelay)
}

func (s *sender) write(ctx context.Context, request *fasthttp.Request, host netip.AddrPort) {
	request.SetRequestURI("http://" + host.String() + s.record.Target)
	request.Header.SetMethod(s.arrival.stream.Method)
	request.Header.Set("X-Request-Timeout", strconv.FormatInt(s.timeout(ctx).Milliseconds(), 10))
	if !s.arrival.key.IsZero() {
		request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+s.arrival.key.Reveal())
	}
	if s.record.OperationKey != "" {
		request.Header.Set(upstream.IdempotencyKeyHeader, s.record.OperationKey)
	}
	if len(s.body) > 0 {
		request.Header.SetContentType("application/octet-stream")
		request.SetBodyRaw(s.body)
	}
}

// problemTypePrefix precedes the kind in the type of a problem document.
const problemTypePrefix = "urn:catkinspring:problem:"

func (s *sender) read(a *Attempt, response *fasthttp.Response) {
	a.Status = response.StatusCode()
	a.Outcome = problem.Outcome(response.Header.Peek("Request-Outcome"))
	a.RequestID = string(response.Header.Peek(upstream.RequestIDHeader))
	a.Replayed = string(response.Header.Peek("Idempotent-Replayed")) == "true"
	if seconds, err := strconv.Atoi(string(response.Header.Peek(fasthttp.HeaderRetryAfter))); err == nil {
		a.retryAfter = time.Duration(seconds) * time.Second
	}
	if a.succeeded() {
		a.Mismatch = s.mismatch(a, response.Body())
		return
	}
	var document struct {
		Type   string `json:"type"`
		Detail string `json:"detail"`
	}
	if decodeJSON(response.Body(), &document) {
		a.Error = document.Detail
		a.Problem = strings.TrimPrefix(document.Type, problemTypePrefix)
	}
}

// BaseID returns the request id that a caller sees. An entry host appends a
// number, separated by a dot, when it tries a request again at another upstream.
func BaseID(id string) string {
	base, _, _ := strings.Cut(id, ".")
	return base
}

// mismatch says in what a body is not the stand-in's answer to this request;
// empty if it is. A replayed answer carries the id of the attempt that ran.
func (s *sender) mismatch(a *Attempt, body []byte) string {
	var answer upstream.Answer
	switch {
	case !decodeJSON(body, &answer):
		return "body is not complete JSON"
	case !a.Replayed && BaseID(answer.RequestID) != a.RequestID:
		return "request id " + answer.RequestID
	case answer.IdempotencyKey != s.record.OperationKey:
		return "idempotency key"
	case answer.Target != s.record.Target:
		return "target"
	case answer.BodyHash != s.record.BodyHash:
		return "body hash"
	case answer.Payload != upstream.Payload(s.record.Target, s.arrival.stream.ResponseBytes):
		return "payload"
	case a.Outcome != problem.OutcomeRun:
		return "outcome " + string(a.Outcome)
	}
	return ""
}

func bodyHash(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }
