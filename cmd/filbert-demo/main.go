// Command filbert-demo demonstrates the main functions of the system on one
// computer.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"filbertdeck/internal/demo"
	"filbertdeck/internal/version"
)

// timeout is the time limit of the demo.
const timeout = time.Minute

type args struct {
	BinDir string `arg:"--bin-dir,env:FILBERT_DEMO_BIN_DIR" default:"bin" help:"folder of the programs"`
}

// Version implements go-arg's Versioned interface.
func (args) Version() string { return "filbert-demo " + version.String() }

func main() {
	var a args
	arg.MustParse(&a)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := demo.Run(ctx, a.BinDir, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		cancel()
		os.Exit(1)
	}
	fmt.Println("\ndemo passed")
}
