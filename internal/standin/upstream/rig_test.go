package upstream

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// testTimeout limits every wait in a test.
const testTimeout = 10 * time.Second

// runControl replaces the timers of the upstreams: each timer reports its start on
// started and fires when the test calls finishRuns.
type runControl struct {
	started chan struct{}
	finish  chan time.Time
}

func newRunControl() *runControl {
	return &runControl{started: make(chan struct{}, 100), finish: make(chan time.Time, 100)}
}

func (c *runControl) after(time.Duration) <-chan time.Time {
	c.started <- struct{}{}
	return c.finish
}

// finishRuns fires n timers.
func (c *runControl) finishRuns(n int) {
	for range n {
		c.finish <- time.Time{}
	}
}

// rig is a running group of upstreams.
type rig struct {
	t     *testing.T
	group *Group
}

func startGroup(t *testing.T, options Options, configs ...Config) *rig {
	t.Helper()
	options.AdminAddress = "127.0.0.1:0"
	group, err := Start(configs, options)
	require.NoError(t, err)
	t.Cleanup(group.Close)
	return &rig{t: t, group: group}
}

func (r *rig) address(i int) string { return r.group.Addresses().Upstreams[i].Address }

type response struct {
	*http.Response
	body string
}

func (a response) notRun() bool { return a.Header.Get(NotRunHeader) == "true" }

// result is the outcome of a request made by sendAsync.
type result struct {
	response
	err error
}

// send makes a request on its own connection. Headers alternate names and values.
func (r *rig) send(ctx context.Context, method, url, body string, headers ...string) (response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+url, strings.NewReader(body))
	require.NoError(r.t, err)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	request.Close = true
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(answer.Body)
	return response{Response: answer, body: string(content)}, err
}

// do makes a request that must be answered.
func (r *rig) do(method, url, body string, headers ...string) response {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	answer, err := r.send(ctx, method, url, body, headers...)
	require.NoError(r.t, err)
	return answer
}

// sendAsync makes a request in a new goroutine.
func (r *rig) sendAsync(ctx context.Context, url string, headers ...string) <-chan result {
	done := make(chan result, 1)
	go func() {
		answer, err := r.send(ctx, "POST", url, "body", headers...)
		done <- result{response: answer, err: err}
	}()
	return done
}

func (r *rig) admin(method, path, body string) response {
	r.t.Helper()
	answer := r.do(method, r.group.Addresses().Admin+path, body)
	require.Equal(r.t, http.StatusOK, answer.StatusCode, answer.body)
	return answer
}

// report reads the run records over HTTP.
func (r *rig) report(query string) Report {
	r.t.Helper()
	var report Report
	require.NoError(r.t, json.Unmarshal([]byte(r.admin("GET", "/admin/runs"+query, "").body), &report))
	return report
}

// waitForTotals waits until the totals satisfy the condition.
func (r *rig) waitForTotals(condition func(Totals) bool) {
	r.t.Helper()
	require.Eventually(r.t, func() bool { return condition(r.group.recorder.Report(0, 0).Totals) }, testTimeout, time.Millisecond)
}

// waitForQueued waits until n requests are queued at the first upstream.
func (r *rig) waitForQueued(n int64) {
	r.t.Helper()
	current, _ := r.group.upstreams[0].state()
	require.Eventually(r.t, func() bool { return current.queued.Load() == n }, testTimeout, time.Millisecond)
}

// rawConn is a raw connection on which a test can read every answer.
type rawConn struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, address string) *rawConn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return &rawConn{t: t, Conn: c, reader: bufio.NewReader(c)}
}

func (c *rawConn) write(path, id string) {
	c.t.Helper()
	_, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: u\r\nX-Request-Id: "+id+"\r\n\r\n")
	require.NoError(c.t, err)
}

// read returns the next answer and its body.
func (c *rawConn) read() (response, error) {
	if err := c.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		return response{}, err
	}
	answer, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return response{}, err
	}
	body, err := io.ReadAll(answer.Body)
	return response{Response: answer, body: string(body)}, err
}

// roundTrip writes a request and returns the next answer.
func (c *rawConn) roundTrip(path, id string) response {
	c.t.Helper()
	c.write(path, id)
	answer, err := c.read()
	require.NoError(c.t, err)
	return answer
}

func assertRefused(t *testing.T, address string) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err == nil {
		_ = c.Close()
	}
	assert.Error(t, err, "connections must be refused")
}
