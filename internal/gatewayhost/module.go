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

	"filbertdeck/internal/callerconn"
	"filbertdeck/internal/controller/recordsync"
	"filbertdeck/internal/decide/contention"
	"filbertdeck/internal/decide/drain"
	"filbertdeck/internal/decide/migration"
	"filbertdeck/internal/decide/retrybudget"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/gateway"
	"filbertdeck/internal/lifecycle"
	"filbertdeck/internal/metrics"
	"filbertdeck/internal/process"
	"filbertdeck/internal/relay"
	"filbertdeck/internal/targetclient"
)

// Timeouts and limits of the process.
const (
	// stopMargin is subtracted from the shutdown grace period. It leaves time
	// to write the last bytes and to exit before the platform kills the
	// process.
	stopMargin = 250 * time.Millisecond
	// cutOffTimeout is the part of stopMargin in which the requests that are
	// cut off receive their answers.
	cutOffTimeout = 150 * time.Millisecond
	// drainNotice is how long a stopping process accepts requests after its
	// readiness check starts to fail. The load balancer probes once a second
	// and removes a host after the second failed probe.
	drainNotice = 2200 * time.Millisecond
	// newGenerationWindow is the time after the stop signal in which the
	// process still starts generations that are expected to finish before the
	// deadline. The platform counts a generation that is started up to three
	// seconds after the signal as a fair attempt.
	newGenerationWindow = 2500 * time.Millisecond
	// quietPeriod is the time without a new request after which the load
	// balancer is taken to have removed this host.
	quietPeriod = 500 * time.Millisecond
	// acceptCutoffMargin is the time before the end of the grace period at
	// which the process stops accepting requests. It is longer than a response
	// of a plain service takes.
	acceptCutoffMargin = 1500 * time.Millisecond
	// lingerPeriod is how long the listener stays open after the last request,
	// so that late callers receive a refusal instead of a closed port.
	lingerPeriod = 300 * time.Millisecond
	// responseTimeout bounds the wait for a target's response. Callers' own
	// deadlines are shorter and normally end the request first.
	responseTimeout = 10 * time.Minute
	// targetDialTimeout bounds connecting to a target. Links have a latency of
	// a few milliseconds; TCP sends a lost packet again after about a second.
	targetDialTimeout = 700 * time.Millisecond
	// callerIdleTimeout closes idle caller connections unless the configuration has a
	// shorter timeout.
	callerIdleTimeout = 2 * time.Minute
	// headerReadTimeout bounds the time in which a caller must send the request
	// header, unless the configuration has a shorter timeout.
	headerReadTimeout = 10 * time.Second
	// maxHeaderBytes is the largest request header that is read, in bytes. The limit of
	// the configuration applies to what was read.
	maxHeaderBytes = 64 << 10
	// gcPercent is the heap growth, in percent, that triggers a garbage
	// collection. It is below Go's default because small hosts have more spare
	// CPU time than memory.
	gcPercent = 40
)

// Clock returns the monotonic time since the start of the process.
type Clock func() time.Duration

// Options returns the fx options that build the process from its settings.
func (s *Settings) Options() []fx.Option {
	return []fx.Option{
		fx.Supply(s),
		fx.Provide(
			newClock, newBoard, newPublished, newLoads, newSuspects, newBudget, newGateway, newLifecycle,
			newPeerExchange, newFetcher, newReaderRoles, newFleetView, newOwnerExchange, newMembersBoard, newGossip,
			newOriginPeers, newWaitingOrder, newRelayClient, newRelayServer, newHostBudgets,
		),
		fx.Invoke(func(h *hostBudgets) {
			debug.SetGCPercent(gcPercent)
			debug.SetMemoryLimit(h.shares.RuntimeBytes)
		}),
		fx.Invoke(runReload, runPublished, runPeerExchange, runWaitingOrder, runOwnerExchange, runGateway, serveMetrics, serveReadiness, serveCallers),
	}
}

func newClock() Clock {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

func newBoard() *recordsync.Board { return &recordsync.Board{} }

func newPublished(s *Settings, board *recordsync.Board, roles *readerRoles, now Clock, log *slog.Logger, reg gometrics.Registry) (*recordsync.Controller, error) {
	c, err := recordsync.New(recordsync.Config{Source: s.Deployment.Source, Log: log, Metrics: reg, Now: now, ShouldRead: roles.shouldRead}, board)
	if err != nil {
		return nil, err
	}
	roles.publishedAge, roles.storeRejects = c.Age, c.StoreRejectedRecently
	return c, nil
}

func newLoads(s *Settings, now Clock, fleet *fleetView) *gateway.TargetLoads {
	loads := gateway.NewTargetLoads(s.Deployment.ListenPeers, s.DataCentre, now)
	bound := s.Deployment.ColdRate
	loads.SetColdRateLimit(gateway.ColdRateLimit{Factor: bound.Factor, Extra: bound.Extra, Rank: fleet.rank})
	loads.SetHostCount(fleet.knownHostCount)
	return loads
}

func newSuspects(now Clock, log *slog.Logger, reg gometrics.Registry) *gateway.CrashEvidence {
	return gateway.NewCrashEvidence(now, log, reg)
}

// accountBurstShare is the share of the fixed retry allowance that a single
// client account may use.
const accountBurstShare = 0.5

// newBudget returns this host's share of the fleet-wide retry budget. The share
// follows the number of hosts.
func newBudget(lc fx.Lifecycle, s *Settings, fleet *fleetView) *retrybudget.Budget {
	bound := s.Deployment.Retry
	budget := retrybudget.New(retrybudget.Config{
		RetryRatio: bound.Share, Burst: bound.Extra * accountBurstShare, ServiceBurst: bound.Extra, RefillPerSecond: retrybudget.NoRefill,
	})
	budget.SetHostCount(fleet.sharingHostCount())
	process.RunPeriodically(lc, fleetSizeInterval, func() { budget.SetHostCount(fleet.sharingHostCount()) })
	return budget
}

func newGateway(
	s *Settings, board *recordsync.Board, roles *readerRoles, c *recordsync.Controller, loads *gateway.TargetLoads,
	suspects *gateway.CrashEvidence, budget *retrybudget.Budget, peers *relay.Client, origins *originPeers, waiting *waitingOrder, budgets *hostBudgets, now Clock, log *slog.Logger, reg gometrics.Registry,
) *gateway.Gateway {
	client := targetclient.NewAtMostOnceClient(targetclient.Settings{DialTimeout: targetDialTimeout, ResponseHeaderTimeout: responseTimeout, ReadIdleTimeout: responseTimeout})
	return gateway.New(gateway.Config{
		Dialect: s.Deployment.Dialect, Engines: s.Deployment.Engines, Board: board, Loads: loads, CrashEvidence: suspects, RetryBudget: budget,
		Client: client, Relay: peers, OriginPeers: origins, WaitingOrder: waiting, Migration: migration.Default(), Disconnected: func() bool { return mayMissChanges(c, roles) },
		ViewAge:     func() time.Duration { return viewAge(c) },
		ViewCurrent: func() bool { return isCurrent(c, s.Deployment.ConfigDeadline) }, Log: log, Metrics: reg, Now: now, Scheduling: schedulingModes(s), AnswerBytes: budgets.shares.AnswerBytes,
	})
}

func schedulingModes(s *Settings) gateway.SchedulingModes {
	return gateway.SchedulingModes{
		PromptLimits: contention.Mode(s.PromptLimits), WaitingOrder: contention.Mode(s.WaitingOrder), RoomGrants: contention.Mode(s.RoomGrants),
	}
}

// staleAfter is the age from which the host's published view counts as stale.
// While the store responds, the age stays below 0.9 s on hosts that read the
// store, and each hop to another host adds 0.2 s.
const staleAfter = 1500 * time.Millisecond

// mayMissChanges reports whether the store may hold published changes that this
// host does not know: its view is stale, the store is suspected not to respond,
// or the host does not read the store and knows no peer that does.
func mayMissChanges(c *recordsync.Controller, r *readerRoles) bool {
	age, known := c.Age()
	if !known || age > staleAfter || c.SuspectsStoreOutage() {
		return true
	}
	return c.NeedsPeerNews() && r.lacksSource()
}

// viewAge returns the age of the published view, or -1 while nothing is known.
func viewAge(c *recordsync.Controller) time.Duration {
	if age, known := c.Age(); known {
		return age
	}
	return -1
}

// requestMargin is subtracted from the configuration deadline; it covers the
// time that the request itself spends on its way.
const requestMargin = 500 * time.Millisecond

// isCurrent reports whether the published view is recent enough to treat an
// entry missing from it as not published.
func isCurrent(c *recordsync.Controller, deadline time.Duration) bool {
	age, known := c.Age()
	return known && age < deadline-requestMargin
}

func newLifecycle(s *Settings, board *recordsync.Board) *lifecycle.Lifecycle {
	grace := s.Deployment.StopGrace
	return lifecycle.NewWithStopConfig(func() error {
		if view := board.View.Get(); view == nil || view.Config == nil {
			return failure.New(failure.KindNotReady, "no configuration is known yet")
		}
		return nil
	}, drain.ShutdownConfig{
		MinAnnounce: drainNotice, QuietPeriod: quietPeriod, MaxAnnounce: grace - acceptCutoffMargin, AcceptWhileBusy: true,
		LingerDuration: lingerPeriod, DrainTimeout: grace,
	})
}

func runPublished(lc fx.Lifecycle, c *recordsync.Controller) { process.RunInBackground(lc, c.Run) }

func runGateway(lc fx.Lifecycle, g *gateway.Gateway) {
	process.RunInBackground(lc, g.MoveGenerations)
	process.RunInBackground(lc, g.WatchPaths)
}

func serveMetrics(lc fx.Lifecycle, s *Settings, budgets *hostBudgets, reg gometrics.Registry) {
	r := mux.NewRouter()
	metrics.Mount(r, reg)
	process.ServeAdmin(lc, r, budgets.listenAdmin("metrics"), s.MetricsListen)
}

func serveReadiness(lc fx.Lifecycle, s *Settings, budgets *hostBudgets, state *lifecycle.Lifecycle) {
	process.ServeAdmin(lc, readinessHandler(state), budgets.listenAdmin("readiness"), s.Deployment.ListenReady)
}

// readinessHandler serves the load balancer's readiness check. The load
// balancer accepts only status 200 as ready.
func readinessHandler(state *lifecycle.Lifecycle) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if err := state.Ready(); err != nil {
			failure.Write(w, err)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

func listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindSettingInvalid, "can't listen on address %s", address)
	}
	return listener, nil
}

// serveCallers starts the callers' HTTP server, which is the last to start and
// the first to stop. On stop the readiness check fails at once, the server
// accepts requests until the load balancer has removed the host, waits for the
// requests in progress and then closes.
func serveCallers(lc fx.Lifecycle, s *Settings, g *gateway.Gateway, budgets *hostBudgets, state *lifecycle.Lifecycle) {
	server := &http.Server{
		Handler: trackRequests(g, state), ReadHeaderTimeout: headerReadTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: callerconn.TrackState, ConnContext: callerconn.Context,
	}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			return process.StartHTTP(server, budgets.listenCallers(g), s.Deployment.ListenCallers)
		},
		OnStop: func(ctx context.Context) error {
			remaining := s.Deployment.StopGrace - stopMargin
			ctx, cancel := context.WithTimeout(ctx, remaining)
			defer cancel()
			g.AnnounceShutdown(time.Now().Add(newGenerationWindow), time.Now().Add(remaining))
			server.SetKeepAlivesEnabled(false)
			err := state.Stop(ctx)
			if err != nil {
				endRequests(g, state)
			}
			return errors.Join(err, server.Close())
		},
	})
}

// endRequests ends the requests in progress and waits for their answers to be
// written.
func endRequests(g *gateway.Gateway, state *lifecycle.Lifecycle) {
	ctx, cancel := context.WithTimeout(context.Background(), cutOffTimeout)
	defer cancel()
	g.EndRequests()
	state.AwaitIdle(ctx)
}

// trackRequests counts the requests in progress, so that shutdown waits for
// them.
func trackRequests(g *gateway.Gateway, state *lifecycle.Lifecycle) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		noMemory := callerconn.FromContext(r.Context()).Begin(r)
		finish, err := state.BeginRequest()
		if err == nil {
			defer finish()
			err = noMemory
		}
		if err != nil {
			g.Refuse(w, r, err)
			return
		}
		g.ServeHTTP(w, r)
	})
}
