// Filbert-demo runs the product's main job on one machine and shows it.
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

// limit bounds the whole demo.
const limit = time.Minute

type args struct {
	BinDir string `arg:"--bin-dir,env:FILBERT_DEMO_BIN_DIR" default:"bin" help:"folder of the programs"`
}

// Version implements go-arg's versioned interface.
func (args) Version() string { return "filbert-demo " + version.String() }

func main() {
	var a args
	arg.MustParse(&a)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
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
