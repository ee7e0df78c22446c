package logsink

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a slow reader of the logs blocking traffic.
func TestSlowReaderDoesNotBlockWriters(t *testing.T) {
	reader, writer := io.Pipe()
	s := New(writer)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 2 * maxBufferedBytes / len(line) {
		n, err := s.Write(line)
		require.NoError(t, err)
		require.Equal(t, len(line), n)
	}
	require.Positive(t, s.TakeOmitted().Dropped)
	go func() { _, _ = io.Copy(io.Discard, reader) }()
	s.Close()
}

// Guards against losing or interleaving lines on Close or under concurrency.
func TestEveryAcceptedLineIsWrittenWhole(t *testing.T) {
	var out bytes.Buffer
	s := New(&out)
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 100 {
				_, _ = s.Write([]byte("a whole line\n"))
			}
		})
	}
	group.Wait()
	s.Close()
	require.Equal(t, strings.Repeat("a whole line\n", 800), out.String())
	require.Zero(t, s.TakeOmitted())
}

// Guards against successes that use up the budget of failures.
func TestClassesHaveSeparateBudgets(t *testing.T) {
	s := New(io.Discard)
	defer s.Close()
	current := time.Unix(100, 0)
	s.now = func() time.Time { return current }
	allowed := 0
	for range 1000 {
		if s.Allow(Success) {
			allowed++
		}
	}
	require.Equal(t, MaxSuccessLinesPerSecond, allowed)
	require.True(t, s.Allow(Failure))
	current = current.Add(time.Second)
	require.True(t, s.Allow(Success))
	require.Equal(t, Omitted{Successes: 1000 - MaxSuccessLinesPerSecond}, s.TakeOmitted())
}

// recorder stores each write separately.
type recorder struct{ writes [][]byte }

func (r *recorder) Write(p []byte) (int, error) {
	r.writes = append(r.writes, bytes.Clone(p))
	return len(p), nil
}

// Guards against lines that are interleaved with those of another process, because a
// long write to a shared pipe is split.
func TestWritesAreWholeLinesWithinPipeBuffer(t *testing.T) {
	out := &recorder{}
	s := New(out)
	text := ""
	for i := range 100 {
		line := strings.Repeat("x", 37*i) + "\n"
		text += line
		_, _ = s.Write([]byte(line))
	}
	long := strings.Repeat("y", 2*maxWriteBytes) + "\n"
	_, _ = s.Write([]byte(long))
	s.Close()
	require.Equal(t, text+long, string(bytes.Join(out.writes, nil)))
	for _, w := range out.writes {
		require.True(t, bytes.HasSuffix(w, []byte("\n")))
		if string(w) != long {
			require.LessOrEqual(t, len(w), maxWriteBytes)
		}
	}
}
