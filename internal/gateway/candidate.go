package gateway

import (
	"cmp"
	"slices"
	"time"

	"filbertdeck/internal/decide/coldlimit"
	"filbertdeck/internal/decide/placement"
	"filbertdeck/internal/decide/targetload"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/wake"
)

// ColdRateLimit limits the requests per second that all hosts together send to
// a cold target: the service's cold rate times Factor, plus Extra.
type ColdRateLimit struct {
	Factor, Extra float64
	// Rank returns this host's rank for a target among the hosts, and the
	// number of hosts.
	Rank func(target string) (rank, hosts int)
}

// SetColdRateLimit sets the limit for cold targets. Without it cold targets are
// treated like warm ones.
func (l *TargetLoads) SetColdRateLimit(limit ColdRateLimit) { l.coldRateLimit = limit }

const (
	// failurePenaltyDuration is how long a failure counts against a target. A
	// target that fails only a part of its requests fails again within that
	// time, so the penalty lasts.
	failurePenaltyDuration = 4 * time.Second
	// penaltyPerFailure is added to the relative load of a target for each
	// failure, up to maxFailurePenalty.
	penaltyPerFailure, maxFailurePenalty = 0.25, 1.0
	// unreachableDuration is how long an unreachable target is avoided while
	// there are others. One that left while the configuration store was
	// unavailable stays listed for seconds, and one that crashed is back after
	// some seconds.
	unreachableDuration = 2 * time.Second
	// coldPenalty is added to the relative load of a cold target, which is slow
	// and joins empty.
	coldPenalty = 0.2
	// coldAfterUnreachable is how long a target counts as cold after it could
	// not be reached: it may have restarted without the restart being
	// published.
	coldAfterUnreachable = 5 * time.Second
	// leavingVersionPenalty is added for a new generation at a target whose version
	// leaves: the generation can move to ever fewer targets.
	leavingVersionPenalty = 0.25
	// unreachablePenalty exceeds any load.
	unreachablePenalty = 100
)

// Locality holds the penalties by which a selection prefers or avoids data
// centres.
type Locality struct {
	// preferred is the data centre whose targets get no remotePenalty; empty
	// means this host's.
	preferred     string
	remotePenalty float64
	// excludedPenalty is added for targets in the data centre excluded, where a
	// copy should not be placed; empty means none.
	excluded        string
	excludedPenalty float64
}

// AvoidDataCentre prefers targets outside a data centre, so that its loss does
// not take the copy as well.
func AvoidDataCentre(dataCentre string) Locality {
	return Locality{remotePenalty: placement.RemotePenalty, excluded: dataCentre, excludedPenalty: placement.RemoteMigrationPenalty}
}

// PreferLocal prefers this host's data centre only between targets of about
// equal load.
var PreferLocal = Locality{remotePenalty: placement.RemotePenalty}

// PreferDataCentre prefers a data centre unless its targets are much more
// loaded: copies to another data centre take twice as long.
func PreferDataCentre(dataCentre string) Locality {
	return Locality{preferred: dataCentre, remotePenalty: placement.RemoteMigrationPenalty}
}

// coldRate returns the requests per second that a target takes while it is
// cold, 0 when it is not.
func (l *TargetLoads) coldRate(view *directory.View, t *directory.ObservedTarget) float64 {
	s, ok := view.Service(t.Service)
	if !ok || s.ColdRequestsPerSecond <= 0 || l.coldRateLimit.Rank == nil {
		return 0
	}
	own := l.loadOf(t.ID)
	if l.now() < max(t.WarmAt, own.coldUntil) || l.now()-own.unreachableAt < coldAfterUnreachable {
		return s.ColdRequestsPerSecond
	}
	return 0
}

// coldShare returns this host's share of the requests per second to a cold
// target.
func (l *TargetLoads) coldShare(target string, rate float64) int {
	rank, hosts := l.coldRateLimit.Rank(target)
	return coldlimit.SendQuota(rate*l.coldRateLimit.Factor+l.coldRateLimit.Extra, rank, hosts)
}

// RecordFailure records that a target failed a request through its own fault.
func (l *TargetLoads) RecordFailure(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.loadOf(target)
	if l.now()-t.failedAt > failurePenaltyDuration {
		t.failures = 0
	}
	t.failures++
	t.failedAt = l.now()
}

// ReportFailure alerts other hosts of a target that broke off a request or could not
// be reached. Well-formed failure answers cause no alert, since some requests fail at
// every target.
func (l *TargetLoads) ReportFailure(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.alerts.AddFailure(l.now(), target)
	wake.Signal(l.alertsChanged)
}

// RecordCold records that a target reported in a health check that it stays cold for
// a duration. It may have turned cold again without its entry in the store saying so
// yet.
func (l *TargetLoads) RecordCold(target string, duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loadOf(target).coldUntil = l.now() + duration
}

// RecordUnreachable records that a target could not be reached.
func (l *TargetLoads) RecordUnreachable(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loadOf(target).unreachableAt = l.now()
}

// ForgetUnreachable forgets which of a service's targets could not be reached, when
// that was due to this host's own paths: they did not restart, so they are not cold.
func (l *TargetLoads) ForgetUnreachable(view *directory.View, service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range view.ServiceTargets(service) {
		if own := l.byTarget[t.ID]; own != nil {
			own.unreachableAt = -coldAfterUnreachable
		}
	}
}

// acceptsRequest reports whether a target accepts a request according to the
// published state.
func acceptsRequest(view *directory.View, req PlacementRequest, t *directory.ObservedTarget) bool {
	return req.Origin.Accepts(t.Target) && view.AcceptsNewRequests(t) && !slices.Contains(req.Exclude, t.ID)
}

// accepts reports whether this host may send a target one more request now,
// according to the target's answers and this host's shares of its limits.
func (l *TargetLoads) accepts(view *directory.View, t *directory.ObservedTarget) bool {
	return l.wantsRequests(t.Target) && l.withinColdShare(view, t) && l.withinShare(view, t)
}

// acceptsIgnoringShare reports whether a target accepts a request, leaving this host's
// share of its advertised rate and of its places aside.
func (l *TargetLoads) acceptsIgnoringShare(view *directory.View, req PlacementRequest, t *directory.ObservedTarget) bool {
	return acceptsRequest(view, req, t) && !l.isLeavingLocked(t.Target) && l.wantsRequests(t.Target) && l.withinColdShare(view, t)
}

// withinColdShare reports whether this host may send a target one more request
// now: a cold target takes this host's share of its cold rate.
func (l *TargetLoads) withinColdShare(view *directory.View, t *directory.ObservedTarget) bool {
	rate := l.coldRate(view, t)
	return rate == 0 || l.loadOf(t.ID).coldLimiter.Allows(l.now(), l.coldShare(t.ID, rate))
}

// newCandidate returns the placement candidate for a target. others is the load
// that other hosts have there.
func (l *TargetLoads) newCandidate(view *directory.View, t *directory.ObservedTarget, locality Locality, others targetload.Load) placement.Candidate {
	own := l.loadOf(t.ID)
	all := own.Add(others)
	c := placement.Candidate{
		ID: t.ID, Running: all.Running, Slots: t.Slots, ReservedTokens: all.ReservedTokens, BackupTokens: all.BackupTokens, UnreadTokens: all.UnreadTokens,
		TimePerToken: cmp.Or(l.speeds.TimePerToken(t.ID), l.speeds.Median()), Slowdown: l.reports.Slowdown(l.now(), t.Lifetime()), CountsAge: l.countsAge(own),
	}
	c.Running += l.reports.Unaccounted(l.now(), t.Lifetime(), all.Running)
	if s, ok := view.Service(t.Service); ok && s.Engine != nil {
		c.MemoryTokens = s.Engine.MemoryTokens
	}
	if l.now()-own.failedAt < failurePenaltyDuration {
		c.Penalty = min(float64(own.failures)*penaltyPerFailure, maxFailurePenalty)
	}
	c.Penalty += l.remoteFailures.Penalty(l.now(), t.ID)
	if l.coldRate(view, t) > 0 {
		c.Penalty += coldPenalty
	}
	if l.now()-own.unreachableAt < unreachableDuration {
		c.Penalty += unreachablePenalty
	}
	if t.DataCentre != cmp.Or(locality.preferred, l.dataCentre) {
		c.Penalty += locality.remotePenalty
	}
	if t.DataCentre == locality.excluded {
		c.Penalty += locality.excludedPenalty
	}
	return c
}
