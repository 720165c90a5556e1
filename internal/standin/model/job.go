package model

import "time"

// JobID identifies a job. The caller assigns it and never reuses it.
type JobID uint64

// Job describes a generation to run.
type Job struct {
	ID JobID
	// Priority orders admission and preemption: a job of higher priority is
	// admitted first and preempted last.
	Priority int
	// PromptTokens is the number of tokens to compute first (at least one is
	// computed). The other field is the number of tokens to produce then, which
	// nothing outside the engine knows in advance.
	PromptTokens, OutputTokens int
	// Prefix holds the hashes of the prompt's leading blocks (PrefixChain).
	Prefix []uint64
	// Crash makes the engine crash when the prefill of the job ends.
	Crash bool
}

// EventKind is the kind of an event.
type EventKind int

// The kinds of events. EventToken means that a job produced a token.
const (
	EventToken EventKind = iota + 1
	EventFinished
	EventPreempted
	// EventCrashed means that the engine crashed and lost all its jobs; ID is the
	// job that caused the crash, or 0.
	EventCrashed
	// EventOverloaded means that a cold engine received more jobs than its
	// capacity and stalled.
	EventOverloaded
)

// Event is a state change of a job or of the engine.
type Event struct {
	At   time.Duration
	Kind EventKind
	ID   JobID
	// ProducedTokens is the number of tokens that the job has produced.
	ProducedTokens int
}

// sequence is the state of a waiting or running job.
type sequence struct {
	job          Job
	arrivalOrder uint64
	startOrder   uint64
	produced     int
	// prefillTokens is the number of tokens left to compute before the next
	// output token; chunkTokens is the part that the current step computes.
	prefillTokens, chunkTokens int
	// heldTokens is the memory that the sequence occupies.
	heldTokens int
	index      int
	isRunning  bool
}

// contextTokens returns the memory that the sequence needs at admission.
func (s *sequence) contextTokens() int { return s.job.PromptTokens + s.produced }

// admittedBefore orders the queue: higher priority first, then by arrival. A
// preempted sequence keeps its arrival order, so it precedes later arrivals.
func (s *sequence) admittedBefore(o *sequence) bool {
	if s.job.Priority != o.job.Priority {
		return s.job.Priority > o.job.Priority
	}
	return s.arrivalOrder < o.arrivalOrder
}

// preemptedBefore orders preemption victims: lowest priority first, then the
// most recently started.
func (s *sequence) preemptedBefore(o *sequence) bool {
	if s.job.Priority != o.job.Priority {
		return s.job.Priority < o.job.Priority
	}
	return s.startOrder > o.startOrder
}

// queue is the heap of waiting sequences; it implements heap.Interface.
type queue []*sequence

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].admittedBefore(q[j]) }
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	s := x.(*sequence)
	s.index = len(*q)
	*q = append(*q, s)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	n := len(old) - 1
	s := old[n]
	old[n] = nil
	*q = old[:n]
	return s
}
