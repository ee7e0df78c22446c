package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"

	"github.com/catkinspring/catkinspring/internal/measure"
	"github.com/catkinspring/catkinspring/internal/naive"
)

type measureCommand struct {
	Binary    string   `required:"" type:"existingfile" help:"Path of the catkinspring program."`
	Scenarios []string `arg:"" type:"existingfile" help:"Scenario files, JSON with comments. All run at once."`
	Scale     float64  `default:"1" help:"Factor that stretches the phases."`
	Last      string   `default:"docs/measurements/last.json" type:"path" help:"File of the last recorded results."`
	Record    bool     `help:"Rewrite the file of the last recorded results."`
	JSON      string   `name:"json" type:"path" help:"File for the results."`
	Plots     string   `type:"path" help:"Folder for SVG plots."`
	Logs      string   `type:"path" help:"Directory in which the files of the runs stay; a temporary one that is removed by default."`
	OwnOnly   bool     `help:"Leave the naive design out."`
	Version   string   `help:"Version that the results name." default:"development"`
}

// Run measures the scenarios. All processes that it starts have ended when it returns.
func (c *measureCommand) Run() error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	self, err := os.Executable()
	if err != nil {
		return eris.Wrap(err, "path of this program")
	}
	return measure.Run(ctx, measure.Options{
		Binary: c.Binary, Standin: self, Version: c.Version, Scenarios: c.Scenarios, Scale: c.Scale,
		Last: c.Last, Record: c.Record, JSON: c.JSON, Plots: c.Plots, Directory: c.Logs, OwnOnly: c.OwnOnly,
	}, os.Stdout)
}

type naiveCommand struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file; the release note is read from a file next to it."`
}

// Run serves callers until the process receives SIGTERM or an interrupt.
func (c *naiveCommand) Run() error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	return naive.Run(ctx, c.Settings)
}
