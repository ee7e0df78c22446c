package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/catkinspring/catkinspring/platform/soak"
)

type soakCommand struct {
	Binary   string        `required:"" type:"existingfile" help:"Path of the catkinspring program."`
	Seed     uint64        `default:"1" help:"Seed of the first run; each further run has the next one."`
	Runs     int           `default:"1" help:"Number of runs, one after the other."`
	Duration time.Duration `default:"60s" help:"Time of a run in which hosts are stopped and changed."`
	Logs     string        `type:"path" help:"Directory for a record of each run."`
	Hosts    int           `help:"Number of hosts of a run of planned stops; the seed decides if it is 0."`
	Faults   bool          `help:"Disturb the store too in a run of planned stops."`
	Changes  bool          `help:"Withdraw keys, routes, upstreams and failure domains, and disturb the store too, in place of planned stops under traffic."`
	Replace  bool          `help:"Replace some or all hosts for good under limited customers, in place of planned stops under traffic."`
	Drills   bool          `help:"Let the store come back from older copies too in a run of replacements."`
	Demands  bool          `help:"Let upstreams state limits and ask for pauses too in a run of changes."`
	Broken   bool          `help:"Let upstreams send broken responses too in a run of planned stops."`
	Latency  time.Duration `help:"Pause hosts again and again for up to this long, as on a busy machine."`
	MaxHosts int           `default:"9" help:"Hosts with which a run of changes or replacements begins, at most."`
}

// Run plays the seeds. All processes that it starts have ended when it returns.
func (c *soakCommand) Run() error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	broken, total := &soak.BrokenError{}, &soak.Report{}
	for seed := c.Seed; seed < c.Seed+uint64(c.Runs); seed++ {
		isBroken, err := c.play(ctx, seed, total)
		if err != nil {
			return err
		}
		if isBroken {
			broken.Seeds = append(broken.Seeds, seed)
		}
	}
	if !c.Changes && !c.Replace {
		if err := total.WriteTotal(os.Stdout); err != nil {
			return eris.Wrap(err, "report")
		}
	}
	if len(broken.Seeds) > 0 {
		return broken
	}
	return nil
}

// play plays one seed and reports whether it broke a promise.
func (c *soakCommand) play(ctx context.Context, seed uint64, total *soak.Report) (bool, error) {
	output := io.Discard
	if c.Logs != "" {
		file, err := os.Create(filepath.Join(c.Logs, fmt.Sprintf("seed-%d.txt", seed)))
		if err != nil {
			return false, eris.Wrap(err, "record of the run")
		}
		defer func() { _ = file.Close() }()
		output = file
	}
	options := soak.Options{Program: c.Binary, Seed: seed, Duration: c.Duration, MaxHosts: c.MaxHosts, Hosts: c.Hosts, StoreFaults: c.Faults, Latency: c.Latency, Demands: c.Demands, Drills: c.Drills, Broken: c.Broken, Output: output}
	if c.Replace {
		report, err := soak.RunReplacements(ctx, options)
		if err != nil {
			return false, eris.Wrapf(err, "run with seed %d", seed)
		}
		return report.Broken(), eris.Wrap(report.Write(os.Stdout), "report")
	}
	if c.Changes {
		report, err := soak.RunChanges(ctx, options)
		if err != nil {
			return false, eris.Wrapf(err, "run with seed %d", seed)
		}
		return report.Broken(), eris.Wrap(report.Write(os.Stdout), "report")
	}
	report, err := soak.Run(ctx, options)
	if err != nil {
		return false, eris.Wrapf(err, "run with seed %d", seed)
	}
	total.Add(report)
	return report.Broken(), eris.Wrap(report.Write(os.Stdout), "report")
}
