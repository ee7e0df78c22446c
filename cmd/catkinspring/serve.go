package main

import (
	"context"
	"errors"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/catkinspring/catkinspring/host"
	"github.com/catkinspring/catkinspring/logsink"
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
	drain, startDrain := context.WithCancel(context.Background())
	stop, stopNow := context.WithCancel(context.Background())
	// A signal that arrives during the start would otherwise end the process.
	handleSignals(startDrain, stopNow)
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
	log, closeLog := openLog(os.Stderr)
	defer closeLog()
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

// handleSignals starts a graceful shutdown with the first signal and ends it with the
// second one. SIGHUP has no effect, and a write to a closed output doesn't end the process.
func handleSignals(startDrain, stopNow context.CancelFunc) {
	signal.Ignore(syscall.SIGPIPE, syscall.SIGHUP)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		startDrain()
		<-signals
		stopNow()
	}()
}

// omittedInterval is the time between two lines about omitted lines.
const omittedInterval = time.Second

// openLog returns a logger that never waits for the reader of its output. closeLog writes
// the lines that are left.
func openLog(out io.Writer) (log zerolog.Logger, closeLog func()) {
	sink := logsink.New(out)
	log = zerolog.New(sink).With().Timestamp().Logger()
	ended := make(chan struct{})
	go func() {
		ticker := time.NewTicker(omittedInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ended:
				return
			case <-ticker.C:
			}
			if omitted := sink.TakeOmitted(); omitted.Dropped > 0 {
				log.Warn().Int("dropped", omitted.Dropped).Msg("lines left out")
			}
		}
	}()
	return log, func() {
		close(ended)
		sink.Close()
	}
}
