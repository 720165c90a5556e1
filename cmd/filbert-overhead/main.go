// Command filbert-overhead measures the latency, CPU time and memory that an
// entry and a control process add.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"filbertdeck/internal/overhead"
	"filbertdeck/internal/version"
)

type args struct {
	BinDir   string        `arg:"--bin-dir" default:"bin" help:"folder of the programs"`
	Requests int           `arg:"--requests" default:"1000" help:"requests of the latency comparison"`
	Streams  int           `arg:"--streams" default:"200" help:"streams of the token measurement"`
	Tokens   int           `arg:"--tokens" default:"1000" help:"tokens of each of them"`
	Open     int           `arg:"--open" default:"2000" help:"streams that are held open at once"`
	Heap     string        `arg:"--heap" help:"file for the entry's heap profile while the streams are open"`
	Idle     time.Duration `arg:"--idle" default:"5s" help:"how long an idle control process is watched"`
}

// Version implements go-arg's Versioned interface.
func (args) Version() string { return "filbert-overhead " + version.String() }

// timeout is the time limit of all measurements together.
const timeout = 5 * time.Minute

func main() {
	var a args
	arg.MustParse(&a)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	cfg := overhead.Config{
		BinDir: a.BinDir, Requests: a.Requests, Streams: a.Streams, TokensPerStream: a.Tokens, OpenStreams: a.Open, HeapProfilePath: a.Heap, IdleDuration: a.Idle,
	}
	if err := overhead.Run(ctx, cfg, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "measurement failed:", err)
		cancel()
		os.Exit(1)
	}
}
