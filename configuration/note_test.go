package configuration

import (
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func sampleNote(t testing.TB) *Note {
	t.Helper()
	text, err := os.ReadFile("../examples/release-note.jsonc")
	require.NoError(t, err)
	n, err := ParseNote(text)
	require.NoError(t, err)
	return n
}

func emptySnapshot() *Snapshot {
	s := &Snapshot{}
	s.Index()
	return s
}

// Guards against a sample note that no longer parses, and against content that
// changes when it is split into shards and joined again.
func TestSampleNoteRoundTripsThroughShards(t *testing.T) {
	n := sampleNote(t)
	next, err := Apply(emptySnapshot(), n)
	require.NoError(t, err)
	order, parts := cutShards(next, nil)
	head := &Head{Revision: next.Revision, Shards: order}
	received := shards{}
	for digest, part := range parts {
		received[digest], err = decodeShard(digest, part.encode())
		require.NoError(t, err)
		require.Nil(t, received[digest].raw, "the encoding must be deterministic")
	}
	joined, _ := joinShards(head, received)
	require.Empty(t, Diff(next, joined))
	require.Equal(t, next.Routes, joined.Routes)
	require.Equal(t, next.AlertRules, joined.AlertRules)
	recut, _ := cutShards(joined, nil)
	require.Equal(t, order, recut)
	require.Len(t, Diff(emptySnapshot(), next), len(n.Items()))
}

// Guards against problems that are reported one at a time, with a wrong position or
// with a secret key in the text.
func TestNoteReportsEveryProblem(t *testing.T) {
	text := `{
	"id": "bad id",
	"added": {
		"routes": [{"name": "Up", "pathPrefix": "x", "pool": "p", "access": "open", "semantics": "at-most-once",
			"maxBodyBytes": -1, "timeoutMillis": 10, "firstByteTimeoutMillis": 11, "shiftSharePerSecond": 2}],
		"customers": [{"id": "c", "keys": [{"id": "ck_00112233445566aa_secretsecretsecret", "digest": "ck_x"}], "rate": 0, "burst": 0, "weight": 0}],
		"clientBlocks": [{"prefix": "10.0.0.1/8", "region": "r"}, {"prefix": "nonsense", "region": "r"}],
		"alertRules": ["alert a if headroom < 1x for 3s"],
		"surprise": 1,
	},
	"id": "twice",
	"withdrawn": {"customers": ["c"]},
}`
	_, err := ParseNote([]byte(text))
	var noteErr *NoteError
	require.ErrorAs(t, err, &noteErr)
	report := err.Error()
	for _, want := range []string{
		`line 2, column 8: id: "bad id"`, `line 4, column 23: added.routes[0].name`, "added.routes[0].pathPrefix",
		"added.routes[0].semantics", "added.routes[0].maxBodyBytes", "firstByteTimeoutMillis", "shiftSharePerSecond",
		"keys[0].id", "keys[0].digest", "added.customers[0].rate", "added.customers[0].burst", "added.customers[0].weight",
		"did you mean 10.0.0.0/8", "clientBlocks[1].prefix", "line 8, column 42: added.alertRules[0]", "added.surprise",
		"line 11, column 2: id: is given twice", "withdrawn.customers[0]: \"c\": is named twice in the note",
	} {
		require.Contains(t, report, want)
	}
	require.NotContains(t, report, "secretsecret")
	require.Len(t, noteErr.Problems, 18)
}

// Guards against panics of the parser on malformed input.
func FuzzParseNote(f *testing.F) {
	sample, err := os.ReadFile("../examples/release-note.jsonc")
	require.NoError(f, err)
	f.Add(string(sample))
	f.Add(strings.Repeat("[", 100_000))
	f.Add(`{"id":null,"added":{"routes":[null]}}`)
	f.Fuzz(func(t *testing.T, text string) {
		n, err := ParseNote([]byte(text))
		if err != nil {
			var noteErr *NoteError
			require.True(t, errors.As(err, &noteErr) && len(noteErr.Problems) > 0)
			return
		}
		if _, err := Apply(emptySnapshot(), n); err != nil {
			require.NotEmpty(t, err.Error())
		}
	})
}
