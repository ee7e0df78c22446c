package demo

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/keys"
)

// refusal is a request that must be refused without a run.
type refusal struct {
	name   string
	head   string
	body   string
	status int
	kind   string
}

func refusals(f *Fleet) []refusal {
	key := func(k keys.Key) string { return "Authorization: Bearer " + k.Reveal() + "\r\n" }
	own, other := key(f.Keys["feltlag-nord"][0]), key(f.Keys["skole-as"][0])
	length := func(body string) string { return "Content-Length: " + strconv.Itoa(len(body)) + "\r\n" }
	large := strings.Repeat("x", 65<<10)
	return []refusal{
		{"no key", "GET /sertifikat/1 HTTP/1.1\r\n", "", 401, "key-missing"},
		{"unknown key", "GET /sertifikat/1 HTTP/1.1\r\n" + key(keys.Generate()), "", 401, "key-invalid"},
		{"malformed key", "GET /sertifikat/1 HTTP/1.1\r\nAuthorization: Bearer ck_short\r\n", "", 401, "key-invalid"},
		{"another customer's route", "POST /rekalibrering/1 HTTP/1.1\r\nIdempotency-Key: a\r\n" + other + length("x"), "x", 403, "customer-not-allowed"},
		{"unknown route", "GET /nowhere HTTP/1.1\r\n" + own, "", 404, "route-unknown"},
		{"no idempotency key", "POST /ordre/1 HTTP/1.1\r\n" + own + length("x"), "x", 400, "idempotency-key-missing"},
		{"malformed header", "GET /katalog/1 HTTP/1.1\r\nno colon\r\n", "", 400, "malformed-request"},
		{"both framings", "POST /ordre/1 HTTP/1.1\r\n" + own + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", "0\r\n\r\n", 400, "malformed-request"},
		{"oversized body", "POST /ordre/1 HTTP/1.1\r\nIdempotency-Key: b\r\n" + own + length(large), large, 413, "body-too-large"},
		{"oversized header", "GET /katalog/1 HTTP/1.1\r\nX-Filler: " + strings.Repeat("x", 17<<10) + "\r\n", "", 431, "headers-too-large"},
		{"look-up of unknown route", "GET /v1/entry-hosts?route=nowhere HTTP/1.1\r\n", "", 404, "route-unknown"},
		{"look-up without route", "GET /v1/entry-hosts HTTP/1.1\r\n", "", 400, "malformed-request"},
	}
}

// Guards against invalid requests that reach an upstream, or that are refused without
// a clear reason.
func TestBadRequests(t *testing.T) {
	ctx := testContext(t)
	f := startSmall(ctx, t, 1)
	for _, r := range refusals(f) {
		t.Run(r.name, func(t *testing.T) {
			status, document := sendRaw(t, f.Hosts[0].Callers.String(), r)
			assert.Equal(t, r.status, status)
			assert.Equal(t, "urn:catkinspring:problem:"+r.kind, document.Type)
			assert.Equal(t, "not-run", document.Outcome)
			assert.NotEmpty(t, document.RequestID)
			assert.NotEmpty(t, document.Detail)
		})
	}
	for _, addresses := range f.Upstreams {
		runReport, err := f.runReport(ctx, addresses.Admin, 0, 1)
		require.NoError(t, err)
		assert.Zero(t, runReport.Totals.Received, "requests at upstreams")
	}
}

type problemDocument struct {
	Type      string `json:"type"`
	Outcome   string `json:"outcome"`
	RequestID string `json:"requestId"`
	Detail    string `json:"detail"`
}

// sendRaw writes a request byte by byte as given, including malformed ones.
func sendRaw(t *testing.T, address string, r refusal) (int, problemDocument) {
	conn, err := net.DialTimeout("tcp", address, adminTimeout)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	requestLine, headers, _ := strings.Cut(r.head, "\r\n")
	// The entry host may respond and stop reading before it has the whole body.
	_, _ = conn.Write([]byte(requestLine + "\r\nHost: " + address + "\r\n" + headers + "\r\n" + r.body))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	var document problemDocument
	require.NoError(t, json.NewDecoder(response.Body).Decode(&document))
	assert.Equal(t, document.Outcome, response.Header.Get("Request-Outcome"))
	return response.StatusCode, document
}

// run runs catkinspring and returns its exit code and output.
func run(ctx context.Context, t *testing.T, arguments ...string) (int, string) {
	command := exec.CommandContext(ctx, programs.Binary, arguments...)
	output, err := command.CombinedOutput()
	if err != nil {
		require.NotNil(t, command.ProcessState, "%v", err)
	}
	return command.ProcessState.ExitCode(), string(output)
}

// Guards against reporting only the first error of a settings file.
func TestSettingsErrors(t *testing.T) {
	ctx := testContext(t)
	file := filepath.Join(t.TempDir(), "bad.jsonc")
	text := `{
	// Five errors.
	"host": {"id": "A host", "region": "ostland"},
	"listen": {"callers": "127.0.0.1:1", "peers": "127.0.0.1:2", "operators": "nowhere"},
	"fleetTLS": {"ca": "ca.pem", "certificate": "a.pem", "key": "a-key.pem"},
	"platform": {"address": "127.0.0.1:3"},
	"lease": {"duration": "1ms"},
	"operators": {"credential": {"file": "operators"}},
	"unknown": 1,
}`
	require.NoError(t, os.WriteFile(file, []byte(text), secretMode))
	for _, arguments := range [][]string{{"serve", file}, {"settings", "check", file}} {
		code, output := run(ctx, t, arguments...)
		assert.Equal(t, 2, code, "%v", arguments)
		for _, path := range []string{"host.id", "host.failureDomain", "listen.operators", "lease.duration", "unknown"} {
			assert.Contains(t, output, path)
		}
		assert.Contains(t, output, "5 problems")
	}
}

// Guards against an error about a port in use that does not name the address.
func TestPortInUse(t *testing.T) {
	ctx := testContext(t)
	f := newSingleHostFleet(t)
	for _, address := range []string{f.Hosts[0].Callers.String(), f.Hosts[0].Operators.String()} {
		taken, err := net.Listen("tcp", address)
		require.NoError(t, err)
		code, output := run(ctx, t, "serve", f.Hosts[0].Settings)
		assert.Equal(t, exitCodeListen, code)
		assert.Contains(t, output, address)
		require.NoError(t, taken.Close())
	}
	taken, err := net.ListenPacket("udp", f.Hosts[0].Peers.String())
	require.NoError(t, err)
	defer func() { _ = taken.Close() }()
	code, output := run(ctx, t, "serve", f.Hosts[0].Settings)
	assert.Equal(t, exitCodeListen, code)
	assert.Contains(t, output, f.Hosts[0].Peers.String())
}

// newSingleHostFleet returns a fleet of one host, not started, whose platform does not
// run.
func newSingleHostFleet(t *testing.T) *Fleet {
	options := programs
	options.Directory = t.TempDir()
	f, err := NewFleet(smallSpec(1), options)
	require.NoError(t, err)
	t.Cleanup(f.Close)
	platform, err := f.portAllocator.freePort()
	require.NoError(t, err)
	f.Platform = platform.String()
	h := &Host{ID: "ostland-a-1", Region: "ostland", Domain: "ostland-a"}
	require.NoError(t, f.PrepareHost(h))
	f.Hosts = []*Host{h}
	return f
}

// MissingLogLineError reports that an expected log line is not written yet.
type MissingLogLineError struct {
	Name string
}

func (e *MissingLogLineError) Error() string { return "log of " + e.Name + " lacks the line" }

// Guards against a host that exits, or reports ready, when the platform is
// unreachable at its start.
func TestPlatformUnreachableAtStart(t *testing.T) {
	ctx := testContext(t)
	f := newSingleHostFleet(t)
	h := f.Hosts[0]
	require.NoError(t, f.StartHosts(ctx))
	require.NoError(t, Eventually(ctx, readyTimeout, "the log reports the unreachable platform", func() error {
		if !strings.Contains(h.Process.Log(), "object store is not reachable") {
			return &MissingLogLineError{Name: h.Process.Name}
		}
		return nil
	}))
	var status *StatusError
	require.ErrorAs(t, call(ctx, http.MethodGet, h.operatorsURL("/readyz"), "", nil, nil), &status)
	assert.Equal(t, http.StatusServiceUnavailable, status.Status)
	assert.Contains(t, status.Body, "not ready")
	assert.False(t, h.ended())

	require.NoError(t, f.StartPlatform(f.Platform))
	require.NoError(t, f.RegisterHost(ctx, h))
	require.NoError(t, f.awaitMembers(ctx))
	_, err := f.Apply(ctx, h, f.FirstNote())
	require.NoError(t, err)
	require.NoError(t, f.AwaitReady(ctx, f.Hosts))
}
