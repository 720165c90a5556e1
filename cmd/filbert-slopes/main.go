// Filbert-slopes measures how each role's cost grows, for docs/CAPACITY.md.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"filbertdeck/internal/slopes"
	"filbertdeck/internal/version"
)

type timed struct {
	Over time.Duration `arg:"--over" default:"10s" help:"how long each state is watched"`
}

type controlArgs struct {
	timed
	BinDir string `arg:"--bin-dir" default:"bin" help:"folder of the programs"`
	Edits  int    `arg:"--edits" default:"2" help:"edits of one row a second"`
}

type fleetArgs struct {
	timed
	BinDir string `arg:"--bin-dir" default:"bin" help:"folder of the programs"`
	Sizes  []int  `arg:"--hosts" help:"numbers of hosts, each with two processes; 8 and 32 by default"`
}

type args struct {
	Plan      *struct{}    `arg:"subcommand:plan" help:"the plan of pools, in this process"`
	Table     *struct{}    `arg:"subcommand:table" help:"the table in force and its push to an entry, in this process"`
	Admission *timed       `arg:"subcommand:admission" help:"the session between an entry and an allocator, on loopback"`
	Control   *controlArgs `arg:"subcommand:control" help:"one host's processes against accounts, targets and edits"`
	Fleet     *fleetArgs   `arg:"subcommand:fleet" help:"fleets of real processes"`
}

// Version implements go-arg's versioned interface.
func (args) Version() string { return "filbert-slopes " + version.String() }

// limit bounds a whole measurement.
const limit = 10 * time.Minute

func main() {
	var a args
	parser := arg.MustParse(&a)
	if parser.Subcommand() == nil {
		parser.Fail("a subcommand is missing")
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, a); err != nil {
		fmt.Fprintln(os.Stderr, "measurement failed:", err)
		cancel()
		os.Exit(1)
	}
}

func run(ctx context.Context, a args) error {
	r := slopes.Report{Out: os.Stdout}
	switch {
	case a.Plan != nil:
		r.Plan()
	case a.Table != nil:
		r.Table()
	case a.Admission != nil:
		return r.Admission(ctx, a.Admission.Over)
	case a.Control != nil:
		return r.Control(ctx, slopes.Processes{BinDir: a.Control.BinDir, Over: a.Control.Over, EditsPerSecond: a.Control.Edits})
	case a.Fleet != nil:
		sizes := a.Fleet.Sizes
		if len(sizes) == 0 {
			sizes = []int{8, 32}
		}
		return r.Fleet(ctx, slopes.Processes{BinDir: a.Fleet.BinDir, Over: a.Fleet.Over}, sizes)
	}
	return nil
}
