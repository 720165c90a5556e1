package gatewayhost

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"go.uber.org/fx"

	"filbertdeck/internal/controller/gossip"
	"filbertdeck/internal/process"
)

// reloadInterval is how often the settings are read again without a signal,
// since the platform may change them at any time. Changed seeds matter only to
// a process that has lost contact with all other hosts.
const reloadInterval = 10 * time.Second

// runReload applies changes of the deployment settings on SIGHUP and
// periodically. Without a handler SIGHUP would end the process and abort every
// request in progress. When the settings can't be read, those in force stay.
func runReload(lc fx.Lifecycle, s *Settings, c *gossip.Controller, log *slog.Logger) {
	hangUp := make(chan os.Signal, 1)
	signal.Notify(hangUp, syscall.SIGHUP)
	lc.Append(fx.StopHook(func() { signal.Stop(hangUp) }))
	current := s.Deployment
	process.RunInBackground(lc, func(ctx context.Context) {
		tick := time.NewTicker(reloadInterval)
		defer tick.Stop()
		for {
			trigger := "unasked"
			select {
			case <-ctx.Done():
				return
			case <-hangUp:
				trigger = "signal"
			case <-tick.C:
			}
			current = reload(s, current, c, trigger, log)
		}
	})
}

// reload reads the settings, applies those that can change at run time and
// returns the settings in force.
func reload(s *Settings, current Deployment, c *gossip.Controller, trigger string, log *slog.Logger) Deployment {
	next, err := s.ReloadDeployment()
	if err != nil {
		log.Warn("settings can't be read; keeping the current settings", "why", trigger, "error", err)
		return current
	}
	if !reflect.DeepEqual(next.Seeds, current.Seeds) {
		c.SetSeeds(membershipPeers(next.Seeds))
		log.Info("settings reloaded", "why", trigger, "seeds", next.Seeds)
		current.Seeds = next.Seeds
	} else if trigger == "signal" {
		log.Info("settings reloaded", "why", trigger, "changed", false)
	}
	if next.ListenCallers != current.ListenCallers || next.ListenReady != current.ListenReady || next.ListenPeers != current.ListenPeers {
		log.Warn("listen addresses have changed; a restart is needed to apply them", "callers", next.ListenCallers, "ready", next.ListenReady, "peers", next.ListenPeers)
	}
	if next.Host != current.Host {
		log.Warn("limits of the host have changed; a restart is needed to apply them", "memory_bytes", next.Host.MemoryBytes, "sockets", next.Host.Sockets)
	}
	return current
}
