package placement

import (
	"math"
	"slices"
	"time"
)

// recentCounts is the age up to which counts count as recent. Hosts send owners their counts
// every 100 ms, so that an owner's answer can itself be that old.
const recentCounts = 100 * time.Millisecond

// HasRecentCounts reports whether a target's counts of the given age count as recent.
func HasRecentCounts(age time.Duration) bool { return age <= recentCounts }

// prefillsWithin reports whether an engine prefills a generation's prompt within a budget and
// has memory for it within a share, which is 0 for any.
func prefillsWithin(c Candidate, w Workload, budget time.Duration, share float64) bool {
	return PrefillTime(c, w) <= budget && (share == 0 || HasMemory(c, w.PromptTokens+w.OutputTokens, share))
}

// ChooseEngineInTime is ChooseEngine among the candidates that prefill the prompt within a
// budget and have memory within a share, which is 0 for any; among all candidates if none
// does. Memory weighs more than time in the added delay, so that urgent generations would
// follow each other to an engine that has just joined and has long prompts unread.
//
// Among these, candidates with recent counts go first. One whose owner did not answer looks
// idle when the prompts that others sent there are not known, and would be chosen for that.
func ChooseEngineInTime(candidates []Candidate, w Workload, budget time.Duration, share float64, draw float64) int {
	inTime := func(c Candidate) bool { return prefillsWithin(c, w, budget, share) }
	known := func(c Candidate) bool { return HasRecentCounts(c.CountsAge) && inTime(c) }
	for _, eligible := range []func(Candidate) bool{known, inTime} {
		if !slices.ContainsFunc(candidates, eligible) {
			continue
		}
		return lowestScore(candidates, draw, func(c Candidate) float64 {
			if !eligible(c) {
				return math.Inf(1)
			}
			return float64(MarginalDelay(c, w))
		})
	}
	return ChooseEngine(candidates, w, draw)
}

// LateEverywhere reports whether a generation's first token would be late at each candidate
// with recent counts, or has no memory there within a share. An engine that prefills a long
// prompt may be done with it a moment later, so that such a generation loses little if it
// searches again while it can still be in time.
//
// It is false if fewer than half of the candidates have recent counts: the others may be
// free, and a host that owners don't answer decides by what it knows.
func LateEverywhere(candidates []Candidate, w Workload, share float64) bool {
	recent := 0
	for _, c := range candidates {
		if !HasRecentCounts(c.CountsAge) {
			continue
		}
		if prefillsWithin(c, w, w.FirstTokenObjective, share) {
			return false
		}
		recent++
	}
	return recent > 0 && 2*recent >= len(candidates)
}
