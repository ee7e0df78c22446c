package upstream

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/internal/httpcheck/responsetest"
)

// upload returns a request with a body that does not fit into the buffers.
func upload() *Request {
	r := request("1")
	r.Method, r.Body = http.MethodPost, responsetest.Upload()
	return r
}

// Guards against a part of a response that is passed on as a whole one, or taken for a statement
// that the request has not run, because the reset of its connection was reported to the writer of
// the upload, and the reader found what looks like the end of the response.
func TestResetDuringUploadIsNotTheEndOfTheResponse(t *testing.T) {
	r := upload()
	for name, text := range map[string]string{
		"200":         "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart",
		"no body":     "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
		"close":       "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\npart",
		"HTTP/1.0":    "HTTP/1.0 200 OK\r\nId: 1\r\n\r\npart",
		"interim":     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\nId: 1\r\n\r\npart",
		"404":         "HTTP/1.1 404 Not Found\r\nId: 1\r\n\r\npart",
		"503":         "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\n\r\npart",
		"not run":     "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nNot-Run: 1\r\n\r\npart",
		"misdirected": "HTTP/1.1 421 Misdirected Request\r\nId: 1\r\n\r\npart",
		"length":      "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\npart",
		"chunked":     "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"trailer":     "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\nX: y",
		"header":      "HTTP/1.1 200 OK\r\nId: 1\r\nNot-Run: 1\r\n",
		"long":        "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n" + strings.Repeat("y", 100<<10),
	} {
		for _, delay := range responsetest.ResetDelays {
			t.Run(fmt.Sprint(name, " ", delay), func(t *testing.T) {
				t.Parallel()
				s := responsetest.ServeEarly(t, responsetest.Early{Text: text, Delay: delay})
				c := NewClient(testCodec{}, testResponseBytes)
				passedOn := 0
				for range responsetest.EarlyRuns {
					result := exchangeWith(t, c, &stubServer{target: Target{ID: "u", Address: s.Address}}, r)
					if result.Outcome != Broken {
						passedOn++
						continue
					}
					if name != "trailer" { // net/http replaces the error
						require.ErrorIs(t, result.Err, syscall.ECONNRESET)
					}
					require.Nil(t, result.Response)
					require.False(t, result.Outcome.NotRun())
				}
				require.Zero(t, passedOn, "responses of %d passed on", responsetest.EarlyRuns)
				require.EqualValues(t, responsetest.EarlyRuns, s.Connections.Load(), "each request is sent once, on a connection of its own")
				require.Zero(t, c.ResponseBytes())
			})
		}
	}
}

// Guards against the loss of a response that is whole by its length or its chunks, or that
// the end of the connection delimits, because a reset follows while the upload is written.
func TestWholeResponseBeforeResetDuringUpload(t *testing.T) {
	const body = "whole"
	r := upload()
	for name, e := range map[string]responsetest.Early{
		"length":    {Text: "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nwhole"},
		"chunked":   {Text: "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"},
		"trailer":   {Text: "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX-A: b\r\n\r\n"},
		"close":     {Text: "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole", Finish: true},
		"HTTP/1.0":  {Text: "HTTP/1.0 200 OK\r\nId: 1\r\n\r\nwhole", Finish: true},
		"204":       {Text: "HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n"},
		"304":       {Text: "HTTP/1.1 304 Not Modified\r\nId: 1\r\n\r\n"},
		"not run":   {Text: "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 5\r\n\r\nwhole"},
		"not run 2": {Text: "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nNot-Run: 1\r\n\r\nwhole", Finish: true},
	} {
		for _, delay := range responsetest.ResetDelays {
			t.Run(fmt.Sprint(name, " ", delay), func(t *testing.T) {
				t.Parallel()
				s := responsetest.ServeEarly(t, responsetest.Early{Text: e.Text, Finish: e.Finish, Delay: delay})
				c := NewClient(testCodec{}, testResponseBytes)
				for range responsetest.EarlyRuns {
					result := exchangeWith(t, c, &stubServer{target: Target{ID: "u", Address: s.Address}}, r)
					require.Contains(t, []Outcome{Answered, Refused}, result.Outcome, "%v", result.Err)
					if result.Response.Status/100 == 2 && result.Response.Status != http.StatusNoContent {
						require.Equal(t, body, string(result.Response.Body))
					}
					result.Response.Release()
				}
				require.EqualValues(t, responsetest.EarlyRuns, s.Connections.Load(), "no connection is used again")
			})
		}
	}
}
