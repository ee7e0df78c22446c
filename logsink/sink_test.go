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

// Guards against traffic that waits for whoever reads the logs.
func TestSlowReaderNeverHoldsUpAWriter(t *testing.T) {
	reader, writer := io.Pipe()
	s := New(writer)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 2 * maxBuffered / len(line) {
		n, err := s.Write(line)
		require.NoError(t, err)
		require.Equal(t, len(line), n)
	}
	require.Positive(t, s.TakeOmitted().Dropped)
	go func() { _, _ = io.Copy(io.Discard, reader) }()
	s.Close()
}

// Guards against lines that are lost or mixed at the end or under concurrency.
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

// Guards against successes that use up the lines of failures.
func TestClassesHaveBudgetsOfTheirOwn(t *testing.T) {
	s := New(io.Discard)
	defer s.Close()
	at := time.Unix(100, 0)
	s.now = func() time.Time { return at }
	allowed := 0
	for range 1000 {
		if s.Allow(Success) {
			allowed++
		}
	}
	require.Equal(t, MaxSuccessLinesPerSecond, allowed)
	require.True(t, s.Allow(Failure))
	at = at.Add(time.Second)
	require.True(t, s.Allow(Success))
	require.Equal(t, Omitted{Successes: 1000 - MaxSuccessLinesPerSecond}, s.TakeOmitted())
}

// recorder keeps the single writes.
type recorder struct{ writes [][]byte }

func (r *recorder) Write(p []byte) (int, error) {
	r.writes = append(r.writes, bytes.Clone(p))
	return len(p), nil
}

// Guards against lines that end in the middle of another process's lines, because
// a long write to a shared pipe is cut.
func TestWritesEndWithLinesAndFitIntoAPipe(t *testing.T) {
	out := &recorder{}
	s := New(out)
	text := ""
	for i := range 100 {
		line := strings.Repeat("x", 37*i) + "\n"
		text += line
		_, _ = s.Write([]byte(line))
	}
	long := strings.Repeat("y", 2*maxWrite) + "\n"
	_, _ = s.Write([]byte(long))
	s.Close()
	require.Equal(t, text+long, string(bytes.Join(out.writes, nil)))
	for _, w := range out.writes {
		require.True(t, bytes.HasSuffix(w, []byte("\n")))
		if string(w) != long {
			require.LessOrEqual(t, len(w), maxWrite)
		}
	}
}
