package demo

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/internal/standin/upstream"
)

// exitCodeForced is the exit code after a second signal.
const exitCodeForced = 4

// stopSpec returns a fleet with one entry host in each region, whose planned stop is
// shorter than the timeouts of its routes.
func stopSpec(regions int) Spec {
	s := smallSpec(regions)
	s.DrainTimeout = 8 * time.Second
	for i := range s.Routes {
		s.Routes[i].TimeoutMillis = 20_000
		s.Routes[i].FirstByteTimeoutMillis = 20_000
	}
	return s
}

func startStopFleet(ctx context.Context, t *testing.T, regions int) *Fleet {
	options := programs
	options.Directory = t.TempDir()
	f, err := start(ctx, stopSpec(regions), options, t.Logf)
	require.NoError(t, err)
	t.Cleanup(f.Close)
	return f
}

// delayAnswers makes the upstreams answer requests with a marker after a delay.
func (f *Fleet) delayAnswers(ctx context.Context, t *testing.T, marker string, delay time.Duration) {
	fault := upstream.Fault{Kind: upstream.FaultLate, Marker: marker, DelayMillis: float64(delay.Milliseconds())}
	for _, addresses := range f.Upstreams {
		require.NoError(t, call(ctx, http.MethodPost, "http://"+addresses.Admin+"/admin/faults", "", fault, nil))
	}
}

func (f *Fleet) dial(t *testing.T) net.Conn {
	c, err := net.Dial("tcp", f.Hosts[0].Callers.String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	return c
}

func send(t *testing.T, c net.Conn, request string) {
	_, err := c.Write([]byte(request))
	require.NoError(t, err)
}

// awaitRuns waits until the upstreams have received a number of requests.
func (f *Fleet) awaitRuns(ctx context.Context, t *testing.T, want int) {
	require.NoError(t, Eventually(ctx, readyTimeout, "the upstreams have the requests", func() error {
		received := 0
		for _, addresses := range f.Upstreams {
			report, err := f.runReport(ctx, addresses.Admin, 0, 1)
			if err != nil {
				return err
			}
			received += report.Totals.Received
		}
		if received < want {
			return &stateError{host: f.Hosts[0].ID, state: strconv.Itoa(received) + " requests passed on"}
		}
		return nil
	}))
}

func (f *Fleet) awaitEnd(t *testing.T) {
	select {
	case <-f.Hosts[0].Process.Done():
	case <-time.After(f.DrainTimeout + propagationLimit):
		t.Fatal("the host did not end: " + f.Hosts[0].Process.Log())
	}
}

// Guards against a planned stop that cuts a running request at its end without an
// answer and without a log line.
func TestPlannedStopAnswersRequestsThatOutlastIt(t *testing.T) {
	ctx := testContext(t)
	f := startStopFleet(ctx, t, 1)
	f.delayAnswers(ctx, t, "slow", 15*time.Second)
	c := f.dial(t)
	send(t, c, "GET /"+routeKatalog+"/slow HTTP/1.1\r\nHost: h\r\n\r\n")
	f.awaitRuns(ctx, t, 1)
	require.NoError(t, f.Hosts[0].Process.Signal(syscall.SIGTERM))

	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err, "the connection ended without an answer")
	var document problemDocument
	require.NoError(t, json.NewDecoder(response.Body).Decode(&document))
	assert.Equal(t, http.StatusGatewayTimeout, response.StatusCode, "%+v", document)
	assert.Equal(t, "unknown", document.Outcome)
	f.awaitEnd(t)
	var line string
	for l := range strings.Lines(f.Hosts[0].Process.Log()) {
		if strings.Contains(l, document.RequestID) {
			line = l
		}
	}
	assert.Contains(t, line, `"passed_on":true`)
	assert.Contains(t, line, `"upstream":"katalog-ordre-`)
	assert.Contains(t, line, `"age":`)
	assert.Regexp(t, `"connections":1,"requests":1,.*"planned stop begins"`, f.Hosts[0].Process.Log())
	assert.Regexp(t, `"cut":0,"refused":0,"passed_on_late":0,"ended":1,.*"planned stop ends"`, f.Hosts[0].Process.Log())
}

// Guards against a planned stop that counts a request as finished while its response
// is still being written, and cuts the response.
func TestPlannedStopDeliversResponsesToSlowReaders(t *testing.T) {
	ctx := testContext(t)
	f := startStopFleet(ctx, t, 1)
	c := f.dial(t)
	require.NoError(t, c.(*net.TCPConn).SetReadBuffer(256<<10))
	const size = 8 << 20 * 9 / 10
	send(t, c, "GET /"+routeKatalog+"/x?size="+strconv.Itoa(size)+" HTTP/1.1\r\nHost: h\r\n\r\n")
	f.awaitRuns(ctx, t, 1)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.NoError(t, f.Hosts[0].Process.Signal(syscall.SIGTERM))
	time.Sleep(f.MaxAge + 4*time.Second)
	total, err := io.Copy(io.Discard, response.Body)
	require.NoError(t, err, "%d bytes of the response arrived", total)
	require.GreaterOrEqual(t, total, int64(size))
	f.awaitEnd(t)
	assert.Zero(t, f.Hosts[0].Process.ExitCode(), f.Hosts[0].Process.Log())
}

// Guards against a planned stop during a store outage that passes requests on to its
// end and then cuts them.
func TestPlannedStopRefusesRequestsThatComeTooLate(t *testing.T) {
	ctx := testContext(t)
	f := startStopFleet(ctx, t, 1)
	f.delayAnswers(ctx, t, "slow", 3*time.Second)
	require.NoError(t, call(ctx, http.MethodPost, "http://"+f.Platform+"/admin/faults", "", jsonObject{"outage": "refuse"}, nil))
	require.NoError(t, f.Hosts[0].Process.Signal(syscall.SIGTERM))

	counts := f.Hosts[0].askUntil(200*time.Millisecond, "/"+routeKatalog+"/slow", f.Hosts[0].Process.Done())
	t.Logf("%v", counts)
	assert.Zero(t, counts["no answer"])
	assert.Zero(t, counts["half an answer"])
	assert.Zero(t, counts["unknown"], "passed on too late")
	assert.Positive(t, counts["run"])
	f.awaitEnd(t)
}

// askUntil sends a request on a new connection in each interval, until the channel is closed. It returns the number of requests by the outcome that the
// callers saw.
func (h *Host) askUntil(interval time.Duration, path string, done <-chan struct{}) map[string]int {
	var ends []chan string
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for asking := true; asking; {
		if c, err := net.Dial("tcp", h.Callers.String()); err == nil {
			end := make(chan string, 1)
			ends = append(ends, end)
			go func() { end <- ask(c, path) }()
		}
		select {
		case <-ticker.C:
		case <-done:
			asking = false
		}
	}
	counts := map[string]int{}
	for _, end := range ends {
		counts[<-end]++
	}
	return counts
}

// ask sends a request and returns the outcome that the caller sees.
func ask(c net.Conn, path string) string {
	defer func() { _ = c.Close() }()
	// A failed write shows in the answer.
	_, _ = c.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n"))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "no answer"
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return "half an answer"
	}
	return response.Header.Get("Request-Outcome")
}

// Guards against a second signal that cuts running requests without an answer.
func TestSecondSignalAnswersRunningRequests(t *testing.T) {
	ctx := testContext(t)
	f := startStopFleet(ctx, t, 1)
	f.delayAnswers(ctx, t, "slow", 15*time.Second)
	outcome := make(chan string, 1)
	c := f.dial(t)
	go func() { outcome <- ask(c, "/"+routeKatalog+"/slow") }()
	f.awaitRuns(ctx, t, 1)
	signalled := time.Now()
	for range 2 {
		require.NoError(t, f.Hosts[0].Process.Signal(syscall.SIGTERM))
		time.Sleep(100 * time.Millisecond)
	}
	assert.Equal(t, "unknown", <-outcome)
	f.awaitEnd(t)
	assert.Equal(t, exitCodeForced, f.Hosts[0].Process.ExitCode())
	assert.Less(t, f.Hosts[0].Process.Ended().Sub(signalled), f.DrainTimeout/2)
}
