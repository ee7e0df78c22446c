// Command rig runs the scripted cases of the review. It starts entry hosts as processes
// with the command of the deploy file, and stand-ins of the platform's store, of backends
// and of clients within itself.
//
// It exits with 0 if the rule of the case held, 1 if it was broken and 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/catkinspring/catkinspring/platform/rig"
)

const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// maxCaseTime is the time after which a case is given up.
const maxCaseTime = 110 * time.Second

// cases are the scripted cases by name. A case returns whether the rule was broken.
var cases = map[string]func(r *setup) (broken bool, err error){}

// setup is what a case runs with.
type setup struct {
	*rig.Rig
	// trouble is false if the case runs without its disruption.
	trouble bool
	output  *os.File
}

func newSetup(folder string) (*setup, error) {
	output, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	r, err := rig.New(rig.Options{Program: "target/catkinspring", Output: output})
	if err != nil {
		return nil, err
	}
	return &setup{Rig: r, trouble: os.Getenv("TROUBLE") != "0", output: output}, nil
}

func (s *setup) close() {
	s.Rig.Close()
	_ = s.output.Close()
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER, in the root of the repository")
		os.Exit(exitCannotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	r, err := newSetup(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer r.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	type verdict struct {
		broken bool
		err    error
	}
	done := make(chan verdict, 1)
	go func() {
		broken, err := cases[name](r)
		done <- verdict{broken, err}
	}()
	select {
	case v := <-done:
		switch {
		case v.err != nil:
			r.Record("the case could not run: %v", v.err)
			return exitCannotRun
		case v.broken:
			r.Record("verdict: the rule was broken")
			return exitBroken
		}
		r.Record("verdict: the rule held")
		return exitHeld
	case <-interrupted:
		r.Record("interrupted")
	case <-time.After(maxCaseTime):
		r.Record("the case took too long")
	}
	return exitCannotRun
}
