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

// Guards against runs that are not counted, duplicates that are not seen, and
// answers that do not identify their request.
func TestRunsAreRecorded(t *testing.T) {
	r := start(t, Options{}, Config{Name: "u1"}, Config{Name: "u2"})
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

// Guards against a leaked customer's key that no check can see.
func TestKeysAreSeen(t *testing.T) {
	r := start(t, Options{}, Config{Name: "u1"})
	u := r.address(0)
	r.do("GET", u+"/plain", "")
	r.do("GET", u+"/header", "", "Authorization", "Bearer ck_0123")
	r.do("GET", u+"/name", "", "X-ck_0123", "v")
	r.do("GET", u+"/query?k=ck%5F0123", "")
	r.do("POST", u+"/body", "key=ck_0123")
	r.admin("POST", "/admin/drain", "")
	r.do("GET", u+"/shed", "", "Cookie", "ck_0123")
	report := r.report("")
	assert.Equal(t, 5, report.Totals.RequestsWithKeys)
	assert.Len(t, report.Sightings, 5)
	assert.Empty(t, report.Runs[0].KeysSeen)
	assert.Equal(t, []string{"Authorization: Bearer ck_0123"}, report.Runs[1].KeysSeen)
}

// Guards against records that grow without bound, and totals that shrink with them.
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

// Guards against more work at once than there are slots, an unbounded queue,
// and a shed request that runs.
func TestSlotsAndQueueAreBounded(t *testing.T) {
	g, queue := newGate(), 1
	r := start(t, Options{after: g.after}, Config{Name: "u1", Slots: 2, Queue: &queue})
	ctx, u := context.Background(), r.address(0)
	first, second := r.begin(ctx, u+"/1"), r.begin(ctx, u+"/2")
	<-g.started
	<-g.started
	third := r.begin(ctx, u+"/3")
	r.waiting(1)
	shed := r.do("GET", u+"/4", "")
	assert.Equal(t, http.StatusServiceUnavailable, shed.StatusCode)
	assert.True(t, shed.notRun())
	var health HealthReport
	require.NoError(t, json.Unmarshal([]byte(r.do("GET", u+"/health", "").body), &health))
	assert.Equal(t, HealthReport{Load: 3, Slots: 2}, health)
	assert.Equal(t, 2, r.report("").Totals.Started)

	g.open(1)
	<-g.started
	g.open(2)
	for _, done := range []<-chan result{first, second, third} {
		assert.Equal(t, http.StatusOK, (<-done).StatusCode)
	}
	totals := r.report("").Totals
	assert.Equal(t, []int{3, 3, 1}, []int{totals.Started, totals.Completed, totals.Shed})
}

// Guards against work that starts after its deadline, and against "not run" for
// work that had started.
func TestDeadline(t *testing.T) {
	g := newGate()
	r := start(t, Options{after: g.after}, Config{Name: "u1", Slots: 1})
	u := r.address(0)
	soon := func() string { return time.Now().Add(50 * time.Millisecond).Format(time.RFC3339Nano) }

	past := r.do("GET", u+"/past", "", DeadlineHeader, "1000")
	assert.Equal(t, http.StatusServiceUnavailable, past.StatusCode)
	assert.True(t, past.notRun())
	assert.Equal(t, http.StatusBadRequest, r.do("GET", u+"/bad", "", DeadlineHeader, "soon").StatusCode)

	running := r.begin(context.Background(), u+"/running")
	<-g.started
	queued := r.do("GET", u+"/queued", "", DeadlineHeader, soon())
	assert.True(t, queued.notRun())
	assert.Equal(t, 1, r.report("").Totals.Started)
	g.open(1)
	assert.Equal(t, http.StatusOK, (<-running).StatusCode)

	started := r.do("GET", u+"/started", "", DeadlineHeader, soon())
	assert.Equal(t, http.StatusGatewayTimeout, started.StatusCode)
	assert.False(t, started.notRun())
	report := r.report("")
	assert.Equal(t, []int{2, 1, 2}, []int{report.Totals.Started, report.Totals.Cancelled, report.Totals.Expired})
	assert.Equal(t, RunCancelled, report.Runs[1].State)
}

// Guards against cancelled work that goes on, holds its slot or counts as completed.
func TestCancellation(t *testing.T) {
	g := newGate()
	r := start(t, Options{after: g.after}, Config{Name: "u1", Slots: 1})
	ctx, cancel := context.WithCancel(context.Background())
	running := r.begin(ctx, r.address(0)+"/running")
	<-g.started
	waitCtx, leave := context.WithCancel(context.Background())
	queued := r.begin(waitCtx, r.address(0)+"/queued")
	r.waiting(1)
	leave()
	require.Error(t, (<-queued).err)
	r.eventually(func(totals Totals) bool { return totals.Abandoned == 1 })
	cancel()
	require.Error(t, (<-running).err)
	r.eventually(func(totals Totals) bool { return totals.Cancelled == 1 })
	g.open(1)
	assert.Equal(t, http.StatusOK, r.do("GET", r.address(0)+"/next", "").StatusCode, "the slot is free again")
	assert.Equal(t, RunCancelled, r.report("").Runs[0].State)
}

// Guards against a request that runs although its body was cut off.
func TestTruncatedRequestDoesNotRun(t *testing.T) {
	r := start(t, Options{}, Config{Name: "u1"})
	c := dial(t, r.address(0))
	_, err := c.Write([]byte("POST /order HTTP/1.1\r\nHost: u\r\nContent-Length: 100\r\n\r\nonly this"))
	require.NoError(t, err)
	require.NoError(t, c.Conn.(*net.TCPConn).CloseWrite())
	r.eventually(func(totals Totals) bool { return totals.TruncatedRequests == 1 })
	assert.Zero(t, r.report("").Totals.Started)
}

// Guards against service times that differ between two runs with one seed, and
// against an upstream that is never or always cold.
func TestServiceTimes(t *testing.T) {
	config := Config{Name: "u1", ServiceMillis: 10, ServiceSigma: 0.5, Seed: 7}
	one, two := newServiceTimes(config), newServiceTimes(config)
	for range 100 {
		assert.Equal(t, one.draw(), two.draw())
	}
	u := &Upstream{config: Config{ColdFactor: 3, ColdRequests: 1}, service: newServiceTimes(Config{ServiceMillis: 10})}
	i := &incarnation{started: time.Now()}
	assert.Equal(t, 30*time.Millisecond, u.serviceTime(i))
	i.ran.Add(1)
	assert.Equal(t, 10*time.Millisecond, u.serviceTime(i))
}

// Guards against a configuration error that shows only under load.
func TestConfigurationIsChecked(t *testing.T) {
	_, err := ReadConfigs(strings.NewReader(`[{"name":"u1","slot":3}]`))
	var invalid *ConfigError
	require.ErrorAs(t, err, &invalid)
	for _, configs := range [][]Config{{{Name: ""}}, {{Name: "a"}, {Name: "a"}}, {{Name: "a", Slots: -1}}} {
		_, err := Start(configs, Options{AdminAddress: "127.0.0.1:0"})
		require.ErrorAs(t, err, &invalid)
	}
}
