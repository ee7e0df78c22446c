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

// platform is a small object store with faults. A test sets fault before a call.
type platform struct {
	mutex   sync.Mutex
	version uint64
	objects map[string]uint64
	values  map[string][]byte
	clients []string
	// before and after run around a call; after runs when it has taken effect.
	// They return true if they have answered themselves.
	before, after func(w http.ResponseWriter, r *http.Request) bool
}

func newPlatform(t *testing.T) (*platform, *httptest.Server) {
	t.Helper()
	p := &platform{objects: map[string]uint64{}, values: map[string][]byte{}}
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	return p, server
}

func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.clients = append(p.clients, r.Header.Get(ClientHeader))
	if p.before != nil && p.before(w, r) {
		return
	}
	answer := p.carryOut(r)
	if p.after != nil && p.after(w, r) {
		return
	}
	answer(w)
}

func (p *platform) carryOut(r *http.Request) func(http.ResponseWriter) {
	body, _ := io.ReadAll(r.Body)
	key := r.URL.Path
	current, exists := p.objects[key]
	status := func(code int) func(http.ResponseWriter) {
		return func(w http.ResponseWriter) { w.WriteHeader(code) }
	}
	if r.Method == http.MethodGet {
		if !exists {
			return status(http.StatusNotFound)
		}
		value := p.values[key]
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
		delete(p.objects, key)
		return status(http.StatusNoContent)
	}
	p.version++
	version := p.version
	p.objects[key], p.values[key] = version, body
	return func(w http.ResponseWriter) { w.Header().Set("ETag", quoteVersion(version)) }
}

// set installs faults.
func (p *platform) set(before, after func(http.ResponseWriter, *http.Request) bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.before, p.after = before, after
}

func answerStatus(status int) func(http.ResponseWriter, *http.Request) bool {
	return func(w http.ResponseWriter, _ *http.Request) bool {
		w.WriteHeader(status)
		return true
	}
}

// hangUp closes the connection without a response.
func hangUp(http.ResponseWriter, *http.Request) bool { panic(http.ErrAbortHandler) }

// testTimeout is long enough that a loaded machine fails no call by it.
const testTimeout = 20 * time.Second

func newClient(server *httptest.Server) *HTTP {
	return NewHTTP(HTTPOptions{
		Address: strings.TrimPrefix(server.URL, "http://"), Host: "ostland-a-1",
		Timeout: testTimeout, ConnectTimeout: testTimeout,
	})
}

var (
	background = context.Background()
	testObject = machine.StoreKey{Kind: "roster", Name: "cell 1/a"}
)

// Guards against conditions that are not sent, versions that are not read, and
// names that break the path.
func TestObjectsWithoutFaults(t *testing.T) {
	p, server := newPlatform(t)
	c := newClient(server)
	_, err := c.Get(background, testObject)
	require.Equal(t, &NotFoundError{Key: testObject}, err)
	_, err = c.Update(background, testObject, 1, []byte("x"))
	require.Equal(t, &NotFoundError{Key: testObject}, err)
	version, err := c.Create(background, testObject, []byte("one"))
	require.NoError(t, err)
	_, err = c.Create(background, testObject, []byte("two"))
	require.Equal(t, &ConflictError{Key: testObject, Current: version}, err)
	next, err := c.Update(background, testObject, version, []byte("two"))
	require.NoError(t, err)
	_, err = c.Update(background, testObject, version, []byte("three"))
	require.Equal(t, &ConflictError{Key: testObject, Current: next}, err)
	object, err := c.Get(background, testObject)
	require.NoError(t, err)
	require.Equal(t, Object{Key: testObject, Version: next, Value: []byte("two")}, object)
	require.IsType(t, &ConflictError{}, c.Delete(background, testObject, version))
	require.NoError(t, c.Delete(background, testObject, next))
	require.Equal(t, "ostland-a-1", p.clients[0])
}

// Guards against a change that took effect and is reported as one that did not,
// and the reverse. Each case is tried with a new and with a reused connection.
func TestWriteFailuresAreTold(t *testing.T) {
	type fault = func(http.ResponseWriter, *http.Request) bool
	cases := map[string]struct {
		before, after fault
		want          error
		timeout       time.Duration
	}{
		"503 before":            {before: answerStatus(503), want: &UnavailableError{}},
		"429 before":            {before: answerStatus(429), want: &UnavailableError{}},
		"413":                   {before: answerStatus(413), want: &TooLargeError{}},
		"hang up before":        {before: hangUp, want: &AnswerLostError{}},
		"hang up after":         {after: hangUp, want: &AnswerLostError{}},
		"gateway 502 after":     {after: answerStatus(502), want: &AnswerLostError{}},
		"gateway 504 after":     {after: answerStatus(504), want: &AnswerLostError{}},
		"500 after":             {after: answerStatus(500), want: &AnswerLostError{}},
		"answer without a ETag": {after: answerStatus(200), want: &AnswerLostError{}},
		"no answer": {after: func(_ http.ResponseWriter, r *http.Request) bool {
			<-r.Context().Done()
			return true
		}, want: &AnswerLostError{}, timeout: 200 * time.Millisecond},
		"truncated answer": {after: func(w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set("Content-Length", "10")
			w.Header().Set("ETag", `"1"`)
			_, _ = w.Write([]byte("x"))
			panic(http.ErrAbortHandler)
		}, want: &AnswerLostError{}},
		"endless answer": {after: func(w http.ResponseWriter, _ *http.Request) bool {
			_, _ = w.Write(make([]byte, maxValueResponse+1))
			return true
		}, want: &AnswerLostError{}},
	}
	for name, test := range cases {
		for _, reused := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/reused=%v", name, reused), func(t *testing.T) {
				p, server := newPlatform(t)
				c := newClient(server)
				if reused {
					_, err := c.Get(background, testObject)
					require.IsType(t, &NotFoundError{}, err)
				}
				p.set(test.before, test.after)
				timeout := testTimeout
				if test.timeout > 0 {
					timeout = test.timeout
				}
				ctx, cancel := context.WithTimeout(background, timeout)
				defer cancel()
				_, err := c.Create(ctx, testObject, []byte("value"))
				require.IsType(t, test.want, err)
				p.set(nil, nil)
				_, err = c.Get(background, testObject)
				if test.after != nil {
					require.NoError(t, err, "the change took effect")
				} else {
					require.IsType(t, &NotFoundError{}, err)
				}
				writes := 1
				if reused {
					writes++
				}
				require.Len(t, p.clients, writes+1, "the write must not be repeated")
			})
		}
	}
}

// Guards against reads that fail in any way but *UnavailableError, and against a
// write that was never sent and is reported as lost.
func TestUnreachableStore(t *testing.T) {
	_, server := newPlatform(t)
	c := newClient(server)
	server.Close()
	_, err := c.Get(background, testObject)
	require.IsType(t, &UnavailableError{}, err)
	_, err = c.Create(background, testObject, nil)
	require.IsType(t, &UnavailableError{}, err)
	require.IsType(t, &UnavailableError{}, c.Delete(background, testObject, 1))
	_, err = c.ListHosts(background)
	require.IsType(t, &UnavailableError{}, err)
	cancelled, cancel := context.WithCancel(background)
	cancel()
	_, err = c.Update(cancelled, testObject, 1, nil)
	require.IsType(t, &UnavailableError{}, err)
	_, err = c.Create(background, testObject, make([]byte, MaxValueSize+1))
	require.IsType(t, &TooLargeError{}, err)
}

// Guards against lists, watches and host lists that are read wrongly, and
// against a watch that outlives its context.
func TestListsAndWatches(t *testing.T) {
	answers := map[string]string{
		"/v1/objects/roster?limit=10&prefix=a":      `[{"name":"a1","version":4}]`,
		"/v1/watch/roster?since=3&timeoutSeconds=1": `{"version":9,"changes":[{"name":"a1","version":9,"deleted":true}]}`,
		"/v1/hosts": `{"asOf":"2026-12-04T07:00:00Z","hosts":[{"name":"u1","role":"upstream","pool":"p","address":"127.0.0.1:9","slots":3,"state":"leaving"}]}`,
		"/v1/watch/roster?since=99&timeoutSeconds=1": `{`,
	}
	entered := make(chan struct{}, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case strings.Contains(r.URL.RawQuery, "since=1&"):
			w.WriteHeader(http.StatusGone)
		case strings.Contains(r.URL.RawQuery, "since=2&"):
			entered <- struct{}{}
			<-r.Context().Done()
		default:
			w.Header().Set(VersionHeader, "12")
			_, _ = io.WriteString(w, answers[r.URL.String()])
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
		<-entered
		cancel()
	}()
	_, err = c.Watch(ctx, "roster", 2, 30*time.Second)
	require.ErrorIs(t, err, context.Canceled)
}

// Guards against a TLS failure that counts as a lost answer, and against TLS
// that is not checked.
func TestTLS(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("ETag", `"7"`) }))
	defer server.Close()
	server.Config.ErrorLog = nil
	address := strings.TrimPrefix(server.URL, "https://")
	trusted := x509.NewCertPool()
	trusted.AddCert(server.Certificate())
	registry := metrics.NewRegistry()
	c := NewHTTP(HTTPOptions{Address: address, TLS: &tls.Config{RootCAs: trusted}, Metrics: NewMetrics(registry), Timeout: testTimeout, ConnectTimeout: testTimeout})
	version, err := c.Create(background, testObject, nil)
	require.NoError(t, err)
	require.EqualValues(t, 7, version)
	stranger := NewHTTP(HTTPOptions{Address: address, TLS: &tls.Config{RootCAs: x509.NewCertPool()}, Metrics: NewMetrics(registry)})
	_, err = stranger.Create(background, testObject, nil)
	require.IsType(t, &UnavailableError{}, err)
	require.EqualValues(t, 2, metrics.GetOrRegisterCounter("store.calls.create", registry).Count())
	require.EqualValues(t, 1, metrics.GetOrRegisterCounter("store.errors.create", registry).Count())
}
