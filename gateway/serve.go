package gateway

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/catkinspring/catkinspring/dispatch"
	"github.com/catkinspring/catkinspring/problem"
	"github.com/catkinspring/catkinspring/requestlog"
)

// serve answers one request. Requests to upstreams bypass fiber's router, because
// it refuses unknown methods and interprets a cookie of its own.
func (g *Gateway) serve(ctx *fasthttp.RequestCtx, router fasthttp.RequestHandler) {
	c := newCall(g, ctx)
	defer c.trace.Release()
	defer c.recoverPanic()
	if err := checkFraming(&ctx.Request.Header); err != nil {
		ctx.SetConnectionClose()
		lingerOnClose(ctx.Conn())
		c.refuse(err)
		return
	}
	ctx.Response.Header.SetNoDefaultContentType(true)
	path, err := canonicalPath(requestPath(&ctx.Request.Header))
	if err != nil {
		c.refuse(err)
		return
	}
	if path == entryHostsPath {
		ctx.SetUserValue(callKey{}, c)
		router(ctx)
		return
	}
	if err := c.forward(path); err != nil {
		c.refuse(c.endedByStop(err))
		return
	}
	c.finish()
}

// callKey is the context key of the call that a request belongs to.
type callKey struct{}

// call is the state of one request of a caller.
type call struct {
	g       *Gateway
	ctx     *fasthttp.RequestCtx
	id      string
	started time.Time
	// request is passed to the dispatcher; nil until the checks before admission
	// have passed.
	request *dispatch.Request
	trace   *requestlog.Trace

	// The following fields may be used by any goroutine. aborted is true once the
	// request has to end because the host stops, cancel ends its exchange, and
	// dispatched is request.
	aborted    atomic.Bool
	cancel     atomic.Pointer[context.CancelFunc]
	dispatched atomic.Pointer[dispatch.Request]
}

func newCall(g *Gateway, ctx *fasthttp.RequestCtx) *call {
	c := &call{g: g, ctx: ctx, id: uuid.NewString(), started: time.Now()}
	c.trace = requestlog.Acquire(c.id, c.started)
	answering(ctx.Conn(), c)
	return c
}

// recoverPanic turns a panic into a refusal of this request only.
func (c *call) recoverPanic() {
	value := recover()
	if value == nil {
		return
	}
	c.g.logPanic(c.id, value)
	outcome := problem.OutcomeNotRun
	if c.request != nil && c.request.Written() {
		outcome = problem.OutcomeUnknown
	}
	c.ctx.Response.Reset()
	c.refuse(problem.New(problem.KindInternal, outcome, "the request failed inside the entry host"))
}

// refuse answers with a problem document.
func (c *call) refuse(err error) {
	var refused *problem.Error
	if !errors.As(err, &refused) {
		refused = problem.NotRun(problem.KindInternal, "the request failed inside the entry host").WithCause(err)
	}
	writeProblem(c.ctx, c.id, refused)
	c.closeIfDraining()
	if refused.Kind == problem.KindDraining && !c.aborted.Load() {
		c.g.stop.refused.Add(1)
	}
	c.g.metrics.refused(refused)
	c.g.Requests.Finish(c.trace, requestlog.End{
		Status: refused.Status(), Outcome: refused.Outcome, Kind: refused.Kind, Detail: refused.Detail, Elapsed: time.Since(c.started),
	})
}

// finish sets the response headers and records a request that was answered.
func (c *call) finish() {
	c.ctx.Response.Header.Set(dispatch.HeaderRequestID, c.id)
	c.ctx.Response.Header.Set(headerOutcome, string(problem.OutcomeRun))
	c.closeIfDraining()
	took := time.Since(c.started)
	c.g.metrics.answered(c.ctx.Response.StatusCode(), took)
	c.g.Requests.Finish(c.trace, requestlog.End{Status: c.ctx.Response.StatusCode(), Outcome: problem.OutcomeRun, Elapsed: took})
}

// closeIfDraining closes the connection after the response, while draining.
func (c *call) closeIfDraining() {
	if c.g.Draining() {
		c.ctx.SetConnectionClose()
		lingerOnClose(c.ctx.Conn())
	}
}

// routerError answers requests that fiber's router or a handler refuses.
func (g *Gateway) routerError(fc fiber.Ctx, err error) error {
	ctx := fc.RequestCtx()
	c, ok := ctx.UserValue(callKey{}).(*call)
	if !ok {
		c = newCall(g, ctx)
		defer c.trace.Release()
	}
	var fiberErr *fiber.Error
	if errors.As(err, &fiberErr) && fiberErr.Code == fiber.StatusMethodNotAllowed {
		err = problem.NotRun(problem.KindMethodNotAllowed, "entry hosts are looked up with GET")
	}
	c.refuse(err)
	return nil
}

// parseError answers requests that could not be read. The connection is closed
// after the answer.
func (g *Gateway) parseError(ctx *fasthttp.RequestCtx, err error) {
	c := newCall(g, ctx)
	defer c.trace.Release()
	defer c.recoverPanic()
	lingerOnClose(ctx.Conn())
	c.refuse(g.parseProblem(ctx, err))
}

func (g *Gateway) parseProblem(ctx *fasthttp.RequestCtx, err error) error {
	var bufferErr *fasthttp.ErrSmallBuffer
	var netErr net.Error
	switch {
	case errors.As(err, &bufferErr):
		return problem.NotRun(problem.KindHeadersTooLarge, "the request line and header are larger than 16 KiB")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return g.bodyTooLarge(ctx)
	case errors.As(err, &netErr) && netErr.Timeout():
		return problem.NotRun(problem.KindRequestTimeout, "the request was not received in time")
	default:
		return problem.NotRun(problem.KindMalformed, "the request is not valid HTTP/1.1")
	}
}

// bodyTooLarge returns the error for a body that is larger than the route allows.
// If the key is missing or not valid, it returns that error instead.
func (g *Gateway) bodyTooLarge(ctx *fasthttp.RequestCtx) error {
	if snapshot := g.Snapshot(); snapshot != nil {
		if path, err := canonicalPath(requestPath(&ctx.Request.Header)); err == nil {
			if route := snapshot.RouteFor(path); route != nil {
				if _, err := g.authenticate(snapshot, route, &ctx.Request.Header); err != nil {
					return err
				}
			}
		}
	}
	return problem.NotRun(problem.KindBodyTooLarge, "the body is larger than the route allows")
}

// headerReceived limits the body of a request by its route. The server calls it
// outside the handler, where a panic would crash the process. The panic is only
// logged here: the handler runs into the same cause again and answers the request.
func (g *Gateway) headerReceived(header *fasthttp.RequestHeader) (config fasthttp.RequestConfig) {
	if length := header.ContentLength(); length <= 0 && length != chunkedBody {
		return config
	}
	config.MaxRequestBodySize = unauthenticatedBodyBytes
	defer func() {
		if value := recover(); value != nil {
			g.logPanic("", value)
		}
	}()
	config.MaxRequestBodySize = max(1, g.bodyLimit(header))
	return config
}

func (g *Gateway) logPanic(requestID string, value any) {
	g.Logger.Error().Str("request", requestID).Str("panic", redactPanic(value)).Msg("request handler panicked")
}

// chunkedBody is the content length that the codec reports for a chunked body.
const chunkedBody = -1

// bodyLimit returns the body limit of a request. It is lower if the request will be
// refused.
func (g *Gateway) bodyLimit(header *fasthttp.RequestHeader) int {
	snapshot := g.Snapshot()
	if snapshot == nil {
		return unauthenticatedBodyBytes
	}
	path, err := canonicalPath(requestPath(header))
	if err != nil {
		return unauthenticatedBodyBytes
	}
	route := snapshot.RouteFor(path)
	if route == nil {
		return unauthenticatedBodyBytes
	}
	limit := min(route.MaxBodyBytes, g.BodyBytes)
	if length := header.ContentLength(); length != chunkedBody && length <= unauthenticatedBodyBytes {
		return limit
	}
	if _, err := g.authenticate(snapshot, route, header); err != nil {
		return min(limit, unauthenticatedBodyBytes)
	}
	return limit
}
