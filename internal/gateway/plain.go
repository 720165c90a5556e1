package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"filbertdeck/internal/call"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
)

// completeAnswer is a target's complete answer.
type completeAnswer struct {
	call.ResponseHeader
	header http.Header
	body   *bufferedBody
}

// release gives the answer's memory back; nil has none.
func (a *completeAnswer) release() {
	if a != nil {
		a.body.release()
	}
}

// relayPlain relays a request that is not a generation, such as one to a plain
// service, which has no model engines. The answer is passed on once it is
// complete: a truncated answer must not look complete, and a repeatable request
// can then be sent to another target instead.
func (g *Gateway) relayPlain(ctx context.Context, x *exchange) {
	g.cfg.RetryBudget.RecordFirstAttempt(g.cfg.Now(), x.budgetKey())
	var tried triedTargets
	var lastErr error
	var answer *completeAnswer
	defer func() { answer.release() }()
	var counts attemptCounts
	var targetID string
	var selection *selectionState
	for {
		latest := g.selectionState(x)
		latest.starts = true
		target, reservation, ok := g.cfg.Loads.Acquire(latest.view, plainPlacementRequest(x, g.exclude(x, tried)))
		if !ok {
			break
		}
		targetID, selection = target.ID, latest
		newAnswer, err := g.attempt(ctx, x, target, selection)
		reservation.Release()
		if refusedAfterSend(err, counts) {
			break
		}
		answer.release()
		answer, lastErr = newAnswer, err
		counts.add(lastErr)
		if !g.shouldRetry(ctx, x, retryMayHelp(answer, lastErr), lastErr, counts) {
			break
		}
		tried.add(target.ID, lastErr)
	}
	switch {
	case answer != nil:
		g.metrics.countAnswered(x.route.Kind, time.Since(x.ArrivedAt))
		g.longestTimes.record(x.route.Name, time.Since(x.ArrivedAt))
		g.cfg.Log.Info("request answered", "request", x.ID, "route", x.route.Name, "account", accountName(x.account),
			"config", x.view.Config.Version, "target", targetID, "status", answer.Status, "target_leaving", answer.Leaving, "sends", counts.sent, "unreached", counts.unsent,
			"basis", selection, "took", time.Since(x.ArrivedAt))
		g.writeAnswer(x, answer)
	case lastErr != nil:
		g.refuse(x.w, x.Request, g.withTimeToRoom(lastErr, plainPlacementRequest(x, nil)))
	default:
		g.refuse(x.w, x.Request, g.noTargetError(plainPlacementRequest(x, nil)))
	}
}

// plainPlacementRequest returns the requirements of a request of a plain
// service.
func plainPlacementRequest(x *exchange, exclude []string) PlacementRequest {
	return PlacementRequest{Service: x.service.Name, Locality: PreferLocal, Exclude: exclude}
}

// noTargetError returns the failure of a request that no target accepts.
func (g *Gateway) noTargetError(req PlacementRequest) error {
	if wait, known := g.cfg.Loads.TimeToRoom(g.view(), req); known {
		return failure.New(failure.KindOverloaded, "all targets of %s are at their advertised rate limits or rest", req.Service).WithRetryAfter(wait)
	}
	if req.Origin != nil {
		return failure.New(failure.KindNoTarget, "no target of %s accepts the stream that began there", req.Origin).WithRetryAfter(noTargetRetryAfter)
	}
	return failure.New(failure.KindNoTarget, "no target of %s accepts the request", req.Service).WithRetryAfter(noTargetRetryAfter)
}

// withTimeToRoom returns the failure of a request that a target turned away or
// that was not sent to a target at rest, with the time at which its caller finds
// room. Other targets may have room already.
func (g *Gateway) withTimeToRoom(err error, req PlacementRequest) error {
	turnedAway := failure.KindOf(err) == failure.KindOverloaded || failure.KindOf(err) == failure.KindTargetResting
	if !turnedAway || g.cfg.Loads.HasRoom(g.view(), req) {
		return err
	}
	if wait, known := g.cfg.Loads.TimeToRoom(g.view(), req); known {
		return failure.FromError(err).WithRetryAfter(wait)
	}
	return err
}

// retryMayHelp reports whether another target may give a better answer.
func retryMayHelp(answer *completeAnswer, err error) bool {
	return err != nil || answer.Status >= http.StatusInternalServerError
}

// maxUnsentAttempts limits the targets that one request may fail to reach: one
// that left, one that crashed, one that is cut off from this host, and one in
// reserve.
const maxUnsentAttempts = 4

// triedTargets are the ids of the targets that a request was tried at.
type triedTargets struct{ failed, unreached []string }

func (t *triedTargets) add(id string, err error) {
	if isUnreached(err) {
		t.unreached = append(t.unreached, id)
		return
	}
	t.failed = append(t.failed, id)
}

// exclude returns the targets that a request is not tried at again. Those that this host
// did not reach may be reached through another host, once it has lost the service.
func (g *Gateway) exclude(x *exchange, t triedTargets) []string {
	if g.cfg.Relay != nil && g.paths.isLost(x.service.Name) {
		return t.failed
	}
	return slices.Concat(t.failed, t.unreached)
}

// attemptCounts counts the targets that a request was tried at.
type attemptCounts struct {
	// sent counts the targets that the request was sent to, unsent those that
	// could not be reached or whose address now belongs to another target.
	sent, unsent int
}

func (c *attemptCounts) add(err error) {
	if requestUnsent(err) {
		c.unsent++
		return
	}
	c.sent++
}

// requestUnsent reports whether a request never reached a target of its service.
func requestUnsent(err error) bool {
	var f *failure.Error
	if !errors.As(err, &f) || f.Executed != failure.ExecutedNo {
		return false
	}
	switch f.Kind {
	case failure.KindTargetFailed, failure.KindTargetTimeout, failure.KindFenced, failure.KindTargetLeft, failure.KindTargetResting, failure.KindNoTarget:
		return true
	}
	return false
}

// refusedAfterSend reports whether a request that was sent before is not sent again since
// no target may get it. Its caller is told how the earlier send ended, since it may have
// run.
func refusedAfterSend(err error, before attemptCounts) bool {
	return isRefusedEverywhere(err) && before.sent > 0
}

// isRefusedEverywhere reports whether a request may not be sent to any target: it is known to
// crash targets, or the process may exit before it has ended.
func isRefusedEverywhere(err error) bool {
	kind := failure.KindOf(err)
	return kind == failure.KindPoison || kind == failure.KindStopping
}

// isUnreached reports whether no connection to the target could be established.
func isUnreached(err error) bool {
	kind := failure.KindOf(err)
	return requestUnsent(err) && (kind == failure.KindTargetFailed || kind == failure.KindTargetTimeout)
}

// shouldRetry decides whether a request is tried at another target. One that
// never reached a target is retried up to maxUnsentAttempts, unless no host reaches the
// service. Otherwise it must
// be repeatable or certain not to have run, the route must allow another
// attempt, and the retry budget must not be used up.
func (g *Gateway) shouldRetry(ctx context.Context, x *exchange, failed bool, err error, counts attemptCounts) bool {
	if !failed || ctx.Err() != nil {
		return false
	}
	if failure.KindOf(err) == failure.KindNoTarget || isRefusedEverywhere(err) {
		return false
	}
	if requestUnsent(err) {
		return counts.unsent < maxUnsentAttempts
	}
	if counts.sent >= x.route.MaxAttempts {
		return false
	}
	notRun := err != nil && failure.FromError(err).Executed == failure.ExecutedNo
	repeatable := x.route.Kind == directory.Repeatable || x.route.Resumable
	if !notRun && !repeatable {
		return false
	}
	if !g.cfg.RetryBudget.AllowRetry(g.cfg.Now(), x.budgetKey()) {
		return false
	}
	g.metrics.retries.Inc(1)
	return true
}

// attempt sends a request to one target. The error says whether the request
// ran; an answer without error is the target's own, even when it is a failure.
func (g *Gateway) attempt(ctx context.Context, x *exchange, target *directory.ObservedTarget, selection *selectionState) (*completeAnswer, error) {
	selection.run = g.cfg.CrashEvidence.begin(target, x.identity)
	answer, err := g.fetch(ctx, x, target, selection)
	if err != nil {
		g.failRun(ctx, target, selection.run, err)
		return nil, err
	}
	selection.run.finish()
	return answer, nil
}

// fetch sends a request to one target and reads its complete answer.
func (g *Gateway) fetch(ctx context.Context, x *exchange, target *directory.ObservedTarget, selection *selectionState) (*completeAnswer, error) {
	resp, answer, err := g.send(ctx, x.newSend(target), selection)
	if err != nil {
		return nil, err
	}
	body, err := g.answers.read(resp)
	if err != nil {
		g.recordInvalidAnswer(target.Target, err, requestAttr(x.ID))
		return nil, err
	}
	if answer.Status >= http.StatusInternalServerError {
		g.cfg.Loads.RecordFailure(target.ID)
	}
	return &completeAnswer{ResponseHeader: answer, header: resp.Header, body: body}, nil
}

// send sends a request and checks the header of its answer. When the target
// says that it did not run the request, the error says so too.
func (g *Gateway) send(ctx context.Context, s *call.Attempt, selection *selectionState) (*http.Response, call.ResponseHeader, error) {
	req, err := g.cfg.Dialect.BuildRequest(ctx, s)
	if err != nil {
		return nil, call.ResponseHeader{}, err
	}
	resp, err := g.deliver(req, s, selection)
	if err != nil {
		g.recordInvalidAnswer(s.Target, err, requestAttr(s.ID))
		return nil, call.ResponseHeader{}, err
	}
	answer := g.cfg.Dialect.ParseResponseHeader(resp)
	if isOwnAnswer(s, answer) {
		g.observeRequestAnswer(s, answer)
	}
	g.observeRate(s, answer)
	if err := checkAnswer(s, answer); err != nil {
		_ = resp.Body.Close()
		return nil, answer, err
	}
	return resp, answer, nil
}

// isOwnAnswer reports whether the header of an answer says something about the
// target. That of another target at the same address, of a late answer to
// another request, and of a success without id or seal, which a faulty target
// may produce, says nothing.
func isOwnAnswer(s *call.Attempt, a call.ResponseHeader) bool {
	switch {
	case a.WrongTarget:
		return false
	case a.Status < http.StatusMultipleChoices:
		return a.RequestID == s.ID && a.Sealed
	}
	return a.RequestID == s.ID || a.RequestID == ""
}

// observeRate records the rate limit advertised in a target's answer.
func (g *Gateway) observeRate(s *call.Attempt, a call.ResponseHeader) {
	if a.WrongTarget || a.RequestID != s.ID {
		return
	}
	if g.cfg.Loads.ObserveRate(s.Target.ID, a.RequestsPerSecond) {
		g.cfg.Log.Info("target's rate changed", "target", s.Target.ID, "request", s.ID, "limited", a.RequestsPerSecond != nil, "per_second", a.RequestsPerSecond)
	}
}

// checkAnswer returns what is wrong with an answer's header, nil when it is the
// target's answer to this request. A success must carry a seal, the response
// header by which targets mark their own answers.
func checkAnswer(s *call.Attempt, a call.ResponseHeader) error {
	switch {
	case a.WrongTarget:
		return failure.New(failure.KindFenced, "the address of target %s belongs to another target", s.Target.ID)
	case a.NotExecuted && a.Status >= http.StatusBadRequest:
		return failure.New(failure.KindOverloaded, "target %s did not run the request (status %d, rest %s)", s.Target.ID, a.Status, a.Rest).WithRetryAfter(retryAfterTurnedAway(a))
	case a.RequestID != s.ID:
		return failure.New(failure.KindFrameOutOfPlace, "target %s answered with another request's id", s.Target.ID).WithExecutionUnknown()
	case a.Status < http.StatusMultipleChoices && !a.Sealed:
		return failure.New(failure.KindTargetFailed, "target %s answered without a seal", s.Target.ID).WithExecutionUnknown()
	}
	return nil
}

// retryAfterTurnedAway returns when a caller should come back whose request a
// target turned away. A rest concerns that target alone: others may have room.
func retryAfterTurnedAway(a call.ResponseHeader) time.Duration {
	if a.Rest > 0 {
		return engineFullRetryAfter
	}
	return max(a.RetryAfter, engineFullRetryAfter)
}

// failRun records how a run failed, and what that says about its target.
func (g *Gateway) failRun(ctx context.Context, target *directory.ObservedTarget, run *targetRun, err error) {
	g.recordFailure(ctx, target, err, run.wasSent())
	if err == errEngineAnswered {
		run.finish()
		return
	}
	run.fail(err)
	if ctx.Err() == nil || !run.wasSent() || !g.cfg.CrashEvidence.isSuspected(run.request) {
		return
	}
	// The connection was closed here, so that no failure shows whether the request ends
	// the target.
	time.AfterFunc(leftCheckDelay, func() {
		if g.refusesConnections(target.Target) {
			g.reportFailure(target, true)
		}
	})
}

// recordFailure counts a failure against a target, unless the caller's
// disconnect or deadline caused it. sent says that this host itself had written the
// request.
func (g *Gateway) recordFailure(ctx context.Context, target *directory.ObservedTarget, err error, sent bool) {
	if err == nil || ctx.Err() != nil {
		return
	}
	switch failure.KindOf(err) {
	case failure.KindTargetLeft, failure.KindTargetResting, failure.KindPoison, failure.KindStopping:
		return
	}
	mayHaveCrashed := sent && failure.KindOf(err) == failure.KindTargetLost && g.notStopping(target)
	if g.paths.isLost(target.Service) {
		// The failure says nothing about the target unless it has crashed.
		if mayHaveCrashed {
			g.reportFailure(target, mayHaveCrashed)
		}
		return
	}
	if requestUnsent(err) {
		g.cfg.Loads.RecordUnreachable(target.ID)
	}
	g.cfg.Loads.RecordFailure(target.ID)
	g.cfg.Log.Debug("target failed", "target", target.ID, "cause", err)
	g.reportFailure(target, mayHaveCrashed)
}

// notStopping reports whether no planned stop of a target is known. The end of
// a target that stops as planned is no evidence against its requests.
func (g *Gateway) notStopping(target *directory.ObservedTarget) bool {
	return acceptsNewWork(g.view(), target.Target) && !g.cfg.Loads.IsLeaving(target.Target)
}

// writeAnswer passes a target's answer on to the caller.
func (g *Gateway) writeAnswer(x *exchange, a *completeAnswer) {
	h := x.w.Header()
	g.cfg.Dialect.CopyResponseHeader(h, a.header)
	if mayHaveBody(x.Method, a.Status) {
		h.Set("Content-Length", strconv.Itoa(a.body.size))
	}
	a.body.allowEviction(x.conn)
	x.w.WriteHeader(a.Status)
	if err := a.body.writeTo(x.w); err != nil {
		g.cfg.Log.Debug("writing the answer to the caller failed", "request", x.ID, "error", err)
	}
}

// mayHaveBody reports whether the answer may have a body and so gets a
// Content-Length (RFC 9110, section 8.6).
func mayHaveBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}
