package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/catkinspring/catkinspring/edge"
	"github.com/catkinspring/catkinspring/platform"
)

type edgeCommand struct {
	Settings string `help:"Settings file of the platform; the platform's own variable is used if it is missing." type:"path"`
}

// Run serves until the process is told to stop.
func (c edgeCommand) Run(*console) error {
	file := c.Settings
	if file == "" {
		file = platform.SettingsFile()
	}
	settings, err := platform.LoadSettings(file)
	if err != nil {
		return err
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log := zerolog.New(os.Stdout).With().Timestamp().Str("host", string(settings.ID)).Logger()
	e, err := edge.New(edge.Options{
		Settings: settings,
		Store:    platform.NewStore(settings.Store),
		Codec:    platform.Headers{},
		Paths:    edge.Paths{Ready: platform.PathReady, Directory: platform.PathResolve},
		Logger:   log,
	})
	if err != nil {
		return err
	}
	stop, end := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer end()
	signal.Ignore(syscall.SIGHUP)
	e.Run(stop)
	return nil
}
