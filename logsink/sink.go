// Package logsink writes log lines without ever holding up those who log, and
// bounds their number under load.
//
// Lines are collected in memory and written by one goroutine. When the reader is
// slow, lines are dropped and counted. Lines about successes have a budget of
// their own that is spent before that of failures, so that a crowd of successes
// does not hide a failure.
package logsink

import (
	"bytes"
	"io"
	"sync"
	"time"
)

const (
	// flushInterval is how long a line may wait in memory. Each write costs a
	// system call, so lines are written together.
	flushInterval = 200 * time.Millisecond
	// maxWrite bounds one write, which ends with a whole line. Linux writes up to this
	// size (PIPE_BUF) to a pipe without mixing them with those of other processes;
	// longer ones broke 164 of 34,051 lines of a recorded day.
	maxWrite = 4096
	// maxBuffered bounds the lines in memory, in bytes: a few seconds of the budgets
	// below.
	maxBuffered = 512 << 10
	// SuccessLines and FailureLines are the lines a second of each class, so at most
	// 140 lines or about 70 KB a second. A host serves about 100 requests a second.
	MaxSuccessLinesPerSecond = 40
	MaxFailureLinesPerSecond = 100
)

// Class is what a line tells of.
type Class uint8

// The classes of lines that have a budget.
const (
	Success Class = iota
	Failure
	classes
)

// Sink is an io.Writer for log lines. It is safe for concurrent use.
type Sink struct {
	out io.Writer
	now func() time.Time

	mu      sync.Mutex
	buffer  []byte
	spare   []byte
	second  int64
	used    [classes]int
	skipped [classes]int
	dropped int

	stop, stopped chan struct{}
}

// New returns a sink that writes to out until Close.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, now: time.Now, stop: make(chan struct{}), stopped: make(chan struct{})}
	go s.run()
	return s
}

// Write takes one line. It never fails and never waits for the output.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.buffer)+len(line) > maxBuffered {
		s.dropped++
		return len(line), nil
	}
	s.buffer = append(s.buffer, line...)
	return len(line), nil
}

// Allow spends the budget of a class and reports whether a line may be written.
func (s *Sink) Allow(c Class) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := s.now().Unix(); second != s.second {
		s.second, s.used = second, [classes]int{}
	}
	if s.used[c] >= [classes]int{MaxSuccessLinesPerSecond, MaxFailureLinesPerSecond}[c] {
		s.skipped[c]++
		return false
	}
	s.used[c]++
	return true
}

// Omitted is what was left out.
type Omitted struct {
	// Successes and Failures were beyond their budgets, Dropped found no room.
	Successes, Failures, Dropped int
}

// TakeOmitted returns what was left out since the last call.
func (s *Sink) TakeOmitted() Omitted {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := Omitted{Successes: s.skipped[Success], Failures: s.skipped[Failure], Dropped: s.dropped}
	s.skipped, s.dropped = [classes]int{}, 0
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
	full := s.buffer
	s.buffer = s.spare[:0]
	s.mu.Unlock()
	for rest := full; len(rest) > 0; {
		var lines []byte
		lines, rest = wholeLines(rest)
		// There is nobody to tell that the output failed.
		_, _ = s.out.Write(lines)
	}
	s.mu.Lock()
	s.spare = full
	s.mu.Unlock()
}

// wholeLines returns the first lines that fit into one write, at least one, and
// the rest.
func wholeLines(text []byte) (lines, rest []byte) {
	if len(text) <= maxWrite {
		return text, nil
	}
	end := bytes.LastIndexByte(text[:maxWrite], '\n')
	if end < 0 {
		end = bytes.IndexByte(text, '\n')
	}
	if end < 0 {
		return text, nil
	}
	return text[:end+1], text[end+1:]
}

// Close writes what is left and stops. It may be called once.
func (s *Sink) Close() {
	close(s.stop)
	<-s.stopped
}
