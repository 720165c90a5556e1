// Command filbert-experiment compares the admission decisions with simple
// baselines, without a network and with a simulated clock, and prints one table
// per scenario.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"filbertdeck/internal/experiment"
	"filbertdeck/internal/version"
)

type settings struct {
	Names []string `arg:"positional" help:"scenarios to run; all when none is given"`
	Seed  uint64   `arg:"--seed,env:FILBERT_SEED" default:"1" help:"seed of arrivals, lengths and choices"`
	List  bool     `arg:"--list" help:"list the scenarios and end"`
}

// Version implements go-arg's Versioned interface.
func (settings) Version() string { return "filbert-experiment " + version.String() }

func main() {
	var s settings
	arg.MustParse(&s)
	if s.List {
		for _, name := range experiment.ScenarioNames() {
			fmt.Println(name)
		}
		return
	}
	if len(s.Names) == 0 {
		s.Names = experiment.ScenarioNames()
	}
	for _, name := range s.Names {
		if err := experiment.Run(name, s.Seed, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}
