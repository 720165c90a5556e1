package model

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"filbertdeck/internal/failure"
)

// Engine is a simulated inference engine. It is not safe for concurrent use.
type Engine struct {
	cfg        Config
	now        time.Duration
	jobs       map[JobID]*sequence
	waiting    queue
	running    []*sequence
	usedTokens int
	// submissions and admissions number the sequences in the order of submission
	// and of admission to the batch.
	submissions, admissions uint64

	// stepping is set while a step is in progress; the step ends at stepEnd.
	stepping bool
	stepEnd  time.Duration
	stepTime time.Duration
	// stalledUntil is the time before which no step makes progress, because of a
	// freeze or an overload.
	stalledUntil time.Duration
	slowFactor   float64

	// servedTime is the time spent serving since the engine was last cold.
	servedTime time.Duration
	coldSince  time.Duration
	// lostWarmUp distinguishes an engine that lost its warm-up while running from
	// one that was just started.
	lostWarmUp bool

	crashed     bool
	stopping    bool
	terminateAt time.Duration

	stats   Stats
	reports reportLog
	cache   *prefixCache
	events  []Event
}

// Stats holds the engine's counters since New; a restart keeps them.
type Stats struct {
	Submitted uint64 `json:"submitted"`
	Finished  uint64 `json:"finished"`
	Cancelled uint64 `json:"cancelled"`
	Tokens    uint64 `json:"tokens"`
	// Preemptions counts preempted sequences; Recomputed counts the tokens that
	// were computed again for them.
	Preemptions uint64 `json:"preemptions"`
	Recomputed  uint64 `json:"recomputed"`
	// PrefixHits counts prompt tokens found in the prefix cache.
	PrefixHits uint64 `json:"prefix_hits"`
	// These count the jobs submitted above the capacity of a cold engine; those of
	// them that came within Config.ColdGracePeriod after a running engine lost its
	// warm-up, before a report could show it; and the stalls and crashes caused by
	// overload.
	OverBears   uint64 `json:"over_bears"`
	OverInGrace uint64 `json:"over_in_grace"`
	FellOver    uint64 `json:"fell_over"`
	// MaxOverCapacity is the largest number of jobs above the capacity.
	MaxOverCapacity int    `json:"max_over"`
	Crashes         uint64 `json:"crashes"`
}

// Plus returns the sum of the counters of two engines. MaxOverCapacity is the
// maximum of both.
func (s Stats) Plus(o Stats) Stats {
	s.Submitted += o.Submitted
	s.Finished += o.Finished
	s.Cancelled += o.Cancelled
	s.Tokens += o.Tokens
	s.Preemptions += o.Preemptions
	s.Recomputed += o.Recomputed
	s.PrefixHits += o.PrefixHits
	s.OverBears += o.OverBears
	s.OverInGrace += o.OverInGrace
	s.FellOver += o.FellOver
	s.MaxOverCapacity = max(s.MaxOverCapacity, o.MaxOverCapacity)
	s.Crashes += o.Crashes
	return s
}

// New returns an engine that starts at time 0. It is cold unless the configured
// warm-up time is 0.
func New(cfg Config) *Engine {
	cfg = cfg.withDefaults()
	e := &Engine{cfg: cfg, slowFactor: 1}
	e.reset()
	return e
}

// reset makes the engine empty and cold.
func (e *Engine) reset() {
	e.jobs = map[JobID]*sequence{}
	e.waiting, e.running = nil, nil
	e.usedTokens, e.servedTime, e.stepping, e.stalledUntil = 0, 0, false, 0
	e.lostWarmUp, e.coldSince = false, e.now
	e.crashed, e.stopping, e.terminateAt = false, false, 0
	rng := rand.New(rand.NewPCG(e.cfg.Seed, e.cfg.Incarnation))
	e.cache = newPrefixCache(e.cfg, rng)
	e.reports = reportLog{}
	e.recordReport()
}

// Submit queues a job. It fails with KindTooLarge if the job exceeds the memory,
// KindOverloaded if the queue is full, KindInProgress if the id is in use,
// KindBadRequest if the lengths are invalid, and KindNotReady if the engine has
// crashed. A job that fails does not run.
func (e *Engine) Submit(now time.Duration, job Job) error {
	e.advanceTo(now)
	if err := e.validateJob(job); err != nil {
		return err
	}
	e.submissions++
	s := &sequence{job: job, arrivalOrder: e.submissions}
	e.jobs[job.ID] = s
	heap.Push(&e.waiting, s)
	e.stats.Submitted++
	e.checkCapacity()
	if !e.crashed {
		e.beginStep()
		e.recordReport()
	}
	return nil
}

func (e *Engine) validateJob(job Job) error {
	switch {
	case e.crashed:
		return failure.New(failure.KindNotReady, "engine is not running")
	case e.jobs[job.ID] != nil:
		return failure.New(failure.KindInProgress, "job %d was already submitted", job.ID)
	case job.OutputTokens < 1 || job.PromptTokens < 0:
		return failure.New(failure.KindBadRequest, "job needs an output length of at least 1 and a prompt length of at least 0")
	case job.PromptTokens+job.OutputTokens > e.cfg.MemoryTokens:
		return failure.New(failure.KindTooLarge, "job needs more than %d tokens of memory", e.cfg.MemoryTokens)
	case len(e.waiting) >= e.cfg.MaxWaiting:
		return failure.New(failure.KindOverloaded, "queue is full").WithRetryAfter(time.Second)
	}
	return nil
}

// Cancel removes a job; it returns false if the engine has no such job.
func (e *Engine) Cancel(now time.Duration, id JobID) bool {
	e.advanceTo(now)
	s := e.jobs[id]
	if s == nil {
		return false
	}
	if s.isRunning {
		e.release(s)
	} else {
		heap.Remove(&e.waiting, s.index)
	}
	delete(e.jobs, id)
	e.stats.Cancelled++
	e.recordReport()
	return true
}

// Advance advances the time to now and returns the events since the last call.
// The slice is valid until the next call of Advance.
func (e *Engine) Advance(now time.Duration) []Event {
	e.advanceTo(now)
	events := e.events
	e.events = e.events[:0]
	return events
}

// Step advances the time to the next event and returns that time and the events.
// It returns ok == false if no event is pending.
func (e *Engine) Step() (at time.Duration, events []Event, ok bool) {
	at, ok = e.NextEvent()
	if !ok {
		return e.now, nil, false
	}
	return at, e.Advance(at), true
}

// NextEvent returns the time of the next event, and false if none is pending.
func (e *Engine) NextEvent() (time.Duration, bool) {
	switch {
	case e.crashed:
		return 0, false
	case e.stepping && e.terminateAt > 0:
		return min(e.stepEnd, e.terminateAt), true
	case e.stepping:
		return e.stepEnd, true
	case e.terminateAt > 0:
		return e.terminateAt, true
	}
	return 0, false
}

// Now returns the current time of the engine.
func (e *Engine) Now() time.Duration { return e.now }

// Crashed reports whether the engine has crashed.
func (e *Engine) Crashed() bool { return e.crashed }

// Stats returns the counters.
func (e *Engine) Stats() Stats { return e.stats }

// advanceTo completes the steps that end by now. Their events are kept until the
// next call of Advance.
func (e *Engine) advanceTo(now time.Duration) {
	for {
		at, ok := e.NextEvent()
		if !ok || at > now {
			break
		}
		e.now = max(e.now, at)
		if e.terminateAt > 0 && at == e.terminateAt {
			e.crash(0)
			break
		}
		e.endStep()
		if !e.crashed {
			e.beginStep()
			e.recordReport()
		}
	}
	e.now = max(e.now, now)
}

func (e *Engine) emitJobEvent(kind EventKind, s *sequence) {
	e.events = append(e.events, Event{At: e.now, Kind: kind, ID: s.job.ID, ProducedTokens: s.produced})
}
