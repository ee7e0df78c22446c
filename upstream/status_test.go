package upstream

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/internal/httpcheck"
	"github.com/catkinspring/catkinspring/internal/httpcheck/responsetest"
)

// Guards against a response with an impossible status that is passed on, that counts as
// a statement that the request has not run, or whose connection is used again.
func TestImpossibleStatusIsBroken(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\n\r\n"
	forms := map[string]func(status string) string{
		"body":  func(s string) string { return "HTTP/1.1 " + s + " X\r\nId: 2\r\nContent-Length: 4\r\n\r\nbody" },
		"empty": func(s string) string { return "HTTP/1.1 " + s + "\r\nId: 2\r\nContent-Length: 0\r\n\r\n" },
		"not run": func(s string) string {
			return "HTTP/1.1 " + s + " X\r\nId: 2\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
		},
		"interim": func(s string) string { return interim + "HTTP/1.1 " + s + " X\r\nId: 2\r\nContent-Length: 0\r\n\r\n" },
	}
	for name, form := range forms {
		for _, status := range responsetest.Impossible {
			t.Run(name+" "+status, func(t *testing.T) {
				s := startStub(t, respondToEach(func(id string) string {
					if id == "2" {
						return form(status)
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
				require.True(t, result.Reused)
				require.Equal(t, Broken, result.Outcome)
				require.False(t, result.Outcome.NotRun())
				require.Nil(t, result.Response)
				var impossible *httpcheck.StatusError
				require.ErrorAs(t, result.Err, &impossible)
				if status != "" && !strings.Contains(status, " ") {
					require.Equal(t, status, impossible.Status)
				}
				usable("3")
				require.EqualValues(t, 2, s.connections.Load(), "the connection is closed")
				require.Zero(t, c.ResponseBytes())
			})
		}
	}
}
