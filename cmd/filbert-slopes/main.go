// Command filbert-slopes measures how the cost of each role grows with its
// load, for docs/CAPACITY.md.
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

type durationArgs struct {
	Over time.Duration `arg:"--over" default:"10s" help:"how long each state is watched"`
}

type processArgs struct {
	durationArgs
	BinDir string   `arg:"--bin-dir" default:"bin" help:"folder of the programs"`
	Edits  int      `arg:"--edits" default:"2" help:"edits of one row a second"`
	Points []string `arg:"positional" help:"accounts, targets, fleet, published, all; each without a name"`
}

type args struct {
	Plan       *struct{}     `arg:"subcommand:plan" help:"the plan of pools, in this process"`
	Table      *struct{}     `arg:"subcommand:table" help:"the table in force and its push to an entry, in this process"`
	Accounting *struct{}     `arg:"subcommand:accounting" help:"the counters that an entry hands to its control process, in this process"`
	Admission  *durationArgs `arg:"subcommand:admission" help:"the session between an entry and an allocator, on loopback"`
	Processes  *processArgs  `arg:"subcommand:processes" help:"real processes against accounts, targets, hosts and edits"`
}

// Version implements go-arg's Versioned interface.
func (args) Version() string { return "filbert-slopes " + version.String() }

// timeout is the time limit of one measurement.
const timeout = 10 * time.Minute

func main() {
	var a args
	parser := arg.MustParse(&a)
	if parser.Subcommand() == nil {
		parser.Fail("a subcommand is missing")
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
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
	r := slopes.Printer{Out: os.Stdout}
	switch {
	case a.Plan != nil:
		r.MeasurePlan()
	case a.Table != nil:
		r.MeasureTable()
	case a.Accounting != nil:
		r.MeasureAccounting()
	case a.Admission != nil:
		return r.MeasureAdmission(ctx, a.Admission.Over)
	case a.Processes != nil:
		p := slopes.ProcessMeasurement{BinDir: a.Processes.BinDir, MeasurementDuration: a.Processes.Over, EditsPerSecond: a.Processes.Edits}
		return p.Run(ctx, r, a.Processes.Points)
	}
	return nil
}
