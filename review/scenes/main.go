// Command scenes plays the scripted cases of the second review: it starts entry hosts as
// separate processes beside stand-ins of the store, of upstreams and of callers, causes one
// disruption, and judges what callers and upstreams have seen.
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could
// not run.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/catkinspring/catkinspring/platform/rig"
)

// The exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// scene is one run of a case.
type scene struct {
	*rig.Rig
	upstreams *rig.Upstreams
	// trouble is false if the case runs without its disruption.
	trouble bool
}

// cases are the cases by name. They return whether the rule held.
var cases = map[string]func(*scene) (bool, error){
	"crash-after-route":   crashAfterRoute,
	"crash-after-restart": crashAfterRestart,
	"quota-holders":       quotaHolders,
	"cold-unseen":         coldUnseen,
	"cold-restart":        coldRestart,
	"replaced-fleet":      replacedFleet,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case to run")
	program := flag.String("program", "target/catkinspring", "the program of the deploy file")
	record := flag.String("record", "record.txt", "the file that gets the record")
	trouble := flag.Bool("trouble", true, "cause the disruption of the case")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", *name)
		return exitNotRun
	}
	file, err := os.Create(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }()
	base, err := rig.New(rig.Options{Program: *program, Output: file})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer base.Close()
	s := &scene{Rig: base, upstreams: &rig.Upstreams{Rig: base}, trouble: *trouble}
	held, err := play(s)
	switch {
	case err != nil:
		s.Record("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	case held:
		fmt.Println("the rule held")
		return exitHeld
	}
	fmt.Println("the rule was broken, see", *record)
	return exitBroken
}
