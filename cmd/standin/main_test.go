package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a command line that kong rejects, and against not reading the
// configuration file.
func TestCommandLine(t *testing.T) {
	file := filepath.Join(t.TempDir(), "upstreams.json")
	require.NoError(t, os.WriteFile(file, []byte(`[{"name":"u1","slots":3}]`), 0o600))
	var line commandLine
	parser, err := kong.New(&line)
	require.NoError(t, err)
	_, err = parser.Parse([]string{"upstream", file, "--platform=127.0.0.1:1", "--records=5"})
	require.NoError(t, err)
	assert.Equal(t, 5, line.Upstream.Records)
	configs, err := line.Upstream.read()
	require.NoError(t, err)
	require.Len(t, configs, 1)
	assert.Equal(t, 3, configs[0].Slots)
	_, err = parser.Parse([]string{"platform", "--host-lag=2s"})
	require.NoError(t, err)
}
