package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/gofiber/fiber/v3"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/configuration"
	"github.com/catkinspring/catkinspring/keys"
	"github.com/catkinspring/catkinspring/machine"
	"github.com/catkinspring/catkinspring/timeline"
)

const credential = "operators-secret"

// rig is a test rig of a server with a configuration and two rings on one clock.
type rig struct {
	*Server
	rings []*timeline.Ring
	level string
}

func newRig(t *testing.T) *rig {
	t.Helper()
	clock := &timeline.Clock{}
	r := &rig{level: "info"}
	r.rings = []*timeline.Ring{timeline.NewRing("h1", clock, 8, keys.Redact), timeline.NewRing("h1", clock, 8, keys.Redact)}
	digest := strings.Repeat("ab", 32)
	snapshot := &configuration.Snapshot{
		Revision:   7,
		Customers:  []configuration.Customer{{ID: "c1", Rate: 10, Burst: 20, Weight: 1, Keys: []configuration.Key{{ID: "00112233445566aa", Digest: digest}}}},
		AlertRules: []string{"alert a if requests > 1 for 1s", "alert  b if  errors > 1 for 1s"},
	}
	snapshot.Index()
	r.Server = New(Config{
		Credential: credential,
		Ready:      func() error { return nil },
		Apply: func(_ context.Context, note *configuration.Note) (configuration.NoteResult, error) {
			switch note.ID {
			case "raced":
				return configuration.NoteResult{}, &configuration.RacedError{NoteID: note.ID, Revision: 8,
					Notes: []configuration.AcceptedNote{{ID: "other", Revision: 8}}, Both: note.Items()}
			case "panics":
				panic("fault")
			case "lost":
				return configuration.NoteResult{}, &configuration.UndecidedError{NoteID: note.ID}
			case "minority":
				return configuration.NoteResult{}, &configuration.MajorityError{Acknowledged: 1, Needed: 2}
			}
			return configuration.NoteResult{Revision: 8}, nil
		},
		Snapshot: func() *configuration.Snapshot { return snapshot },
		Notes: func(context.Context) (Notes, error) {
			return Notes{Revision: 7, Notes: []configuration.AcceptedNote{{ID: "n7", Revision: 7, Digest: 99}}}, nil
		},
		Status:  func() Status { return Status{Host: "h1"} },
		Rings:   r.rings,
		Metrics: func() []byte { return nil },
		Level:   func() string { return r.level },
		SetLevel: func(level string) error {
			if level == "loud" {
				return &QueryError{}
			}
			r.level = level
			return nil
		},
	})
	return r
}

func (r *rig) send(t *testing.T, method, path, body, token string, into any) int {
	t.Helper()
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := r.app.Test(request, fiber.TestConfig{Timeout: 0})
	require.NoError(t, err)
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	if raw, ok := into.(*string); ok {
		*raw = string(text)
	} else if into != nil {
		require.NoError(t, json.Unmarshal(text, into), "%s", text)
	}
	return response.StatusCode
}

// Guards against a path under /v1 that can be read without the credential.
func TestEveryPathNeedsTheCredential(t *testing.T) {
	r := newRig(t)
	for _, route := range r.app.GetRoutes(true) {
		if !strings.HasPrefix(route.Path, "/v1/") {
			continue
		}
		for _, token := range []string{"", "wrong", credential + "x"} {
			var f Failure
			path := strings.Replace(route.Path, ":id", "n7", 1)
			if route.Method == http.MethodHead {
				require.Equal(t, 401, r.send(t, route.Method, path, "", token, nil), path)
				continue
			}
			require.Equal(t, 401, r.send(t, route.Method, path, "", token, &f), path)
			require.Equal(t, FailureCredential, f.Kind)
		}
	}
	require.Equal(t, 200, r.send(t, "GET", "/livez", "", "", nil))
}

// Guards against a check that stops at the first problem, reports no positions or
// changes the configuration.
func TestCheckReportsEveryProblem(t *testing.T) {
	r := newRig(t)
	note := "{\n\"id\": \"x\",\n\"withdrawn\": {\"keys\": [\"ffffffffffffffff\",\n\"eeeeeeeeeeeeeeee\"]}}"
	var f Failure
	require.Equal(t, 422, r.send(t, "POST", PathCheck, note, credential, &f))
	require.Equal(t, AcceptedNo, f.Accepted)
	require.Len(t, f.Problems, 2)
	require.Equal(t, []int{3, 4}, []int{f.Problems[0].Line, f.Problems[1].Line})
	var checked Checked
	require.Equal(t, 200, r.send(t, "POST", PathCheck, `{"id":"x","withdrawn":{"keys":["00112233445566aa"]}}`, credential, &checked))
	require.Equal(t, Checked{NoteID: "x", Revision: 7, Changes: []configuration.Change{
		{Item: configuration.Item{Kind: configuration.KindKey, Name: "00112233445566aa"}, Action: configuration.ActionWithdrawn},
	}}, checked)
	require.Len(t, r.Snapshot().Customers[0].Keys, 1)
}

// Guards against outcomes of a note that operators can't distinguish.
func TestApplyFailures(t *testing.T) {
	for id, want := range map[string]struct {
		status   int
		kind     FailureKind
		accepted Accepted
	}{
		"raced":    {409, FailureNoteRaced, AcceptedNo},
		"lost":     {504, FailureUndecided, AcceptedUnknown},
		"minority": {503, FailureUnavailable, AcceptedNo},
		"panics":   {500, FailureRequest, ""},
	} {
		var f Failure
		status := newRig(t).send(t, "POST", PathNotes, `{"id":"`+id+`","withdrawn":{"keys":["00112233445566aa"]}}`, credential, &f)
		require.Equal(t, want.status, status, id)
		require.Equal(t, want.kind, f.Kind, id)
		require.Equal(t, want.accepted, f.Accepted, id)
		if id == "raced" {
			require.Equal(t, "other", f.Race.Notes[0].ID)
			require.Len(t, f.Race.Both, 1)
		}
	}
}

// Guards against responses that contain digests, and against alert rules that are
// not returned byte for byte.
func TestConfigurationIsShownWithoutDigests(t *testing.T) {
	r := newRig(t)
	var text string
	require.Equal(t, 200, r.send(t, "GET", PathConfiguration, "", credential, &text))
	require.NotContains(t, text, strings.Repeat("ab", 32))
	require.Contains(t, text, "00112233445566aa")
	require.Equal(t, 200, r.send(t, "GET", PathAlertRules, "", credential, &text))
	require.Equal(t, "alert a if requests > 1 for 1s\nalert  b if  errors > 1 for 1s\n", text)
	require.Equal(t, 200, r.send(t, "GET", PathNotes+"/n7", "", credential, &text))
	require.NotContains(t, text, "99")
	require.Equal(t, 404, r.send(t, "GET", PathNotes+"/n8", "", credential, nil))
}

// Guards against a cursor that repeats or skips events of one of the rings.
func TestTimelineCursor(t *testing.T) {
	r := newRig(t)
	for i := range int64(6) {
		r.rings[i%2].Record(100, machine.Event{Kind: "k"})
	}
	var first, second, limited Events
	require.Equal(t, 200, r.send(t, "GET", PathTimeline, "", credential, &first))
	require.Len(t, first.Events, 6)
	r.rings[1].Record(100, machine.Event{Kind: "new"})
	require.Equal(t, 200, r.send(t, "GET", PathTimeline+"?after="+first.Next, "", credential, &second))
	require.Len(t, second.Events, 1)
	require.Equal(t, "new", second.Events[0].Kind)
	require.Equal(t, 200, r.send(t, "GET", PathTimeline+"?limit=2&kind=k", "", credential, &limited))
	require.Equal(t, first.Events[4:], limited.Events)
	for _, query := range []string{"limit=0", "after=1", "after=1.x", "from=-1", "to=x"} {
		require.Equal(t, 400, r.send(t, "GET", PathTimeline+"?"+query, "", credential, nil), query)
	}
}

// Guards against a log level that is not changed or not validated.
func TestLogLevel(t *testing.T) {
	r := newRig(t)
	require.Equal(t, 400, r.send(t, "PUT", PathLogLevel, `{"level":"loud"}`, credential, nil))
	require.Equal(t, 200, r.send(t, "PUT", PathLogLevel, `{"level":"debug"}`, credential, nil))
	require.Equal(t, "debug", r.level)
}

// Guards against metrics that a scraper can't parse, and against a key in the
// reason why a host is not ready.
func TestProbesAndMetrics(t *testing.T) {
	r := newRig(t)
	key := keys.Generate()
	r.Ready = func() error { return &NotFoundError{What: "no lease " + key.Reveal()} }
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterGauge("a-b", registry).Update(7)
	metrics.GetOrRegisterCounter("c.d", registry).Inc(3)
	r.Metrics = func() []byte {
		var out bytes.Buffer
		WriteMetrics(&out, registry)
		return out.Bytes()
	}
	var text string
	require.Equal(t, 503, r.send(t, "GET", "/readyz", "", "", &text))
	require.NotContains(t, text, key.Secret())
	require.Equal(t, 200, r.send(t, "GET", "/metrics", "", "", &text))
	require.Equal(t, "# TYPE catkinspring_a_b gauge\ncatkinspring_a_b 7\n# TYPE catkinspring_c_d counter\ncatkinspring_c_d 3\n", text)
}
