package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/store"
)

// testTimeout limits every wait in a test.
const testTimeout = 10 * time.Second

// fakeClock is a clock that a test advances.
type fakeClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *fakeClock) read() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// rig is a running Platform and the base URL of its API.
type rig struct {
	t    *testing.T
	p    *Platform
	base string
}

func startPlatform(t *testing.T, options Options) *rig {
	t.Helper()
	options.Address = "127.0.0.1:0"
	p, err := Listen(options)
	require.NoError(t, err)
	var serving conc.WaitGroup
	serving.Go(func() { assert.NoError(t, p.Serve()) })
	t.Cleanup(func() {
		assert.NoError(t, p.Close())
		serving.Wait()
	})
	return &rig{t: t, p: p, base: "http://" + p.Address()}
}

type answer struct {
	status int
	etag   string
	body   string
}

// send makes a call and returns connection errors. Headers alternate names and values.
func (r *rig) send(ctx context.Context, method, path, body string, headers ...string) (answer, error) {
	request, err := http.NewRequestWithContext(ctx, method, r.base+path, strings.NewReader(body))
	require.NoError(r.t, err)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	// Each call uses its own connection, because net/http repeats a GET if a
	// reused connection breaks.
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, etag: response.Header.Get("ETag"), body: string(content)}, err
}

// do makes a call that must be answered.
func (r *rig) do(method, path, body string, headers ...string) answer {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	a, err := r.send(ctx, method, path, body, headers...)
	require.NoError(r.t, err)
	return a
}

func (r *rig) setFaults(body string) {
	r.t.Helper()
	require.Equal(r.t, http.StatusOK, r.do("POST", "/admin/faults", body).status)
}

// Guards against a condition that is not checked, or not atomically with the write.
func TestConditionalUpdates(t *testing.T) {
	r := startPlatform(t, Options{})
	const path = "/v1/objects/roster/cell-1"
	assert.Equal(t, http.StatusNotFound, r.do("GET", path, "").status)
	assert.Equal(t, http.StatusPreconditionRequired, r.do("PUT", path, "x").status, "a condition is required")
	assert.Equal(t, http.StatusPreconditionFailed, r.do("PUT", path, "x", "If-Match", `"1"`).status, "update of a missing object")

	created := r.do("PUT", path, "one", "If-None-Match", "*")
	assert.Equal(t, answer{status: http.StatusCreated, etag: `"1"`}, created)
	again := r.do("PUT", path, "two", "If-None-Match", "*")
	assert.Equal(t, http.StatusPreconditionFailed, again.status)
	assert.Equal(t, `"1"`, again.etag, "a conflict carries the current version")
	assert.Equal(t, answer{status: http.StatusOK, etag: `"2"`}, r.do("PUT", path, "two", "If-Match", `"1"`))
	assert.Equal(t, http.StatusPreconditionFailed, r.do("PUT", path, "three", "If-Match", `"1"`).status)
	assert.Equal(t, answer{status: http.StatusOK, etag: `"2"`, body: "two"}, r.do("GET", path, ""))

	large := strings.Repeat("x", store.MaxValueSize+1)
	assert.Equal(t, http.StatusRequestEntityTooLarge, r.do("PUT", path, large, "If-Match", `"2"`).status)
	assert.Equal(t, http.StatusOK, r.do("PUT", path, large[1:], "If-Match", `"2"`).status)

	assert.JSONEq(t, `[{"name":"cell-1","version":3}]`, r.do("GET", "/v1/objects/roster?prefix=cell&limit=5", "").body)
	assert.JSONEq(t, `[]`, r.do("GET", "/v1/objects/roster?prefix=other", "").body)
	assert.Equal(t, http.StatusPreconditionFailed, r.do("DELETE", path, "", "If-Match", `"2"`).status)
	assert.Equal(t, http.StatusNoContent, r.do("DELETE", path, "", "If-Match", `"3"`).status)
	assert.Equal(t, http.StatusNotFound, r.do("DELETE", path, "", "If-Match", `"3"`).status)
}

// Guards against two concurrent updates of one version that both succeed.
func TestConcurrentUpdatesHaveOneWinner(t *testing.T) {
	r := startPlatform(t, Options{})
	r.do("PUT", "/v1/objects/k/n", "0", "If-None-Match", "*")
	statuses := make(chan int, 20)
	var writers conc.WaitGroup
	for range cap(statuses) {
		writers.Go(func() { statuses <- r.do("PUT", "/v1/objects/k/n", "1", "If-Match", `"1"`).status })
	}
	writers.Wait()
	close(statuses)
	counts := map[int]int{}
	for status := range statuses {
		counts[status]++
	}
	assert.Equal(t, map[int]int{http.StatusOK: 1, http.StatusPreconditionFailed: 19}, counts)
}

// Guards against a lost answer whose change has no effect, and against reads and
// conflicts that count as lost answers.
func TestLostAnswersTakeEffect(t *testing.T) {
	for _, mode := range []string{"close", "hang"} {
		t.Run(mode, func(t *testing.T) {
			r := startPlatform(t, Options{})
			r.setFaults(`{"loseAnswers":1,"loseMode":"` + mode + `"}`)
			assert.Equal(t, http.StatusNotFound, r.do("GET", "/v1/objects/k/n", "").status)
			assert.Equal(t, http.StatusPreconditionFailed, r.do("PUT", "/v1/objects/k/n", "v", "If-Match", `"9"`).status)

			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			lost := make(chan error, 1)
			go func() {
				_, err := r.send(ctx, "PUT", "/v1/objects/k/n", "v", "If-None-Match", "*")
				lost <- err
			}()
			require.Eventually(t, func() bool { return r.do("GET", "/v1/objects/k/n", "").body == "v" }, testTimeout, time.Millisecond)
			if mode == "hang" {
				assert.Empty(t, lost, "the change must not be answered")
				cancel()
			}
			require.Error(t, <-lost)
			assert.Equal(t, http.StatusOK, r.do("PUT", "/v1/objects/k/n", "w", "If-Match", `"1"`).status)
		})
	}
}

// Guards against calls that take effect during an outage, and against hanging
// calls that are executed after it.
func TestOutageChangesNothing(t *testing.T) {
	r := startPlatform(t, Options{})
	r.setFaults(`{"outage":"refuse"}`)
	assert.Equal(t, http.StatusServiceUnavailable, r.do("PUT", "/v1/objects/k/n", "v", "If-None-Match", "*").status)
	assert.Equal(t, http.StatusServiceUnavailable, r.do("GET", "/v1/hosts", "").status)
	r.setFaults(`{"outageScope":"objects"}`)
	assert.Equal(t, http.StatusOK, r.do("GET", "/v1/hosts", "").status)

	r.setFaults(`{"outage":"close"}`)
	_, err := r.send(context.Background(), "PUT", "/v1/objects/k/n", "v", "If-None-Match", "*")
	require.Error(t, err)

	r.setFaults(`{"outage":"hang"}`)
	hung := make(chan error, 1)
	go func() {
		_, err := r.send(context.Background(), "PUT", "/v1/objects/k/n", "v", "If-None-Match", "*")
		hung <- err
	}()
	require.Eventually(t, func() bool { return r.p.callCounters.report().Refused[CallCreate] == 3 }, testTimeout, time.Millisecond)
	assert.Empty(t, hung)
	r.setFaults(`{"outage":"none"}`)
	require.Error(t, <-hung)
	assert.Equal(t, http.StatusNotFound, r.do("GET", "/v1/objects/k/n", "").status)
}

// Guards against a cut-off that affects the wrong clients.
func TestCutOffClient(t *testing.T) {
	r := startPlatform(t, Options{})
	r.setFaults(`{"cutOff":["host-a"],"cutOffMode":"close"}`)
	_, err := r.send(context.Background(), "GET", "/v1/hosts", "", ClientHeader, "host-a")
	require.Error(t, err)
	assert.Equal(t, http.StatusOK, r.do("GET", "/v1/hosts", "", ClientHeader, "host-b").status)
	r.setFaults(`{"cutOff":["127.0.0.1"],"cutOffMode":"refuse"}`)
	assert.Equal(t, http.StatusServiceUnavailable, r.do("GET", "/v1/hosts", "", ClientHeader, "host-b").status)
	assert.Equal(t, http.StatusBadRequest, r.do("POST", "/admin/faults", `{"outage":"sometimes"}`).status)
}

// Guards against a watch that misses a change, is counted more than once, or
// continues through an outage.
func TestWatch(t *testing.T) {
	r := startPlatform(t, Options{})
	watch := func(since string) <-chan answer {
		result := make(chan answer, 1)
		before := r.p.callCounters.report().Total[CallWatch]
		go func() {
			// An interrupted watch returns the zero answer.
			a, _ := r.send(context.Background(), "GET", "/v1/watch/k?timeoutSeconds=60&since="+since, "")
			result <- a
		}()
		require.Eventually(t, func() bool { return r.p.callCounters.report().Total[CallWatch] > before }, testTimeout, time.Millisecond)
		return result
	}
	pending := watch("0")
	r.do("PUT", "/v1/objects/other/n", "v", "If-None-Match", "*")
	r.do("PUT", "/v1/objects/k/n", "v", "If-None-Match", "*")
	var changes store.Changes
	require.NoError(t, json.Unmarshal([]byte((<-pending).body), &changes))
	assert.Equal(t, store.Changes{Version: 2, Changes: []store.Change{{Name: "n", Version: 2}}}, changes)
	assert.Equal(t, 1, r.p.callCounters.report().Total[CallWatch], "a waiting watch is one call")

	r.do("DELETE", "/v1/objects/k/n", "", "If-Match", `"2"`)
	assert.JSONEq(t, `{"version":3,"changes":[{"name":"n","version":3,"deleted":true}]}`, (<-watch("2")).body)
	assert.Equal(t, http.StatusGone, r.do("GET", "/v1/watch/k?since=99", "").status)
	assert.JSONEq(t, `{"version":3,"changes":[]}`, r.do("GET", "/v1/watch/k?since=3&timeoutSeconds=0", "").body)

	pending = watch("3")
	r.setFaults(`{"outage":"close"}`)
	assert.Zero(t, (<-pending).status)
}

// Guards against a watch from a version older than the change log that is
// answered as if nothing had changed.
func TestCompactedWatch(t *testing.T) {
	o := newObjects()
	key := (&request{Request: &http.Request{}}).key()
	version, err := o.create(key, nil)
	for range 2 * minLogLength {
		require.NoError(t, err)
		version, err = o.update(key, version, nil)
	}
	_, _, err = o.changesSince(key.Kind, 0)
	var compacted *store.CompactedError
	require.ErrorAs(t, err, &compacted)
	changes, _, err := o.changesSince(key.Kind, version-3)
	require.NoError(t, err)
	assert.Len(t, changes.Changes, 3)
}

// Guards against a host list that shows changes immediately, out of order, or never.
func TestHostListLags(t *testing.T) {
	c := &fakeClock{now: time.Unix(1000, 0)}
	r := startPlatform(t, Options{HostLag: 5 * time.Second, Now: c.read})
	states := func() map[string]store.HostState {
		var list store.HostList
		require.NoError(t, json.Unmarshal([]byte(r.do("GET", "/v1/hosts", "").body), &list))
		found := map[string]store.HostState{}
		for _, h := range list.Hosts {
			found[h.Name] = h.State
		}
		return found
	}
	put := func(query, state string) {
		body := `{"role":"upstream","address":"127.0.0.1:80","region":"pwani","failureDomain":"a","state":"` + state + `"}`
		require.Equal(t, http.StatusOK, r.do("PUT", "/admin/hosts/u1"+query, body).status)
	}
	put("?immediate=true", "live")
	assert.Equal(t, map[string]store.HostState{"u1": store.HostLive}, states())
	put("", "leaving")
	assert.Equal(t, store.HostLive, states()["u1"])
	c.advance(4 * time.Second)
	require.Equal(t, http.StatusNoContent, r.do("DELETE", "/admin/hosts/u1", "").status)
	c.advance(time.Second)
	assert.Equal(t, store.HostLeaving, states()["u1"])
	r.setFaults(`{"hostsFrozen":true}`)
	c.advance(time.Hour)
	assert.Equal(t, store.HostLeaving, states()["u1"])
	r.setFaults(`{"hostsFrozen":false}`)
	assert.Empty(t, states())
	assert.Equal(t, http.StatusNotFound, r.do("DELETE", "/admin/hosts/u1", "").status)
}

// Guards against a restore that keeps newer objects, and against versions that
// decrease although rewindVersions is not set.
func TestRestore(t *testing.T) {
	r := startPlatform(t, Options{})
	r.do("PUT", "/v1/objects/k/a", "old", "If-None-Match", "*")
	r.do("POST", "/admin/snapshot", "")
	r.do("PUT", "/v1/objects/k/a", "new", "If-Match", `"1"`)
	r.do("PUT", "/v1/objects/k/b", "new", "If-None-Match", "*")
	assert.Equal(t, http.StatusNotFound, r.do("POST", "/admin/restore", `{"name":"none"}`).status)

	assert.JSONEq(t, `{"version":5}`, r.do("POST", "/admin/restore", "").body)
	assert.Equal(t, answer{status: http.StatusOK, etag: `"5"`, body: "old"}, r.do("GET", "/v1/objects/k/a", ""))
	assert.Equal(t, http.StatusNotFound, r.do("GET", "/v1/objects/k/b", "").status)
	assert.Len(t, bytes.Split([]byte(r.do("GET", "/v1/watch/k?since=3", "").body), []byte(`"name"`)), 3)

	assert.JSONEq(t, `{"version":1}`, r.do("POST", "/admin/restore", `{"rewindVersions":true}`).body)
	assert.Equal(t, answer{status: http.StatusOK, etag: `"1"`, body: "old"}, r.do("GET", "/v1/objects/k/a", ""))
	assert.Equal(t, http.StatusGone, r.do("GET", "/v1/watch/k?since=5", "").status)
}

// Guards against a region delay that is not applied in both directions, and
// against calls that are counted in the wrong second.
func TestRegionDelayAndCounters(t *testing.T) {
	c := &fakeClock{now: time.Unix(1000, 0)}
	r := startPlatform(t, Options{Now: c.read})
	r.setFaults(`{"regionDelayMillis":{"kigoma":20},"latencyMillis":5}`)
	began := time.Now()
	r.do("GET", "/v1/hosts", "", RegionHeader, "kigoma", ClientHeader, "host-a")
	assert.GreaterOrEqual(t, time.Since(began), 45*time.Millisecond)
	c.advance(time.Second)
	r.do("GET", "/v1/hosts", "", ClientHeader, "host-a")
	var counts CallCounts
	require.NoError(t, json.Unmarshal([]byte(r.do("GET", "/admin/calls", "").body), &counts))
	assert.Equal(t, map[Call]int{CallHosts: 2}, counts.Clients["host-a"])
	assert.Equal(t, []SecondCalls{
		{UnixSecond: 1000, Calls: map[Call]int{CallHosts: 1}},
		{UnixSecond: 1001, Calls: map[Call]int{CallHosts: 1}},
	}, counts.Seconds)
}
