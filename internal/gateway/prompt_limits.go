package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"filbertdeck/internal/decide/contention"
	"filbertdeck/internal/decide/prefill"
)

// urgentPrompts holds the mean length of the most urgent generations' prompts of each
// service, as seen by this host. It is safe for concurrent use.
type urgentPrompts struct {
	// byService holds an *atomic.Pointer[prefill.MeanTokens] for each service.
	byService sync.Map
}

func (p *urgentPrompts) mean(service string) *atomic.Pointer[prefill.MeanTokens] {
	m, found := p.byService.Load(service)
	if !found {
		m, _ = p.byService.LoadOrStore(service, &atomic.Pointer[prefill.MeanTokens]{})
	}
	return m.(*atomic.Pointer[prefill.MeanTokens])
}

func (p *urgentPrompts) add(service string, tokens int) {
	for mean := p.mean(service); ; {
		old := mean.Load()
		var next prefill.MeanTokens
		if old != nil {
			next = *old
		}
		next.Add(tokens)
		if mean.CompareAndSwap(old, &next) {
			return
		}
	}
}

// meanTokens returns the mean length of a service's urgent prompts; 0 if none was seen.
func (p *urgentPrompts) meanTokens(service string) int {
	if m := p.mean(service).Load(); m != nil {
		return m.Tokens()
	}
	return 0
}

// recordUrgentPrompt records the prompt of a generation that no other one of its service
// precedes, where prompts are limited for such.
func (gen *generation) recordUrgentPrompt() {
	policy := gen.contentionPolicy()
	if gen.g.cfg.Scheduling.PromptLimits.On(policy) && gen.priority() <= policy.MostUrgentPriority {
		gen.g.urgentPrompts.add(gen.service.Name, gen.Prompt.Tokens)
	}
}

func (gen *generation) contentionPolicy() contention.Policy {
	return gen.view.ContentionPolicy(gen.service.Name)
}

// yieldsToPrompts reports whether the generation is subject to the limit on unread
// prompts. With the mode "on" this holds for all that are not of the most urgent priority.
func (gen *generation) yieldsToPrompts() bool {
	policy, mode := gen.contentionPolicy(), gen.g.cfg.Scheduling.PromptLimits
	if !mode.On(policy) || gen.Prompt.Tokens == 0 {
		return false
	}
	if mode == contention.Always {
		return gen.priority() > policy.MostUrgentPriority
	}
	return policy.Yields(gen.priority(), gen.route.LatencyObjective)
}

// limitPrompts sets what a search takes from the unread prompts at engines. There is no
// limit for a generation that must not wait, and for one that an engine was sent before: its
// caller has waited for that engine.
func (gen *generation) limitPrompts(req *PlacementRequest) {
	req.PromptLimit, req.AnyRoom, req.PrefillBudget = nil, false, 0
	policy := gen.contentionPolicy()
	switch {
	case !gen.g.cfg.Scheduling.PromptLimits.On(policy):
	case gen.yieldsToPrompts():
		// An account with a less urgent priority of its own yields on the most urgent routes.
		if req.MemoryShare == 0 || req.Origin != nil || gen.attempts > 0 {
			return
		}
		urgent := prefill.Urgent{Objective: policy.MostUrgentObjective, PromptTokens: gen.g.urgentPrompts.meanTokens(gen.service.Name)}
		req.AnyRoom, req.PromptLimit = true, prefill.For(urgent, gen.Prompt.Tokens)
	case gen.mostUrgent():
		req.PrefillBudget = prefill.Budget(gen.remainingObjective())
	}
}

// promptHold is the time for which a generation was held because of the limit on unread
// prompts.
type promptHold struct {
	since time.Time
	// limit is the one of the last search that was in vain.
	limit *prefill.Limit
}

// add records a search without room.
func (h *promptHold) add(l *prefill.Limit, now time.Time) {
	if l == nil || !l.Exceeded {
		return
	}
	if h.limit == nil {
		h.since = now
	}
	h.limit = l
}

// recordHold counts and logs a hold once the generation waits no more.
func (gen *generation) recordHold(h *promptHold, placed bool) {
	if h.limit == nil {
		return
	}
	held := time.Since(h.since)
	gen.g.metrics.recordHeldPrompt(held)
	gen.g.cfg.Log.Info("prompt held", "request", gen.ID, "route", gen.route.Name, "cause", "engines with memory have unread prompts beyond the limit", "tokens", gen.Prompt.Tokens,
		"held", held, "placed", placed, "budget", h.limit.Budget, "urgent_prompt", h.limit.UrgentTokens)
}
