package ingress

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a connection that is closed as idle, without a response, although the
// next request has arrived with the last one and waits in the read buffer.
func TestBufferedRequestIsAcceptedByConnectionAskedToClose(t *testing.T) {
	s := New(Config{Handler: echo, Limits: func() Limits { return Limits{} }, MaxConnections: 8, HeadBytes: testHeadBytes, BodyBytes: testBodyBytes})
	l := listen(t)
	caller, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = caller.Close() }()
	raw, err := l.Accept()
	require.NoError(t, err)
	defer func() { _ = raw.Close() }()
	c := newConn(s, raw)
	send(t, caller, get("/a"), get("/b"))
	_, err = c.readRequest()
	require.NoError(t, err)
	require.Positive(t, c.reader.Buffered())
	// The first request was answered before the second one is read.
	c.reading, c.used = false, true
	c.closeIfIdle()
	request, err := c.readRequest()
	require.NoError(t, err)
	require.Equal(t, "/b", request.URL.Path)
	require.True(t, c.accept(&pendingRequest{request: request}))
}
