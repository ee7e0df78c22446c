package upstream

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/internal/httpcheck"
	"github.com/catkinspring/catkinspring/internal/httpcheck/responsetest"
)

// fieldForms are responses to request 2 into which a header line is inserted.
var fieldForms = map[string]string{
	"first":       "HTTP/1.1 200 OK\r\n%s\r\nId: 2\r\nContent-Length: 5\r\n\r\nwhole",
	"middle":      "HTTP/1.1 200 OK\r\nId: 2\r\n%s\r\nContent-Length: 5\r\n\r\nwhole",
	"last":        "HTTP/1.1 404 Not Found\r\nId: 2\r\nContent-Length: 5\r\n%s\r\n\r\nwhole",
	"chunked":     "HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\n%s\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	"not run":     "HTTP/1.1 503 Service Unavailable\r\nId: 2\r\nNot-Run: 1\r\n%s\r\nContent-Length: 0\r\n\r\n",
	"misdirected": "HTTP/1.1 421 Misdirected Request\r\n%s\r\nId: 2\r\nContent-Length: 0\r\n\r\n",
	"no body":     "HTTP/1.1 204 No Content\r\nId: 2\r\n%s\r\n\r\n",
	"interim":     "HTTP/1.1 103 Early Hints\r\n%s\r\n\r\nHTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 5\r\n\r\nwhole",
	"after 101":   "HTTP/1.1 101 Switching Protocols\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nId: 2\r\n%s\r\nContent-Length: 5\r\n\r\nwhole",
	"foreign":     "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\noldHTTP/1.1 200 OK\r\nId: 2\r\n%s\r\nContent-Length: 5\r\n\r\nwhole",
	"in foreign":  "HTTP/1.1 200 OK\r\nId: 1\r\n%s\r\nContent-Length: 3\r\n\r\noldHTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 5\r\n\r\nwhole",
	"trailer":     "HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n%s\r\n\r\n",
	"line feeds":  "HTTP/1.1 200 OK\nId: 2\n%s\nContent-Length: 5\n\nwhole",
}

// Guards against a response with a broken header line that is passed on, with that line or
// with a body that is not the upstream's, that counts as a statement that the request has not
// run, or whose connection is used again.
func TestBrokenHeaderLineIsBroken(t *testing.T) {
	for name, form := range fieldForms {
		for _, line := range slices.Concat(responsetest.BrokenLines, responsetest.FoldedLines) {
			t.Run(fmt.Sprintf("%s %q", name, line), func(t *testing.T) {
				t.Parallel()
				s := startStub(t, respondToEach(func(id string) string {
					if id == "2" {
						return fmt.Sprintf(form, line)
					}
					return okResponse(id, "")
				}))
				c := NewClient(testCodec{}, testResponseBytes)
				usable := func(id string) {
					result := exchangeWith(t, c, s, request(id))
					require.Equal(t, Answered, result.Outcome)
					result.Response.Release()
				}
				usable("1")
				result := exchangeWith(t, c, s, request("2"))
				require.Equal(t, Broken, result.Outcome)
				require.False(t, result.Outcome.NotRun())
				require.Nil(t, result.Response)
				if name != "trailer" { // net/http itself rejects most of these
					var broken *httpcheck.FieldError
					require.ErrorAs(t, result.Err, &broken)
				}
				usable("3")
				require.EqualValues(t, 2, s.connections.Load(), "the connection is closed")
				require.Zero(t, c.ResponseBytes())
			})
		}
	}
}

// Guards against the loss of a response whose header is unusual, but valid.
func TestUnusualHeaderLineIsPassedOn(t *testing.T) {
	for name, form := range fieldForms {
		for _, line := range responsetest.UnusualLines {
			t.Run(fmt.Sprintf("%s %q", name, line), func(t *testing.T) {
				t.Parallel()
				s := startStub(t, respondToEach(func(string) string { return fmt.Sprintf(form, line) }))
				result := exchangeWith(t, NewClient(testCodec{}, testResponseBytes), s, request("2"))
				require.Contains(t, []Outcome{Answered, Refused, Misdirected}, result.Outcome, "%v", result.Err)
				if result.Response.Status == 200 {
					require.Equal(t, "whole", string(result.Response.Body))
				}
			})
		}
	}
}
