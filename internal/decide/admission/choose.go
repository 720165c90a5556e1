package admission

import (
	"slices"
	"time"

	"filbertdeck/internal/decide/health"
	"filbertdeck/internal/decide/memoryforecast"
)

const (
	// affinityWeight is the score of a fully cached prompt, in units of free
	// capacity (0 to 1). A high value sends all requests of a popular prefix to
	// one target while others are idle; with 0.3 a target with up to 30% less
	// free capacity is preferred.
	affinityWeight = 0.3
	// fullAffinityTokens is the number of cached prompt tokens that gives the
	// full score. Prompts are processed at tens of thousands of tokens per
	// second, so that a thousand tokens delay all requests of the target by
	// about one batch step.
	fullAffinityTokens = 1024
	// tieBreakJitter is the random part of the score, so that several
	// allocators with the same reports do not all choose the first of several
	// equal targets.
	tieBreakJitter = 0.01
)

// chooseTarget picks the target for an ask: of the targets that may take it,
// the one with the best sum of free capacity and cached prompt, healthy ones
// first. It returns nil if there is none.
func (a *Allocator) chooseTarget(now time.Duration, ask *Ask, restriction poisonRestriction) *target {
	if restriction.mustWait {
		return nil
	}
	var forecast memoryforecast.Forecast
	forecast.Predict(a.outputLengths.forService(ask.Service), memoryforecast.Generation{Prompt: ask.PromptTokens, Max: ask.MaxTokens})
	avoid := a.effectiveAvoidList(ask)
	var best *target
	bestScore := 0.0
	for _, t := range a.targetOrder {
		status := a.health.Status(now, t.address)
		if status == health.Ejected || t.leaving || slices.Contains(avoid, t.address) {
			continue
		}
		if !t.allows(restriction) || t.freeSlots(now, a.ownership.owner) <= 0 {
			continue
		}
		freeFraction, fits := a.headroom(t, ask, &forecast)
		if !fits {
			continue
		}
		score := freeFraction + a.cacheAffinity(t, ask) + tieBreakJitter*a.random.Float64() + healthBonus(status)
		if best == nil || score > bestScore {
			best, bestScore = t, score
		}
	}
	return best
}

// healthBonus ranks a target's health status above the rest of its score, which lies
// between -2 and 2. A target on trial is preferred for one request, so that a
// recovered target returns to service; a degraded target is used only if no
// healthy one has capacity.
func healthBonus(status health.Status) float64 {
	switch status {
	case health.Trial:
		return healthWeight
	case health.Degraded:
		return -healthWeight
	default:
		return 0
	}
}

// healthWeight exceeds the range of the rest of the score.
const healthWeight = 10.0

// effectiveAvoidList returns the targets to avoid. A list that names all
// targets is ignored, because the request could otherwise never run.
func (a *Allocator) effectiveAvoidList(ask *Ask) []string {
	if len(ask.Avoid) == 0 {
		return nil
	}
	for _, t := range a.targetOrder {
		if !t.leaving && !slices.Contains(ask.Avoid, t.address) {
			return ask.Avoid
		}
	}
	return nil
}

// headroom returns the fraction of the target's capacity that remains free if the
// ask runs there, and whether the ask fits.
func (a *Allocator) headroom(t *target, ask *Ask, growth *memoryforecast.Forecast) (freeFraction float64, fits bool) {
	if t.report.KVCapacityTokens == 0 {
		used := len(t.leases) + t.unknownRequests
		return 1 - float64(used+1)/float64(t.capacity()), true
	}
	size := float64(t.report.KVCapacityTokens)
	freeFraction = a.cfg.Memory.Headroom(&t.load, growth, t.unattributedTokens, size)
	// An empty engine takes any prompt that fits: the memory rule must not
	// exclude a request for ever because its output could be long.
	empty := len(t.leases) == 0 && t.unknownRequests == 0 && t.unattributedTokens < 1
	return freeFraction, freeFraction >= 0 || empty && float64(ask.PromptTokens+1) <= a.cfg.Memory.Watermark*size
}

// cacheAffinity returns the score for the part of the prompt in the target's
// cache.
func (a *Allocator) cacheAffinity(t *target, ask *Ask) float64 {
	if len(ask.Prefix) == 0 || ask.PromptTokens == 0 {
		return 0
	}
	hitRatio := float64(t.cache.leadingHits(ask.Prefix)) / float64(len(ask.Prefix))
	cached := hitRatio * float64(ask.PromptTokens)
	return affinityWeight * min(1, cached/fullAffinityTokens)
}
