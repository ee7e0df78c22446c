package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/catkinspring/catkinspring/internal/demo"
)

type controlCostCommand struct {
	Binary   string        `required:"" type:"existingfile" help:"Path of the catkinspring program."`
	Hosts    []int         `default:"6,12,24,48" help:"Numbers of entry hosts, at most 60; multiples of 6."`
	Duration time.Duration `default:"10s" help:"Time for which each fleet is measured."`
}

// Run measures the cost of the control work of a host for several fleet sizes.
func (c *controlCostCommand) Run() error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	self, err := os.Executable()
	if err != nil {
		return eris.Wrap(err, "path of this program")
	}
	return demo.MeasureControlCost(ctx, demo.Options{Binary: c.Binary, Standin: self}, c.Hosts, c.Duration, os.Stdout)
}
