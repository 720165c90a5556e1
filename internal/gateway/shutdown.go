package gateway

import (
	"context"
	"time"

	"filbertdeck/internal/failure"
)

// shutdownTimes holds the times of a process shutdown.
type shutdownTimes struct{ announced, lastStart, exit time.Time }

// AnnounceShutdown announces that the process shuts down: it starts no
// generation after lastStart and exits at exit.
func (g *Gateway) AnnounceShutdown(lastStart, exit time.Time) {
	g.shutdown.Store(&shutdownTimes{time.Now(), lastStart, exit})
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
		if context.Cause(ctx) == errCutOff {
			g.recordCutOff(x)
		}
		cancel()
		end(nil)
	}
}

// recordCutOff records a request that was cut off by the exit of the process.
func (g *Gateway) recordCutOff(x *exchange) {
	g.metrics.cutOff.Inc(1)
	shutdown := g.shutdown.Load()
	if shutdown == nil {
		return
	}
	args := []any{"request", x.ID, "route", x.route.Name, "arrived_after_stop", x.ArrivedAt.Sub(shutdown.announced), "took", time.Since(x.ArrivedAt), "deadline_in", time.Until(x.deadline)}
	if sentAt := x.sentAt.Load(); sentAt != nil {
		args = append(args, "sent_after_stop", sentAt.Sub(shutdown.announced))
	}
	g.cfg.Log.Warn("request cut off by the exit of the process", args...)
}
