package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/operator"
)

const logOfHostA = `{"host":"a","request":"r-1","status":502,"outcome":"broken","tried":["u-1"],"time":2000,"message":"request"}
not a line of a host
`

const logOfHostB = `{"host":"b","upstream":"u-1","change":"silent","time":1900,"message":"upstream changed"}
{"host":"b","request":"r-2","status":200,"outcome":"answered","tried":["u-2"],"time":1950,"message":"request"}
`

// Guards against not merging the logs of several hosts into one order, and against
// missing a cause that is in the log of a host other than that of the request.
func TestLogsOfSeveralHosts(t *testing.T) {
	dir := t.TempDir()
	var files []string
	for name, text := range map[string]string{"a": logOfHostA, "b": logOfHostB} {
		file := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		files = append(files, file)
	}
	var out, warnings bytes.Buffer
	con := &console{ctx: context.Background(), out: &out, err: &warnings}

	require.NoError(t, explainCommand{RequestID: "r-1", logFlags: logFlags{Logs: files}}.Run(con))
	require.Regexp(t, `(?s)upstream-changed.*change=silent.*request\.broken.*status=502`, out.String())
	require.NotContains(t, out.String(), "r-2")
	require.Contains(t, warnings.String(), "1 lines are no log lines")

	var notFound *operator.NotFoundError
	require.ErrorAs(t, explainCommand{RequestID: "r-9", logFlags: logFlags{Logs: files}}.Run(con), &notFound)

	out.Reset()
	require.NoError(t, timelineCommand{Limit: 2, logFlags: logFlags{Logs: files}}.Run(con))
	require.Regexp(t, `(?s)r-2.*r-1`, out.String())
	require.NotContains(t, out.String(), "silent", "only the newest two lines")

	require.Error(t, timelineCommand{logFlags: logFlags{Logs: []string{filepath.Join(dir, "none")}}}.Run(con))
}
