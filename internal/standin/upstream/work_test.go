package upstream

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against runs that are not counted, duplicates that are not detected, and
// answers that do not identify their request.
func TestRunsAreRecorded(t *testing.T) {
	r := startGroup(t, Options{}, Config{Name: "u1"}, Config{Name: "u2"})
	answer := r.do("POST", r.address(0)+"/orders?size=100", "sieve", RequestIDHeader, "r1", IdempotencyKeyHeader, "k1", CustomerHeader, "c1")
	assert.Equal(t, http.StatusOK, answer.StatusCode)
	assert.Equal(t, "r1", answer.Header.Get(RequestIDHeader))
	var body Answer
	require.NoError(t, json.Unmarshal([]byte(answer.body), &body))
	assert.Equal(t, Answer{RequestID: "r1", IdempotencyKey: "k1", Upstream: "u1", Target: "/orders?size=100",
		BodyHash: bodyHash([]byte("sieve")), Payload: Payload("/orders?size=100", 100)}, body)
	assert.Len(t, body.Payload, 100)

	r.do("POST", r.address(1)+"/orders", "sieve", IdempotencyKeyHeader, "k1", CustomerHeader, "c1")
	r.do("POST", r.address(1)+"/orders", "sieve", IdempotencyKeyHeader, "k1", CustomerHeader, "c2")
	report := r.report("?since=1")
	assert.Equal(t, 3, report.Totals.Completed)
	assert.Equal(t, 1, report.Totals.Duplicates, "another customer's key is another operation")
	require.Len(t, report.Runs, 2)
	assert.Equal(t, 1, report.Runs[0].Repeat)
	assert.Equal(t, RunCompleted, report.Runs[0].State)
	assert.NotNil(t, report.Runs[0].End)
	assert.Equal(t, uint64(3), report.Settled)
}

// Guards against a leaked customer key that is not recorded.
func TestLeakedKeysAreRecorded(t *testing.T) {
	r := startGroup(t, Options{}, Config{Name: "u1"})
	base := r.address(0)
	r.do("GET", base+"/plain", "")
	r.do("GET", base+"/header", "", "Authorization", "Bearer ck_0123")
	r.do("GET", base+"/name", "", "X-ck_0123", "v")
	r.do("GET", base+"/query?k=ck%5F0123", "")
	r.do("POST", base+"/body", "key=ck_0123")
	r.admin("POST", "/admin/drain", "")
	r.do("GET", base+"/shed", "", "Cookie", "ck_0123")
	report := r.report("")
	assert.Equal(t, 5, report.Totals.RequestsWithKeys)
	assert.Len(t, report.Sightings, 5)
	assert.Empty(t, report.Runs[0].KeysSeen)
	assert.Equal(t, []string{"Authorization: Bearer ck_0123"}, report.Runs[1].KeysSeen)
}

// Guards against records that grow without limit, and totals that lose the runs
// that were dropped.
func TestRecordsAreBounded(t *testing.T) {
	recorder := NewRecorder(2)
	for i := range 5 {
		index := recorder.start(Run{IdempotencyKey: strconv.Itoa(i)})
		if i > 0 {
			recorder.end(index, RunCompleted, time.Unix(0, 0))
		}
	}
	recorder.end(0, RunCrashed, time.Unix(0, 0))
	report := recorder.Report(0, 10)
	assert.Equal(t, []uint64{3, 4}, []uint64{report.Runs[0].Index, report.Runs[1].Index})
	assert.Equal(t, 5, report.Totals.Started)
	assert.Equal(t, 4, report.Totals.Completed)
	assert.Equal(t, 1, report.Totals.Crashed)
	assert.Len(t, recorder.repeats, 2)
}

// Guards against more concurrent runs than slots, an unbounded queue, and a shed
// request that runs.
func TestSlotsAndQueueAreBounded(t *testing.T) {
	control, queue := newRunControl(), 1
	r := startGroup(t, Options{after: control.after}, Config{Name: "u1", Slots: 2, Queue: &queue})
	ctx, base := context.Background(), r.address(0)
	first, second := r.sendAsync(ctx, base+"/1"), r.sendAsync(ctx, base+"/2")
	<-control.started
	<-control.started
	third := r.sendAsync(ctx, base+"/3")
	r.waitForQueued(1)
	shed := r.do("GET", base+"/4", "")
	assert.Equal(t, http.StatusServiceUnavailable, shed.StatusCode)
	assert.True(t, shed.notRun())
	var health HealthReport
	require.NoError(t, json.Unmarshal([]byte(r.do("GET", base+"/health", "").body), &health))
	assert.Equal(t, HealthReport{Load: 3, Slots: 2}, health)
	assert.Equal(t, 2, r.report("").Totals.Started)

	control.finishRuns(1)
	<-control.started
	control.finishRuns(2)
	for _, done := range []<-chan result{first, second, third} {
		assert.Equal(t, http.StatusOK, (<-done).StatusCode)
	}
	totals := r.report("").Totals
	assert.Equal(t, []int{3, 3, 1}, []int{totals.Started, totals.Completed, totals.Shed})
}

// Guards against runs that start after their deadline, and against the answer "not
// run" to a request whose run had started.
func TestDeadline(t *testing.T) {
	control := newRunControl()
	r := startGroup(t, Options{after: control.after}, Config{Name: "u1", Slots: 1})
	base := r.address(0)
	soon := func() string { return time.Now().Add(50 * time.Millisecond).Format(time.RFC3339Nano) }

	past := r.do("GET", base+"/past", "", DeadlineHeader, "1000")
	assert.Equal(t, http.StatusServiceUnavailable, past.StatusCode)
	assert.True(t, past.notRun())
	assert.Equal(t, http.StatusBadRequest, r.do("GET", base+"/bad", "", DeadlineHeader, "soon").StatusCode)

	running := r.sendAsync(context.Background(), base+"/running")
	<-control.started
	queued := r.do("GET", base+"/queued", "", DeadlineHeader, soon())
	assert.True(t, queued.notRun())
	assert.Equal(t, 1, r.report("").Totals.Started)
	control.finishRuns(1)
	assert.Equal(t, http.StatusOK, (<-running).StatusCode)

	started := r.do("GET", base+"/started", "", DeadlineHeader, soon())
	assert.Equal(t, http.StatusGatewayTimeout, started.StatusCode)
	assert.False(t, started.notRun())
	report := r.report("")
	assert.Equal(t, []int{2, 1, 2}, []int{report.Totals.Started, report.Totals.Cancelled, report.Totals.Expired})
	assert.Equal(t, RunCancelled, report.Runs[1].State)
}

// Guards against cancelled requests that continue to run, keep their slot or count
// as completed.
func TestCancellation(t *testing.T) {
	control := newRunControl()
	r := startGroup(t, Options{after: control.after}, Config{Name: "u1", Slots: 1})
	ctx, cancel := context.WithCancel(context.Background())
	running := r.sendAsync(ctx, r.address(0)+"/running")
	<-control.started
	queuedCtx, cancelQueued := context.WithCancel(context.Background())
	queued := r.sendAsync(queuedCtx, r.address(0)+"/queued")
	r.waitForQueued(1)
	cancelQueued()
	require.Error(t, (<-queued).err)
	r.waitForTotals(func(totals Totals) bool { return totals.Abandoned == 1 })
	cancel()
	require.Error(t, (<-running).err)
	r.waitForTotals(func(totals Totals) bool { return totals.Cancelled == 1 })
	control.finishRuns(1)
	assert.Equal(t, http.StatusOK, r.do("GET", r.address(0)+"/next", "").StatusCode, "the slot is free again")
	assert.Equal(t, RunCancelled, r.report("").Runs[0].State)
}

// Guards against a request that runs although its body was truncated.
func TestTruncatedRequestDoesNotRun(t *testing.T) {
	r := startGroup(t, Options{}, Config{Name: "u1"})
	c := dial(t, r.address(0))
	_, err := c.Write([]byte("POST /order HTTP/1.1\r\nHost: u\r\nContent-Length: 100\r\n\r\nonly this"))
	require.NoError(t, err)
	require.NoError(t, c.Conn.(*net.TCPConn).CloseWrite())
	r.waitForTotals(func(totals Totals) bool { return totals.TruncatedRequests == 1 })
	assert.Zero(t, r.report("").Totals.Started)
}

// Guards against service times that differ between two sources with the same seed,
// and against an upstream that is never or always cold.
func TestServiceTimes(t *testing.T) {
	config := Config{Name: "u1", ServiceMillis: 10, ServiceSigma: 0.5, Seed: 7}
	one, two := newServiceTimes(config), newServiceTimes(config)
	for range 100 {
		assert.Equal(t, one.draw(), two.draw())
	}
	u := &Upstream{config: Config{ColdFactor: 3, ColdRequests: 1}, service: newServiceTimes(Config{ServiceMillis: 10})}
	inc := &incarnation{started: time.Now()}
	assert.Equal(t, 30*time.Millisecond, u.serviceTime(inc))
	inc.finished.Add(1)
	assert.Equal(t, 10*time.Millisecond, u.serviceTime(inc))
}

// Guards against an invalid configuration that is not rejected at the start and
// shows only under load.
func TestInvalidConfigurationIsRejected(t *testing.T) {
	_, err := ReadConfigs(strings.NewReader(`[{"name":"u1","slot":3}]`))
	var invalid *ConfigError
	require.ErrorAs(t, err, &invalid)
	for _, configs := range [][]Config{{{Name: ""}}, {{Name: "a"}, {Name: "a"}}, {{Name: "a", Slots: -1}}} {
		_, err := Start(configs, Options{AdminAddress: "127.0.0.1:0"})
		require.ErrorAs(t, err, &invalid)
	}
}
