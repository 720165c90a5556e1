// Package gateway relays callers' requests to targets as operators route them:
// byte for byte, each at most as often as its route allows, and with one
// honest answer.
//
// It serves deployments whose callers speak to targets directly, through
// routes by host and path prefix; internal/entry serves the product's own
// completions interface.
package gateway

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"filbertdeck/internal/call"
	"filbertdeck/internal/controller/recordsync"
	"filbertdeck/internal/decide/migration"
	"filbertdeck/internal/decide/retrybudget"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/targetclient"
)

// Figures of the relaying.
const (
	// notReadyRetry is told when this host's knowledge may be out of date: the
	// next try meets another host, and the news travel in tenths of a second.
	notReadyRetry = 300 * time.Millisecond
	// strangerRetry is told to callers of a process that knows no configuration
	// although it takes callers: neither the store nor a peer could tell it one,
	// so all hosts were replaced while the store was away. A second refusal
	// costs callers their last try; the store is back after seconds.
	strangerRetry = 2 * time.Second
	// patienceShare is the part of the time that a client has left which it may
	// be told to wait at most, so that coming back still makes sense.
	patienceShare = 3
	// noTargetRetry is told when no target may get the request: entries that
	// lapsed are back within about two seconds, an engine that left is
	// replaced within a few.
	noTargetRetry = time.Second
	// stoppingRetry is told when the process stops: the next try meets another
	// host, which can serve it at once.
	stoppingRetry = 20 * time.Millisecond
	// unreachedRetry is told when no target could be reached: the targets'
	// entries are replaced within a second, and the next try meets another host.
	unreachedRetry = 500 * time.Millisecond
	// answerMargin is kept of a client's patience for the way back.
	answerMargin = 10 * time.Millisecond
	// defaultPatience stands in for clients that name no time to wait on
	// routes without a timeout.
	defaultPatience = time.Minute
)

// Config holds what a gateway works with.
type Config struct {
	Dialect     call.Dialect
	Engines     call.Engines
	Board       *recordsync.Board
	Loads       *TargetLoads
	RetryBudget *retrybudget.Budget
	// CrashEvidence are requests that crash targets.
	CrashEvidence *CrashEvidence
	Client        *targetclient.Once
	// Migration decides how generations leave an engine.
	Migration migration.Config
	Log       *slog.Logger
	Metrics   gometrics.Registry
	// ViewCurrent tells whether what is on the board is new enough to say that
	// something does not exist.
	ViewCurrent func() bool
	// ViewAge tells how long ago it was known that nothing newer had been published
	// than is on the board; negative when it never was.
	ViewAge func() time.Duration
	// Disconnected tells whether this host can't know what is published by now.
	Disconnected func() bool
	// Now is the steady clock of the process.
	Now func() time.Duration
}

// Gateway answers callers. It is an http.Handler, safe for concurrent use.
type Gateway struct {
	cfg    Config
	meters *meters
	runs   *runs
	pace   pace
	// stop is set once the process stops.
	stop atomic.Pointer[stopTimes]
}

// New returns a gateway.
func New(cfg Config) *Gateway {
	g := &Gateway{cfg: cfg, meters: newMeters(cfg.Metrics), runs: newRuns()}
	running := func() int64 { return int64(g.runs.count()) }
	_ = cfg.Metrics.Register("gateway.generations", gometrics.NewFunctionalGauge(running))
	_ = cfg.Metrics.Register("gateway.targets_limited", gometrics.NewFunctionalGauge(cfg.Loads.limitedCount))
	return g
}

// stopTimes say how a process stops.
type stopTimes struct{ lastRun, gone time.Time }

// AnnounceShutdown says that the process stops: it begins no generation after lastRun
// and will be gone at a time.
func (g *Gateway) AnnounceShutdown(lastRun, gone time.Time) { g.stop.Store(&stopTimes{lastRun, gone}) }

// stoppingBefore tells whether the process will most likely be gone before a
// generation has ended. It would be cut, and may run only once: better that
// its caller tries another host at once. Estimates of lengths are far off now
// and then, so late in a stop no generation is begun at all.
func (g *Gateway) stoppingBefore(x *exchange) bool {
	stop := g.stop.Load()
	if stop == nil || x.service.Engine == nil {
		return false
	}
	now := time.Now()
	return now.After(stop.lastRun) || now.Add(g.pace.expect(x.Prompt, x.service.Engine.TokensPerEvent)).After(stop.gone)
}

// view gives what is published by now. A request keeps the route and account
// that it began with; where it is sent follows what is published at each send:
// a second one may come seconds later, when its target has left.
func (g *Gateway) view() *directory.View { return g.cfg.Board.View.Get() }

// ServeHTTP relays one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	view := g.view()
	limit := int64(defaultBodyLimit)
	if view != nil && view.Config != nil && view.Config.Limits.BodyBytes > 0 {
		limit = view.Config.Limits.BodyBytes
	}
	body, err := readBody(r, limit)
	if err != nil {
		g.refuse(w, nil, err)
		return
	}
	req, err := g.cfg.Dialect.ReadRequest(r, body, arrived)
	if err != nil {
		g.refuse(w, nil, err)
		return
	}
	x := &exchange{Request: req, w: w, view: view}
	if err := g.admit(x); err != nil {
		g.refuse(w, req, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	if x.route.Kind == directory.Generation {
		g.generate(ctx, x)
		return
	}
	g.plain(ctx, x)
}

// readBody reads all of a body: it may have to be sent again, and a target
// must never get less of it than the caller sent.
func readBody(r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, failure.Wrap(err, failure.KindBadRequest, "the request's body was cut")
	}
	if int64(len(body)) > limit {
		return nil, failure.New(failure.KindBodyTooLarge, "the request's body is longer than %d bytes", limit)
	}
	return body, nil
}

// defaultBodyLimit holds while operators name none.
const defaultBodyLimit = 4 << 20

// admit finds the request's route and account.
func (g *Gateway) admit(x *exchange) error {
	if x.view == nil || x.view.Config == nil {
		return failure.New(failure.KindNotReady, "no configuration is known yet").After(strangerRetry)
	}
	var found bool
	if x.route, found = x.view.Route(x.Host, x.Path); !found {
		return g.deny(failure.New(failure.KindNotFound, "no route for this host and path"))
	}
	if x.view.NeedsKey(x.route) {
		if x.account, found = x.view.Account(x.Key); !found {
			return g.deny(failure.New(failure.KindUnauthorized, "unknown key"))
		}
	}
	g.meters.received(x.route.Kind)
	name := x.route.PickService(rand.Float64())
	if x.service, found = x.view.Service(name); !found {
		return failure.New(failure.KindNoTarget, "service %q of the route is not configured", name).After(noTargetRetry)
	}
	patience := x.Patience
	if patience == 0 {
		patience = defaultPatience
	}
	if x.route.Timeout > 0 {
		patience = min(patience, x.route.Timeout)
	}
	x.deadline = x.Arrived.Add(patience - answerMargin)
	x.fingerprint = fingerprint(x)
	if g.cfg.CrashEvidence.guilty(x.fingerprint) {
		return failure.New(failure.KindOverloaded, "the request crashed each target that ran it").After(guiltyRetry)
	}
	if x.route.Kind == directory.Generation && g.stoppingBefore(x) {
		return failure.New(failure.KindStopping, "the process stops before the generation would end").After(stoppingRetry)
	}
	return nil
}
