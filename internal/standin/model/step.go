package model

import (
	"container/heap"
	"time"
)

// beginStep admits what fits, makes room for the running sequences to grow,
// and starts a step, unless one runs already or there is nothing to do.
func (e *Engine) beginStep() {
	if e.stepping {
		return
	}
	e.makeRoom()
	e.admit()
	if len(e.running) == 0 {
		return
	}
	d := e.planStep()
	e.stepping = true
	e.stepTime = d
	e.stepEnd = max(e.now, e.stalledUntil) + d
}

// makeRoom preempts until each running sequence can grow by one token.
func (e *Engine) makeRoom() {
	for e.used+len(e.running) > e.cfg.MemoryTokens {
		e.preempt(e.victim())
	}
}

// admit starts waiting sequences in their order while memory and batch allow.
func (e *Engine) admit() {
	for len(e.waiting) > 0 {
		s := e.waiting[0]
		if !e.fits(s) && !e.yieldTo(s) {
			return
		}
		heap.Pop(&e.waiting)
		e.start(s)
	}
}

// fits leaves each running sequence, and the new one, room for one token.
func (e *Engine) fits(s *sequence) bool {
	room := e.cfg.MemoryTokens - e.used - len(e.running) - 1
	return s.context() <= room && len(e.running) < e.cfg.MaxBatch
}

// yieldTo preempts sequences of lower priority for s when that makes it fit.
func (e *Engine) yieldTo(s *sequence) bool {
	room, batch := e.cfg.MemoryTokens-e.used-len(e.running)-1, len(e.running)
	for _, r := range e.running {
		if r.job.Priority < s.job.Priority {
			room += r.held + 1
			batch--
		}
	}
	if s.context() > room || batch >= e.cfg.MaxBatch {
		return false
	}
	for !e.fits(s) {
		e.preempt(e.victim())
	}
	return true
}

// start gives a sequence its memory and the work of its prefill. What it had
// produced before a preemption is computed again.
func (e *Engine) start(s *sequence) {
	e.starts++
	s.started, s.runs = e.starts, true
	s.index = len(e.running)
	e.running = append(e.running, s)
	s.held = s.context()
	e.used += s.held
	cached := min(e.cache.hit(s.job.Prefix)*BlockTokens, s.job.PromptTokens)
	e.stats.PrefixHits += uint64(cached)
	s.prefill = max(s.context()-cached, 1)
	if s.produced > 0 {
		e.stats.Recomputed += uint64(s.prefill)
	}
}

// victim gives the running sequence that is preempted next.
func (e *Engine) victim() *sequence {
	v := e.running[0]
	for _, s := range e.running[1:] {
		if s.yieldsBefore(v) {
			v = s
		}
	}
	return v
}

func (e *Engine) preempt(s *sequence) {
	e.release(s)
	heap.Push(&e.waiting, s)
	e.stats.Preemptions++
	e.emit(EventPreempted, s)
}

// release takes a sequence out of the batch and frees its memory.
func (e *Engine) release(s *sequence) {
	last := len(e.running) - 1
	e.running[s.index] = e.running[last]
	e.running[s.index].index = s.index
	e.running[last] = nil
	e.running = e.running[:last]
	e.used -= s.held
	s.held, s.chunk, s.runs = 0, 0, false
}

// planStep spreads the prefill over the step and gives the step's time.
func (e *Engine) planStep() time.Duration {
	budget, decoding := e.cfg.PrefillChunk, 0
	for _, s := range e.running {
		if s.prefill == 0 {
			decoding++
			continue
		}
		s.chunk = min(s.prefill, budget)
		budget -= s.chunk
	}
	prompt := e.cfg.PrefillChunk - budget
	d := e.cfg.BaseStep + time.Duration(decoding)*e.cfg.PerSequence + time.Duration(prompt)*e.cfg.PerPromptToken
	if e.served < e.cfg.WarmUpTime && len(e.jobs) > e.Bears() {
		d *= coldSlowdown
	}
	return time.Duration(float64(d) * e.slow)
}

// endStep gives each decoding sequence its token.
func (e *Engine) endStep() {
	e.stepping = false
	e.served += e.stepTime
	for i := 0; i < len(e.running); {
		s := e.running[i]
		e.stepOne(s)
		if e.crashed {
			return
		}
		if s.runs {
			i++
		}
	}
}

func (e *Engine) stepOne(s *sequence) {
	if s.prefill > 0 {
		s.prefill -= s.chunk
		s.chunk = 0
		if s.prefill > 0 {
			return
		}
		if s.job.Crash {
			e.crash(s.job.ID)
			return
		}
		e.cache.insert(e.now, s.job.Prefix)
	}
	s.produced++
	s.held++
	e.used++
	e.stats.Tokens++
	e.emit(EventToken, s)
	if s.produced == s.job.OutputTokens {
		e.release(s)
		delete(e.jobs, s.job.ID)
		e.stats.Finished++
		e.emit(EventFinished, s)
	}
}
