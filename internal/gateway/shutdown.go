package gateway

import (
	"context"
	"time"

	"filbertdeck/internal/decide/drain"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
)

// shutdownTimes holds the times of a process shutdown.
type shutdownTimes struct{ announced, lastStart, exit time.Time }

// AnnounceShutdown announces that the process shuts down and exits at exit. At lastStart load
// balancers are taken to have removed it: it starts no generation any more, and of other
// requests those that drain.StopTimes allows.
func (g *Gateway) AnnounceShutdown(lastStart, exit time.Time) {
	g.shutdown.Store(&shutdownTimes{time.Now(), lastStart, exit})
}

// checkMayStart returns an error when the process may exit before a request has ended. The
// request would be cut off, and its caller should try another host at once.
func (g *Gateway) checkMayStart(x *exchange) error {
	shutdown := g.shutdown.Load()
	if shutdown == nil {
		return nil
	}
	now := time.Now()
	if x.service.Engine != nil {
		expected := g.averageTimes.expectedDuration(x.Prompt, x.service.Engine.TokensPerEvent)
		// Length estimates are sometimes far off.
		if now.After(shutdown.lastStart) || now.Add(expected).After(shutdown.exit) {
			return errMayOutlastProcess(shutdown.exit.Sub(now), expected)
		}
		return nil
	}
	left := drain.StopTimes{UntilExit: shutdown.exit.Sub(now), UntilRemoved: shutdown.lastStart.Sub(now)}
	work := drain.Work{UntilDeadline: x.deadline.Sub(now), Longest: g.longestTimes.of(x.route.Name), Stream: x.route.Kind == directory.Generation}
	if !left.MayStart(work) {
		return errMayOutlastProcess(left.UntilExit, work.UntilDeadline)
	}
	return nil
}

// errMayOutlastProcess refuses a request that may take longer than the process exists.
func errMayOutlastProcess(untilExit, mayTake time.Duration) *failure.Error {
	return failure.New(failure.KindStopping, "the process exits in %s and the request may take %s", untilExit, mayTake).WithRetryAfter(stoppingRetryAfter)
}

// EndRequests ends the requests in progress because the process exits. Callers without a
// part of an answer are told that their request may have run; other answers are broken
// off.
func (g *Gateway) EndRequests() { g.endRequests() }

// errCutOff is the cause of the end of a request that EndRequests ended.
var errCutOff = failure.New(failure.KindStopping, "the process exits before the request has ended").WithExecutionUnknown()

// requestContext returns the context of relaying a request. It ends with its deadline,
// with its caller and with EndRequests.
func (g *Gateway) requestContext(caller context.Context, x *exchange) (context.Context, context.CancelFunc) {
	ctx, end := context.WithCancelCause(caller)
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	unlink := context.AfterFunc(g.cutOff, func() { end(errCutOff) })
	return ctx, func() {
		unlink()
		cancel()
		end(nil)
	}
}

// recordEnd records the end of a request that was relayed in ctx.
func (g *Gateway) recordEnd(ctx context.Context, x *exchange) {
	if context.Cause(ctx) == errCutOff {
		g.recordCutOff(x)
	}
}

// recordCutOff records a request that was cut off by the exit of the process.
func (g *Gateway) recordCutOff(x *exchange) {
	g.metrics.cutOff.Inc(1)
	shutdown := g.shutdown.Load()
	if shutdown == nil {
		return
	}
	args := []any{"request", x.ID, "route", x.route.Name, "arrived_after_stop", x.ArrivedAt.Sub(shutdown.announced), "took", time.Since(x.ArrivedAt), "deadline_in", time.Until(x.deadline), "longest_lately", g.longestTimes.of(x.route.Name)}
	if sentAt := x.sentAt.Load(); sentAt != nil {
		args = append(args, "sent_after_stop", sentAt.Sub(shutdown.announced))
	}
	g.cfg.Log.Warn("request cut off by the exit of the process", args...)
}
