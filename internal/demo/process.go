package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// announceTimeout bounds the wait for a stand-in to print its addresses.
	announceTimeout = 10 * time.Second
	// shownLogBytes bounds the part of a log that is included in an error.
	shownLogBytes = 2000
)

// ProcessError reports a process that ended unexpectedly or did not start.
type ProcessError struct {
	Name   string
	Reason string
	// Log is the tail of the process's standard error.
	Log string
}

func (e *ProcessError) Error() string {
	return fmt.Sprintf("process %s: %s\n%s", e.Name, e.Reason, e.Log)
}

// Process is a process that a Launcher started.
type Process struct {
	Name   string
	cmd    *exec.Cmd
	log    string
	stdout *bufio.Reader
	done   chan struct{}
	// ended is set before done is closed.
	ended time.Time
}

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) error {
	return eris.Wrapf(p.cmd.Process.Signal(s), "signal to %s", p.Name)
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Ended returns the time at which the process ended. Done must be closed.
func (p *Process) Ended() time.Time { return p.ended }

// ExitCode returns the exit code, or -1 if a signal ended the process. Done must be
// closed.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// Log returns the tail of the process's standard error.
func (p *Process) Log() string {
	text, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	if len(text) > shownLogBytes {
		text = text[len(text)-shownLogBytes:]
	}
	return string(text)
}

func (p *Process) newError(reason string) error {
	return &ProcessError{Name: p.Name, Reason: reason, Log: p.Log()}
}

// readAnnouncement decodes the first line of standard output, which is JSON.
func (p *Process) readAnnouncement(into any) error {
	type readResult struct {
		line []byte
		err  error
	}
	lines := make(chan readResult, 1)
	go func() {
		line, err := p.stdout.ReadBytes('\n')
		lines <- readResult{line, err}
	}()
	select {
	case r := <-lines:
		if r.err != nil {
			return p.newError("ended before it printed its addresses")
		}
		return eris.Wrapf(json.Unmarshal(bytes.TrimSpace(r.line), into), "first line of %s", p.Name)
	case <-time.After(announceTimeout):
		return p.newError("did not print its addresses")
	}
}

// Launcher starts processes and kills all of them on Close. On Linux, the kernel also
// kills them when the launcher's thread ends, so they never outlive this process.
type Launcher struct {
	directory string
	tasks     chan func()

	mu        sync.Mutex
	processes []*Process
}

// NewLauncher returns a launcher that writes the logs of its processes to a directory.
func NewLauncher(directory string) *Launcher {
	tasks := make(chan func())
	l := &Launcher{directory: directory, tasks: tasks}
	// The kernel sends the parent death signal (Pdeathsig) when the thread that started
	// the process ends, so all processes are started from one locked thread.
	go func() {
		runtime.LockOSThread()
		for f := range tasks {
			f()
		}
	}()
	return l
}

// Start starts a program. Its standard error is appended to a log file.
func (l *Launcher) Start(name, program string, arguments ...string) (*Process, error) {
	p := &Process{Name: name, done: make(chan struct{}), log: filepath.Join(l.directory, name+".log")}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, eris.Wrap(err, "process log")
	}
	defer func() { _ = log.Close() }()
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, eris.Wrap(err, "process output")
	}
	defer func() { _ = writer.Close() }()
	p.stdout = bufio.NewReader(reader)
	p.cmd = exec.Command(program, arguments...)
	p.cmd.Stdout, p.cmd.Stderr = writer, log
	p.cmd.SysProcAttr = processAttributes()
	if err := l.runOnThread(p.cmd.Start); err != nil {
		_ = reader.Close()
		return nil, eris.Wrapf(err, "starting %s", name)
	}
	go p.wait(reader)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.processes = append(l.processes, p)
	return p, nil
}

func (l *Launcher) runOnThread(f func() error) error {
	result := make(chan error, 1)
	l.tasks <- func() { result <- f() }
	return <-result
}

func (p *Process) wait(stdout io.Closer) {
	// ExitCode reads the exit code from ProcessState, so the error is not needed.
	_ = p.cmd.Wait()
	_ = stdout.Close()
	p.ended = time.Now()
	close(p.done)
}

// Close kills every process that was started and waits until it has ended.
func (l *Launcher) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.processes {
		select {
		case <-p.done:
		default:
			// The process may end on its own concurrently, so an error is ignored.
			_ = p.cmd.Process.Signal(syscall.SIGKILL)
		}
	}
	for _, p := range l.processes {
		<-p.done
	}
	l.processes = nil
	if l.tasks != nil {
		close(l.tasks)
		l.tasks = nil
	}
}

// TimeoutError reports a condition that did not become true in time.
type TimeoutError struct {
	Condition string
	Timeout   time.Duration
	Last      error
}

func (e *TimeoutError) Error() string {
	return fmt.Sprintf("%s: not within %v: %v", e.Condition, e.Timeout, e.Last)
}

// Unwrap returns the last error of the condition.
func (e *TimeoutError) Unwrap() error { return e.Last }

const pollInterval = 50 * time.Millisecond

// Eventually polls check until it returns nil. If check returns a *ProcessError,
// Eventually returns it immediately. After the timeout it returns *TimeoutError.
func Eventually(ctx context.Context, timeout time.Duration, condition string, check func() error) error {
	deadline := time.Now().Add(timeout)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		err := check()
		var ended *ProcessError
		switch {
		case err == nil:
			return nil
		case errors.As(err, &ended):
			return err
		case time.Now().After(deadline):
			return &TimeoutError{Condition: condition, Timeout: timeout, Last: err}
		}
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), condition)
		case <-ticker.C:
		}
	}
}
