package ingress

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a request that could not be read and takes with it those that were
// accepted before on its connection.
func TestUnreadableRequestIsRefusedAfterEarlierResponses(t *testing.T) {
	for status, text := range map[int]string{
		http.StatusBadRequest:                  "nonsense\r\n\r\n",
		http.StatusRequestTimeout:              "GET /b HT",
		http.StatusRequestEntityTooLarge:       post("/b", testBodyBytes+1),
		http.StatusRequestHeaderFieldsTooLarge: "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 1<<14) + "\r\n\r\n",
		http.StatusServiceUnavailable:          post("/b", testBodyBytes-1),
	} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			release := make(chan struct{})
			limits := Limits{HeaderBytes: 1 << 10, BodyBytes: testBodyBytes, HeaderTimeout: 100 * time.Millisecond, IdleTimeout: time.Minute}
			r := startServer(t, limits, func(ctx context.Context, request *Request) *Response {
				<-release
				return echo(ctx, request)
			})
			c, reader := r.dial(t)
			send(t, c, get("/1"), get("/2"), text)
			<-r.started
			<-r.started
			close(release)
			for _, path := range []string{"/1", "/2"} {
				response, body := read(t, reader)
				require.Equal(t, http.StatusOK, response.StatusCode)
				require.Equal(t, path, body)
				require.False(t, response.Close)
			}
			response, _ := read(t, reader)
			require.Equal(t, status, response.StatusCode)
			require.True(t, response.Close)
			_, err := reader.ReadByte()
			require.ErrorIs(t, err, io.EOF)
		})
	}
}

// Guards against responses that are lost because the caller closed its sending side: a
// host can't tell that from a caller that left until it writes to it.
func TestResponseThatIsReadyReachesCallerThatStoppedSending(t *testing.T) {
	r := startServer(t, Limits{}, func(ctx context.Context, request *Request) *Response {
		<-ctx.Done()
		return echo(ctx, request)
	})
	c, reader := r.dial(t)
	send(t, c, get("/1"), get("/2"))
	<-r.started
	<-r.started
	require.NoError(t, c.(*net.TCPConn).CloseWrite())
	for _, path := range []string{"/1", "/2"} {
		_, body := read(t, reader)
		require.Equal(t, path, body)
	}
	_, err := reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}
