// Package model is a model engine as a pure state machine: a continuous batch
// over a memory of keys and values that can fill up, with preemption, request
// priorities, a prefix cache, a cold start, load reports that lag, and
// scripted faults. It has no clock, goroutine or network. Time is an argument,
// counted from any fixed start, and never goes backwards from call to call.
//
// One Engine serves the stand-in process (package engine drives it by the wall
// clock) and tests and experiments (which drive it by a fake clock). With the
// same configuration and calls it does the same thing.
//
// What it leaves out: attention cost that grows with the context, memory in
// blocks, swapping to the host's memory, and speculative decoding. None of
// them changes which decision is right; they only move the figures.
//
// Invariants: memory in use is the sum over running sequences and never above
// Config.MemoryTokens; a job is either waiting or running; a job's Produced
// rises by one per EventToken and ends at Job.Length with one EventFinished.
package model
