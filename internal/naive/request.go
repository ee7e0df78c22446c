package naive

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/catkinspring/catkinspring/configuration"
	"github.com/catkinspring/catkinspring/dispatch"
	"github.com/catkinspring/catkinspring/keys"
	"github.com/catkinspring/catkinspring/lookup"
	"github.com/catkinspring/catkinspring/problem"
)

// maxAttempts is the maximum number of times that a request is sent.
const maxAttempts = 2

func (h *Host) serve(ctx *fasthttp.RequestCtx) {
	id := uuid.NewString()
	ctx.Response.Header.Set(dispatch.HeaderRequestID, id)
	s := h.state.Load()
	if s == nil {
		writeProblem(ctx, problem.NotRun(problem.KindNotReady, "the entry host has no configuration yet"))
		return
	}
	if string(ctx.Path()) == "/v1/entry-hosts" {
		h.serveLookup(ctx, s)
		return
	}
	route := s.configuration.RouteFor(string(ctx.Path()))
	if route == nil {
		writeProblem(ctx, problem.NotRun(problem.KindRouteUnknown, "no route has this path"))
		return
	}
	if err := h.authorize(ctx, s, route); err != nil {
		writeProblem(ctx, err)
		return
	}
	h.forward(ctx, s, route, id)
}

// serveLookup answers with all listed entry hosts in random order.
func (h *Host) serveLookup(ctx *fasthttp.RequestCtx, s *state) {
	answer := lookup.Answer{MaxAgeSeconds: int(h.settings.Lookup.MaxAge / time.Second)}
	for _, i := range rand.Perm(len(s.entryHosts)) {
		host := s.entryHosts[i]
		answer.EntryHosts = append(answer.EntryHosts, lookup.EntryHost{
			Address: host.Address, Region: host.Region, FailureDomain: host.FailureDomain, Weight: 1,
		})
	}
	body, _ := json.Marshal(answer)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// authorize authenticates a request, checks that its customer may use the route and
// takes a token for it.
func (h *Host) authorize(ctx *fasthttp.RequestCtx, s *state, route *configuration.Route) *problem.Error {
	if route.Access == configuration.AccessOpen {
		return nil
	}
	text, _ := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	key, err := keys.Parse([]byte(text))
	if err != nil {
		return problem.NotRun(problem.KindKeyInvalid, "the key is not valid")
	}
	owner, ok := s.configuration.KeyOwner(key.ID())
	if !ok || !key.Digest().Matches(owner.Key.Digest) {
		return problem.NotRun(problem.KindKeyInvalid, "the key is not valid")
	}
	if !route.Allows(owner.Customer.ID) {
		return problem.NotRun(problem.KindCustomerNotAllowed, "the key's customer may not use this route")
	}
	if !h.admit(owner.Customer, len(s.entryHosts), time.Now()) {
		return problem.NotRun(problem.KindRateExceeded, "the customer's rate is exceeded").WithRetryAfter(time.Second)
	}
	return nil
}

// forward sends a request to a random upstream and, if that fails, retries it on a
// randomly chosen upstream, even if the first one may have run it.
func (h *Host) forward(ctx *fasthttp.RequestCtx, s *state, route *configuration.Route, id string) {
	candidates := s.upstreams[route.Pool]
	if len(candidates) == 0 {
		writeProblem(ctx, problem.NotRun(problem.KindNoCapacity, "the pool has no upstream"))
		return
	}
	deadline := time.Now().Add(timeout(ctx, route))
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	ctx.Request.CopyTo(request)
	request.Header.Del(fasthttp.HeaderAuthorization)
	request.Header.Set(dispatch.HeaderDeadline, strconv.FormatInt(deadline.UnixMilli(), 10))
	host := string(ctx.Host())
	var err error
	for attempt := range maxAttempts {
		request.Header.Set(dispatch.HeaderRequestID, id+"."+strconv.Itoa(attempt))
		request.SetRequestURI("http://" + candidates[rand.IntN(len(candidates))].String() + string(ctx.URI().RequestURI()))
		request.UseHostHeader = true
		request.Header.SetHost(host)
		err = h.client.DoDeadline(request, response, deadline)
		if err == nil && response.StatusCode() < fasthttp.StatusInternalServerError {
			writeAnswer(ctx, response)
			return
		}
	}
	writeProblem(ctx, lastAttemptProblem(err, response))
}

func timeout(ctx *fasthttp.RequestCtx, route *configuration.Route) time.Duration {
	millis, err := strconv.Atoi(string(ctx.Request.Header.Peek("X-Request-Timeout")))
	if err != nil || millis <= 0 {
		return route.Timeout()
	}
	return min(route.Timeout(), time.Duration(millis)*time.Millisecond)
}

func writeAnswer(ctx *fasthttp.RequestCtx, response *fasthttp.Response) {
	ctx.SetStatusCode(response.StatusCode())
	ctx.SetContentTypeBytes(response.Header.ContentType())
	ctx.Response.Header.Set("Request-Outcome", string(problem.OutcomeRun))
	ctx.SetBody(response.Body())
}

// lastAttemptProblem describes the failure of the last attempt and ignores earlier
// ones.
func lastAttemptProblem(err error, response *fasthttp.Response) *problem.Error {
	switch {
	case errors.Is(err, fasthttp.ErrTimeout):
		return problem.New(problem.KindDeadlineExceeded, problem.OutcomeUnknown, "the upstream did not answer in time")
	case err == nil && string(response.Header.Peek(dispatch.HeaderNotRun)) == "true":
		return problem.NotRun(problem.KindNoCapacity, "the upstream refused the request")
	default:
		return problem.New(problem.KindUpstreamFailed, problem.OutcomeUnknown, "the upstream failed")
	}
}

func writeProblem(ctx *fasthttp.RequestCtx, err *problem.Error) {
	ctx.SetStatusCode(err.Status())
	ctx.SetContentType("application/problem+json")
	ctx.Response.Header.Set("Request-Outcome", string(err.Outcome))
	if status := err.Status(); status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusServiceUnavailable {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, "1")
	}
	body, _ := json.Marshal(problemDocument{Type: "urn:catkinspring:problem:" + string(err.Kind), Status: err.Status(), Detail: err.Detail})
	ctx.SetBody(body)
}

// problemDocument is the body of an error answer.
type problemDocument struct {
	Type   string `json:"type"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
}
