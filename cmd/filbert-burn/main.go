// Command filbert-burn reports the burn rates of the service-level objectives,
// the shares of the client accounts and the evidence for each guarantee.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"filbertdeck/internal/burnreport"
	"filbertdeck/internal/settings"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	parse := func(s *burnreport.Settings) error {
		return settings.Parse(burnreport.Program, burnreport.About, s, os.Args[1:], os.Stdout)
	}
	code := burnreport.Main(ctx, parse, settings.IsHelp, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
