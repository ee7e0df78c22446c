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
	require.Equal(t, SuccessLines, allowed)
	require.True(t, s.Allow(Failure))
	at = at.Add(time.Second)
	require.True(t, s.Allow(Success))
	require.Equal(t, Omitted{Successes: 1000 - SuccessLines}, s.TakeOmitted())
}
