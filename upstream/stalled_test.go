package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/internal/silence"
)

// Guards against requests that wait for their full timeout because the machine of an
// upstream is unresponsive: only missing acknowledgements reveal it.
func TestUnresponsiveMachineIsDetected(t *testing.T) {
	for name, bodyBytes := range map[string]int{"short": 1, "long": 12 << 20} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			release, lost := make(chan struct{}), make(chan error, 1)
			s := startStub(t, func(s *stubServer, c net.Conn, r *bufio.Reader) {
				id, _ := s.readRequest(r)
				_, _ = io.WriteString(c, okResponse(id, ""))
				lost <- silence.Start(c.(*net.TCPConn))
				<-release
			})
			defer close(release)
			client := NewClient(testCodec{}, testResponseBytes)
			require.Equal(t, Answered, exchangeWith(t, client, s, request("1")).Outcome)
			require.NoError(t, <-lost)
			r := request("2")
			r.Method, r.Body = http.MethodPost, make([]byte, bodyBytes)
			result := exchangeWith(t, client, s, r)
			require.True(t, result.Reused)
			require.Equal(t, Broken, result.Outcome)
			require.True(t, result.Unresponsive)
			require.Less(t, result.Took, 3*time.Second)
		})
	}
}

// Guards against a lost machine that is not detected because its receive buffer was full.
func TestMachineLostWithFullBufferIsDetected(t *testing.T) {
	release, lost := make(chan struct{}), make(chan error, 1)
	s := startStub(t, func(_ *stubServer, c net.Conn, r *bufio.Reader) {
		_, _ = r.Peek(1)
		<-time.After(unacknowledgedTimeout)
		lost <- silence.Start(c.(*net.TCPConn))
		<-release
	})
	defer close(release)
	r := request("1")
	r.Method, r.Body = http.MethodPost, make([]byte, 12<<20)
	result := exchangeWith(t, NewClient(testCodec{}, testResponseBytes), s, r)
	require.NoError(t, <-lost)
	require.Equal(t, Broken, result.Outcome)
	require.True(t, result.Unresponsive)
	require.Less(t, result.Took, 4*time.Second)
}

// Guards against a machine that counts as silent because its connection was idle before.
func TestSilenceIsCountedFromWhatIsOutstanding(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	var s ackWatch
	require.Zero(t, s.observe(at(0), false, time.Hour))
	require.Zero(t, s.observe(at(0), true, time.Hour))
	require.Equal(t, 300*time.Millisecond, s.observe(at(300*time.Millisecond), true, time.Hour))
	require.Equal(t, 50*time.Millisecond, s.observe(at(400*time.Millisecond), true, 50*time.Millisecond))
	require.Equal(t, 450*time.Millisecond, s.observe(at(800*time.Millisecond), true, 450*time.Millisecond))
	require.Zero(t, s.observe(at(900*time.Millisecond), false, time.Hour))
	require.Zero(t, s.observe(at(time.Second), true, time.Hour))
}

// Guards against a long request that is broken off because the upstream works on it
// before it reads the rest of the body: its machine acknowledges probes all the while.
func TestUpstreamThatReadsALongBodyLateIsNotCutOff(t *testing.T) {
	const bodyBytes = 4 << 20
	s := startStub(t, func(s *stubServer, c net.Conn, requests *bufio.Reader) {
		late, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		<-time.After(2 * unacknowledgedTimeout)
		if n, err := io.Copy(io.Discard, late.Body); err == nil && n == bodyBytes {
			_, _ = io.WriteString(c, okResponse("a", "read"))
		}
	})
	long := request("a")
	long.Method, long.Body = http.MethodPost, make([]byte, bodyBytes)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	result := NewClient(testCodec{}, testResponseBytes).Exchange(ctx, s.target, long, Attempt{})
	require.Equal(t, Answered, result.Outcome, "%v after %v", result.Err, result.Took)
}
