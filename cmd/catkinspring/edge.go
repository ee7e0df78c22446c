package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/catkinspring/catkinspring/edge"
	"github.com/catkinspring/catkinspring/logsink"
	"github.com/catkinspring/catkinspring/platform"
)

type edgeCommand struct {
	Settings string `help:"Settings file of the platform; the platform's own variable is used if it is missing." type:"path"`
	Check    bool   `help:"Check the settings file, print every error, and do not serve."`
}

// memoryPart is the part of the allowed memory at which the garbage collector works
// harder. The rest is for received bytes that were not read yet, which count too.
const memoryPart = 0.7

// Run serves until the process is told to stop.
func (c edgeCommand) Run(console *console) error {
	file := c.Settings
	if file == "" {
		file = platform.SettingsFile()
	}
	settings, err := platform.LoadSettings(file)
	if err != nil {
		return err
	}
	if c.Check {
		_, err := fmt.Fprintf(console.out, "%s: no errors\n", file)
		return err
	}
	debug.SetMemoryLimit(int64(memoryPart * float64(settings.MemoryMegabyte) * (1 << 20)))
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	sink := logsink.New(os.Stdout)
	defer sink.Close()
	log := zerolog.New(sink).With().Timestamp().Str("host", string(settings.ID)).Logger()
	e, err := edge.New(edge.Options{
		Settings: settings,
		Store:    platform.NewStore(settings.Store),
		Codec:    platform.Headers{},
		Paths:    edge.Paths{Ready: platform.PathReady, Directory: platform.PathResolve},
		Logger:   log,
		LogSink:  sink,
	})
	if err != nil {
		return err
	}
	stop, end := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer end()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	go func() {
		for range reload {
			reloadSettings(log, file, settings)
		}
	}()
	e.Run(stop)
	return nil
}

// reloadSettings says what a changed settings file means. Everything in it is
// fixed for the life of a process: its addresses, place and bounds. The process
// goes on with what it has, so that no request is cut, and a restart takes the
// changes.
func reloadSettings(log zerolog.Logger, file string, inForce edge.Settings) {
	next, err := platform.LoadSettings(file)
	switch {
	case err != nil:
		log.Error().Err(err).Msg("changed settings file is not valid; the present settings stay")
	case reflect.DeepEqual(next, inForce):
		log.Info().Msg("settings were read again; nothing has changed")
	default:
		log.Warn().Any("next", next).Msg("settings have changed; they take effect at the next start")
	}
}
