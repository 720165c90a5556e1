package gateway

import (
	"log/slog"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"filbertdeck/internal/decide/reachability"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
)

// maxCountedTargets limits how many of a service's targets are counted to tell whether
// it is lost.
const maxCountedTargets = 4

// targetPaths records which services' targets this host reaches. It is safe for
// concurrent use.
type targetPaths struct {
	now func() time.Duration
	log *slog.Logger
	// refused and unanswered count the connections to targets that were refused, or
	// that were not established in time.
	refused, unanswered gometrics.Counter

	mu      sync.Mutex
	tracker *reachability.Tracker
}

func newTargetPaths(now func() time.Duration, log *slog.Logger, reg gometrics.Registry) *targetPaths {
	p := &targetPaths{
		now: now, log: log, tracker: reachability.New(),
		refused:    gometrics.GetOrRegisterCounter("gateway.connections_refused", reg),
		unanswered: gometrics.GetOrRegisterCounter("gateway.connections_unanswered", reg),
	}
	_ = reg.Register("gateway.services_unreachable", gometrics.NewFunctionalGauge(func() int64 { return int64(len(p.lostServices())) }))
	return p
}

// recordReached records that a connection to a target was established.
func (p *targetPaths) recordReached(t directory.Target) {
	p.mu.Lock()
	lostFor, regained := p.tracker.RecordReached(p.now(), t.Service)
	p.mu.Unlock()
	if regained {
		p.log.Info("targets are reached again", "service", t.Service, "target", t.ID, "after", lostFor)
	}
}

// recordUnreached records that a target could not be reached. It reports whether
// the service's targets are lost by that.
func (p *targetPaths) recordUnreached(view *directory.View, t directory.Target, cause error) (lost bool) {
	counter := p.refused
	if failure.KindOf(cause) == failure.KindTargetTimeout {
		counter = p.unanswered
	}
	counter.Inc(1)
	targets := len(someTargets(view, t.Service, "", maxCountedTargets))
	p.mu.Lock()
	lost = p.tracker.RecordUnreached(p.now(), t.Service, t.ID, targets)
	p.mu.Unlock()
	if lost {
		p.log.Warn("targets can't be reached from this host", "service", t.Service, "target", t.ID, "cause", cause)
	}
	return lost
}

// isLost reports whether this host has lost the targets of a service.
func (p *targetPaths) isLost(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.IsLost(service)
}

// reachedSince reports whether a target of a service was reached at or after a time.
func (p *targetPaths) reachedSince(service string, at time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.ReachedSince(service, at)
}

// lostServices returns the services whose targets this host has lost.
func (p *targetPaths) lostServices() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.Lost()
}

// prune forgets the services that are no longer configured.
func (p *targetPaths) prune(view *directory.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.Retain(func(name string) bool {
		_, known := view.Service(name)
		return known
	})
}
