package model

import (
	"container/heap"
	"time"
)

// beginStep makes room for the running sequences to grow, admits waiting
// sequences that fit, and starts a batch step. It does nothing if a step is in
// progress, and starts none if no sequence is running.
func (e *Engine) beginStep() {
	if e.stepping {
		return
	}
	e.makeRoomForGrowth()
	e.admit()
	if len(e.running) == 0 {
		return
	}
	duration := e.planStep()
	e.stepping = true
	e.stepTime = duration
	e.stepEnd = max(e.now, e.stalledUntil) + duration
}

// makeRoomForGrowth preempts sequences until each running sequence can grow by
// one token.
func (e *Engine) makeRoomForGrowth() {
	for e.usedTokens+len(e.running) > e.cfg.MemoryTokens {
		e.preempt(e.nextVictim())
	}
}

// admit starts waiting sequences in queue order while memory and batch size
// permit.
func (e *Engine) admit() {
	for len(e.waiting) > 0 {
		s := e.waiting[0]
		if !e.fits(s) && !e.preemptFor(s) {
			return
		}
		heap.Pop(&e.waiting)
		e.startSequence(s)
	}
}

// fits reports whether s can be admitted so that each running sequence, including
// s, still has room for one token.
func (e *Engine) fits(s *sequence) bool {
	freeTokens := e.cfg.MemoryTokens - e.usedTokens - len(e.running) - 1
	return s.contextTokens() <= freeTokens && len(e.running) < e.cfg.MaxBatch
}

// preemptFor preempts sequences of lower priority until s fits. If that can't make
// s fit, it preempts none and returns false.
func (e *Engine) preemptFor(s *sequence) bool {
	freeTokens, batchSize := e.cfg.MemoryTokens-e.usedTokens-len(e.running)-1, len(e.running)
	for _, r := range e.running {
		if r.job.Priority < s.job.Priority {
			freeTokens += r.heldTokens + 1
			batchSize--
		}
	}
	if s.contextTokens() > freeTokens || batchSize >= e.cfg.MaxBatch {
		return false
	}
	for !e.fits(s) {
		e.preempt(e.nextVictim())
	}
	return true
}

// startSequence adds a sequence to the batch, allocates its memory and sets its
// prefill work. Tokens produced before a preemption are computed again.
func (e *Engine) startSequence(s *sequence) {
	e.admissions++
	s.startOrder, s.isRunning = e.admissions, true
	s.index = len(e.running)
	e.running = append(e.running, s)
	s.heldTokens = s.contextTokens()
	e.usedTokens += s.heldTokens
	cached := min(e.cache.lookup(s.job.Prefix)*BlockTokens, s.job.PromptTokens)
	e.stats.PrefixHits += uint64(cached)
	s.prefillTokens = max(s.contextTokens()-cached, 1)
	if s.produced > 0 {
		e.stats.Recomputed += uint64(s.prefillTokens)
	}
}

// nextVictim returns the running sequence that is preempted next.
func (e *Engine) nextVictim() *sequence {
	victim := e.running[0]
	for _, s := range e.running[1:] {
		if s.preemptedBefore(victim) {
			victim = s
		}
	}
	return victim
}

func (e *Engine) preempt(s *sequence) {
	e.release(s)
	heap.Push(&e.waiting, s)
	e.stats.Preemptions++
	e.emitJobEvent(EventPreempted, s)
}

// release removes a sequence from the batch and frees its memory.
func (e *Engine) release(s *sequence) {
	last := len(e.running) - 1
	e.running[s.index] = e.running[last]
	e.running[s.index].index = s.index
	e.running[last] = nil
	e.running = e.running[:last]
	e.usedTokens -= s.heldTokens
	s.heldTokens, s.chunkTokens, s.isRunning = 0, 0, false
}

// planStep assigns prefill chunks to sequences, up to Config.PrefillChunk tokens,
// and returns the duration of the step.
func (e *Engine) planStep() time.Duration {
	budget, decoding := e.cfg.PrefillChunk, 0
	for _, s := range e.running {
		if s.prefillTokens == 0 {
			decoding++
			continue
		}
		s.chunkTokens = min(s.prefillTokens, budget)
		budget -= s.chunkTokens
	}
	promptTokens := e.cfg.PrefillChunk - budget
	duration := e.cfg.BaseStep + time.Duration(decoding)*e.cfg.PerSequence + time.Duration(promptTokens)*e.cfg.PerPromptToken
	if e.servedTime < e.cfg.WarmUpTime && len(e.jobs) > e.Capacity() {
		duration *= coldSlowdownFactor
	}
	return time.Duration(float64(duration) * e.slowFactor)
}

// endStep completes the step for each sequence of the batch.
func (e *Engine) endStep() {
	e.stepping = false
	e.servedTime += e.stepTime
	for i := 0; i < len(e.running); {
		s := e.running[i]
		e.completeStep(s)
		if e.crashed {
			return
		}
		if s.isRunning {
			i++
		}
	}
}

// completeStep completes the prefill chunk of a sequence, or produces its next
// token if its prefill is done.
func (e *Engine) completeStep(s *sequence) {
	if s.prefillTokens > 0 {
		s.prefillTokens -= s.chunkTokens
		s.chunkTokens = 0
		if s.prefillTokens > 0 {
			return
		}
		if s.job.Crash {
			e.crash(s.job.ID)
			return
		}
		e.cache.insert(e.now, s.job.Prefix)
	}
	s.produced++
	s.heldTokens++
	e.usedTokens++
	e.stats.Tokens++
	e.emitJobEvent(EventToken, s)
	if s.produced == s.job.OutputTokens {
		e.release(s)
		delete(e.jobs, s.job.ID)
		e.stats.Finished++
		e.emitJobEvent(EventFinished, s)
	}
}
