// Command limitstable prints the tables of limits/README.md: wrongful refusals,
// message cost and refusals by customer, under a virtual clock.
package main

import (
	"os"

	"github.com/alecthomas/kong"

	"github.com/catkinspring/catkinspring/limits/internal/limitsim"
)

type commandLine struct {
	Seed uint64 `default:"1" help:"Seed of the arrivals; the same seed prints the same figures."`
}

func main() {
	var line commandLine
	kong.Parse(&line, kong.Description("Prints the measurements of package limits."))
	limitsim.PrintTable(os.Stdout, line.Seed)
	limitsim.PrintCost(os.Stdout, line.Seed)
	limitsim.PrintCustomers(os.Stdout, line.Seed)
}
