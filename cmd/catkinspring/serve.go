package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/catkinspring/catkinspring/host"
	"github.com/catkinspring/catkinspring/settings"
)

type serveCommand struct {
	File string `arg:"" help:"Settings file, JSON with comments."`
}

// forcedStopError reports that a second signal stopped the process immediately.
type forcedStopError struct{}

func (*forcedStopError) Error() string { return "stopped at once by a second signal" }

// Run serves until a signal. The first SIGTERM or SIGINT starts a graceful shutdown,
// the second one stops the process immediately.
func (c serveCommand) Run() error {
	s, err := settings.Load(c.File)
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(s.Log.Level)
	if err != nil {
		return err
	}
	// Operators can change the global log level at run time.
	zerolog.SetGlobalLevel(level)
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	drain, startDrain := context.WithCancel(context.Background())
	stop, stopNow := context.WithCancel(context.Background())
	go handleSignals(startDrain, stopNow)
	for {
		h, err := host.New(host.Options{Settings: s, Version: version, Logger: log})
		if err != nil {
			return err
		}
		err = h.Run(stop, drain)
		if stop.Err() != nil {
			return &forcedStopError{}
		}
		// A retired incarnation restarts without any state, unless a graceful shutdown
		// has begun.
		var retired *host.RetiredError
		if !errors.As(err, &retired) || drain.Err() != nil {
			return err
		}
	}
}

func handleSignals(startDrain, stopNow context.CancelFunc) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	startDrain()
	<-signals
	stopNow()
}
