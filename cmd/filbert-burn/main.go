// Filbert-burn reports service-level burn, shares and the evidence for each
// promise.
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
