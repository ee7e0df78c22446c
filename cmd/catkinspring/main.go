// Command catkinspring is the entry host and its operators' tool.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/catkinspring/catkinspring/host"
	"github.com/catkinspring/catkinspring/settings"
)

// version is set by the linker.
var version = "development"

// The exit codes of the program. Kong uses 80 for an invalid command line.
const (
	exitFailed      = 1
	exitSettings    = 2
	exitListen      = 3
	exitStoppedHard = 4
)

type commandLine struct {
	Serve    serveCommand    `cmd:"" help:"Run an entry host."`
	Settings settingsCommand `cmd:"" help:"Work with settings files."`
	Certs    certsCommand    `cmd:"" help:"Make certificates for the connections between hosts."`
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

// Run checks the file.
func (c settingsCheckCommand) Run() error {
	if _, err := settings.Load(c.File); err != nil {
		return err
	}
	fmt.Printf("%s: no errors\n", c.File)
	return nil
}

func main() {
	ctx := kong.Parse(&commandLine{},
		kong.Name("catkinspring"),
		kong.Description("Steers callers' requests across regions and failure domains to upstreams."),
		kong.UsageOnError(),
	)
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "catkinspring:", err)
		os.Exit(exitCode(err))
	}
}

// exitCode maps an error to the exit code that scripts can tell apart.
func exitCode(err error) int {
	var (
		invalid    *settings.Error
		unreadable *settings.ReadError
		secret     *settings.SecretError
		listen     *host.ListenError
		hard       *hardStopError
	)
	switch {
	case errors.As(err, &invalid), errors.As(err, &unreadable), errors.As(err, &secret):
		return exitSettings
	case errors.As(err, &listen):
		return exitListen
	case errors.As(err, &hard):
		return exitStoppedHard
	}
	return exitFailed
}
