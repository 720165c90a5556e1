package experiment

import (
	"fmt"
	"time"

	"filbertdeck/internal/decide/admission"
	"filbertdeck/internal/standin/model"
)

// naive is a first come, first served queue before engines, with a rule that
// says whether one more fits an engine. It counts its own grants and, where it
// goes by the engines' reports, adds what it granted since they were taken.
type naive struct {
	fits       func(e *naiveEngine, a *Ask) bool
	roundRobin bool
	engines    []naiveEngine
	queue      []Ask
	// gone holds queued requests whose callers have left.
	gone    map[requestID]bool
	running map[requestID]naiveGrant
	next    int
	out     []Decision
}

// naiveEngine is what a naive policy knows of an engine.
type naiveEngine struct {
	leaving  bool
	running  int
	reserved int
	report   model.Report
	taken    time.Duration
	// granted holds the prompts granted since the report was taken.
	granted []naiveGrant
}

type naiveGrant struct {
	engine, reserved, prompt int
	at                       time.Duration
}

func newNaive(fits func(*naiveEngine, *Ask) bool, roundRobin bool) func(*Scenario, uint64) Policy {
	return func(s *Scenario, _ uint64) Policy {
		return &naive{
			fits: fits, roundRobin: roundRobin, engines: make([]naiveEngine, s.Engines),
			running: map[requestID]naiveGrant{}, gone: map[requestID]bool{},
		}
	}
}

func anything(*naiveEngine, *Ask) bool { return true }

func slots(n int) func(*naiveEngine, *Ask) bool {
	return func(e *naiveEngine, _ *Ask) bool { return e.running < n }
}

func watermark(part float64) func(*naiveEngine, *Ask) bool {
	return func(e *naiveEngine, a *Ask) bool {
		used := e.report.UsedTokens + a.Prompt
		for _, g := range e.granted {
			used += g.prompt
		}
		return e.report.MemoryTokens == 0 || float64(used) <= part*float64(e.report.MemoryTokens)
	}
}

func reserveMax(e *naiveEngine, a *Ask) bool {
	return e.running == 0 || e.reserved+a.Prompt+a.Max <= e.report.MemoryTokens
}

func (p *naive) Ask(_ time.Duration, a Ask) { p.queue = append(p.queue, a) }

func (p *naive) Withdraw(_ time.Duration, id requestID) { p.gone[id] = true }

func (p *naive) Progress(time.Duration, requestID, int) {}

func (p *naive) Ended(_ time.Duration, id requestID, _ admission.Outcome, _ int, _ time.Duration) {
	g, ok := p.running[id]
	if !ok {
		return
	}
	delete(p.running, id)
	p.engines[g.engine].running--
	p.engines[g.engine].reserved -= g.reserved
}

func (p *naive) Report(now time.Duration, engine int, r model.Report) {
	e := &p.engines[engine]
	e.report, e.taken = r, now-r.Age
	kept := e.granted[:0]
	for _, g := range e.granted {
		if g.at >= e.taken {
			kept = append(kept, g)
		}
	}
	e.granted = kept
}

func (p *naive) Leave(_ time.Duration, leaving []bool) {
	for i := range p.engines {
		p.engines[i].leaving = leaving[i]
	}
}

func (p *naive) Decide(now time.Duration) []Decision {
	p.out = p.out[:0]
	for len(p.queue) > 0 {
		head := p.queue[0]
		if !p.gone[head.ID] {
			i := p.pick(&head)
			if i < 0 {
				break
			}
			p.grant(now, i, head)
		}
		delete(p.gone, head.ID)
		p.queue = p.queue[1:]
	}
	return p.out
}

func (p *naive) pick(a *Ask) int {
	best := -1
	for k := range p.engines {
		i := (p.next + k) % len(p.engines)
		e := &p.engines[i]
		if e.leaving || !p.fits(e, a) {
			continue
		}
		if p.roundRobin {
			p.next = i + 1
			return i
		}
		if best < 0 || e.running < p.engines[best].running {
			best = i
		}
	}
	return best
}

func (p *naive) grant(now time.Duration, i int, a Ask) {
	e := &p.engines[i]
	g := naiveGrant{engine: i, reserved: a.Prompt + a.Max, prompt: a.Prompt, at: now}
	e.running++
	e.reserved += g.reserved
	e.granted = append(e.granted, g)
	p.running[a.ID] = g
	p.out = append(p.out, Decision{ID: a.ID, Engine: i})
}

var ours = PolicySpec{Name: "filbertdeck", make: newFilbertdeck}

func slotsSpec(n int) PolicySpec {
	return PolicySpec{Name: fmt.Sprintf("slots %d", n), make: newNaive(slots(n), false)}
}

func watermarkSpec(part float64) PolicySpec {
	return PolicySpec{Name: fmt.Sprintf("watermark %.2f", part), make: newNaive(watermark(part), false)}
}

var (
	leastConnections = PolicySpec{Name: "least connections", make: newNaive(anything, false)}
	roundRobin       = PolicySpec{Name: "round robin", make: newNaive(anything, true)}
	reserving        = PolicySpec{Name: "reserve max_tokens", make: newNaive(reserveMax, false)}
	retryAlways      = PolicySpec{Name: "least conn., retry always", make: newNaive(anything, false), retryAlways: true}
)

// memoryPolicies are compared where memory is what matters.
func memoryPolicies() []PolicySpec {
	list := []PolicySpec{ours}
	for _, n := range []int{24, 32, 48, 64, 80, 96, 112, 128, 160, 192} {
		list = append(list, slotsSpec(n))
	}
	for _, part := range []float64{0.70, 0.80, 0.85, 0.90, 0.95, 1} {
		list = append(list, watermarkSpec(part))
	}
	return append(list, reserving, leastConnections)
}

// queuePolicies are compared where the order of service matters.
func queuePolicies() []PolicySpec {
	return []PolicySpec{ours, slotsSpec(32), slotsSpec(64), slotsSpec(96), watermarkSpec(0.85), leastConnections, roundRobin}
}

// spreadPolicies are compared where the choice of engine matters.
func spreadPolicies() []PolicySpec {
	return []PolicySpec{ours, slotsSpec(64), watermarkSpec(0.85), leastConnections, roundRobin}
}

// overloadPolicies are compared where the load is more than can be served.
func overloadPolicies() []PolicySpec {
	return []PolicySpec{ours, slotsSpec(64), slotsSpec(96), watermarkSpec(0.85), reserving, leastConnections, roundRobin, retryAlways}
}
