// Command catkinspring runs an entry host and contains the operators' commands.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/catkinspring/catkinspring/settings"
)

// version is set by the linker.
var version = "development"

type commandLine struct {
	Serve    serveCommand    `cmd:"" help:"Run an entry host."`
	Edge     edgeCommand     `cmd:"" help:"Run an entry host on the platform of the users."`
	Settings settingsCommand `cmd:"" help:"Work with settings files."`
	Config   configCommand   `cmd:"" help:"Work with configurations of the platform."`
	Certs    certsCommand    `cmd:"" help:"Make certificates for the connections between hosts."`
	Note     noteCommand     `cmd:"" help:"Work with release notes."`
	Key      keyCommand      `cmd:"" help:"Make and withdraw customers' keys."`
	Status   statusCommand   `cmd:"" help:"Show hosts, leases, revisions, shares, capacity, shifts, quarantined requests and firing alerts of a cell."`
	Timeline timelineCommand `cmd:"" help:"Show one ordered time line of events over all hosts of a cell."`
	Explain  explainCommand  `cmd:"" help:"Say what happened to one request and why."`
	Log      logCommand      `cmd:"" help:"Work with the logs of running hosts."`
	Version  versionCommand  `cmd:"" help:"Print the version."`
}

type versionCommand struct{}

// Run prints the version.
func (versionCommand) Run() error {
	fmt.Println("catkinspring", version)
	return nil
}

type settingsCommand struct {
	Check settingsCheckCommand `cmd:"" help:"Check a settings file and print every error."`
}

type settingsCheckCommand struct {
	File string `arg:"" help:"Settings file, JSON with comments."`
}

// Run checks a settings file.
func (c settingsCheckCommand) Run() error {
	if _, err := settings.Load(c.File); err != nil {
		return err
	}
	fmt.Printf("%s: no errors\n", c.File)
	return nil
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run parses a command line, runs the command and returns the exit code.
func run(args []string, out, errOut io.Writer) int {
	var command commandLine
	parser, err := kong.New(&command,
		kong.Name("catkinspring"),
		kong.Description("Steers callers' requests across regions and failure domains to upstreams."),
		kong.Writers(out, errOut),
		kong.UsageOnError(),
	)
	if err != nil {
		fmt.Fprintln(errOut, "catkinspring:", err)
		return exitFailed
	}
	kongContext, err := parser.Parse(args)
	parser.FatalIfErrorf(err)
	ctx := context.Background()
	// The commands that run a host handle signals themselves.
	if !strings.HasPrefix(kongContext.Command(), "serve") && !strings.HasPrefix(kongContext.Command(), "edge") {
		interrupted, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
		defer stop()
		ctx = interrupted
	}
	if err := kongContext.Run(&console{ctx: ctx, out: out, err: errOut}); err != nil {
		fmt.Fprintln(errOut, "catkinspring:", err)
		return exitCode(err)
	}
	return 0
}
