package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"

	"github.com/valyala/fasthttp"

	"github.com/catkinspring/catkinspring/internal/bytebudget"
	"github.com/catkinspring/catkinspring/problem"
)

// chunkedBody is the content length that the codec reports for a chunked body.
const chunkedBody = -1

// readBody reads the body of a request into memory that it reserves. It returns the errors
// of bytebudget.ReadAll.
func (g *Gateway) readBody(request *fasthttp.Request, memory *bytebudget.Account) error {
	length := request.Header.ContentLength()
	if length <= 0 && length != chunkedBody {
		return nil
	}
	body, err := bytebudget.ReadAll(request.BodyStream(), int64(length), int64(g.bodyLimit(&request.Header)), memory)
	if err != nil {
		return err
	}
	if len(body) < length {
		// The codec doesn't report that a body with a length ends early.
		return io.ErrUnexpectedEOF
	}
	request.SetBodyRaw(body)
	request.Header.SetContentLength(len(body))
	return nil
}

// unreadable returns the refusal of a request that could not be read.
func (c *call) unreadable(err error) error {
	var refused *problem.Error
	var header *fasthttp.ErrSmallBuffer
	var tooLarge *http.MaxBytesError
	var memory *bytebudget.ExceededError
	var network net.Error
	switch {
	case errors.As(err, &refused):
		return err
	case errors.As(err, &header):
		return problem.NotRun(problem.KindHeadersTooLarge, "the request line and header are larger than 16 KiB")
	case errors.As(err, &tooLarge):
		return c.bodyTooLarge()
	case errors.As(err, &memory):
		c.g.Logger.Warn().Str("request", c.id).Err(err).Msg("no memory for the body of a request")
		return problem.NotRun(problem.KindQueueFull, "the entry host has no memory left for the body; use another one").WithCause(err)
	case errors.As(err, &network) && network.Timeout():
		return problem.NotRun(problem.KindRequestTimeout, "the request was not received in time")
	default:
		return problem.NotRun(problem.KindMalformed, "the request is not valid HTTP/1.1")
	}
}

// bodyTooLarge returns the error for a body that is larger than the route allows.
// If the key is missing or not valid, it returns that error instead.
func (c *call) bodyTooLarge() error {
	header := &c.ctx.Request.Header
	if snapshot := c.g.Snapshot(); snapshot != nil {
		if path, err := canonicalPath(requestPath(header)); err == nil {
			if route := snapshot.RouteFor(path); route != nil {
				if _, err := c.g.authenticate(snapshot, route, header); err != nil {
					return err
				}
			}
		}
	}
	return problem.NotRun(problem.KindBodyTooLarge, "the body is larger than the route allows")
}

// bodyLimit returns the body limit of a request. It is lower if the request will be
// refused. A panic is only logged here: the handler runs into the same cause again and
// answers the request.
func (g *Gateway) bodyLimit(header *fasthttp.RequestHeader) (limit int) {
	defer func() {
		if value := recover(); value != nil {
			g.logPanic("", value)
			limit = unauthenticatedBodyBytes
		}
	}()
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
	limit = min(route.MaxBodyBytes, g.BodyBytes)
	if length := header.ContentLength(); length != chunkedBody && length <= unauthenticatedBodyBytes {
		return limit
	}
	if _, err := g.authenticate(snapshot, route, header); err != nil {
		return min(limit, unauthenticatedBodyBytes)
	}
	return limit
}
