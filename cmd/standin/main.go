// Command standin runs stand-ins for the platform and for upstreams, the demo and
// the measurements. It is a test program and is not shipped.
package main

import (
	"encoding/json"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/catkinspring/catkinspring/internal/standin/platform"
	"github.com/catkinspring/catkinspring/internal/standin/upstream"
)

// commandLine lists the subcommands.
type commandLine struct {
	Platform platformCommand    `cmd:"" help:"Run the stand-in of the platform: object store and host list."`
	Upstream upstreamCommand    `cmd:"" help:"Run stand-ins of upstreams, one listener each."`
	Load     loadCommand        `cmd:"" help:"Send the load of a scenario to entry hosts."`
	Demo     demoCommand        `cmd:"" help:"Run a whole fleet, drive requests through it while parts of it fail, and check its promises."`
	Measure  measureCommand     `cmd:"" help:"Measure whole fleets through the phases of scenario files and compare them."`
	Naive    naiveCommand       `cmd:"" help:"Run a naive entry host for comparison."`
	Cost     controlCostCommand `cmd:"" name:"control-cost" help:"Measure the control cost of entry hosts without traffic."`
	Soak     soakCommand        `cmd:"" help:"Stop, restart and change hosts on the platform under traffic, by a seed, and check their promises."`
}

func main() {
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	ctx := kong.Parse(&commandLine{}, kong.Name("standin"), kong.Description("Stand-ins of the platform and of upstreams."))
	if err := ctx.Run(log); err != nil {
		log.Error().Err(err).Msg("stand-in failed")
		os.Exit(1)
	}
}

type platformCommand struct {
	Address string        `default:"127.0.0.1:0" help:"Address to listen on."`
	HostLag time.Duration `default:"0s" help:"Time after which changes of the host list show."`
}

// platformAddress is the JSON that the platform command prints to standard output.
type platformAddress struct {
	Address string `json:"address"`
}

// Run serves until the process receives SIGTERM or an interrupt.
func (c *platformCommand) Run(log zerolog.Logger) error {
	p, err := platform.Listen(platform.Options{Address: c.Address, HostLag: c.HostLag})
	if err != nil {
		return err
	}
	if err := printJSON(platformAddress{Address: p.Address()}); err != nil {
		return err
	}
	log.Info().Str("address", p.Address()).Msg("platform stand-in is listening")
	stop := stopSignal()
	go func() {
		<-stop
		// The error is ignored because the process ends anyway.
		_ = p.Close()
	}()
	return p.Serve()
}

type upstreamCommand struct {
	Config   string `arg:"" help:"File with the JSON list of upstreams; - reads standard input." default:"-"`
	Admin    string `default:"127.0.0.1:0" help:"Address of the admin interface."`
	Platform string `help:"Address of the platform stand-in in whose host list the upstreams are registered."`
	Records  int    `default:"100000" help:"Number of runs that are kept."`
}

// Run serves until the process receives SIGTERM or an interrupt.
func (c *upstreamCommand) Run(log zerolog.Logger) error {
	configs, err := c.read()
	if err != nil {
		return err
	}
	stop := stopSignal()
	group, err := upstream.Start(configs, upstream.Options{AdminAddress: c.Admin, Platform: c.Platform, Records: c.Records})
	if err != nil {
		return err
	}
	defer group.Close()
	if err := printJSON(group.Addresses()); err != nil {
		return err
	}
	log.Info().Int("upstreams", len(configs)).Msg("upstream stand-ins are listening")
	<-stop
	return nil
}

func (c *upstreamCommand) read() ([]upstream.Config, error) {
	file := os.Stdin
	if c.Config != "-" {
		opened, err := os.Open(c.Config)
		if err != nil {
			return nil, eris.Wrap(err, "upstream configuration")
		}
		defer func() { _ = opened.Close() }()
		file = opened
	}
	return upstream.ReadConfigs(file)
}

func stopSignal() <-chan os.Signal {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	return stop
}

// printJSON prints one line, which the parent process reads.
func printJSON(value any) error {
	return eris.Wrap(json.NewEncoder(os.Stdout).Encode(value), "standard output")
}
