package demo

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/catkinspring/catkinspring/internal/load"
)

// testTimeout bounds a test with real processes.
const testTimeout = 60 * time.Second

// programs are the paths of the built programs.
var programs Options

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "catkinspring-demo-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	build := exec.Command("go", "build", "-o", directory, "./cmd/catkinspring", "./cmd/standin")
	build.Dir = filepath.Join("..", "..")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s\n%v\n", output, err)
		return 1
	}
	programs = Options{Binary: filepath.Join(directory, "catkinspring"), Standin: filepath.Join(directory, "standin")}
	return m.Run()
}

// smallSpec returns a fleet with one entry host in each of the given number of regions.
func smallSpec(regions int) Spec {
	s := Cooperative()
	s.Regions = s.Regions[:regions]
	s.Domains, s.HostsPerDomain = 1, 1
	s.Lease, s.MaxAge, s.HostLag = 3*time.Second, time.Second, 0
	s.Pools[0].Upstreams, s.Pools[1].Upstreams = 6, 3
	return s
}

func startSmall(ctx context.Context, t *testing.T, regions int) *Fleet {
	options := programs
	options.Directory = t.TempDir()
	f, err := start(ctx, smallSpec(regions), options, t.Logf)
	require.NoError(t, err)
	t.Cleanup(f.Close)
	return f
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// Guards against requests that are lost, duplicated, interrupted or answered to the
// wrong caller when one entry host is stopped gracefully and another one is killed.
func TestWholePath(t *testing.T) {
	ctx := testContext(t)
	f := startSmall(ctx, t, 3)
	text, err := os.ReadFile(filepath.Join("testdata", "path.jsonc"))
	require.NoError(t, err)
	scenario, err := f.scenario(string(text))
	require.NoError(t, err)
	e, result, err := f.runScenario(ctx, scenario, plan{
		withdraw: 500 * time.Millisecond, stop: time.Second, drain: 1500 * time.Millisecond, kill: 4 * time.Second,
		withdrawn: keyRef{customer: "kommune-bodo", index: 1},
		stopped:   f.Hosts[2].ID, killed: f.Hosts[1].ID, withdrawalHost: f.Hosts[0].ID,
		drained: "katalog-ordre-01",
	}, t.Logf)
	require.NoError(t, err)
	var table bytes.Buffer
	err = e.writeTable(&table, result)
	t.Logf("\n%s", table.String())
	require.NoError(t, err)

	verdicts := map[string]map[load.Verdict]int{}
	for i := range e.records {
		r := &e.records[i]
		if verdicts[r.Stream] == nil {
			verdicts[r.Stream] = map[load.Verdict]int{}
		}
		verdicts[r.Stream][r.Verdict]++
	}
	assert.Zero(t, verdicts["katalog"][load.RefusedNotRun], "open reads are not limited")
	assert.Positive(t, verdicts["stays"][load.Answered], "the other key of the customer still works")
	assert.Positive(t, verdicts["withdrawn"][load.RefusedNotRun], "the withdrawn key is refused")
	assert.False(t, e.events.stopEnded.IsZero(), "the gracefully stopped host ended")
}

// Guards against processes that outlive the demo.
func TestLauncherEndsItsProcesses(t *testing.T) {
	l := NewLauncher(t.TempDir())
	p, err := l.Start("platform", programs.Standin, "platform")
	require.NoError(t, err)
	l.Close()
	assert.Equal(t, -1, p.ExitCode(), "ended by a signal")
}
