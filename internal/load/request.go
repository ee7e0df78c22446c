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

// defaultRetryInterval is the wait before a retry if the last response has no
// Retry-After.
const defaultRetryInterval = 200 * time.Millisecond

// answerMargin is the time reserved for the answer to arrive after the deadline that
// is sent to an entry host.
const answerMargin = 200 * time.Millisecond

// sender sends one request and retries it until it is answered, refused
// permanently, or out of attempts or time.
type sender struct {
	run     *run
	arrival *arrival
	caller  *caller
	record  *Record
	body    []byte
	// triedHosts holds the hosts of the lookup answer that were tried in this round.
	triedHosts []netip.AddrPort
}

func (s *sender) send(ctx context.Context) {
	for len(s.record.Attempts) < s.run.scenario.Attempts && ctx.Err() == nil {
		host, newRound := s.chooseHost(ctx)
		if !host.IsValid() {
			break
		}
		if newRound {
			sleep(ctx, s.retryAfter())
		}
		if !s.hasTime(ctx) {
			break
		}
		a := s.attempt(ctx, host)
		s.record.Attempts = append(s.record.Attempts, a)
		if a.Failure == FailureConnect {
			s.caller.demote(s.arrival.stream.Route, host)
		}
		if s.finishedAfterAttempt(ctx) {
			break
		}
	}
	s.record.End = time.Now()
	s.record.Verdict = s.record.computeVerdict()
}

// hasTime reports whether an answer could still arrive before the deadline of the
// request. A later attempt would be recorded as a timeout, and its request as
// unknown, although nothing was sent.
func (s *sender) hasTime(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() == nil && (!ok || time.Until(deadline) > answerMargin+2*s.arrival.customer.ClientDelay)
}

// chooseHost returns the first host of the lookup answer that was not tried yet. If all
// of them were tried, it starts a new round and newRound is true.
func (s *sender) chooseHost(ctx context.Context) (host netip.AddrPort, newRound bool) {
	hosts := s.caller.hosts(ctx, s.arrival.stream.Route)
	if len(hosts) == 0 {
		return netip.AddrPort{}, false
	}
	for _, h := range hosts {
		if !slices.Contains(s.triedHosts, h) {
			s.triedHosts = append(s.triedHosts, h)
			return h, false
		}
	}
	s.triedHosts = append(s.triedHosts[:0], hosts[0])
	return hosts[0], true
}

// retryAfter returns the Retry-After of the last response, bounded by the scenario.
func (s *sender) retryAfter() time.Duration {
	wait := defaultRetryInterval
	if last := s.record.Last(); last != nil && last.retryAfter > 0 {
		wait = last.retryAfter
	}
	return min(wait, s.run.scenario.MaxRetryAfter)
}

// finishedAfterAttempt reports after an attempt whether the request is done. It waits
// before a retry if the refusal applies to all hosts or the outcome is unknown.
func (s *sender) finishedAfterAttempt(ctx context.Context) bool {
	last := s.record.Last()
	switch {
	case last.succeeded():
		return true
	case last.Failure != FailureNone || last.Status == fasthttp.StatusServiceUnavailable:
		return false
	case last.Status == fasthttp.StatusTooManyRequests:
		// The rate limit applies to all hosts together, so another host does not help.
		s.triedHosts = nil
		sleep(ctx, s.retryAfter())
		return false
	case last.Outcome == problem.OutcomeUnknown:
		sleep(ctx, s.retryAfter())
		return false
	}
	return true
}

func (s *sender) attempt(ctx context.Context, host netip.AddrPort) Attempt {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	s.writeRequest(ctx, request, host)
	delay := s.arrival.customer.ClientDelay
	sleep(ctx, delay)
	a := Attempt{Host: host, Start: time.Now()}
	deadline := a.Start.Add(s.run.scenario.AttemptTimeout)
	if bound, ok := ctx.Deadline(); ok && bound.Before(deadline) {
		deadline = bound
	}
	err := s.run.clients.clientFor(host).DoDeadline(request, response, deadline)
	a.End = time.Now()
	sleep(ctx, delay)
	if err != nil {
		a.Failure, a.Error = classifyFailure(err), err.Error()
		return a
	}
	s.readResponse(&a, response)
	return a
}

// entryHostTimeout returns the timeout that is sent to the entry host. It is shorter
// than the caller's own, so that a refusal at its end still arrives.
func (s *sender) entryHostTimeout(ctx context.Context) time.Duration {
	callerTimeout := s.run.scenario.AttemptTimeout
	if deadline, ok := ctx.Deadline(); ok {
		callerTimeout = min(callerTimeout, time.Until(deadline))
	}
	return max(callerTimeout/2, callerTimeout-answerMargin-2*s.arrival.customer.ClientDelay)
}

func (s *sender) writeRequest(ctx context.Context, request *fasthttp.Request, host netip.AddrPort) {
	request.SetRequestURI("http://" + host.String() + s.record.Target)
	request.Header.SetMethod(s.arrival.stream.Method)
	request.Header.Set("X-Request-Timeout", strconv.FormatInt(s.entryHostTimeout(ctx).Milliseconds(), 10))
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

// problemTypePrefix is the prefix of the problem kind in the type of a problem
// document.
const problemTypePrefix = "urn:catkinspring:problem:"

func (s *sender) readResponse(a *Attempt, response *fasthttp.Response) {
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

// BaseID returns the request ID that a caller sees. An entry host appends a dot and
// a number when it retries a request at another upstream.
func BaseID(id string) string {
	base, _, _ := strings.Cut(id, ".")
	return base
}

// mismatch names the part of a body that differs from the stand-in's answer to this
// request; empty if none does. A replayed answer has the ID of the attempt that ran.
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
