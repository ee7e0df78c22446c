package gateway

import (
	"encoding/json"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/catkinspring/catkinspring/problem"
)

func itoa(n int) string { return strconv.Itoa(n) }

func echo(ctx *fasthttp.RequestCtx) {
	ctx.SetStatusCode(fasthttp.StatusCreated)
	ctx.SetBody(append([]byte("echo "), ctx.Request.Body()...))
}

// requireProblem checks that a response is a whole problem document.
func requireProblem(t *testing.T, r *fasthttp.Response, kind problem.Kind, outcome problem.Outcome) {
	t.Helper()
	var d document
	require.NoError(t, json.Unmarshal(r.Body(), &d), "%s", r)
	require.Equal(t, problemTypePrefix+string(kind), d.Type, "%s", d.Detail)
	require.Equal(t, outcome, d.Outcome)
	require.Equal(t, r.StatusCode(), d.Status)
	require.Equal(t, problem.New(kind, outcome, "").Status(), d.Status)
	require.NotEmpty(t, d.Title)
	require.NotEmpty(t, d.Detail)
	require.Equal(t, contentTypeProblem, string(r.Header.ContentType()))
	require.Equal(t, string(outcome), string(r.Header.Peek(headerOutcome)))
	require.Equal(t, d.RequestID, string(r.Header.Peek("X-Request-Id")))
	if d.Status == 429 || d.Status == 503 {
		require.NotEmpty(t, r.Header.Peek("Retry-After"))
	}
}

// Guards against a request path that loses or changes a response.
func TestForwardsOpenAndKeyedRoutes(t *testing.T) {
	h := newHarness(t, echo, nil)
	for _, path := range []string{"/open/a", "/reads/a", "/orders/a"} {
		r := h.ask(t, "POST", path, "Idempotency-Key: k1\r\n", "hello")
		require.Equal(t, 201, r.StatusCode(), "%s", r)
		require.Equal(t, "echo hello", string(r.Body()))
		require.Equal(t, "run", string(r.Header.Peek(headerOutcome)))
		require.NotEmpty(t, r.Header.Peek("X-Request-Id"))
	}
	require.Equal(t, []string{"complete"}, h.claims.endings())
	require.EqualValues(t, 2, h.tokens.spent.Load())
}
