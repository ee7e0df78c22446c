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

// patience bounds every wait of a test.
const patience = 10 * time.Second

// gate replaces the service time: each run announces itself and waits.
type gate struct {
	started chan struct{}
	finish  chan time.Time
}

func newGate() *gate {
	return &gate{started: make(chan struct{}, 100), finish: make(chan time.Time, 100)}
}

func (g *gate) after(time.Duration) <-chan time.Time {
	g.started <- struct{}{}
	return g.finish
}

// open lets n runs finish.
func (g *gate) open(n int) {
	for range n {
		g.finish <- time.Time{}
	}
}

type rig struct {
	t     *testing.T
	group *Group
}

func start(t *testing.T, options Options, configs ...Config) *rig {
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

// result is the end of a request that another goroutine makes.
type result struct {
	response
	err error
}

// send makes a request on its own connection. Headers are name and value in turn.
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

// do makes a request that is answered.
func (r *rig) do(method, url, body string, headers ...string) response {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	answer, err := r.send(ctx, method, url, body, headers...)
	require.NoError(r.t, err)
	return answer
}

// begin makes a request in another goroutine.
func (r *rig) begin(ctx context.Context, url string, headers ...string) <-chan result {
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

// report reads the records over HTTP.
func (r *rig) report(query string) Report {
	r.t.Helper()
	var report Report
	require.NoError(r.t, json.Unmarshal([]byte(r.admin("GET", "/admin/runs"+query, "").body), &report))
	return report
}

// eventually waits until the totals satisfy the condition.
func (r *rig) eventually(condition func(Totals) bool) {
	r.t.Helper()
	require.Eventually(r.t, func() bool { return condition(r.group.recorder.Report(0, 0).Totals) }, patience, time.Millisecond)
}

// waiting waits until n requests wait for a slot of the first upstream.
func (r *rig) waiting(n int64) {
	r.t.Helper()
	current, _ := r.group.upstreams[0].state()
	require.Eventually(r.t, func() bool { return current.queued.Load() == n }, patience, time.Millisecond)
}

// wire is a raw connection, on which a test sees every answer.
type wire struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, address string) *wire {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return &wire{t: t, Conn: c, reader: bufio.NewReader(c)}
}

func (w *wire) write(path, id string) {
	w.t.Helper()
	_, err := io.WriteString(w, "GET "+path+" HTTP/1.1\r\nHost: u\r\nX-Request-Id: "+id+"\r\n\r\n")
	require.NoError(w.t, err)
}

// read returns the next answer and its body.
func (w *wire) read() (response, error) {
	if err := w.SetReadDeadline(time.Now().Add(patience)); err != nil {
		return response{}, err
	}
	answer, err := http.ReadResponse(w.reader, nil)
	if err != nil {
		return response{}, err
	}
	body, err := io.ReadAll(answer.Body)
	return response{Response: answer, body: string(body)}, err
}

// ask writes a request and returns its answer.
func (w *wire) ask(path, id string) response {
	w.t.Helper()
	w.write(path, id)
	answer, err := w.read()
	require.NoError(w.t, err)
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
