package gateway

import (
	"math/rand/v2"
	"time"

	"filbertdeck/internal/call"
	"filbertdeck/internal/decide/placement"
	"filbertdeck/internal/decide/prefill"
	"filbertdeck/internal/decide/sampling"
	"filbertdeck/internal/decide/streamorigin"
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
	// Origin is where the stream began that is to go on; nil for a new one.
	Origin *streamorigin.Origin
	// Exclude lists the ids of targets that are left out.
	Exclude []string
	// MemoryShare is the share of an engine's memory beyond which the request is not
	// placed there; 0 for any.
	MemoryShare float64
	// AnyRoom is set if the request is placed at any sampled engine that has room for it.
	// Else it is placed only if the best one by delay has.
	AnyRoom bool
	// PromptLimit limits the unread prompts at an engine; nil for none. It applies only
	// with AnyRoom.
	PromptLimit *prefill.Limit
	// PrefillBudget is the time in which the engine should prefill the prompt; 0 for no
	// preference.
	PrefillBudget time.Duration
	// Priority is the generation's rank; 0 is the most urgent.
	Priority int
	// Move is set if the generation leaves another engine.
	Move bool
	// GrantsRoom is set if the owner of the target's counts must grant the room.
	GrantsRoom bool
	// RoomID identifies the generation in its requests for room.
	RoomID uint64
}

// waitsForTime reports whether a request searches again if it would be late at all engines.
// A most urgent one with a MemoryShare can still be in time.
func (req PlacementRequest) waitsForTime() bool { return req.PrefillBudget > 0 && req.MemoryShare > 0 }

// targets returns the targets among which the request's one is searched.
func (req PlacementRequest) targets(view *directory.View) []*directory.ObservedTarget {
	if req.Origin != nil {
		return view.ServiceTargetsOf(req.Service, req.Origin.Version)
	}
	return view.ServiceTargets(req.Service)
}

// rulesOut reports whether a request that takes any engine with room is not placed at one.
func (req PlacementRequest) rulesOut(c placement.Candidate) bool {
	switch {
	case !req.AnyRoom:
		return false
	case req.MemoryShare > 0 && !placement.HasMemory(c, expectedTokens(req.Prompt), req.MemoryShare):
		return true
	case req.PromptLimit == nil || req.PromptLimit.Allows(c):
		return false
	}
	req.PromptLimit.Exceeded = true
	return true
}

// Outcome is the result of a search for a target.
type Outcome int

const (
	// NoTarget means that no target accepts the request.
	NoTarget Outcome = iota
	// NoRoom means that targets accept the request, but none of them has the memory
	// for it, or the time if the request may wait for that.
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
	reservation, shortage := l.reserveBest(view, req, sampled[:firstCount], firstCount < len(sampled))
	queried := sampled[:firstCount]
	if shortage != noShortage {
		queried = sampled
		answered = l.queryOwners(req, sampled[firstCount:]) || answered
		reservation, shortage = l.reserveBest(view, req, sampled, false)
	}
	switch {
	case reservation == nil && shortage == lateEverywhere:
		l.roomCounts.allLate.Inc(1)
		return nil, nil, NoRoom
	case reservation == nil && shortage == crowded && answered:
		return l.acquireUnknown(view, req, queried)
	case reservation == nil && shortage == crowded:
		return nil, nil, NoRoom
	case reservation == nil:
		return nil, nil, NoTarget
	}
	if answered && l.requestsRoom(req) {
		return l.reserveGranted(view, req, queried, reservation)
	}
	if answered {
		reservation = l.confirm(view, req, sampled, reservation)
	}
	return reservation.entry, reservation, Placed
}

// TimeToFirstToken returns the time that an engine with room is expected to take to
// the first token of a generation.
func (l *TargetLoads) TimeToFirstToken(p call.Prompt) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return placement.PrefillTime(placement.Candidate{Running: 1, TimePerToken: l.speeds.Median()}, placement.Workload{PromptTokens: p.Tokens})
}

// sample draws the targets to consider: the first ones are considered at once,
// the rest when the best of them is crowded.
func (l *TargetLoads) sample(view *directory.View, req PlacementRequest) (sampled []*directory.ObservedTarget, firstCount int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := req.targets(view)
	firstCount = l.sampleSize(len(all))
	if firstCount < len(all) {
		// A data centre has a part of the engines, so a sample of all targets
		// contains about one engine there, however loaded it is.
		near := view.ServiceTargetsIn(req.Service, req.Locality.preferred)
		nearCount := l.sampleSize(len(near))
		if sampled = l.draw(view, req, near, crowdedSampleFactor*nearCount); len(sampled) >= minNearbyTargets {
			return sampled, min(nearCount, len(sampled))
		}
	}
	sampled = l.draw(view, req, all, crowdedSampleFactor*firstCount)
	return sampled, min(firstCount, len(sampled))
}

// draw draws up to count of the targets that accept a request, at random. It looks at
// no more targets than it takes to find them.
func (l *TargetLoads) draw(view *directory.View, req PlacementRequest, targets []*directory.ObservedTarget, count int) []*directory.ObservedTarget {
	drawn := make([]*directory.ObservedTarget, 0, min(count, len(targets)))
	order := sampling.New(len(targets), l.rng)
	for len(drawn) < count {
		i, ok := order.Next()
		if !ok {
			break
		}
		if t := targets[i]; l.eligible(view, req, t) {
			drawn = append(drawn, t)
		}
	}
	return drawn
}

// eligible reports whether a target accepts a request from this host now.
func (l *TargetLoads) eligible(view *directory.View, req PlacementRequest, t *directory.ObservedTarget) bool {
	return acceptsRequest(view, req, t) && l.isAvailable(view, t)
}

// isAvailable reports whether a target takes one more request from this host, as far
// as this is not published.
func (l *TargetLoads) isAvailable(view *directory.View, t *directory.ObservedTarget) bool {
	return !l.alerts.Total(l.now(), t.ID).Leaving && l.accepts(view, t)
}

// sampleSize returns how many of a number of targets to consider.
func (l *TargetLoads) sampleSize(targets int) int {
	if l.ownerQuery != nil && !placement.KnowsRecentChoices(l.hostCount()) {
		return placement.QueriedTargets(targets)
	}
	return placement.SampleSize(targets, l.hostCount())
}

// shortage is what sampled targets lack for a request.
type shortage int

const (
	noShortage shortage = iota
	// crowded means that the best one has no room or, with others left to consider, is
	// likely to preempt.
	crowded
	// lateEverywhere means that a request which may wait would be late at each.
	lateEverywhere
)

// reserveBest reserves the best of the sampled targets; nil when there is none. It
// reserves nothing when there is a shortage. others is set if there are others left to
// consider.
func (l *TargetLoads) reserveBest(view *directory.View, req PlacementRequest, sampled []*directory.ObservedTarget, others bool) (*Reservation, shortage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	available := l.refresh(view, req, sampled)
	if req.waitsForTime() && placement.LateEverywhere(available.candidates, req.work(), req.MemoryShare) {
		return nil, lateEverywhere
	}
	best := available.choose(l.rng, req)
	switch {
	case best < 0 && (others || available.full):
		return nil, crowded
	case best < 0:
		return nil, noShortage
	}
	candidate, tokens := available.candidates[best], expectedTokens(req.Prompt)
	if others && placement.PreemptionLikely(candidate, tokens) {
		return nil, crowded
	}
	if req.MemoryShare > 0 && !placement.HasMemory(candidate, tokens, req.MemoryShare) {
		return nil, crowded
	}
	return l.reserveCandidate(available.targets[best], candidate, req.Prompt), noShortage
}

// refresh returns those of the sampled targets that still accept work, with
// their current load.
func (l *TargetLoads) refresh(view *directory.View, req PlacementRequest, sampled []*directory.ObservedTarget) targetCandidates {
	c := targetCandidates{candidates: make([]placement.Candidate, 0, len(sampled)), targets: make([]*directory.ObservedTarget, 0, len(sampled))}
	for _, t := range sampled {
		if l.isAvailable(view, t) {
			candidate := l.newCandidate(view, t, req.Locality, l.othersLoad(t.ID))
			if req.Origin == nil && view.VersionLeaves(t.Service, t.Version) {
				candidate.Penalty += leavingVersionPenalty
			}
			if l.overfillsBrittle(t.Target, candidate, expectedTokens(req.Prompt)) || req.rulesOut(candidate) {
				c.full = true
				continue
			}
			c.candidates = append(c.candidates, candidate)
			c.targets = append(c.targets, t)
		}
	}
	return c
}

// reserveCandidate reserves the target that was chosen for a request.
func (l *TargetLoads) reserveCandidate(t *directory.ObservedTarget, candidate placement.Candidate, p call.Prompt) *Reservation {
	reservation := l.reserve(t.ID, p)
	reservation.entry, reservation.candidate = t, candidate
	return reservation
}

// ReserveBackup chooses a target that keeps a backup of a generation running at
// another target, and reserves memory there; false when none has room.
func (l *TargetLoads) ReserveBackup(view *directory.View, p call.Prompt, primary *directory.ObservedTarget) (*directory.ObservedTarget, *Reservation, bool) {
	req := PlacementRequest{Service: primary.Service, Origin: streamorigin.Of(primary.Target), Locality: AvoidDataCentre(primary.DataCentre), Exclude: []string{primary.ID}}
	sampled, firstCount := l.sample(view, req)
	sampled = sampled[:firstCount]
	l.queryOwners(PlacementRequest{Prompt: p}, sampled)
	l.mu.Lock()
	defer l.mu.Unlock()
	available := l.refresh(view, req, sampled)
	if !placement.HasRoomForBackups(available.candidates) {
		return nil, nil, false
	}
	i := placement.ChooseBackupEngine(available.candidates, expectedTokens(p), l.rng.Float64())
	if i < 0 {
		return nil, nil, false
	}
	backupTarget := available.targets[i]
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

// targetCandidates are the targets among which a choice is made, each with its load at
// the same index.
type targetCandidates struct {
	candidates []placement.Candidate
	targets    []*directory.ObservedTarget
	// full is set if targets were left out that have no room for the request.
	full bool
}

// choose returns the index of the best target for a request, -1 for none.
func (c targetCandidates) choose(rng *rand.Rand, req PlacementRequest) int {
	if req.Prompt.Tokens == 0 {
		return placement.ChooseLeastLoaded(c.candidates, 0, rng.Float64())
	}
	if req.PrefillBudget > 0 {
		return placement.ChooseEngineInTime(c.candidates, req.work(), req.PrefillBudget, req.MemoryShare, rng.Float64())
	}
	return placement.ChooseEngine(c.candidates, req.work(), rng.Float64())
}
