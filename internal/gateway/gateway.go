// Package gateway relays callers' HTTP requests to targets along the routes
// that operators configure. It passes requests and answers on byte for byte,
// sends each request at most as often as its route allows, and reports
// truthfully whether a failed request was executed.
//
// It serves deployments whose callers address targets directly, with routes by
// host and path prefix. internal/entry serves the product's own completions
// API.
package gateway

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"filbertdeck/internal/call"
	"filbertdeck/internal/callerconn"
	"filbertdeck/internal/controller/recordsync"
	"filbertdeck/internal/decide/contention"
	"filbertdeck/internal/decide/migration"
	"filbertdeck/internal/decide/poison"
	"filbertdeck/internal/decide/retrybudget"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/targetclient"
)

// Retry delays sent to callers, and time limits of relaying.
const (
	// notReadyRetryAfter is returned when this host's configuration may be out
	// of date. The caller's next try reaches another host, and configuration
	// changes spread within tenths of a second.
	notReadyRetryAfter = 300 * time.Millisecond
	// noConfigRetryAfter is returned by a process that has no configuration:
	// neither the configuration store nor a peer could provide one, because all
	// hosts were replaced while the store was unavailable. The store is back
	// after seconds, and a second refusal would use up the caller's last try.
	noConfigRetryAfter = 2 * time.Second
	// maxRetryAfterDivisor divides the time that a client has left; the
	// quotient is the longest Retry-After it is given, so that it still has
	// time for another try.
	maxRetryAfterDivisor = 3
	// noTargetRetryAfter is returned when no target accepts the request.
	// Directory entries that expired are back within about two seconds, and an
	// engine that left is replaced within a few.
	noTargetRetryAfter = time.Second
	// stoppingRetryAfter is returned while the process shuts down. The caller's
	// next try reaches another host, which can serve it at once.
	stoppingRetryAfter = 20 * time.Millisecond
	// unreachedRetryAfter is returned when no target could be reached. The
	// directory entries of the targets are replaced within a second, and the
	// next try reaches another host.
	unreachedRetryAfter = 500 * time.Millisecond
	// deadlineMargin is subtracted from a client's timeout to leave time for
	// returning the answer.
	deadlineMargin = 10 * time.Millisecond
	// defaultTimeout applies to clients that send no timeout, on routes without
	// one.
	defaultTimeout = time.Minute
)

// Config holds the settings and dependencies of a gateway.
type Config struct {
	Dialect     call.Codec
	Engines     call.EngineClient
	Board       *recordsync.Board
	Loads       *TargetLoads
	RetryBudget *retrybudget.Budget
	// CrashEvidence records the requests that crash targets.
	CrashEvidence *CrashEvidence
	Client        *targetclient.AtMostOnceClient
	// Relay sends requests through other hosts; nil when there is no way to.
	Relay Relay
	// OriginPeers keep the origins of streams with this host; nil for none.
	OriginPeers OriginPeers
	// WaitingOrder orders the generations that wait for an engine over all hosts; nil for
	// none.
	WaitingOrder WaitingOrder
	// Migration decides how generations are moved off an engine that stops.
	Migration migration.Config
	Log       *slog.Logger
	Metrics   gometrics.Registry
	// ViewCurrent reports whether the published state on Board is recent enough
	// to answer that a route or key does not exist.
	ViewCurrent func() bool
	// ViewAge returns the time since the state on Board was last confirmed to be
	// the newest published one; negative when it never was.
	ViewAge func() time.Duration
	// Disconnected reports whether this host has no way to learn what is
	// currently published.
	Disconnected func() bool
	// Now returns the time of the process's monotonic clock.
	Now func() time.Duration
	// AnswerBytes limits the memory of all answers that are buffered; 0 for the default. An
	// answer of the longest length must fit.
	AnswerBytes int64
	// Scheduling says which parts of the scheduling of generations take effect.
	Scheduling SchedulingModes
}

// SchedulingModes holds the mode of each part of the scheduling of generations on
// crowded engines. The zero value turns all of them off.
type SchedulingModes struct {
	// PromptLimits limits the unread prompts at an engine, WaitingOrder orders the
	// generations that wait over all hosts, RoomGrants has the owner of an engine's
	// counts grant its room.
	PromptLimits, WaitingOrder, RoomGrants contention.Mode
}

// Gateway is the http.Handler that relays callers' requests. It is safe for
// concurrent use.
type Gateway struct {
	cfg          Config
	metrics      *gatewayMetrics
	answers      *answerBuffers
	generations  *generationSet
	moves        *moveQueue
	paths        *targetPaths
	checks       *failureChecks
	versions     *serviceVersions
	origins      *streamOrigins
	averageTimes averageTimes
	longestTimes longestTimes
	// urgentPrompts holds the usual length of the prompts for which others are held.
	urgentPrompts *urgentPrompts
	// shutdown is set once the process shuts down.
	shutdown atomic.Pointer[shutdownTimes]
	// cutOff is done once the requests in progress are cut off, by endRequests.
	cutOff      context.Context
	endRequests context.CancelFunc
}

// New returns a Gateway and registers its metrics in cfg.Metrics.
func New(cfg Config) *Gateway {
	g := &Gateway{cfg: cfg, metrics: newGatewayMetrics(cfg.Metrics), answers: newAnswerBuffers(cfg.AnswerBytes, cfg.Metrics), generations: newGenerationSet(), moves: newMoveQueue(), paths: newTargetPaths(cfg.Now, cfg.Log, cfg.Metrics), checks: newFailureChecks(), urgentPrompts: &urgentPrompts{}, versions: newServiceVersions(cfg.Now, cfg.Log, cfg.Metrics)}
	g.origins = newStreamOrigins(cfg, g.versions)
	g.cutOff, g.endRequests = context.WithCancel(context.Background())
	if cfg.Loads != nil {
		cfg.Loads.roomCounts = g.metrics.rooms
	}
	running := func() int64 { return int64(g.generations.count()) }
	_ = cfg.Metrics.Register("gateway.generations", gometrics.NewFunctionalGauge(running))
	_ = cfg.Metrics.Register("gateway.targets_limited", gometrics.NewFunctionalGauge(cfg.Loads.rateLimitedCount))
	_ = cfg.Metrics.Register("gateway.targets_brittle", gometrics.NewFunctionalGauge(cfg.Loads.brittleCount))
	_ = cfg.Metrics.Register("gateway.targets_departing", gometrics.NewFunctionalGauge(cfg.Loads.departureCount))
	_ = cfg.Metrics.Register("gateway.targets_resting", gometrics.NewFunctionalGauge(cfg.Loads.restCount))
	return g
}

// view returns the state published most recently. A request keeps the route and
// account that it was admitted with, but each send selects its target from the
// current view: a retry may come seconds later, when the first target has left.
func (g *Gateway) view() *directory.View { return g.cfg.Board.View.Get() }

// ServeHTTP relays one request to a target of its route.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var req *call.Request
	defer g.logPanic(&req)
	arrived := time.Now()
	view := g.view()
	limits := limitsOf(view)
	if err := checkHeader(r, limits.HeaderBytes); err != nil {
		g.refuse(w, nil, err)
		return
	}
	body, err := readBody(r, cmp.Or(limits.BodyBytes, defaultBodyLimitBytes))
	if err != nil {
		g.refuseUnread(w, r, err)
		return
	}
	req, err = g.cfg.Dialect.ParseRequest(r, body, arrived)
	if err != nil {
		g.refuse(w, nil, err)
		return
	}
	x := &exchange{Request: req, w: w, conn: callerconn.FromContext(r.Context()), view: view}
	if err := g.admit(x); err != nil {
		g.refuse(w, req, err)
		return
	}
	ctx, cancel := g.requestContext(r.Context(), x)
	defer cancel()
	defer g.recordEnd(ctx, x)
	if x.route.Kind == directory.Generation {
		if x.takesUp() {
			if err := g.bindToOrigin(ctx, x); err != nil {
				g.refuse(w, req, err)
				return
			}
		}
		g.relayGeneration(ctx, x)
		return
	}
	g.relayPlain(ctx, x)
}

// CallerLimits returns the limits of the configuration in force; zero ones before the first
// configuration.
func (g *Gateway) CallerLimits() directory.Limits { return limitsOf(g.view()) }

func limitsOf(view *directory.View) directory.Limits {
	if view == nil || view.Config == nil {
		return directory.Limits{}
	}
	return view.Config.Limits
}

// checkHeader refuses a request whose header is longer than the limit; 0 for none.
func checkHeader(r *http.Request, limit int) error {
	if limit > 0 && headerBytes(r) > limit {
		return failure.New(failure.KindHeadersTooLarge, "the request header is longer than %d bytes", limit)
	}
	return nil
}

// headerBytes returns the least size that a request's header can have had in HTTP/1.1, without
// the request line's spaces and version: white space around values is optional.
func headerBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len("Host:\r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(":\r\n")
		}
	}
	return size
}

// admit sets the request's route, account, service and deadline, or returns the
// reason to refuse it.
func (g *Gateway) admit(x *exchange) error {
	if x.view == nil || x.view.Config == nil {
		return failure.New(failure.KindNotReady, "no configuration is known yet").WithRetryAfter(noConfigRetryAfter)
	}
	var found bool
	if x.route, found = x.view.Route(x.Host, x.Path); !found {
		return g.denyIfCurrent(failure.New(failure.KindNotFound, "no route for this host and path"))
	}
	if x.view.NeedsKey(x.route) {
		if x.account, found = x.view.Account(x.Key); !found {
			return g.denyIfCurrent(failure.New(failure.KindUnauthorized, "unknown key"))
		}
	}
	g.metrics.countReceived(x.route.Kind)
	name := x.route.PickService(rand.Float64())
	if x.service, found = x.view.Service(name); !found {
		return failure.New(failure.KindNoTarget, "the route's service %q is not configured", name).WithRetryAfter(noTargetRetryAfter)
	}
	timeout := x.ClientTimeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	if x.route.Timeout > 0 {
		timeout = min(timeout, x.route.Timeout)
	}
	x.deadline = x.ArrivedAt.Add(timeout - deadlineMargin)
	x.identity = poison.Request{Fingerprint: fingerprint(x), Parts: promptParts(x.Prompt)}
	testRun, err := g.cfg.CrashEvidence.admit(x.identity)
	if err != nil {
		return err
	}
	x.testRun.Store(testRun)
	if testRun {
		g.cfg.Log.Info("request runs as a test, as it is known to crash targets", "request", x.ID, "route", x.route.Name)
	}
	return g.checkMayStart(x)
}
