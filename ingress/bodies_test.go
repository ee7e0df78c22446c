package ingress

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func post(path string, length int, headers ...string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n%s\r\n", path, length, strings.Join(headers, ""))
}

// Guards against uploads that together hold more than their part of the memory, and
// against a refusal of small requests because of them.
func TestUploadsBeyondMemoryAreRefusedBeforeTheyRun(t *testing.T) {
	const large = testBodyBytes/2 - 1
	r := startServer(t, Limits{BodyBytes: testBodyBytes}, echo)
	slow, slowReader := r.dial(t)
	send(t, slow, post("/slow", large), "x")
	require.Eventually(t, func() bool { return r.BodyBytes() > large }, 5*time.Second, time.Millisecond)

	refused, refusedReader := r.dial(t)
	send(t, refused, post("/refused", large))
	response, _ := read(t, refusedReader)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	require.True(t, response.Close)

	small, smallReader := r.dial(t)
	send(t, small, post("/small", 60<<10), strings.Repeat("x", 60<<10))
	response, _ = read(t, smallReader)
	require.Equal(t, http.StatusOK, response.StatusCode)

	send(t, slow, strings.Repeat("x", large-1))
	response, body := read(t, slowReader)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Len(t, body, large+len("/slow"))
	require.Eventually(t, func() bool { return r.BodyBytes() == 0 }, 5*time.Second, time.Millisecond)
	close(r.started)
	for path := range r.started {
		require.NotEqual(t, "/refused", path)
	}
}

// Guards against a caller that is asked to come back with a body that never fits.
func TestBodyThatNeverFitsIsRefusedAtOnceWithoutRetryAfter(t *testing.T) {
	r := startServer(t, Limits{BodyBytes: 4 * testBodyBytes}, echo)
	c, reader := r.dial(t)
	send(t, c, post("/a", 2*testBodyBytes))
	response, _ := read(t, reader)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Empty(t, response.Header.Get("Retry-After"))
}

// Guards against memory that stays reserved for an uploader that stops in the middle.
func TestUploaderThatLeavesReturnsMemory(t *testing.T) {
	r := startServer(t, Limits{BodyBytes: testBodyBytes}, echo)
	c, _ := r.dial(t)
	send(t, c, post("/a", 100<<10), "x")
	require.Eventually(t, func() bool { return r.BodyBytes() > 0 }, 5*time.Second, time.Millisecond)
	require.NoError(t, c.Close())
	require.Eventually(t, func() bool { return r.BodyBytes() == 0 }, 5*time.Second, time.Millisecond)
}

// Guards against asking for a body that there is no memory for.
func TestBodyIsAskedForOnceMemoryIsReserved(t *testing.T) {
	r := startServer(t, Limits{BodyBytes: testBodyBytes}, echo)
	c, reader := r.dial(t)
	send(t, c, post("/a", 3, "Expect: 100-continue\r\n"))
	line, err := reader.ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1 100 Continue\r\n", line)
	_, err = reader.ReadString('\n')
	require.NoError(t, err)
	send(t, c, "xyz")
	_, body := read(t, reader)
	require.Equal(t, "/axyz", body)

	c, reader = r.dial(t)
	send(t, c, post("/b", testBodyBytes-1, "Expect: 100-continue\r\n"))
	response, _ := read(t, reader)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
}

// Guards against a caller that sends bytes without end.
func TestRequestWithoutEndIsBounded(t *testing.T) {
	limits := Limits{HeaderBytes: 8 << 10, BodyBytes: 64 << 10}
	for name, part := range map[string]struct {
		prefix, unit string
		status       int
	}{
		"header line":  {"GET /a HTTP/1.1\r\nX: ", "a", http.StatusRequestHeaderFieldsTooLarge},
		"header lines": {"GET /a HTTP/1.1\r\n", "X: a\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"body":         {"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("a", 1<<10) + "\r\n", http.StatusRequestEntityTooLarge},
		"chunk header": {"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;", "a", http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			r := startServer(t, limits, echo)
			c, reader := r.dial(t)
			go func() {
				_, _ = io.WriteString(c, part.prefix)
				unit := strings.Repeat(part.unit, 1+(8<<10)/len(part.unit))
				for {
					if _, err := io.WriteString(c, unit); err != nil {
						return
					}
				}
			}()
			response, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			require.Equal(t, part.status, response.StatusCode)
			require.Zero(t, r.BodyBytes())
			require.Empty(t, r.started)
		})
	}
}

// Guards against memory of a response that is kept after it was written or dropped.
func TestResponsesAreReleased(t *testing.T) {
	released := make(chan struct{}, 2)
	r := startServer(t, Limits{}, func(ctx context.Context, request *Request) *Response {
		response := echo(ctx, request)
		response.Close, response.Status = true, map[string]int{"/dropped": 0, "/written": 200}[request.URL.Path]
		response.Release = func() { released <- struct{}{} }
		return response
	})
	for _, path := range []string{"/dropped", "/written"} {
		c, _ := r.dial(t)
		send(t, c, get(path))
		requireWithin5s(t, "release", released)
	}
}
