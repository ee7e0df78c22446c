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

// attempts is the number of upstreams that a request is sent to at most.
const attempts = 2

func (h *Host) serve(ctx *fasthttp.RequestCtx) {
	id := uuid.NewString()
	ctx.Response.Header.Set(dispatch.HeaderRequestID, id)
	s := h.state.Load()
	if s == nil {
		refuse(ctx, problem.NotRun(problem.KindNotReady, "the entry host has no configuration yet"))
		return
	}
	if string(ctx.Path()) == "/v1/entry-hosts" {
		h.lookUp(ctx, s)
		return
	}
	route := s.configuration.RouteFor(string(ctx.Path()))
	if route == nil {
		refuse(ctx, problem.NotRun(problem.KindRouteUnknown, "no route has this path"))
		return
	}
	if err := h.check(ctx, s, route); err != nil {
		refuse(ctx, err)
		return
	}
	h.forward(ctx, s, route, id)
}

// lookUp names all listed entry hosts in random order.
func (h *Host) lookUp(ctx *fasthttp.RequestCtx, s *state) {
	answer := lookup.Answer{MaxAgeSeconds: int(h.settings.Lookup.MaxAge / time.Second)}
	for _, at := range rand.Perm(len(s.entryHosts)) {
		host := s.entryHosts[at]
		answer.EntryHosts = append(answer.EntryHosts, lookup.EntryHost{
			Address: host.Address, Region: host.Region, FailureDomain: host.FailureDomain, Weight: 1,
		})
	}
	body, _ := json.Marshal(answer)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// check authenticates a request and takes a token for it.
func (h *Host) check(ctx *fasthttp.RequestCtx, s *state, route *configuration.Route) *problem.Error {
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

// forward sends a request to a random upstream, and once more to another random
// one if that fails, whether the first one may have run it or not.
func (h *Host) forward(ctx *fasthttp.RequestCtx, s *state, route *configuration.Route, id string) {
	list := s.upstreams[route.Pool]
	if len(list) == 0 {
		refuse(ctx, problem.NotRun(problem.KindNoCapacity, "the pool has no upstream"))
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
	for n := range attempts {
		request.Header.Set(dispatch.HeaderRequestID, id+"."+strconv.Itoa(n))
		request.SetRequestURI("http://" + list[rand.IntN(len(list))].String() + string(ctx.URI().RequestURI()))
		request.UseHostHeader = true
		request.Header.SetHost(host)
		err = h.client.DoDeadline(request, response, deadline)
		if err == nil && response.StatusCode() < fasthttp.StatusInternalServerError {
			answer(ctx, response)
			return
		}
	}
	refuse(ctx, failure(err, response))
}

func timeout(ctx *fasthttp.RequestCtx, route *configuration.Route) time.Duration {
	millis, err := strconv.Atoi(string(ctx.Request.Header.Peek("X-Request-Timeout")))
	if err != nil || millis <= 0 {
		return route.Timeout()
	}
	return min(route.Timeout(), time.Duration(millis)*time.Millisecond)
}

func answer(ctx *fasthttp.RequestCtx, response *fasthttp.Response) {
	ctx.SetStatusCode(response.StatusCode())
	ctx.SetContentTypeBytes(response.Header.ContentType())
	ctx.Response.Header.Set("Request-Outcome", string(problem.OutcomeRun))
	ctx.SetBody(response.Body())
}

// failure describes the end of the last attempt. Earlier ones are forgotten.
func failure(err error, response *fasthttp.Response) *problem.Error {
	switch {
	case errors.Is(err, fasthttp.ErrTimeout):
		return problem.New(problem.KindDeadlineExceeded, problem.OutcomeUnknown, "the upstream did not answer in time")
	case err == nil && string(response.Header.Peek(dispatch.HeaderNotRun)) == "true":
		return problem.NotRun(problem.KindNoCapacity, "the upstream refused the request")
	default:
		return problem.New(problem.KindUpstreamFailed, problem.OutcomeUnknown, "the upstream failed")
	}
}

func refuse(ctx *fasthttp.RequestCtx, err *problem.Error) {
	ctx.SetStatusCode(err.Status())
	ctx.SetContentType("application/problem+json")
	ctx.Response.Header.Set("Request-Outcome", string(err.Outcome))
	if status := err.Status(); status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusServiceUnavailable {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, "1")
	}
	body, _ := json.Marshal(document{Type: "urn:catkinspring:problem:" + string(err.Kind), Status: err.Status(), Detail: err.Detail})
	ctx.SetBody(body)
}

// document is the body of a refusal.
type document struct {
	Type   string `json:"type"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
}
