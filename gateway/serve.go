package gateway

import (
	"context"
	"errors"
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
	memory := g.uploads.Open()
	defer memory.Release()
	err := checkFraming(&ctx.Request.Header)
	if err == nil {
		err = g.readBody(&ctx.Request, memory)
	}
	c := newCall(g, ctx)
	defer c.trace.Release()
	defer c.recoverPanic()
	if err != nil {
		ctx.SetConnectionClose()
		lingerOnClose(ctx.Conn())
		c.refuse(c.unreadable(err))
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

// parseError answers requests whose header could not be read. The connection is closed
// after the answer.
func (g *Gateway) parseError(ctx *fasthttp.RequestCtx, err error) {
	c := newCall(g, ctx)
	defer c.trace.Release()
	defer c.recoverPanic()
	lingerOnClose(ctx.Conn())
	c.refuse(c.unreadable(err))
}

func (g *Gateway) logPanic(requestID string, value any) {
	g.Logger.Error().Str("request", requestID).Str("panic", redactPanic(value)).Msg("request handler panicked")
}
