package gateway

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinspring/catkinspring/dispatch"
	"github.com/catkinspring/catkinspring/keys"
	"github.com/catkinspring/catkinspring/problem"
)

const (
	headerOutcome      = "Request-Outcome"
	contentTypeProblem = "application/problem+json"
	// problemTypePrefix makes a URI of a problem kind.
	problemTypePrefix = "urn:catkinspring:problem:"
	// defaultRetryAfter is sent with 429 and 503 if the failure names no time.
	defaultRetryAfter = time.Second
)

// document is a problem document; see RFC 9457.
type document struct {
	Type      string          `json:"type"`
	Title     string          `json:"title"`
	Status    int             `json:"status"`
	Detail    string          `json:"detail"`
	RequestID string          `json:"requestId"`
	Outcome   problem.Outcome `json:"outcome"`
}

func newDocument(id string, err *problem.Error) document {
	return document{
		Type:      problemTypePrefix + string(err.Kind),
		Title:     title(err.Kind),
		Status:    err.Status(),
		Detail:    keys.Redact(err.Detail),
		RequestID: id,
		Outcome:   err.Outcome,
	}
}

// title returns a problem kind as words.
func title(kind problem.Kind) string {
	words := strings.ReplaceAll(string(kind), "-", " ")
	return strings.ToUpper(words[:1]) + words[1:]
}

// writeProblem replaces the response by a problem document. A Connection: close
// that was set before stays.
func writeProblem(ctx *fasthttp.RequestCtx, id string, err *problem.Error) {
	response := &ctx.Response
	closing := response.ConnectionClose()
	response.Reset()
	if closing {
		response.SetConnectionClose()
	}
	body, failed := json.Marshal(newDocument(id, err))
	if failed != nil {
		body = nil
	}
	response.SetStatusCode(err.Status())
	response.Header.SetContentType(contentTypeProblem)
	response.Header.Set(fasthttp.HeaderCacheControl, "no-store")
	response.Header.Set(dispatch.HeaderRequestID, id)
	response.Header.Set(headerOutcome, string(err.Outcome))
	switch err.Status() {
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		response.Header.Set(fasthttp.HeaderRetryAfter, retryAfter(err.RetryAfter))
	case fasthttp.StatusUnauthorized:
		response.Header.Set(fasthttp.HeaderWWWAuthenticate, "Bearer")
	case fasthttp.StatusMethodNotAllowed:
		response.Header.Set(fasthttp.HeaderAllow, allowedMethods(ctx))
	}
	response.SetBodyRaw(body)
}

// allowedMethods returns the methods to name in a 405. Routes forward others
// too, but no caller that sent CONNECT or TRACE needs them.
func allowedMethods(ctx *fasthttp.RequestCtx) string {
	if string(requestPath(&ctx.Request.Header)) == entryHostsPath {
		return "GET, HEAD"
	}
	return "GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS"
}

// retryAfter returns whole seconds, rounded up.
func retryAfter(d time.Duration) string {
	if d <= 0 {
		d = defaultRetryAfter
	}
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// overloadedResponse is the whole response to a connection over the bound.
func (g *Gateway) overloadedResponse() []byte {
	err := problem.NotRun(problem.KindQueueFull, "the entry host has too many connections")
	body, _ := json.Marshal(newDocument("", err))
	return fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nContent-Type: %s\r\nContent-Length: %d\r\n"+
		"Retry-After: 1\r\n%s: %s\r\nConnection: close\r\n\r\n%s",
		contentTypeProblem, len(body), headerOutcome, err.Outcome, body)
}

// redactPanic returns the value of a panic as a text without keys.
func redactPanic(value any) string {
	return keys.Redact(fmt.Sprint(value))
}
