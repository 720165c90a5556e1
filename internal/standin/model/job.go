package model

import "time"

// JobID names a job; the caller draws it and never uses it twice.
type JobID uint64

// Job is one generation to run.
type Job struct {
	ID JobID
	// Priority: higher is admitted first and preempted last.
	Priority int
	// PromptTokens are computed first, at least one; OutputTokens tokens are then
	// produced. Nothing outside the engine knows OutputTokens ahead.
	PromptTokens, OutputTokens int
	// Prefix is the chain of hashes of the prompt's leading blocks.
	Prefix []uint64
	// Crash makes the engine die when it runs the job.
	Crash bool
}

// EventKind says what happened to a job.
type EventKind int

// The kinds of events.
const (
	EventToken EventKind = iota + 1
	EventFinished
	EventPreempted
	// EventCrashed says that the engine died and all its jobs with it; ID is
	// the job that killed it, or 0.
	EventCrashed
	// EventFellOver says that the engine got more than it bears and stalled.
	EventFellOver
)

// Event is something that happened at a time.
type Event struct {
	At   time.Duration
	Kind EventKind
	ID   JobID
	// ProducedTokens is the job's tokens so far.
	ProducedTokens int
}

// sequence is a job in the engine.
type sequence struct {
	job      Job
	arrival  uint64
	started  uint64
	produced int
	// prefill is what is left to compute before the next token; chunk is the
	// part of it that the current step computes.
	prefill, chunk int
	// held is the memory that the sequence holds, in tokens.
	held  int
	index int
	runs  bool
}

// context is the memory that the sequence needs when it is admitted.
func (s *sequence) context() int { return s.job.PromptTokens + s.produced }

// before orders the queue: higher priority first, then by arrival. A preempted
// sequence keeps its arrival and so goes ahead of later ones.
func (s *sequence) before(o *sequence) bool {
	if s.job.Priority != o.job.Priority {
		return s.job.Priority > o.job.Priority
	}
	return s.arrival < o.arrival
}

// yieldsBefore orders victims: lowest priority first, then the latest started.
func (s *sequence) yieldsBefore(o *sequence) bool {
	if s.job.Priority != o.job.Priority {
		return s.job.Priority < o.job.Priority
	}
	return s.started > o.started
}

// queue is a heap of waiting sequences (container/heap).
type queue []*sequence

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].before(q[j]) }
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
