package store

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/machine"
)

// fakeStore is an object store with fault injection. A test calls setFaults before
// a call.
type fakeStore struct {
	mutex         sync.Mutex
	version       uint64
	objects       map[string]uint64
	values        map[string][]byte
	clientHeaders []string
	// before and after run before and after a call takes effect. They return true
	// if they have written the response.
	before, after func(w http.ResponseWriter, r *http.Request) bool
}

func newFakeStore(t *testing.T) (*fakeStore, *httptest.Server) {
	t.Helper()
	s := &fakeStore{objects: map[string]uint64{}, values: map[string][]byte{}}
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return s, server
}

func (s *fakeStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.clientHeaders = append(s.clientHeaders, r.Header.Get(ClientHeader))
	if s.before != nil && s.before(w, r) {
		return
	}
	writeResponse := s.execute(r)
	if s.after != nil && s.after(w, r) {
		return
	}
	writeResponse(w)
}

func (s *fakeStore) execute(r *http.Request) func(http.ResponseWriter) {
	body, _ := io.ReadAll(r.Body)
	key := r.URL.Path
	current, exists := s.objects[key]
	status := func(code int) func(http.ResponseWriter) {
		return func(w http.ResponseWriter) { w.WriteHeader(code) }
	}
	if r.Method == http.MethodGet {
		if !exists {
			return status(http.StatusNotFound)
		}
		value := s.values[key]
		return func(w http.ResponseWriter) {
			w.Header().Set("ETag", quoteVersion(current))
			_, _ = w.Write(value)
		}
	}
	matches := r.Header.Get("If-Match") == quoteVersion(current) && exists || r.Header.Get("If-None-Match") == "*" && !exists
	switch {
	case !exists && r.Header.Get("If-Match") != "":
		return status(http.StatusNotFound)
	case !matches:
		return func(w http.ResponseWriter) {
			w.Header().Set("ETag", quoteVersion(current))
			w.WriteHeader(http.StatusPreconditionFailed)
		}
	case r.Method == http.MethodDelete:
		delete(s.objects, key)
		return status(http.StatusNoContent)
	}
	s.version++
	version := s.version
	s.objects[key], s.values[key] = version, body
	return func(w http.ResponseWriter) { w.Header().Set("ETag", quoteVersion(version)) }
}

// setFaults sets the functions that run before and after a call takes effect.
func (s *fakeStore) setFaults(before, after func(http.ResponseWriter, *http.Request) bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.before, s.after = before, after
}

func respondStatus(status int) func(http.ResponseWriter, *http.Request) bool {
	return func(w http.ResponseWriter, _ *http.Request) bool {
		w.WriteHeader(status)
		return true
	}
}

// closeConnection closes the connection without a response.
func closeConnection(http.ResponseWriter, *http.Request) bool { panic(http.ErrAbortHandler) }

// testTimeout is long enough that no call times out on a loaded machine.
const testTimeout = 20 * time.Second

func newClient(server *httptest.Server) *HTTP {
	return NewHTTP(HTTPOptions{
		Address: strings.TrimPrefix(server.URL, "http://"), Host: "ostland-a-1",
		Timeout: testTimeout, ConnectTimeout: testTimeout,
	})
}

var (
	background = context.Background()
	testKey    = machine.StoreKey{Kind: "roster", Name: "cell 1/a"}
)

// Guards against missing version conditions, unread versions, and names that are
// not escaped in the path.
func TestObjectOperations(t *testing.T) {
	s, server := newFakeStore(t)
	c := newClient(server)
	_, err := c.Get(background, testKey)
	require.Equal(t, &NotFoundError{Key: testKey}, err)
	_, err = c.Update(background, testKey, 1, []byte("x"))
	require.Equal(t, &NotFoundError{Key: testKey}, err)
	version, err := c.Create(background, testKey, []byte("one"))
	require.NoError(t, err)
	_, err = c.Create(background, testKey, []byte("two"))
	require.Equal(t, &ConflictError{Key: testKey, Current: version}, err)
	next, err := c.Update(background, testKey, version, []byte("two"))
	require.NoError(t, err)
	_, err = c.Update(background, testKey, version, []byte("three"))
	require.Equal(t, &ConflictError{Key: testKey, Current: next}, err)
	object, err := c.Get(background, testKey)
	require.NoError(t, err)
	require.Equal(t, Object{Key: testKey, Version: next, Value: []byte("two")}, object)
	require.IsType(t, &ConflictError{}, c.Delete(background, testKey, version))
	require.NoError(t, c.Delete(background, testKey, next))
	require.Equal(t, "ostland-a-1", s.clientHeaders[0])
}

// Guards against reporting a write that took effect as one that did not, and the
// reverse. Each case runs on a new and on a reused connection.
func TestWriteFailureOutcomes(t *testing.T) {
	type fault = func(http.ResponseWriter, *http.Request) bool
	cases := map[string]struct {
		before, after fault
		want          error
		timeout       time.Duration
	}{
		"503 before":               {before: respondStatus(503), want: &UnavailableError{}},
		"429 before":               {before: respondStatus(429), want: &UnavailableError{}},
		"413":                      {before: respondStatus(413), want: &TooLargeError{}},
		"connection closed before": {before: closeConnection, want: &AnswerLostError{}},
		"connection closed after":  {after: closeConnection, want: &AnswerLostError{}},
		"gateway 502 after":        {after: respondStatus(502), want: &AnswerLostError{}},
		"gateway 504 after":        {after: respondStatus(504), want: &AnswerLostError{}},
		"500 after":                {after: respondStatus(500), want: &AnswerLostError{}},
		"response without ETag":    {after: respondStatus(200), want: &AnswerLostError{}},
		"no response": {after: func(_ http.ResponseWriter, r *http.Request) bool {
			<-r.Context().Done()
			return true
		}, want: &AnswerLostError{}, timeout: 200 * time.Millisecond},
		"truncated response": {after: func(w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set("Content-Length", "10")
			w.Header().Set("ETag", `"1"`)
			_, _ = w.Write([]byte("x"))
			panic(http.ErrAbortHandler)
		}, want: &AnswerLostError{}},
		"oversized response": {after: func(w http.ResponseWriter, _ *http.Request) bool {
			_, _ = w.Write(make([]byte, maxValueResponseSize+1))
			return true
		}, want: &AnswerLostError{}},
	}
	for name, test := range cases {
		for _, reused := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/reused=%v", name, reused), func(t *testing.T) {
				s, server := newFakeStore(t)
				c := newClient(server)
				if reused {
					_, err := c.Get(background, testKey)
					require.IsType(t, &NotFoundError{}, err)
				}
				s.setFaults(test.before, test.after)
				timeout := testTimeout
				if test.timeout > 0 {
					timeout = test.timeout
				}
				ctx, cancel := context.WithTimeout(background, timeout)
				defer cancel()
				_, err := c.Create(ctx, testKey, []byte("value"))
				require.IsType(t, test.want, err)
				s.setFaults(nil, nil)
				_, err = c.Get(background, testKey)
				if test.after != nil {
					require.NoError(t, err, "the change took effect")
				} else {
					require.IsType(t, &NotFoundError{}, err)
				}
				writes := 1
				if reused {
					writes++
				}
				require.Len(t, s.clientHeaders, writes+1, "the write must not be retried")
			})
		}
	}
}

// Guards against a failed read that does not return *UnavailableError, and against
// *AnswerLostError for a write that was never sent.
func TestUnreachableStore(t *testing.T) {
	_, server := newFakeStore(t)
	c := newClient(server)
	server.Close()
	_, err := c.Get(background, testKey)
	require.IsType(t, &UnavailableError{}, err)
	_, err = c.Create(background, testKey, nil)
	require.IsType(t, &UnavailableError{}, err)
	require.IsType(t, &UnavailableError{}, c.Delete(background, testKey, 1))
	_, err = c.ListHosts(background)
	require.IsType(t, &UnavailableError{}, err)
	cancelled, cancel := context.WithCancel(background)
	cancel()
	_, err = c.Update(cancelled, testKey, 1, nil)
	require.IsType(t, &UnavailableError{}, err)
	_, err = c.Create(background, testKey, make([]byte, MaxValueSize+1))
	require.IsType(t, &TooLargeError{}, err)
}

// Guards against misparsed lists, watches and host lists, and against a watch that
// outlives its context.
func TestListsAndWatches(t *testing.T) {
	responses := map[string]string{
		"/v1/objects/roster?limit=10&prefix=a":      `[{"name":"a1","version":4}]`,
		"/v1/watch/roster?since=3&timeoutSeconds=1": `{"version":9,"changes":[{"name":"a1","version":9,"deleted":true}]}`,
		"/v1/hosts": `{"asOf":"2026-12-04T07:00:00Z","hosts":[{"name":"u1","role":"upstream","pool":"p","address":"127.0.0.1:9","slots":3,"state":"leaving"}]}`,
		"/v1/watch/roster?since=99&timeoutSeconds=1": `{`,
	}
	watchStarted := make(chan struct{}, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case strings.Contains(r.URL.RawQuery, "since=1&"):
			w.WriteHeader(http.StatusGone)
		case strings.Contains(r.URL.RawQuery, "since=2&"):
			watchStarted <- struct{}{}
			<-r.Context().Done()
		default:
			w.Header().Set(VersionHeader, "12")
			_, _ = io.WriteString(w, responses[r.URL.String()])
		}
	}))
	defer server.Close()
	c := newClient(server)
	objects, err := c.List(background, "roster", "a", 10)
	require.NoError(t, err)
	require.Equal(t, []Object{{Key: machine.StoreKey{Kind: "roster", Name: "a1"}, Version: 4}}, objects)
	version, err := c.CurrentVersion(background, "roster")
	require.NoError(t, err)
	require.EqualValues(t, 12, version)
	changes, err := c.Watch(background, "roster", 3, time.Second)
	require.NoError(t, err)
	require.Equal(t, Changes{Version: 9, Changes: []Change{{Name: "a1", Version: 9, Deleted: true}}}, changes)
	hosts, err := c.ListHosts(background)
	require.NoError(t, err)
	require.Equal(t, HostLeaving, hosts.Hosts[0].State)
	_, err = c.Watch(background, "roster", 1, time.Second)
	require.Equal(t, &CompactedError{Since: 1}, err)
	_, err = c.Watch(background, "roster", 99, time.Second)
	require.IsType(t, &UnavailableError{}, err)
	ctx, cancel := context.WithCancel(background)
	go func() {
		<-watchStarted
		cancel()
	}()
	_, err = c.Watch(ctx, "roster", 2, 30*time.Second)
	require.ErrorIs(t, err, context.Canceled)
}

// Guards against a TLS failure that is reported as a lost response, and against
// accepting an untrusted server certificate.
func TestTLS(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("ETag", `"7"`) }))
	defer server.Close()
	server.Config.ErrorLog = nil
	address := strings.TrimPrefix(server.URL, "https://")
	trustedRoots := x509.NewCertPool()
	trustedRoots.AddCert(server.Certificate())
	registry := metrics.NewRegistry()
	c := NewHTTP(HTTPOptions{Address: address, TLS: &tls.Config{RootCAs: trustedRoots}, Metrics: NewMetrics(registry), Timeout: testTimeout, ConnectTimeout: testTimeout})
	version, err := c.Create(background, testKey, nil)
	require.NoError(t, err)
	require.EqualValues(t, 7, version)
	untrusting := NewHTTP(HTTPOptions{Address: address, TLS: &tls.Config{RootCAs: x509.NewCertPool()}, Metrics: NewMetrics(registry)})
	_, err = untrusting.Create(background, testKey, nil)
	require.IsType(t, &UnavailableError{}, err)
	require.EqualValues(t, 2, metrics.GetOrRegisterCounter("store.calls.create", registry).Count())
	require.EqualValues(t, 1, metrics.GetOrRegisterCounter("store.errors.create", registry).Count())
}
