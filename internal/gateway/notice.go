package gateway

import (
	"filbertdeck/internal/call"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/wake"
)

// observeNotice records what a target said in an answer about the requests that
// it wants. Every answer of a target passes through here, whatever it was asked
// for; source names the request or call. An answer that came from another
// target at the same address does no harm: the one that was asked is gone.
func (g *Gateway) observeNotice(t directory.Target, n call.TargetNotice, source string) {
	g.metrics.countNotice(n)
	if n.Leaving && g.cfg.Loads.RecordLeaving(t) {
		g.cfg.Log.Info("target says that it leaves", "target", t.ID, "started", t.StartedUnixMilli, "source", source, "published", !acceptsNewWork(g.view(), t))
	}
}

// checkSendable returns an error when a target that was chosen before no longer
// accepts requests. It runs right before the first byte is sent.
func (g *Gateway) checkSendable(t directory.Target) error {
	if !acceptsNewWork(g.view(), t) || g.cfg.Loads.SaidLeaving(t) {
		return failure.New(failure.KindTargetLeft, "target %s left before the request was sent", t.ID)
	}
	return nil
}

// RecordLeaving records that a target said in an answer to this host that it
// leaves. It reports whether that is new.
func (l *TargetLoads) RecordLeaving(t directory.Target) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.departures.Record(l.now(), t.Lifetime()) {
		return false
	}
	wake.Signal(l.targetLeaving)
	return true
}

// SaidLeaving reports whether a target said in an answer that it leaves.
func (l *TargetLoads) SaidLeaving(t directory.Target) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.departures.IsLeaving(t.Lifetime())
}

// wantsRequests reports whether a target wants requests from this host,
// according to its answers.
func (l *TargetLoads) wantsRequests(t directory.Target) bool {
	return !l.departures.IsLeaving(t.Lifetime())
}

// departureCount returns the number of targets that said that they leave.
func (l *TargetLoads) departureCount() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(l.departures.Count())
}
