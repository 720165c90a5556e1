package experiment

import (
	"fmt"
	"time"

	"filbertdeck/internal/decide/admission"
	"filbertdeck/internal/standin/model"
)

// baselinePolicy is a first come, first served queue in front of the engines,
// with a rule that tells whether an engine can take one more request. It counts
// its own grants; rules that use the engines' reports add the grants made since
// the report was taken.
type baselinePolicy struct {
	admits     func(e *baselineEngine, a *Ask) bool
	roundRobin bool
	engines    []baselineEngine
	queue      []Ask
	// withdrawn holds the queued requests whose callers have disconnected.
	withdrawn  map[requestID]bool
	running    map[requestID]baselineGrant
	nextEngine int
	decisions  []Decision
}

// baselineEngine is the state that a baseline policy keeps for an engine.
type baselineEngine struct {
	leaving        bool
	running        int
	reservedTokens int
	report         model.Report
	reportedAt     time.Duration
	// grantsSinceReport holds the grants made since the report was taken.
	grantsSinceReport []baselineGrant
}

// baselineGrant is a request granted to an engine.
type baselineGrant struct {
	engine, reservedTokens, promptTokens int
	grantedAt                            time.Duration
}

func newBaseline(admits func(*baselineEngine, *Ask) bool, roundRobin bool) func(*Scenario, uint64) Policy {
	return func(s *Scenario, _ uint64) Policy {
		return &baselinePolicy{
			admits: admits, roundRobin: roundRobin, engines: make([]baselineEngine, s.Engines),
			running: map[requestID]baselineGrant{}, withdrawn: map[requestID]bool{},
		}
	}
}

// admitAlways accepts every request.
func admitAlways(*baselineEngine, *Ask) bool { return true }

// admitBelowLimit accepts requests while the engine runs fewer than limit.
func admitBelowLimit(limit int) func(*baselineEngine, *Ask) bool {
	return func(e *baselineEngine, _ *Ask) bool { return e.running < limit }
}

// admitBelowWatermark accepts requests while the reported memory use, the prompts
// granted since the report and the new prompt stay within this fraction of memory.
func admitBelowWatermark(fraction float64) func(*baselineEngine, *Ask) bool {
	return func(e *baselineEngine, a *Ask) bool {
		used := e.report.UsedTokens + a.PromptTokens
		for _, g := range e.grantsSinceReport {
			used += g.promptTokens
		}
		return e.report.MemoryTokens == 0 || float64(used) <= fraction*float64(e.report.MemoryTokens)
	}
}

// admitReservingMaxTokens accepts a request if memory holds the prompt and
// max_tokens of all running requests and of this one, or if the engine is idle.
func admitReservingMaxTokens(e *baselineEngine, a *Ask) bool {
	return e.running == 0 || e.reservedTokens+a.PromptTokens+a.MaxTokens <= e.report.MemoryTokens
}

func (p *baselinePolicy) Ask(_ time.Duration, a Ask) { p.queue = append(p.queue, a) }

func (p *baselinePolicy) Withdraw(_ time.Duration, id requestID) { p.withdrawn[id] = true }

func (p *baselinePolicy) Progress(time.Duration, requestID, int) {}

func (p *baselinePolicy) Ended(_ time.Duration, id requestID, _ admission.Outcome, _ int, _ time.Duration) {
	g, ok := p.running[id]
	if !ok {
		return
	}
	delete(p.running, id)
	p.engines[g.engine].running--
	p.engines[g.engine].reservedTokens -= g.reservedTokens
}

func (p *baselinePolicy) Report(now time.Duration, engine int, r model.Report) {
	e := &p.engines[engine]
	e.report, e.reportedAt = r, now-r.Age
	kept := e.grantsSinceReport[:0]
	for _, g := range e.grantsSinceReport {
		if g.grantedAt >= e.reportedAt {
			kept = append(kept, g)
		}
	}
	e.grantsSinceReport = kept
}

func (p *baselinePolicy) SetLeaving(_ time.Duration, leaving []bool) {
	for i := range p.engines {
		p.engines[i].leaving = leaving[i]
	}
}

func (p *baselinePolicy) Decide(now time.Duration) []Decision {
	p.decisions = p.decisions[:0]
	for len(p.queue) > 0 {
		head := p.queue[0]
		if !p.withdrawn[head.ID] {
			engine := p.pickEngine(&head)
			if engine < 0 {
				break
			}
			p.grant(now, engine, head)
		}
		delete(p.withdrawn, head.ID)
		p.queue = p.queue[1:]
	}
	return p.decisions
}

func (p *baselinePolicy) pickEngine(a *Ask) int {
	leastLoaded := -1
	for k := range p.engines {
		i := (p.nextEngine + k) % len(p.engines)
		e := &p.engines[i]
		if e.leaving || !p.admits(e, a) {
			continue
		}
		if p.roundRobin {
			p.nextEngine = i + 1
			return i
		}
		if leastLoaded < 0 || e.running < p.engines[leastLoaded].running {
			leastLoaded = i
		}
	}
	return leastLoaded
}

func (p *baselinePolicy) grant(now time.Duration, engine int, a Ask) {
	e := &p.engines[engine]
	g := baselineGrant{engine: engine, reservedTokens: a.PromptTokens + a.MaxTokens, promptTokens: a.PromptTokens, grantedAt: now}
	e.running++
	e.reservedTokens += g.reservedTokens
	e.grantsSinceReport = append(e.grantsSinceReport, g)
	p.running[a.ID] = g
	p.decisions = append(p.decisions, Decision{ID: a.ID, Engine: engine})
}

var allocatorSpec = PolicySpec{Name: "filbertdeck", newPolicy: newAllocatorPolicy}

func concurrencyLimitSpec(limit int) PolicySpec {
	return PolicySpec{Name: fmt.Sprintf("slots %d", limit), newPolicy: newBaseline(admitBelowLimit(limit), false)}
}

func watermarkSpec(fraction float64) PolicySpec {
	return PolicySpec{Name: fmt.Sprintf("watermark %.2f", fraction), newPolicy: newBaseline(admitBelowWatermark(fraction), false)}
}

var (
	leastConnections      = PolicySpec{Name: "least connections", newPolicy: newBaseline(admitAlways, false)}
	roundRobin            = PolicySpec{Name: "round robin", newPolicy: newBaseline(admitAlways, true)}
	maxTokensReservation  = PolicySpec{Name: "reserve max_tokens", newPolicy: newBaseline(admitReservingMaxTokens, false)}
	leastConnectionsRetry = PolicySpec{Name: "least conn., retry always", newPolicy: newBaseline(admitAlways, false), retryAlways: true}
)

// memoryPolicies returns the policies compared in scenarios that are limited by
// engine memory.
func memoryPolicies() []PolicySpec {
	list := []PolicySpec{allocatorSpec}
	for _, limit := range []int{24, 32, 48, 64, 80, 96, 112, 128, 160, 192} {
		list = append(list, concurrencyLimitSpec(limit))
	}
	for _, fraction := range []float64{0.70, 0.80, 0.85, 0.90, 0.95, 1} {
		list = append(list, watermarkSpec(fraction))
	}
	return append(list, maxTokensReservation, leastConnections)
}

// queuePolicies returns the policies compared in scenarios that depend on the
// order of service.
func queuePolicies() []PolicySpec {
	return []PolicySpec{allocatorSpec, concurrencyLimitSpec(32), concurrencyLimitSpec(64), concurrencyLimitSpec(96), watermarkSpec(0.85), leastConnections, roundRobin}
}

// balancingPolicies returns the policies compared in scenarios that depend on
// the choice of engine.
func balancingPolicies() []PolicySpec {
	return []PolicySpec{allocatorSpec, concurrencyLimitSpec(64), watermarkSpec(0.85), leastConnections, roundRobin}
}

// overloadPolicies returns the policies compared in scenarios whose load exceeds
// the capacity.
func overloadPolicies() []PolicySpec {
	return []PolicySpec{allocatorSpec, concurrencyLimitSpec(64), concurrencyLimitSpec(96), watermarkSpec(0.85), maxTokensReservation, leastConnections, roundRobin, leastConnectionsRetry}
}
