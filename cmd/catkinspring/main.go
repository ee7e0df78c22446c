// Command catkinspring is the entry host and its operators' tool.
package main

import (
	"fmt"

	"github.com/alecthomas/kong"
)

// version is set by the linker.
var version = "development"

type commandLine struct {
	Version versionCommand `cmd:"" help:"Print the version."`
}

type versionCommand struct{}

// Run prints the version.
func (versionCommand) Run() error {
	fmt.Println("catkinspring", version)
	return nil
}

func main() {
	ctx := kong.Parse(&commandLine{}, kong.Name("catkinspring"), kong.Description("Steers requests across regions and failure domains to upstreams."))
	ctx.FatalIfErrorf(ctx.Run())
}
