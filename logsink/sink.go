// Package logsink writes log lines without blocking the callers, and limits their
// rate under load.
//
// Lines are buffered in memory and written by one goroutine. When the reader is
// slow, lines are dropped and counted. Lines about successes and failures have
// separate budgets, so that many successes do not suppress a failure.
package logsink

import (
	"bytes"
	"io"
	"sync"
	"time"
)

const (
	// flushInterval is how long a line may stay in memory. Each write costs a system
	// call, so lines are written in batches.
	flushInterval = 200 * time.Millisecond
	// maxWriteBytes bounds one write, which ends with a whole line. Linux writes up to
	// this size (PIPE_BUF) to a pipe atomically; longer writes were interleaved with
	// those of other processes and broke 164 of 34,051 lines of a recorded day.
	maxWriteBytes = 4096
	// maxBufferedBytes bounds the lines in memory. It holds a few seconds of the
	// budgets below.
	maxBufferedBytes = 512 << 10
	// closeTimeout is how long Close waits for the reader of the output.
	closeTimeout = 200 * time.Millisecond
	// MaxSuccessLinesPerSecond, MaxFailureLinesPerSecond and MaxUnansweredLinesPerSecond
	// are the budgets of the classes: together at most 340 lines or about 170 KB per
	// second. A host serves about 100 requests per second.
	MaxSuccessLinesPerSecond    = 40
	MaxFailureLinesPerSecond    = 100
	MaxUnansweredLinesPerSecond = 200
)

// Class is the class of a log line.
type Class uint8

// The classes of lines with a budget.
const (
	Success Class = iota
	Failure
	// Unanswered is the class of requests whose connection ended without a response.
	Unanswered
	classCount
)

// Sink is an io.Writer for log lines. It is safe for concurrent use.
type Sink struct {
	out io.Writer
	now func() time.Time

	mu     sync.Mutex
	buffer []byte
	// spare is the buffer of the last flush, which the next flush reuses.
	spare []byte
	// second is the Unix second in which used was counted.
	second     int64
	used       [classCount]int
	overBudget [classCount]int
	dropped    int

	stop, stopped chan struct{}
}

// New returns a sink that writes to out until Close is called.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, now: time.Now, stop: make(chan struct{}), stopped: make(chan struct{})}
	go s.run()
	return s
}

// Write buffers one line. It never fails and never waits for the output.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.buffer)+len(line) > maxBufferedBytes {
		s.dropped++
		return len(line), nil
	}
	s.buffer = append(s.buffer, line...)
	return len(line), nil
}

// Allow takes one line from the budget of a class and reports whether it may be
// written.
func (s *Sink) Allow(c Class) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := s.now().Unix(); second != s.second {
		s.second, s.used = second, [classCount]int{}
	}
	if s.used[c] >= [classCount]int{MaxSuccessLinesPerSecond, MaxFailureLinesPerSecond, MaxUnansweredLinesPerSecond}[c] {
		s.overBudget[c]++
		return false
	}
	s.used[c]++
	return true
}

// Omitted counts the lines that were not written.
type Omitted struct {
	// Successes, Failures and Unanswered exceeded their budgets, Dropped did not fit in the
	// buffer.
	Successes, Failures, Unanswered, Dropped int
}

// TakeOmitted returns and resets the counts of omitted lines.
func (s *Sink) TakeOmitted() Omitted {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := Omitted{Successes: s.overBudget[Success], Failures: s.overBudget[Failure], Unanswered: s.overBudget[Unanswered], Dropped: s.dropped}
	s.overBudget, s.dropped = [classCount]int{}, 0
	return o
}

func (s *Sink) run() {
	defer close(s.stopped)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.flush()
		case <-s.stop:
			s.flush()
			return
		}
	}
}

func (s *Sink) flush() {
	s.mu.Lock()
	pending := s.buffer
	s.buffer = s.spare[:0]
	s.mu.Unlock()
	for rest := pending; len(rest) > 0; {
		var lines []byte
		lines, rest = wholeLines(rest)
		// A failed write is ignored: there is nowhere to report it.
		_, _ = s.out.Write(lines)
	}
	s.mu.Lock()
	s.spare = pending
	s.mu.Unlock()
}

// wholeLines splits off the leading lines that fit into one write, at least one.
func wholeLines(text []byte) (lines, rest []byte) {
	if len(text) <= maxWriteBytes {
		return text, nil
	}
	end := bytes.LastIndexByte(text[:maxWriteBytes], '\n')
	if end < 0 {
		end = bytes.IndexByte(text, '\n')
	}
	if end < 0 {
		return text, nil
	}
	return text[:end+1], text[end+1:]
}

// Close writes the buffered lines and stops the sink, at most until closeTimeout has
// passed. It must be called only once.
func (s *Sink) Close() {
	close(s.stop)
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-s.stopped:
	case <-timer.C:
	}
}
