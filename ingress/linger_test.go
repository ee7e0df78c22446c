package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// longBodyBytes is more than the kernel holds for a caller that has not read yet, and
// less than it holds for the server.
const longBodyBytes = 1 << 20

func respondLong(context.Context, *Request) *Response {
	return &Response{Status: http.StatusOK, Header: http.Header{}, Body: make([]byte, longBodyBytes)}
}

// Guards against a response that is truncated because its connection was evicted while
// the caller still received it, and was reset by the caller's next request.
func TestEvictionDeliversTheLastResponse(t *testing.T) {
	r := startServer(t, Limits{}, respondLong)
	c, _ := r.dial(t)
	send(t, c, get("/long"))
	<-r.started
	require.Eventually(t, func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.closeIdle(time.Now())
	}, 5*time.Second, time.Millisecond)
	r.requireResponseAfterLinger(t, c)
}

// Guards against a long last response that is truncated because the caller, which
// reads slowly, sends further requests after lingerTime.
func TestLastResponseReachesSlowReader(t *testing.T) {
	r := startServer(t, Limits{}, respondLong)
	c, _ := r.dial(t)
	send(t, c, "GET /long HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	<-r.started
	r.requireResponseAfterLinger(t, c)
}

// requireResponseAfterLinger sends a request that the server does not read, once the
// server has closed the connection or lingerTime has passed twice, and reads the
// response to the request before it.
func (r *testServer) requireResponseAfterLinger(t *testing.T, c net.Conn) {
	t.Helper()
	for limit := time.Now().Add(2 * lingerTime); r.Connections() > 0 && time.Now().Before(limit); {
		<-time.After(time.Millisecond)
	}
	// A connection that was reset fails here already.
	_, _ = io.WriteString(c, get("/unread"))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Len(t, body, longBodyBytes)
}
