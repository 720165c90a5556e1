package gateway

import (
	"net/http"
	"time"

	"filbertdeck/internal/call"
	"filbertdeck/internal/decide/reportedload"
	"filbertdeck/internal/decide/targetload"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/wake"
)

// observeNotice records what a target said in an answer about its load and the
// requests that it wants. Every answer of a target passes through here, whatever it was asked
// for; source names the request or call. An answer that came from another
// target at the same address does no harm: the one that was asked is gone.
func (g *Gateway) observeNotice(t directory.Target, n call.TargetNotice, source string) {
	g.metrics.countNotice(n)
	if n.Load != nil {
		g.cfg.Loads.RecordReport(t, *n.Load)
	}
	if published := !acceptsNewWork(g.view(), t); n.Leaving && g.cfg.Loads.RecordLeaving(t, published) {
		g.cfg.Log.Info("target says that it leaves", "target", t.ID, "started", t.StartedUnixMilli, "source", source, "published", published)
	}
	if n.RefusalLimit != nil && g.cfg.Loads.ObserveBrittle(t, true) {
		g.cfg.Log.Info("target says that it is brittle", "target", t.ID, "started", t.StartedUnixMilli, "source", source, "refusals_per_second", *n.RefusalLimit)
	}
	if n.Rest > 0 && g.cfg.Loads.RecordRest(t, n.Rest) {
		g.cfg.Log.Info("target asks for a rest", "target", t.ID, "started", t.StartedUnixMilli, "source", source, "rest", n.Rest)
	}
}

// observeRequestAnswer records what a target said of itself in its own answer to a
// request. All such answers say whether the target is brittle.
func (g *Gateway) observeRequestAnswer(s *call.Attempt, answer call.ResponseHeader) {
	g.observeNotice(s.Target, answer.TargetNotice, s.ID)
	if answer.RefusalLimit == nil && g.cfg.Loads.ObserveBrittle(s.Target, false) {
		g.cfg.Log.Info("target is no longer brittle", "target", s.Target.ID, "source", s.ID)
	}
	if answer.NotExecuted && answer.Status == http.StatusServiceUnavailable {
		g.cfg.Loads.RecordTurnedAway(s.Target)
	}
}

// checkAttempt returns an error if the request of an attempt is known to crash targets.
func (g *Gateway) checkAttempt(s *call.Attempt) error {
	if s.TestRun {
		return nil
	}
	return g.cfg.CrashEvidence.check(identityOf(s))
}

// checkSendable returns an error when a request is known to crash targets by now, or the
// target that was chosen before no longer accepts requests. It runs right before the first
// byte is sent. A last resort may be sent in spite of the target's rest.
func (g *Gateway) checkSendable(s *call.Attempt) error {
	if err := g.checkAttempt(s); err != nil {
		g.metrics.sendsRefused.Inc(1)
		return err
	}
	t, lastResort := s.Target, s.LastResort
	if !acceptsNewWork(g.view(), t) || g.cfg.Loads.SaidLeaving(t) {
		return failure.New(failure.KindTargetLeft, "target %s left before the request was sent", t.ID)
	}
	if remaining := g.cfg.Loads.RestRemaining(t); remaining > 0 && !(lastResort && g.cfg.Loads.TakeLastResort(t)) {
		return failure.New(failure.KindTargetResting, "target %s wants no requests for %s", t.ID, remaining).WithRetryAfter(engineFullRetryAfter)
	}
	return nil
}

// RecordLeaving records that a target said in an answer to this host that it
// leaves, and alerts other hosts unless they know from the directory or from
// another host. It reports whether that is new.
func (l *TargetLoads) RecordLeaving(t directory.Target, published bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.departures.Record(l.now(), t.Lifetime()) {
		return false
	}
	wake.Signal(l.targetLeaving)
	if !published {
		l.alerts.SetLeavingLifetime(l.now(), t.Lifetime())
		wake.Signal(l.alertsChanged)
	}
	return true
}

// mergeDepartures merges what targets said to other hosts and returns what is
// new.
func (l *TargetLoads) mergeDepartures(alerts []targetload.HostLoad) (added []directory.Lifetime) {
	for _, c := range alerts {
		if c.LeavingLifetime == nil {
			continue
		}
		lifetime := directory.Lifetime{TargetID: c.Target, StartedUnixMilli: *c.LeavingLifetime}
		if l.departures.Record(l.now(), lifetime) {
			added = append(added, lifetime)
			wake.Signal(l.targetLeaving)
		}
	}
	return added
}

// SaidLeaving reports whether a target said in an answer, to any host, that it
// leaves.
func (l *TargetLoads) SaidLeaving(t directory.Target) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.departures.IsLeaving(t.Lifetime())
}

// wantsRequests reports whether a target wants requests from this host,
// according to its answers.
func (l *TargetLoads) wantsRequests(t directory.Target) bool {
	return !l.departures.IsLeaving(t.Lifetime()) && l.rests.Remaining(l.now(), t.Lifetime()) == 0
}

// RecordRest records that a target asked this host for a rest. It reports
// whether a rest begins by that.
func (l *TargetLoads) RecordRest(t directory.Target, duration time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rests.Record(l.now(), t.Lifetime(), duration)
}

// RestRemaining returns the rest that a target still has from this host, 0 for
// none.
func (l *TargetLoads) RestRemaining(t directory.Target) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rests.Remaining(l.now(), t.Lifetime())
}

// TakeLastResort reports whether a generation that can continue nowhere else may
// continue at a target in spite of its rest.
func (l *TargetLoads) TakeLastResort(t directory.Target) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rests.TakeLastResort(l.now(), t.Lifetime())
}

// RecordReport records the load that a target reported in an answer to this host.
func (l *TargetLoads) RecordReport(t directory.Target, load call.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports.Record(l.now(), t.Lifetime(), reportedload.Report{Busy: sumOfKnown(load.Running, load.Waiting), Slowdown: load.Slowdown})
}

// sumOfKnown returns the sum of those counts that are known, nil when none is.
func sumOfKnown(counts ...*int) *int {
	var sum *int
	for _, n := range counts {
		if n == nil {
			continue
		}
		if sum == nil {
			sum = new(int)
		}
		*sum += *n
	}
	return sum
}

// shortestRest returns the shortest rest of a service's targets that would
// accept a request but for that; false when there is none.
func (l *TargetLoads) shortestRest(view *directory.View, req PlacementRequest) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var shortest time.Duration
	for _, t := range view.ServiceTargets(req.Service) {
		remaining := l.rests.Remaining(l.now(), t.Lifetime())
		if remaining > 0 && acceptsRequest(view, req, t) && !l.isLeavingLocked(t.Target) && (shortest == 0 || remaining < shortest) {
			shortest = remaining
		}
	}
	return shortest, shortest > 0
}

// restCount returns the number of targets that have a rest from this host.
func (l *TargetLoads) restCount() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(l.rests.Count(l.now()))
}

// departureCount returns the number of targets that said that they leave.
func (l *TargetLoads) departureCount() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(l.departures.Count())
}
