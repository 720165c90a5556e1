package model

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"filbertdeck/internal/failure"
)

// Engine is one model engine. It is not safe for concurrent use.
type Engine struct {
	cfg     Config
	now     time.Duration
	jobs    map[JobID]*sequence
	waiting queue
	running []*sequence
	used    int
	// arrivals and starts count submissions and admissions.
	arrivals, starts uint64

	// stepping is true while a step runs; it ends at stepEnd.
	stepping bool
	stepEnd  time.Duration
	stepTime time.Duration
	// stalledUntil holds the next step back, after a freeze or a fall.
	stalledUntil time.Duration
	slow         float64

	// served is the time spent serving since the engine was cold.
	served    time.Duration
	coldSince time.Duration
	// turnedCold tells an engine that lost its warmth from one just started.
	turnedCold bool

	crashed  bool
	stopping bool
	killAt   time.Duration

	stats   Stats
	reports reportLog
	cache   *prefixCache
	events  []Event
}

// Stats counts what happened since the engine was made; a restart keeps them.
type Stats struct {
	Submitted uint64 `json:"submitted"`
	Finished  uint64 `json:"finished"`
	Cancelled uint64 `json:"cancelled"`
	Tokens    uint64 `json:"tokens"`
	// Preemptions counts sequences that lost their memory; Recomputed counts
	// the tokens that were computed again for them.
	Preemptions uint64 `json:"preemptions"`
	Recomputed  uint64 `json:"recomputed"`
	// PrefixHits counts prompt tokens that the prefix cache saved.
	PrefixHits uint64 `json:"prefix_hits"`
	// OverBears counts jobs that came when the engine bore no more. OverInGrace
	// is the part that came so shortly after a warm engine had turned cold that
	// no report could tell. FellOver counts the times it stalled or crashed.
	OverBears   uint64 `json:"over_bears"`
	OverInGrace uint64 `json:"over_in_grace"`
	FellOver    uint64 `json:"fell_over"`
	// MaxOver is the most jobs above what it bears that the engine ever had.
	MaxOver int    `json:"max_over"`
	Crashes uint64 `json:"crashes"`
}

// Plus adds up the counters of two engines; MaxOver is the larger one's.
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
	s.MaxOver = max(s.MaxOver, o.MaxOver)
	s.Crashes += o.Crashes
	return s
}

// New returns an engine that starts at time 0, cold unless RampTime is 0.
func New(cfg Config) *Engine {
	cfg = cfg.withDefaults()
	e := &Engine{cfg: cfg, slow: 1}
	e.clear()
	return e
}

// clear makes the engine empty and cold.
func (e *Engine) clear() {
	e.jobs = map[JobID]*sequence{}
	e.waiting, e.running = nil, nil
	e.used, e.served, e.stepping, e.stalledUntil = 0, 0, false, 0
	e.turnedCold, e.coldSince = false, e.now
	e.crashed, e.stopping, e.killAt = false, false, 0
	random := rand.New(rand.NewPCG(e.cfg.Seed, e.cfg.Incarnation))
	e.cache = newPrefixCache(e.cfg, random)
	e.reports = reportLog{}
	e.record()
}

// Submit queues a job. It fails with KindTooLarge when the job can never fit,
// KindOverloaded when the queue is full, KindInProgress when the id is taken
// and KindNotReady when the engine is dead; the job did not run then.
func (e *Engine) Submit(now time.Duration, job Job) error {
	e.catchUp(now)
	if err := e.check(job); err != nil {
		return err
	}
	e.arrivals++
	s := &sequence{job: job, arrival: e.arrivals}
	e.jobs[job.ID] = s
	heap.Push(&e.waiting, s)
	e.stats.Submitted++
	e.checkBears()
	if !e.crashed {
		e.beginStep()
		e.record()
	}
	return nil
}

func (e *Engine) check(job Job) error {
	switch {
	case e.crashed:
		return failure.New(failure.KindNotReady, "engine is not running")
	case e.jobs[job.ID] != nil:
		return failure.New(failure.KindInProgress, "job %d was submitted before", job.ID)
	case job.OutputTokens < 1 || job.PromptTokens < 0:
		return failure.New(failure.KindBadRequest, "job needs a length of 1 or more")
	case job.PromptTokens+job.OutputTokens > e.cfg.MemoryTokens:
		return failure.New(failure.KindTooLarge, "job needs more than %d tokens of memory", e.cfg.MemoryTokens)
	case len(e.waiting) >= e.cfg.MaxWaiting:
		return failure.New(failure.KindOverloaded, "queue is full").WithRetryAfter(time.Second)
	}
	return nil
}

// Cancel takes a job out; it returns false when the engine does not have it.
func (e *Engine) Cancel(now time.Duration, id JobID) bool {
	e.catchUp(now)
	s := e.jobs[id]
	if s == nil {
		return false
	}
	if s.runs {
		e.release(s)
	} else {
		heap.Remove(&e.waiting, s.index)
	}
	delete(e.jobs, id)
	e.stats.Cancelled++
	e.record()
	return true
}

// Advance moves time on to now and returns what happened since the last call.
// The slice is valid until the next call of Advance.
func (e *Engine) Advance(now time.Duration) []Event {
	e.catchUp(now)
	events := e.events
	e.events = e.events[:0]
	return events
}

// Step moves time on to the next event and returns it and what happened; ok
// is false when nothing will happen without a new call.
func (e *Engine) Step() (at time.Duration, events []Event, ok bool) {
	at, ok = e.NextEvent()
	if !ok {
		return e.now, nil, false
	}
	return at, e.Advance(at), true
}

// NextEvent gives the time at which something happens next, if anything does.
func (e *Engine) NextEvent() (time.Duration, bool) {
	switch {
	case e.crashed:
		return 0, false
	case e.stepping && e.killAt > 0:
		return min(e.stepEnd, e.killAt), true
	case e.stepping:
		return e.stepEnd, true
	case e.killAt > 0:
		return e.killAt, true
	}
	return 0, false
}

// Now gives the time of the last call.
func (e *Engine) Now() time.Duration { return e.now }

// Crashed tells whether the engine is dead.
func (e *Engine) Crashed() bool { return e.crashed }

// Stats gives the counters.
func (e *Engine) Stats() Stats { return e.stats }

// catchUp runs the steps that end until now. Their events stay until Advance.
func (e *Engine) catchUp(now time.Duration) {
	for {
		at, ok := e.NextEvent()
		if !ok || at > now {
			break
		}
		e.now = max(e.now, at)
		if e.killAt > 0 && at == e.killAt {
			e.crash(0)
			break
		}
		e.endStep()
		if !e.crashed {
			e.beginStep()
			e.record()
		}
	}
	e.now = max(e.now, now)
}

func (e *Engine) emit(kind EventKind, s *sequence) {
	e.events = append(e.events, Event{At: e.now, Kind: kind, ID: s.job.ID, ProducedTokens: s.produced})
}
