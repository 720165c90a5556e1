// Filbert-paired plays the same days with two checkouts and compares them.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"filbertdeck/internal/version"
	"filbertdeck/platform/paired"
)

type args struct {
	Bench     string   `arg:"--bench,required" help:"program that plays days"`
	Before    string   `arg:"--before,required" help:"checkout to compare with"`
	After     string   `arg:"--after" default:"." help:"checkout that is compared"`
	Sites     []string `arg:"--site,separate,required" help:"site file; may be given more than once"`
	Days      []string `arg:"--day,separate,required" help:"name of a day, or a day file; may be given more than once"`
	Seeds     []uint64 `arg:"--seed,separate" help:"seed of the days; 0 for their own"`
	Jobs      int      `arg:"--jobs" default:"2" help:"days played at once"`
	Until     int      `arg:"--until" help:"seconds after which days are cut; 0 for whole days"`
	CountTime bool     `arg:"--count-time" help:"count processor time"`
	Why       string   `arg:"--why" default:"paired comparison" help:"noted with each run"`
}

// Version implements go-arg's versioned interface.
func (args) Version() string { return "filbert-paired " + version.String() }

func main() {
	var a args
	arg.MustParse(&a)
	if len(a.Seeds) == 0 {
		a.Seeds = []uint64{0}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	cfg := paired.Config{
		BenchProgram: a.Bench, Before: a.Before, After: a.After, Sites: a.Sites, Days: a.Days, Seeds: a.Seeds,
		Jobs: a.Jobs, MaxSeconds: a.Until, CountCPUTime: a.CountTime, Note: a.Why,
	}
	if err := paired.Run(ctx, cfg, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "comparison failed:", err)
		os.Exit(1)
	}
}
