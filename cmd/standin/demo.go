package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"

	"github.com/catkinspring/catkinspring/internal/demo"
	"github.com/catkinspring/catkinspring/internal/load"
)

type demoCommand struct {
	Binary string `required:"" type:"existingfile" help:"Path of the catkinspring program."`
	Keep   bool   `help:"Leave the fleet up without traffic until Ctrl-C."`
	Logs   string `type:"path" help:"Directory in which the files of the run stay; a temporary one that is removed by default."`
}

// Run runs the demo. All processes that it starts have ended when it returns.
func (c *demoCommand) Run() error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	self, err := os.Executable()
	if err != nil {
		return eris.Wrap(err, "path of this program")
	}
	options := demo.Options{Binary: c.Binary, Standin: self, Directory: c.Logs}
	if c.Keep {
		return demo.Keep(ctx, options, os.Stdout)
	}
	return demo.Run(ctx, options, os.Stdout)
}

type loadCommand struct {
	Scenario string `arg:"" type:"existingfile" help:"Scenario file, JSON with comments."`
	Records  string `type:"path" help:"File for one JSON line per request."`
}

// Run sends the load and prints a table with one row per customer.
func (c *loadCommand) Run() error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	scenario, err := load.ReadScenario(c.Scenario)
	if err != nil {
		return err
	}
	fmt.Printf("scenario %s, seed %d\n", scenario.Name, scenario.Seed)
	result, err := load.Run(ctx, scenario)
	if err != nil {
		return err
	}
	if c.Records != "" {
		if err := writeRecords(c.Records, result); err != nil {
			return err
		}
	}
	l := result.Lookups
	fmt.Printf("look-ups: %d asked, %d answered, %d refused, %d failed\n", l.Asked, l.Answered, l.Refused, l.Failed)
	return result.WriteTable(os.Stdout)
}

func writeRecords(path string, result *load.Result) error {
	file, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "request records")
	}
	defer func() { _ = file.Close() }()
	if err := result.WriteRecords(file); err != nil {
		return err
	}
	return eris.Wrap(file.Close(), "request records")
}
