package main

import (
	"fmt"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/catkinspring/catkinspring/edge"
	"github.com/catkinspring/catkinspring/logsink"
	"github.com/catkinspring/catkinspring/platform"
	"github.com/catkinspring/catkinspring/settings"
)

type edgeCommand struct {
	Settings string `help:"Settings file of the platform; the platform's own variable is used if it is missing." type:"path"`
	Options  string `help:"File with the operators' options, JSON with comments; without it everything optional is off."`
	Check    bool   `help:"Check the settings file and the options, print every error, and do not serve."`
}

// memoryLimitFraction is the fraction of the allowed memory that is set as the soft
// memory limit of the Go runtime. The rest is for received bytes that are not read
// yet, which count too.
const memoryLimitFraction = 0.7

// Run serves until the process receives SIGTERM or an interrupt.
func (c edgeCommand) Run(console *console) error {
	file := c.Settings
	if file == "" {
		file = platform.SettingsFile()
	}
	if c.Check {
		return checkEdgeSettings(console, file, c.Options)
	}
	// A signal that arrives during the start would otherwise end the process.
	stop := notifyStop()
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	// A log line that nobody reads any more would otherwise end the process.
	signal.Ignore(syscall.SIGPIPE)
	current, err := platform.LoadSettings(file)
	if err != nil {
		return err
	}
	options, err := loadEdgeOptions(c.Options)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(current.MemoryMegabyte) * (1 << 20)))
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	sink := logsink.New(os.Stdout)
	defer sink.Close()
	log := zerolog.New(sink).With().Timestamp().Str("host", string(current.ID)).Logger()
	e, err := edge.New(edge.Options{
		Settings:       current,
		Store:          platform.NewStore(current.Store),
		Codec:          platform.Headers{},
		Paths:          edge.Paths{Ready: platform.PathReady, Directory: platform.PathResolve},
		Logger:         log,
		LogSink:        sink,
		SecondAttempts: edge.SecondAttempts(options.SecondAttempts),
	})
	if err != nil {
		return err
	}
	go func() {
		for range hangup {
			reportSettingsChange(log, file, current)
		}
	}()
	e.Run(stop)
	return nil
}

// notifyStop returns a channel that receives the time of the first signal that requests a
// planned stop. Later signals are ignored.
func notifyStop() <-chan time.Time {
	signals, stop := make(chan os.Signal, 1), make(chan time.Time, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		stop <- time.Now()
	}()
	return stop
}

// loadEdgeOptions reads the file with the operators' options, if there is one.
func loadEdgeOptions(file string) (settings.EdgeOptions, error) {
	if file == "" {
		return settings.DefaultEdgeOptions(), nil
	}
	return settings.LoadEdgeOptions(file)
}

func checkEdgeSettings(console *console, file, options string) error {
	if _, err := platform.LoadSettings(file); err != nil {
		return err
	}
	if _, err := loadEdgeOptions(options); err != nil {
		return err
	}
	_, err := fmt.Fprintf(console.out, "%s: no errors\n", file)
	return err
}

// reportSettingsChange logs whether the settings file has changed. All settings are
// fixed for the lifetime of a process: its addresses, location and limits. The
// process keeps its settings, so that no request is interrupted, and changes take
// effect at the next start.
func reportSettingsChange(log zerolog.Logger, file string, current edge.Settings) {
	next, err := platform.LoadSettings(file)
	switch {
	case err != nil:
		log.Error().Err(err).Msg("changed settings file is not valid; the present settings stay")
	case reflect.DeepEqual(next, current):
		log.Info().Msg("settings were read again; nothing has changed")
	default:
		log.Warn().Any("next", next).Msg("settings have changed; they take effect at the next start")
	}
}
