package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/internal/standin/platform"
	"github.com/catkinspring/catkinspring/store"
)

// Guards against a crash that leaves connections open, lets clients reconnect, is
// recorded with another state, or loses the address.
func TestCrashOnRequest(t *testing.T) {
	control := newRunControl()
	r := startGroup(t, Options{after: control.after}, Config{Name: "u1"}, Config{Name: "u2"})
	r.admin("POST", "/admin/faults", `{"upstream":"u1","kind":"crash","marker":"poison"}`)
	base := r.address(0)
	idle := dial(t, base)
	other := r.sendAsync(context.Background(), base+"/other")
	<-control.started

	_, err := r.send(context.Background(), "POST", base+"/x", "a poison body")
	require.Error(t, err)
	assertRefused(t, base)
	require.Error(t, (<-other).err)
	_, err = idle.read()
	require.Error(t, err)
	r.waitForTotals(func(totals Totals) bool { return totals.Crashed == 2 })
	control.finishRuns(1)
	assert.Equal(t, http.StatusOK, r.do("GET", r.address(1)+"/poison", "").StatusCode, "the other upstream has no fault")

	r.admin("POST", "/admin/restart", `{"upstream":"u1"}`)
	control.finishRuns(1)
	assert.Equal(t, http.StatusOK, r.do("GET", base+"/x", "").StatusCode)
	_, err = r.send(context.Background(), "GET", base+"/poison", "")
	require.Error(t, err, "the fault stays until it is cleared")
	r.admin("POST", "/admin/restart", "")
	r.admin("DELETE", "/admin/faults?upstream=u1&kind=crash", "")
	control.finishRuns(1)
	assert.Equal(t, http.StatusOK, r.do("GET", base+"/poison", "").StatusCode)
}

// Guards against a scheduled restart that does not happen, and against a selector
// that matches too many upstreams.
func TestCrashOfFailureDomainRestarts(t *testing.T) {
	r := startGroup(t, Options{}, Config{Name: "u1", FailureDomain: "a"}, Config{Name: "u2", FailureDomain: "b"})
	r.admin("POST", "/admin/crash", `{"failureDomain":"a","restartAfterMillis":1}`)
	assert.Equal(t, http.StatusOK, r.do("GET", r.address(1)+"/x", "").StatusCode)
	require.Eventually(t, func() bool {
		_, err := r.send(context.Background(), "GET", r.address(0)+"/x", "")
		return err == nil
	}, testTimeout, time.Millisecond)
	none := r.do("POST", r.group.Addresses().Admin+"/admin/crash", `{"region":"none"}`)
	assert.Equal(t, http.StatusNotFound, none.StatusCode)
}

// Guards against a drain that aborts running requests, accepts new ones, or is not
// shown in the host list.
func TestDrain(t *testing.T) {
	p, err := platform.Listen(platform.Options{Address: "127.0.0.1:0"})
	require.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- p.Serve() }()
	defer func() {
		assert.NoError(t, p.Close())
		assert.NoError(t, <-served)
	}()
	control := newRunControl()
	r := startGroup(t, Options{after: control.after, Platform: p.Address()}, Config{Name: "u1", Pool: "katalog-ordre", Slots: 1})
	state := func() store.HostState {
		var list store.HostList
		require.NoError(t, json.Unmarshal([]byte(r.do("GET", p.Address()+"/v1/hosts", "").body), &list))
		require.Len(t, list.Hosts, 1)
		assert.Equal(t, r.address(0), list.Hosts[0].Address.String())
		return list.Hosts[0].State
	}
	assert.Equal(t, store.HostLive, state())
	running := r.sendAsync(context.Background(), r.address(0)+"/running")
	<-control.started
	queued := r.sendAsync(context.Background(), r.address(0)+"/queued")
	r.waitForQueued(1)

	r.admin("POST", "/admin/drain", `{"upstream":"u1"}`)
	assert.Equal(t, store.HostLeaving, state())
	refused := r.do("GET", r.address(0)+"/new", "")
	assert.Equal(t, http.StatusServiceUnavailable, refused.StatusCode)
	assert.True(t, refused.notRun())
	assert.Equal(t, "true", refused.Header.Get(DrainingHeader))
	assert.Contains(t, r.do("GET", r.address(0)+"/health", "").body, `"draining":true`)
	control.finishRuns(2)
	assert.Equal(t, http.StatusOK, (<-running).StatusCode)
	assert.Equal(t, http.StatusOK, (<-queued).StatusCode)
	totals := r.report("").Totals
	assert.Equal(t, []int{2, 2, 1}, []int{totals.Started, totals.Completed, totals.Drained})

	r.admin("POST", "/admin/drain", `{"draining":false}`)
	assert.Equal(t, store.HostLive, state())
	control.finishRuns(1)
	assert.Equal(t, http.StatusOK, r.do("GET", r.address(0)+"/new", "").StatusCode)

	r.admin("POST", "/admin/drain", `{"announce":false}`)
	assert.Equal(t, store.HostLive, state(), "the host list does not show an unannounced drain")
	r.admin("POST", "/admin/register", "")
	assert.Equal(t, store.HostLeaving, state())
}

// Guards against a fault that skips the run, applies too often, or breaks the
// answer in a different way than its kind says.
func TestBrokenAnswers(t *testing.T) {
	r := startGroup(t, Options{}, Config{Name: "u1"})
	for _, c := range []struct {
		kind FaultKind
		want error
	}{
		{FaultClose, io.ErrUnexpectedEOF}, {FaultReset, syscall.ECONNRESET}, {FaultShort, io.ErrUnexpectedEOF},
	} {
		r.admin("POST", "/admin/faults", `{"kind":"`+string(c.kind)+`","times":1,"marker":"this"}`)
		conn := dial(t, r.address(0))
		assert.Equal(t, http.StatusOK, conn.roundTrip("/other", "a").StatusCode)
		conn.write("/this", "b")
		_, err := conn.read()
		require.ErrorIs(t, err, c.want, c.kind)
		assert.Equal(t, http.StatusOK, r.do("GET", r.address(0)+"/this", "").StatusCode, "the fault applies only once")
	}
	r.admin("POST", "/admin/faults", `{"kind":"error","times":1}`)
	assert.Equal(t, http.StatusInternalServerError, r.do("GET", r.address(0)+"/x", "").StatusCode)
	report := r.report("")
	assert.Equal(t, 10, report.Totals.Completed)
	assert.Equal(t, map[FaultKind]int{FaultClose: 1, FaultReset: 1, FaultShort: 1, FaultError: 1}, report.Totals.Faults)
	assert.Equal(t, FaultClose, report.Runs[1].Fault)
}

// Guards against a repeated answer that the next request on the connection does
// not receive, and a crossed answer that has the ID of its own request.
func TestMisplacedAnswers(t *testing.T) {
	r := startGroup(t, Options{}, Config{Name: "u1"})
	conn := dial(t, r.address(0))
	r.admin("POST", "/admin/faults", `{"kind":"twice","times":1}`)
	first := conn.roundTrip("/1", "a")
	second := conn.roundTrip("/2", "b")
	assert.Equal(t, "a", second.Header.Get(RequestIDHeader), "the repeated answer to request a")
	assert.Equal(t, first.body, second.body)
	third, err := conn.read()
	require.NoError(t, err)
	assert.Equal(t, "b", third.Header.Get(RequestIDHeader))

	r.admin("POST", "/admin/faults", `{"kind":"crossed","times":1}`)
	crossed := conn.roundTrip("/3", "c")
	assert.Equal(t, "b", crossed.Header.Get(RequestIDHeader))
	assert.Equal(t, third.body, crossed.body)
	assert.Equal(t, 3, r.report("").Totals.Completed)
}

// Guards against a stalled or late answer to a request that has not run.
func TestDelayedAnswers(t *testing.T) {
	control := newRunControl()
	r := startGroup(t, Options{after: control.after}, Config{Name: "u1"})
	r.admin("POST", "/admin/faults", `{"kind":"late","times":1,"delayMillis":1000}`)
	late := r.sendAsync(context.Background(), r.address(0)+"/late")
	control.finishRuns(1)
	r.waitForTotals(func(totals Totals) bool { return totals.Completed == 1 })
	assert.Empty(t, late)
	control.finishRuns(1)
	assert.Equal(t, http.StatusOK, (<-late).StatusCode)

	r.admin("POST", "/admin/faults", `{"kind":"stall","times":1}`)
	ctx, cancel := context.WithCancel(context.Background())
	stalled := r.sendAsync(ctx, r.address(0)+"/stall")
	control.finishRuns(1)
	r.waitForTotals(func(totals Totals) bool { return totals.Completed == 2 })
	assert.Empty(t, stalled)
	cancel()
	require.ErrorIs(t, (<-stalled).err, context.Canceled)
}

// Guards against silent connections that answer, are closed, or run the requests
// sent on them, and against new connections that are silent too.
func TestSilentConnections(t *testing.T) {
	control := newRunControl()
	r := startGroup(t, Options{after: control.after}, Config{Name: "u1"})
	idle, busy := dial(t, r.address(0)), dial(t, r.address(0))
	control.finishRuns(1)
	idle.roundTrip("/1", "a")
	<-control.started
	busy.write("/2", "b")
	<-control.started
	assert.Contains(t, r.admin("POST", "/admin/faults", `{"upstream":"u1","kind":"silent"}`).body, `"connections":2`)
	idle.write("/3", "c")
	control.finishRuns(1)
	r.waitForTotals(func(totals Totals) bool { return totals.Completed == 2 })
	for _, conn := range []*rawConn{idle, busy} {
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
		_, err := conn.Read(make([]byte, 1))
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	}
	control.finishRuns(1)
	assert.Equal(t, http.StatusOK, r.do("GET", r.address(0)+"/4", "").StatusCode)
	assert.Equal(t, 3, r.report("").Totals.Started, "requests on a silent connection do not arrive")
	require.NoError(t, idle.Close())
	require.NoError(t, busy.Close())
	require.Eventually(t, func() bool {
		return bytes.Contains([]byte(r.admin("GET", "/admin/upstreams", "").body), []byte(`"silentConnections":0`))
	}, testTimeout, time.Millisecond, "closed connections are removed")
}

// Guards against a refusal that closes open connections or cannot be cleared, and
// against more connections than MaxConnections.
func TestRefusedConnections(t *testing.T) {
	r := startGroup(t, Options{}, Config{Name: "u1", MaxConnections: 1})
	conn := dial(t, r.address(0))
	assert.Equal(t, http.StatusOK, conn.roundTrip("/1", "a").StatusCode)
	_, err := dial(t, r.address(0)).read()
	require.True(t, errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF), "the second connection is closed: %v", err)
	assert.Equal(t, 1, r.report("").Totals.ConnectionsRefused)

	r.admin("POST", "/admin/faults", `{"kind":"refuse"}`)
	assertRefused(t, r.address(0))
	assert.Equal(t, http.StatusOK, conn.roundTrip("/2", "b").StatusCode)
	r.admin("DELETE", "/admin/faults?kind=refuse", "")
	c, err := net.Dial("tcp", r.address(0))
	require.NoError(t, err)
	require.NoError(t, c.Close())
}

// Guards against health reports that show the actual state although the mode is
// lag, freeze, lie or fail.
func TestMisleadingHealth(t *testing.T) {
	control := newRunControl()
	r := startGroup(t, Options{after: control.after}, Config{Name: "u1", Slots: 3})
	health := func() string { return r.do("GET", r.address(0)+"/health", "").body }
	running := r.sendAsync(context.Background(), r.address(0)+"/1")
	<-control.started
	r.admin("POST", "/admin/health", `{"mode":"freeze"}`)
	second := r.sendAsync(context.Background(), r.address(0)+"/2")
	<-control.started
	assert.JSONEq(t, `{"load":1,"slots":3,"draining":false}`, health())
	r.admin("POST", "/admin/health", `{"mode":"lag","lagMillis":3600000}`)
	assert.JSONEq(t, `{"load":0,"slots":3,"draining":false}`, health())
	r.admin("POST", "/admin/health", `{"mode":"lie","load":0.5,"draining":true}`)
	assert.JSONEq(t, `{"load":0.5,"slots":3,"draining":true}`, health())
	r.admin("POST", "/admin/health", `{"mode":"fail","status":502}`)
	assert.Equal(t, http.StatusBadGateway, r.do("GET", r.address(0)+"/health", "").StatusCode)
	r.admin("POST", "/admin/health", `{"mode":"normal"}`)
	assert.JSONEq(t, `{"load":2,"slots":3,"draining":false}`, health())
	control.finishRuns(2)
	assert.Equal(t, http.StatusOK, (<-running).StatusCode)
	assert.Equal(t, http.StatusOK, (<-second).StatusCode)
}

// Guards against a lagging report that shows a newer or a much older load than
// configured.
func TestLoadHistory(t *testing.T) {
	var h health
	began := time.Unix(1000, 0)
	for i := range 3 * maxSamples {
		h.record(loadSample{at: began.Add(time.Duration(i) * sampleInterval), load: float64(i)})
	}
	now := began.Add(3 * maxSamples * sampleInterval)
	assert.InDelta(t, 3*maxSamples-100, h.sampleAt(now.Add(-100*sampleInterval)).load, 1)
	assert.LessOrEqual(t, len(h.samples), maxSamples)
}
