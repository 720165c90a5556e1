package gatewayhost

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/gorilla/mux"
	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"filbertdeck/internal/controller/recordsync"
	"filbertdeck/internal/decide/drain"
	"filbertdeck/internal/decide/migration"
	"filbertdeck/internal/decide/retrybudget"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/gateway"
	"filbertdeck/internal/lifecycle"
	"filbertdeck/internal/metrics"
	"filbertdeck/internal/process"
	"filbertdeck/internal/targetclient"
)

// Figures of the process.
const (
	// stopMargin is kept of the grace between the signal and the kill, for the
	// last bytes and the exit.
	stopMargin = 250 * time.Millisecond
	// announceFor is how long a stopping process goes on taking callers after
	// it says that it isn't ready: the balancer asks once a second and believes
	// the second answer.
	announceFor = 2200 * time.Millisecond
	// runsFor is how long a stopping process begins generations that are
	// expected to end in time: the platform takes it for an honest try up to
	// three seconds after the signal.
	runsFor = 2500 * time.Millisecond
	// quietFor without a caller shows that the balancer has noticed.
	quietFor = 500 * time.Millisecond
	// finishMargin before the end of the grace nothing new is taken any more:
	// it is longer than a plain service's answer takes.
	finishMargin = 1500 * time.Millisecond
	// lingerFor follows the last request: late callers get a refusal in place
	// of a closed port.
	lingerFor = 300 * time.Millisecond
	// answerLimit bounds a target's answer; the caller's own patience is
	// shorter and ends the request first.
	answerLimit = 10 * time.Minute
	// targetDial bounds a new connection to a target: links take a few
	// milliseconds, a lost packet is sent again after about a second.
	targetDial = 700 * time.Millisecond
	// idleLimit closes callers' connections that bring nothing. Callers reuse
	// them up to four fifths of what operators publish, at most a minute.
	idleLimit = 2 * time.Minute
	// headerLimit bounds a caller's sending of a request's header.
	headerLimit = 10 * time.Second
	// maxHeader bounds a request's header in bytes.
	maxHeader = 64 << 10
	// collectAt is the growth of the heap, in percent, after which it is
	// collected. Small hosts have more processor time to spare than memory.
	collectAt = 40
)

// Clock is the steady clock of the process, from its start.
type Clock func() time.Duration

// Options build the program from its settings.
func (s *Settings) Options() []fx.Option {
	return []fx.Option{
		fx.Supply(s),
		fx.Provide(
			newClock, newBoard, newPublished, newLoads, newSuspects, newBudget, newGateway, newLifecycle,
			newFleet, newFetcher, newRoles, newFleetSize, newOwners, newMembers, newGossip,
		),
		fx.Invoke(func() { debug.SetGCPercent(collectAt) }),
		fx.Invoke(runReload, runPublished, runFleet, runOwners, runGateway, serveMetrics, serveReady, serveCallers),
	}
}

func newClock() Clock {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

func newBoard() *recordsync.Board { return &recordsync.Board{} }

func newPublished(s *Settings, b *recordsync.Board, roles *roles, now Clock, log *slog.Logger, reg gometrics.Registry) (*recordsync.Controller, error) {
	c, err := recordsync.New(recordsync.Config{Source: s.Deployment.Source, Log: log, Metrics: reg, Now: now, ShouldRead: roles.reads}, b)
	if err != nil {
		return nil, err
	}
	roles.age, roles.storeRejects = c.Age, c.StoreRejectedRecently
	return c, nil
}

func newLoads(s *Settings, now Clock, size *fleetSize) *gateway.TargetLoads {
	loads := gateway.NewTargetLoads(s.Deployment.ListenPeers, s.DataCentre, now)
	c := s.Deployment.Cold
	loads.SetColdRateLimit(gateway.ColdRateLimit{Factor: c.Factor, Extra: c.Extra, Rank: size.rank})
	loads.SetHostCount(size.count)
	return loads
}

func newSuspects(now Clock) *gateway.CrashEvidence { return gateway.NewCrashEvidence(now) }

// accountShare is the part of the fixed number of repeated sends that one
// client account may use up by itself.
const accountShare = 0.5

// newBudget gives this host its part of the bound on repeated sends.
func newBudget(lc fx.Lifecycle, s *Settings, size *fleetSize) *retrybudget.Budget {
	r := s.Deployment.Retry
	budget := retrybudget.New(retrybudget.Config{
		RetryRatio: r.Share, Burst: r.Extra * accountShare, ServiceBurst: r.Extra, RefillPerSecond: retrybudget.NoRefill,
	})
	budget.SetHostCount(size.hosts())
	process.Every(lc, sizeEvery, func() { budget.SetHostCount(size.hosts()) })
	return budget
}

func newGateway(
	s *Settings, b *recordsync.Board, roles *roles, c *recordsync.Controller, loads *gateway.TargetLoads,
	suspects *gateway.CrashEvidence, budget *retrybudget.Budget, now Clock, log *slog.Logger, reg gometrics.Registry,
) *gateway.Gateway {
	client := targetclient.NewOnce(targetclient.Settings{Dial: targetDial, Header: answerLimit, Silence: answerLimit})
	return gateway.New(gateway.Config{
		Dialect: s.Deployment.Dialect, Engines: s.Deployment.Engines, Board: b, Loads: loads, CrashEvidence: suspects, RetryBudget: budget,
		Client: client, Migration: migration.Default(), Disconnected: func() bool { return blind(c, roles) },
		ViewAge:     func() time.Duration { return knownAge(c) },
		ViewCurrent: func() bool { return current(c, s.Deployment.EditWithin) }, Log: log, Metrics: reg, Now: now,
	})
}

// staleAfter is the age of what is known from which a host counts as blind.
// While the store answers, the age stays below 0.9 s at hosts that read it, and
// each question on the way to another host adds 0.2 s.
const staleAfter = 1500 * time.Millisecond

// blind tells whether this host may not know what is published by now: the store
// is suspected to be silent, or this host can't read it and knows no other that
// does.
func blind(c *recordsync.Controller, r *roles) bool {
	age, known := c.Age()
	if !known || age > staleAfter || c.SuspectsStoreOutage() {
		return true
	}
	return c.NeedsPeerNews() && r.cutOff()
}

// knownAge is the age of what is known, negative while nothing is.
func knownAge(c *recordsync.Controller) time.Duration {
	if age, known := c.Age(); known {
		return age
	}
	return -1
}

// currentMargin is kept of the time in which an edit must be in force, for the
// request's own way.
const currentMargin = 500 * time.Millisecond

// current tells whether what is known is new enough to deny what it lacks.
func current(c *recordsync.Controller, editWithin time.Duration) bool {
	age, known := c.Age()
	return known && age < editWithin-currentMargin
}

func newLifecycle(s *Settings, b *recordsync.Board) *lifecycle.Lifecycle {
	grace := s.Deployment.StopGrace
	return lifecycle.NewWithStop(func() error {
		if view := b.View.Get(); view == nil || view.Config == nil {
			return failure.New(failure.KindNotReady, "no configuration is known yet")
		}
		return nil
	}, drain.ShutdownConfig{
		MinAnnounce: announceFor, QuietPeriod: quietFor, MaxAnnounce: grace - finishMargin, AcceptWhileBusy: true,
		LingerDuration: lingerFor, DrainTimeout: grace,
	})
}

func runPublished(lc fx.Lifecycle, c *recordsync.Controller) { process.Background(lc, c.Run) }

func runGateway(lc fx.Lifecycle, g *gateway.Gateway) { process.Background(lc, g.MoveGenerations) }

func serveMetrics(lc fx.Lifecycle, s *Settings, reg gometrics.Registry) {
	r := mux.NewRouter()
	metrics.Mount(r, reg)
	process.ServeAdmin(lc, r, listen, s.MetricsListen)
}

func serveReady(lc fx.Lifecycle, s *Settings, life *lifecycle.Lifecycle) {
	process.ServeAdmin(lc, ready(life), listen, s.Deployment.ListenReady)
}

// ready answers the balancer, which takes nothing but status 200 for "yes".
func ready(life *lifecycle.Lifecycle) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if err := life.Ready(); err != nil {
			failure.Write(w, err)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindSettingInvalid, "address %s can't be listened on", address)
	}
	return l, nil
}

// serveCallers is the last to start and the first to stop. Its stop says "not
// ready" at once, goes on taking callers until the balancer has noticed, waits
// for the requests in progress and only then closes.
func serveCallers(lc fx.Lifecycle, s *Settings, g *gateway.Gateway, life *lifecycle.Lifecycle) {
	server := &http.Server{
		Handler: counted(g, life), ReadHeaderTimeout: headerLimit, IdleTimeout: idleLimit, MaxHeaderBytes: maxHeader,
	}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return process.StartHTTP(server, listen, s.Deployment.ListenCallers) },
		OnStop: func(ctx context.Context) error {
			left := s.Deployment.StopGrace - stopMargin
			ctx, cancel := context.WithTimeout(ctx, left)
			defer cancel()
			g.AnnounceShutdown(time.Now().Add(runsFor), time.Now().Add(left))
			server.SetKeepAlivesEnabled(false)
			err := life.Stop(ctx)
			return errors.Join(err, server.Close())
		},
	})
}

// counted counts requests in progress, so that a stop waits for them.
func counted(g *gateway.Gateway, life *lifecycle.Lifecycle) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		end, err := life.Begin()
		if err != nil {
			g.Refuse(w, r, err)
			return
		}
		defer end()
		g.ServeHTTP(w, r)
	})
}
