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

// reloadEvery is how often the settings are read again without a signal: the
// platform may change them unasked. Seeds that have moved matter only to a
// process that lost all other hosts.
const reloadEvery = 10 * time.Second

// runReload follows changes of the deployment's settings, on the hang-up signal
// and unasked. Without a handler the signal would end the process and cut every
// request in progress. Settings that can't be read leave all as it is.
func runReload(lc fx.Lifecycle, s *Settings, c *gossip.Controller, log *slog.Logger) {
	hangUp := make(chan os.Signal, 1)
	signal.Notify(hangUp, syscall.SIGHUP)
	lc.Append(fx.StopHook(func() { signal.Stop(hangUp) }))
	now := s.Deployment
	process.Background(lc, func(ctx context.Context) {
		tick := time.NewTicker(reloadEvery)
		defer tick.Stop()
		for {
			why := "unasked"
			select {
			case <-ctx.Done():
				return
			case <-hangUp:
				why = "signal"
			case <-tick.C:
			}
			now = reload(s, now, c, why, log)
		}
	})
}

// reload reads the settings and applies what can change while the process
// runs. It gives those in force.
func reload(s *Settings, now Deployment, c *gossip.Controller, why string, log *slog.Logger) Deployment {
	next, err := s.Reread()
	if err != nil {
		log.Warn("settings can't be read; those in force stay", "why", why, "error", err)
		return now
	}
	if !reflect.DeepEqual(next.Seeds, now.Seeds) {
		c.SetSeeds(toPeers(next.Seeds))
		log.Info("settings reloaded", "why", why, "seeds", next.Seeds)
		now.Seeds = next.Seeds
	} else if why == "signal" {
		log.Info("settings reloaded", "why", why, "changed", false)
	}
	if next.ListenCallers != now.ListenCallers || next.ListenReady != now.ListenReady || next.ListenPeers != now.ListenPeers {
		log.Warn("addresses have changed; they take a restart", "callers", next.ListenCallers, "ready", next.ListenReady, "peers", next.ListenPeers)
	}
	return now
}
