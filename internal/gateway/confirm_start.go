package gateway

import (
	"errors"
	"net"
	"time"

	"filbertdeck/internal/call"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/targetclient"
)

// mayHaveRestartedFor is how long after a failure a target may have started again without
// its entry in the directory saying so yet.
const mayHaveRestartedFor = 5 * time.Second

// confirmation returns the check that a connection leads to the lifetime of the target
// that an attempt is meant for; nil if the attempt needs none. A target may start again
// under its id, with other software. connected is called when there is a connection.
func (g *Gateway) confirmation(s *call.Attempt, connected func()) targetclient.Confirm {
	if !s.ConfirmStart {
		return nil
	}
	return func(conn net.Conn) (retry bool, err error) {
		connected()
		g.cfg.Loads.recordColdSend(g.view(), s.Target)
		report, err := g.cfg.Dialect.AskStart(conn, s.Target)
		g.observeNotice(s.Target, report.TargetNotice, "report")
		g.recordInvalidAnswer(s.Target, err, sourceAttr("report"))
		var answered *failure.Error
		switch {
		case errors.As(err, &answered):
			return false, failure.Wrap(err, failure.KindFenced, "target %s does not say when it started", s.Target.ID)
		case err != nil:
			return false, err
		case report.StartedUnixMilli != 0 && report.StartedUnixMilli != s.Target.StartedUnixMilli:
			g.metrics.targetsRestarted.Inc(1)
			g.cfg.Log.Info("target has started again", "target", s.Target.ID, "started", report.StartedUnixMilli, "known", s.Target.StartedUnixMilli, "request", s.ID)
			return false, failure.New(failure.KindFenced, "target %s has started again since its entry was read", s.Target.ID)
		case report.Closes:
			return true, failure.New(failure.KindTargetLeft, "target %s closes its connections", s.Target.ID)
		}
		return false, nil
	}
}

// confirmsStart reports whether an attempt for a new run must be confirmed to reach the
// lifetime of the target that was chosen: if it goes on with a stream, or if another
// target may have to go on with it and the lifetime is not certain.
func (gen *generation) confirmsStart(t *directory.ObservedTarget) bool {
	if gen.service.Engine == nil || t.StartedUnixMilli == 0 || !gen.route.Resumable {
		return false
	}
	return gen.origin.Load() != nil || !gen.g.origins.followsFromVersions(gen.route, gen.g.origins.streamLifetime(gen.exchange)) || gen.g.cfg.Loads.mayHaveRestarted(t.ID)
}

// recordColdSend counts a call against this host's share of what a cold target takes.
func (l *TargetLoads) recordColdSend(view *directory.View, t directory.Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if entry, known := view.Target(t.ID); known && l.coldRate(view, entry) > 0 {
		l.loadOf(t.ID).coldLimiter.RecordSend(l.now())
	}
}

// mayHaveRestarted reports whether a target failed, or could not be reached, a short time
// ago.
func (l *TargetLoads) mayHaveRestarted(target string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	own := l.loadOf(target)
	return l.now()-max(own.failedAt, own.unreachableAt) < mayHaveRestartedFor || l.remoteFailures.Penalty(l.now(), target) > 0
}
