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

// ColdRateLimit bounds what all hosts send to a cold target in a second: its own
// rate times Factor, plus Extra.
type ColdRateLimit struct {
	Factor, Extra float64
	// Rank gives this host's rank among the hosts for a target, and how many
	// hosts there are.
	Rank func(target string) (rank, hosts int)
}

// SetColdRateLimit sets the bound; without one cold targets are treated like warm
// ones.
func (l *TargetLoads) SetColdRateLimit(b ColdRateLimit) { l.cold = b }

const (
	// penaltyFor is how long a failure counts against a target: until the next
	// one of a target that goes on failing a part of its requests.
	penaltyFor = 4 * time.Second
	// penaltyEach is added to the fullness for each failure, up to penaltyMost.
	penaltyEach, penaltyMost = 0.25, 1.0
	// unreachableFor is how long a target that could not be reached is passed
	// over while there are others: one that left while the store was away is
	// listed for seconds, one that crashed is back after some.
	unreachableFor = 2 * time.Second
	// coldPenalty keeps work off a cold target unless others are that much
	// fuller: it is slow, and joins empty.
	coldPenalty = 0.2
	// coldAgain is how long a target counts as cold after it could not be
	// reached: it may have started anew while nobody could publish that.
	coldAgain = 5 * time.Second
	// unreachablePenalty is above any load.
	unreachablePenalty = 100
)

// Nearness says how much being near weighs in a choice.
type Nearness struct {
	// dataCentre is where the work comes from; empty means this host's.
	dataCentre string
	remote     float64
	// away is added for targets in a data centre that a copy should not lie in;
	// awayFrom is empty for none.
	awayFrom string
	away     float64
}

// Away prefers another data centre than one, so that its loss takes no copy
// with it.
func Away(dataCentre string) Nearness {
	return Nearness{remote: placement.RemotePenalty, awayFrom: dataCentre, away: placement.RemoteMigrationPenalty}
}

// Anywhere prefers the own data centre among about equals only.
var Anywhere = Nearness{remote: placement.RemotePenalty}

// Near prefers a data centre unless its targets are much fuller: copies to
// another one take twice as long.
func Near(dataCentre string) Nearness {
	return Nearness{dataCentre: dataCentre, remote: placement.RemoteMigrationPenalty}
}

// coldRate is the rate that a target bears while it is cold, 0 when it is not.
func (l *TargetLoads) coldRate(view *directory.View, t *directory.ObservedTarget) float64 {
	s, ok := view.Service(t.Service)
	if !ok || s.ColdRequestsPerSecond <= 0 || l.cold.Rank == nil {
		return 0
	}
	if l.now() < t.WarmAt || l.now()-l.of(t.ID).unreachableAt < coldAgain {
		return s.ColdRequestsPerSecond
	}
	return 0
}

// coldPart is this host's part of the sends a second to a cold target.
func (l *TargetLoads) coldPart(target string, rate float64) int {
	rank, hosts := l.cold.Rank(target)
	return coldlimit.SendQuota(rate*l.cold.Factor+l.cold.Extra, rank, hosts)
}

// Failed notes that a target failed a request by its own fault.
func (l *TargetLoads) Failed(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.of(target)
	if l.now()-t.failedAt > penaltyFor {
		t.failures = 0
	}
	t.failures++
	t.failedAt = l.now()
}

// Broke notes that a target broke a request, and tells other hosts. A target's
// own failures, answered in good order, are not told: some requests fail
// wherever they go.
func (l *TargetLoads) Broke(target string) {
	l.Failed(target)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.alerts.AddFailure(l.now(), target)
	wake.Signal(l.alerted)
}

// Unreachable notes that a target could not be reached.
func (l *TargetLoads) Unreachable(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.of(target).unreachableAt = l.now()
}

// pool gives the targets of a service that may get work now.
func (l *TargetLoads) pool(view *directory.View, w Wanted) pool {
	var out pool
	sums, alerts, usual := l.share.Totals(l.now()), l.alerts.Totals(l.now()), l.speed.Median()
	for _, t := range view.ServiceTargets(w.Service) {
		if !takesWork(view, w, t) || alerts[t.ID].Leaving || !l.bears(view, t) || !l.withinRate(t.ID) {
			continue
		}
		out = append(out, option{l.candidate(view, t, w.Near, sums[t.ID].Others, usual), t})
	}
	return out
}

// takesWork tells whether a target may get a request as far as is published.
func takesWork(view *directory.View, w Wanted, t *directory.ObservedTarget) bool {
	return view.AcceptsNewRequests(t) && !slices.Contains(w.Avoid, t.ID)
}

// mayGet tells whether a target may get a request but for its rate.
func (l *TargetLoads) mayGet(view *directory.View, w Wanted, t *directory.ObservedTarget) bool {
	return takesWork(view, w, t) && !l.isLeaving(t.ID) && l.bears(view, t)
}

// bears tells whether a target takes one more from this host now: a cold one
// takes this host's part of its rate.
func (l *TargetLoads) bears(view *directory.View, t *directory.ObservedTarget) bool {
	rate := l.coldRate(view, t)
	return rate == 0 || l.of(t.ID).gate.Allows(l.now(), l.coldPart(t.ID, rate))
}

// candidate gives what is known of a target; others is what other hosts have
// running there, usual the speed taken for engines that nothing is known of.
func (l *TargetLoads) candidate(view *directory.View, t *directory.ObservedTarget, near Nearness, others targetload.Load, usual time.Duration) placement.Candidate {
	own := l.of(t.ID)
	all := own.Add(others)
	c := placement.Candidate{
		ID: t.ID, Running: all.Running, Slots: t.Slots, ReservedTokens: all.ReservedTokens, BackupTokens: all.BackupTokens, UnreadTokens: all.UnreadTokens,
		TimePerToken: cmp.Or(l.speed.TimePerToken(t.ID), usual),
	}
	if s, ok := view.Service(t.Service); ok && s.Engine != nil {
		c.MemoryTokens = s.Engine.MemoryTokens
	}
	if l.now()-own.failedAt < penaltyFor {
		c.Penalty = min(float64(own.failures)*penaltyEach, penaltyMost)
	}
	c.Penalty += l.accusers.Penalty(l.now(), t.ID)
	if l.coldRate(view, t) > 0 {
		c.Penalty += coldPenalty
	}
	if l.now()-own.unreachableAt < unreachableFor {
		c.Penalty += unreachablePenalty
	}
	if t.DataCentre != cmp.Or(near.dataCentre, l.dataCentre) {
		c.Penalty += near.remote
	}
	if t.DataCentre == near.awayFrom {
		c.Penalty += near.away
	}
	return c
}
