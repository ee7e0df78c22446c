package responsetest

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// EarlyRuns is the number of runs of a test with one form of an early response. The kernel
// reports the end of a connection to either the reader or the writer, whichever comes first.
const EarlyRuns = 20

// ResetDelays are the times from an early response to the reset of its connection.
var ResetDelays = []time.Duration{0, time.Millisecond, 30 * time.Millisecond}

// Upload returns a body that exceeds the buffers of both ends of a connection, so that it is
// still being written when the connection ends. It is not kept in a variable, because a large
// live heap changes the figures of tests that measure memory.
func Upload() []byte { return bytes.Repeat([]byte("x"), 16<<20) }

// Early is a response that is sent before the body of the request is read. The connection is
// reset afterwards.
type Early struct {
	Text string
	// Finish ends the stream (FIN) before the reset.
	Finish bool
	// Delay is the time from the response to the reset.
	Delay time.Duration
}

// EarlyServer sends an early response to the first request of each connection.
type EarlyServer struct {
	Address     netip.AddrPort
	Connections atomic.Int32
}

// ServeEarly starts an EarlyServer.
func ServeEarly(t *testing.T, e Early) *EarlyServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &EarlyServer{Address: listener.Addr().(*net.TCPAddr).AddrPort()}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.Connections.Add(1)
			go e.answer(c.(*net.TCPConn))
		}
	}()
	return s
}

func (e Early) answer(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	_, _ = io.WriteString(c, e.Text)
	if e.Finish {
		_ = c.CloseWrite()
	}
	time.Sleep(e.Delay)
	_ = c.SetLinger(0) // the close resets the connection
}
