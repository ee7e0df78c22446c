package main

import (
	"bytes"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests and decisions of a host that wait for the reader of its log.
func TestServeDoesNotWaitForTheReaderOfItsLog(t *testing.T) {
	t.Parallel()
	reader, writer := io.Pipe()
	defer func() { _ = reader.Close() }()
	log, closeLog := openLog(writer)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 20_000 {
			log.Info().Str("text", strings.Repeat("x", 100)).Msg("a line")
		}
		closeLog()
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("a line waits for the reader")
	}
}

// Guards against signals that end a host without a planned stop while it starts, and
// against a closed log that ends it.
func TestSignalsDuringTheStartOfServe(t *testing.T) {
	t.Parallel()
	file := filepath.Join(t.TempDir(), "host.jsonc")
	require.NoError(t, syscall.Mkfifo(file, 0o600))
	executable, err := os.Executable()
	require.NoError(t, err)
	p := exec.Command(executable)
	p.Env = append(os.Environ(), commandVariable+"=serve "+file)
	var output bytes.Buffer
	p.Stderr = &output
	require.NoError(t, p.Start())
	// The process waits for the content of its settings file.
	settings, err := os.OpenFile(file, os.O_WRONLY, 0)
	require.NoError(t, err)
	for _, s := range []os.Signal{syscall.SIGHUP, syscall.SIGPIPE, syscall.SIGTERM} {
		require.NoError(t, p.Process.Signal(s))
	}
	require.NoError(t, settings.Close())
	// The settings are empty, which is an error of its own.
	err = p.Wait()
	var exit *exec.ExitError
	require.ErrorAs(t, err, &exit)
	require.False(t, exit.Sys().(syscall.WaitStatus).Signaled(), "ended by a signal: %v", exit)
	require.NotEmpty(t, output.String())
}
