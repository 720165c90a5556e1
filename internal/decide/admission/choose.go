package admission

import (
	"slices"
	"time"

	"filbertdeck/internal/decide/health"
	"filbertdeck/internal/decide/memoryforecast"
)

const (
	// affinityWeight is what a wholly cached prompt counts against free room.
	// Too much and all requests of a popular prefix herd onto one target while
	// others idle; 0.3 lets a target with up to 30% less room win.
	affinityWeight = 0.3
	// affinityTokens is the cached prompt that counts in full. Prompts are
	// computed at tens of thousands of tokens a second, so that a thousand cost
	// about one batch step of everyone on that target.
	affinityTokens = 1024
	// tieBreak spreads equal targets at random, so that several allocators that
	// see the same reports don't all take the first in the list.
	tieBreak = 0.01
)

// choose picks the target for an ask: it filters those that may take it and
// takes the one with the most room and the most of the prompt in its cache,
// healthy ones first. It returns nil when none may.
func (a *Allocator) choose(now time.Duration, ask *Ask, r ruling) *target {
	if r.held {
		return nil
	}
	var growth memoryforecast.Forecast
	growth.Predict(a.outputs.of(ask.Service), memoryforecast.Generation{Prompt: ask.PromptTokens, Max: ask.MaxTokens})
	avoid := a.avoided(ask)
	var best *target
	bestScore := 0.0
	for _, t := range a.order {
		standing := a.health.Status(now, t.address)
		if standing == health.Ejected || t.leaving || slices.Contains(avoid, t.address) {
			continue
		}
		if !t.allows(r) || t.room(now, a.owner.owner) <= 0 {
			continue
		}
		room, fits := a.headroom(t, ask, &growth)
		if !fits {
			continue
		}
		score := room + a.affinity(t, ask) + tieBreak*a.random.Float64() + preference(standing)
		if best == nil || score > bestScore {
			best, bestScore = t, score
		}
	}
	return best
}

// preference puts a target's standing before its score, which lies within -2
// and 2: one trial request goes ahead, so that a target which recovered comes
// back, and a doubtful target is taken when no good one has room.
func preference(s health.Status) float64 {
	switch s {
	case health.Trial:
		return standingStep
	case health.Degraded:
		return -standingStep
	default:
		return 0
	}
}

const standingStep = 10.0

// avoided gives the targets to avoid; a list that names them all is void, for
// else the request could never run.
func (a *Allocator) avoided(ask *Ask) []string {
	if len(ask.Avoid) == 0 {
		return nil
	}
	for _, t := range a.order {
		if !t.leaving && !slices.Contains(ask.Avoid, t.address) {
			return ask.Avoid
		}
	}
	return nil
}

// headroom is the part of the target that stays free with the ask on it.
func (a *Allocator) headroom(t *target, ask *Ask, growth *memoryforecast.Forecast) (room float64, fits bool) {
	if t.report.MemoryTokens == 0 {
		used := len(t.leases) + t.strangers
		return 1 - float64(used+1)/float64(t.bears()), true
	}
	size := float64(t.report.MemoryTokens)
	room = a.cfg.Memory.Headroom(&t.load, growth, t.unexplained, size)
	// An empty engine takes whatever prompt fits it: no admission rule may keep
	// a request out for ever because its output could be long.
	empty := len(t.leases) == 0 && t.strangers == 0 && t.unexplained < 1
	return room, room >= 0 || empty && float64(ask.PromptTokens+1) <= a.cfg.Memory.Watermark*size
}

func (a *Allocator) affinity(t *target, ask *Ask) float64 {
	if len(ask.Prefix) == 0 || ask.PromptTokens == 0 {
		return 0
	}
	part := float64(t.cache.hits(ask.Prefix)) / float64(len(ask.Prefix))
	cached := part * float64(ask.PromptTokens)
	return affinityWeight * min(1, cached/affinityTokens)
}
