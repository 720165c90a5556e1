// Command filbert-burn reports the burn rates of the service-level objectives,
// the shares of the client accounts and the evidence for each guarantee.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"filbertdeck/internal/burn"
	"filbertdeck/internal/settings"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	parse := func(s *burn.Settings) error {
		return settings.Parse(burn.Program, burn.About, s, os.Args[1:], os.Stdout)
	}
	code := burn.Main(ctx, parse, settings.IsHelp, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
