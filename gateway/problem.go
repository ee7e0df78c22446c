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
	// problemTypePrefix is prepended to a problem kind to form its type URI.
	problemTypePrefix = "urn:catkinspring:problem:"
	// defaultRetryAfter is sent with 429 and 503 if the error sets no RetryAfter.
	defaultRetryAfter = time.Second
)

// problemDocument is the JSON body of a refusal; see RFC 9457.
type problemDocument struct {
	Type      string          `json:"type"`
	Title     string          `json:"title"`
	Status    int             `json:"status"`
	Detail    string          `json:"detail"`
	RequestID string          `json:"requestId"`
	Outcome   problem.Outcome `json:"outcome"`
}

func newDocument(id string, err *problem.Error) problemDocument {
	return problemDocument{
		Type:      problemTypePrefix + string(err.Kind),
		Title:     title(err.Kind),
		Status:    err.Status(),
		Detail:    keys.Redact(err.Detail),
		RequestID: id,
		Outcome:   err.Outcome,
	}
}

// title returns a problem kind as capitalized words.
func title(kind problem.Kind) string {
	words := strings.ReplaceAll(string(kind), "-", " ")
	return strings.ToUpper(words[:1]) + words[1:]
}

// writeProblem replaces the response with a problem document. It keeps a
// Connection: close header that is already set.
func writeProblem(ctx *fasthttp.RequestCtx, id string, err *problem.Error) {
	response := &ctx.Response
	connectionClose := response.ConnectionClose()
	response.Reset()
	if connectionClose {
		response.SetConnectionClose()
	}
	body, marshalErr := json.Marshal(newDocument(id, err))
	if marshalErr != nil {
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

// allowedMethods returns the Allow header of a 405. Routes forward other methods
// too, but they are no help to a caller that sent CONNECT or TRACE.
func allowedMethods(ctx *fasthttp.RequestCtx) string {
	if string(requestPath(&ctx.Request.Header)) == entryHostsPath {
		return "GET, HEAD"
	}
	return "GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS"
}

// retryAfter formats a duration as whole seconds, rounded up, for the Retry-After
// header.
func retryAfter(d time.Duration) string {
	if d <= 0 {
		d = defaultRetryAfter
	}
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// overloadedResponse returns the raw response for connections over the limit.
func (g *Gateway) overloadedResponse() []byte {
	err := problem.NotRun(problem.KindQueueFull, "the entry host has too many connections")
	body, _ := json.Marshal(newDocument("", err))
	return fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nContent-Type: %s\r\nContent-Length: %d\r\n"+
		"Retry-After: 1\r\n%s: %s\r\nConnection: close\r\n\r\n%s",
		contentTypeProblem, len(body), headerOutcome, err.Outcome, body)
}

// redactPanic formats the value of a panic and redacts keys in it.
func redactPanic(value any) string {
	return keys.Redact(fmt.Sprint(value))
}
