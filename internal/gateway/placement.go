package gateway

import (
	"math/rand/v2"
	"time"

	"filbertdeck/internal/call"
	"filbertdeck/internal/decide/placement"
	"filbertdeck/internal/decide/targetload"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/wake"
)

const (
	// minNearbyTargets is the least number of eligible targets in the preferred
	// data centre with which a large fleet samples a move's destinations in that
	// data centre only.
	minNearbyTargets = 5
	// crowdedSampleFactor multiplies the sample size when the best target of
	// the first sample is crowded.
	crowdedSampleFactor = 3
)

// PlacementRequest holds the requirements of a request for a target.
type PlacementRequest struct {
	Service string
	Prompt  call.Prompt
	// FirstEventObjective is the route's objective for the time to the first
	// event; 0 for none.
	FirstEventObjective time.Duration
	Locality            Locality
	// Exclude lists the ids of targets that are left out.
	Exclude []string
	// MemoryShare is the share of an engine's memory beyond which the request is not
	// placed there; 0 for any.
	MemoryShare float64
}

// Outcome is the result of a search for a target.
type Outcome int

const (
	// NoTarget means that no target accepts the request.
	NoTarget Outcome = iota
	// NoRoom means that targets accept the request, but none of them has the memory
	// for it.
	NoRoom
	// Placed means that a target is reserved for the request.
	Placed
)

// work returns the work that a generation causes at an engine.
func (req PlacementRequest) work() placement.Workload {
	return placement.Workload{PromptTokens: req.Prompt.Tokens, OutputTokens: expectedOutputTokens(req.Prompt), FirstTokenObjective: req.FirstEventObjective}
}

// Acquire chooses a target for a request and reserves it until the reservation
// is released; false when there is none. In a large fleet it queries the owners
// of some targets for the newest counts, chooses among these targets, and
// reports the choice to the owner.
//
// When all targets are at their advertised rates, or an advertisement is so old
// that its target may accept more, it borrows one request from a host that
// shares the rate.
func (l *TargetLoads) Acquire(view *directory.View, req PlacementRequest) (*directory.ObservedTarget, *Reservation, bool) {
	req.MemoryShare = 0
	t, reservation, outcome := l.AcquireWithRoom(view, req)
	return t, reservation, outcome == Placed
}

// AcquireWithRoom is Acquire for a request that is placed only at an engine that
// has room for it within the request's MemoryShare.
func (l *TargetLoads) AcquireWithRoom(view *directory.View, req PlacementRequest) (*directory.ObservedTarget, *Reservation, Outcome) {
	l.borrowForService(view, req, l.isStale)
	t, reservation, outcome := l.acquireWithinShare(view, req)
	if outcome == NoTarget && l.borrowForService(view, req, anyAge) {
		return l.acquireWithinShare(view, req)
	}
	return t, reservation, outcome
}

// acquireWithinShare is AcquireWithRoom without borrowing from other hosts' shares
// of a rate.
func (l *TargetLoads) acquireWithinShare(view *directory.View, req PlacementRequest) (*directory.ObservedTarget, *Reservation, Outcome) {
	sampled, firstCount := l.sample(view, req)
	answered := l.queryOwners(req, sampled[:firstCount])
	reservation, crowded := l.reserveBest(view, req, sampled[:firstCount], firstCount < len(sampled))
	if crowded {
		answered = l.queryOwners(req, sampled[firstCount:]) || answered
		reservation, crowded = l.reserveBest(view, req, sampled, false)
	}
	switch {
	case reservation == nil && crowded:
		return nil, nil, NoRoom
	case reservation == nil:
		return nil, nil, NoTarget
	}
	if answered {
		reservation = l.confirm(view, req, sampled, reservation)
	}
	return reservation.entry, reservation, Placed
}

// TimeToFirstToken returns the time that an engine with room is expected to take to
// the first token of a generation.
func (l *TargetLoads) TimeToFirstToken(req PlacementRequest) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return placement.PrefillTime(placement.Candidate{Running: 1, TimePerToken: l.speeds.Median()}, req.work())
}

// sample draws the targets to consider: the first ones are considered at once,
// the rest when the best of them is crowded.
func (l *TargetLoads) sample(view *directory.View, req PlacementRequest) (sampled targetCandidates, firstCount int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	eligible := l.eligible(view, req)
	firstCount = l.sampleSize(len(eligible))
	if firstCount < len(eligible) {
		// A data centre has a part of the engines, so a sample of all targets
		// contains about one engine there, however loaded it is.
		eligible = eligible.nearby(req.Locality.preferred)
		firstCount = l.sampleSize(len(eligible))
	}
	total := min(crowdedSampleFactor*firstCount, len(eligible))
	eligible.shuffle(l.rng, total)
	return eligible[:total], firstCount
}

// sampleSize returns how many of a number of targets to consider.
func (l *TargetLoads) sampleSize(targets int) int {
	if l.ownerQuery != nil && !placement.KnowsRecentChoices(l.hostCount()) {
		return placement.QueriedTargets(targets)
	}
	return placement.SampleSize(targets, l.hostCount())
}

// reserveBest reserves the best of the sampled targets; nil when there is none. It
// reserves nothing when the best has no room for the request or, with others left to
// consider, is crowded.
func (l *TargetLoads) reserveBest(view *directory.View, req PlacementRequest, sampled targetCandidates, others bool) (r *Reservation, crowded bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	best := l.refresh(view, req, sampled).choose(l.rng, req)
	if best == nil {
		return nil, others
	}
	if others && placement.PreemptionLikely(best.Candidate, expectedTokens(req.Prompt)) {
		return nil, true
	}
	if req.MemoryShare > 0 && !placement.HasMemory(best.Candidate, expectedTokens(req.Prompt), req.MemoryShare) {
		return nil, true
	}
	return l.reserveCandidate(best, req.Prompt), false
}

// refresh returns those of the sampled targets that still accept work, with
// their current load.
func (l *TargetLoads) refresh(view *directory.View, req PlacementRequest, sampled targetCandidates) targetCandidates {
	totals, alerts, defaultStep := l.hostLoads.Totals(l.now()), l.alerts.Totals(l.now()), l.speeds.Median()
	out := make(targetCandidates, 0, len(sampled))
	for _, candidate := range sampled {
		if !alerts[candidate.target.ID].Leaving && l.accepts(view, candidate.target) {
			out = append(out, targetCandidate{l.newCandidate(view, candidate.target, req.Locality, totals[candidate.target.ID].OtherHostsLoad, defaultStep), candidate.target})
		}
	}
	return out
}

// reserveCandidate reserves the target that was chosen for a request.
func (l *TargetLoads) reserveCandidate(candidate *targetCandidate, p call.Prompt) *Reservation {
	reservation := l.reserve(candidate.target.ID, p)
	reservation.entry, reservation.candidate = candidate.target, candidate.Candidate
	return reservation
}

// ReserveBackup chooses a target that keeps a backup of a generation running at
// another target, and reserves memory there; false when none has room.
func (l *TargetLoads) ReserveBackup(view *directory.View, p call.Prompt, primary *directory.ObservedTarget) (*directory.ObservedTarget, *Reservation, bool) {
	req := PlacementRequest{Service: primary.Service, Locality: AvoidDataCentre(primary.DataCentre), Exclude: []string{primary.ID}}
	sampled, firstCount := l.sample(view, req)
	sampled = sampled[:firstCount]
	l.queryOwners(PlacementRequest{Prompt: p}, sampled)
	l.mu.Lock()
	defer l.mu.Unlock()
	eligible := l.refresh(view, req, sampled)
	if !placement.HasRoomForBackups(eligible.placementCandidates()) {
		return nil, nil, false
	}
	i := placement.ChooseBackupEngine(eligible.placementCandidates(), expectedTokens(p), l.rng.Float64())
	if i < 0 {
		return nil, nil, false
	}
	backupTarget := eligible[i].target
	return backupTarget, l.reserveLoad(backupTarget.ID, targetload.Load{BackupTokens: expectedTokens(p)}), true
}

// RecordStep records the time that an engine took for one token of a stream.
func (l *TargetLoads) RecordStep(target string, perToken time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.speeds.AddSample(target, perToken) {
		l.hostLoads.SetTimePerToken(l.now(), target, l.speeds.TimePerToken(target))
		wake.Signal(l.loadsChanged)
	}
}

// targetCandidate is a target that may be chosen, with its load.
type targetCandidate struct {
	placement.Candidate
	target *directory.ObservedTarget
}

// targetCandidates are the targets among which a choice is made.
type targetCandidates []targetCandidate

func (c targetCandidates) placementCandidates() []placement.Candidate {
	out := make([]placement.Candidate, len(c))
	for i := range c {
		out[i] = c[i].Candidate
	}
	return out
}

// choose returns the best target for a request, nil for none.
func (c targetCandidates) choose(rng *rand.Rand, req PlacementRequest) *targetCandidate {
	i := -1
	if req.Prompt.Tokens == 0 {
		i = placement.ChooseLeastLoaded(c.placementCandidates(), 0, rng.Float64())
	} else {
		i = placement.ChooseEngine(c.placementCandidates(), req.work(), rng.Float64())
	}
	if i < 0 {
		return nil
	}
	return &c[i]
}

// nearby returns the targets in a data centre if there are at least
// minNearbyTargets, else all targets. An empty name matches no data centre.
func (c targetCandidates) nearby(dataCentre string) targetCandidates {
	var near targetCandidates
	for _, candidate := range c {
		if candidate.target.DataCentre == dataCentre {
			near = append(near, candidate)
		}
	}
	if len(near) < minNearbyTargets {
		return c
	}
	return near
}

// shuffle moves size targets, drawn at random, to the front.
func (c targetCandidates) shuffle(rng *rand.Rand, size int) {
	for i := range size {
		j := i + rng.IntN(len(c)-i)
		c[i], c[j] = c[j], c[i]
	}
}
