// Package model simulates an inference engine as a deterministic state machine:
// continuous batching over a limited KV cache, with preemption, request
// priorities, a prefix cache, warm-up after a cold start, delayed load reports,
// and injected faults. It uses no clock, goroutine or network. Callers pass the
// time, measured from any fixed start; it must not decrease from call to call.
//
// The simulator process drives an Engine by the wall clock (package engine);
// tests and experiments drive it by a simulated clock. The same configuration
// and the same calls always give the same results.
//
// The model omits attention cost that grows with the context, block-wise
// allocation of the KV cache, swapping to the host's memory, and speculative
// decoding. These change the figures, but not which scheduling decision is right.
//
// Invariants: the memory in use is the sum over the running sequences and never
// exceeds Config.MemoryTokens; a job is either waiting or running; the number of
// tokens that a job has produced rises by one with each EventToken and ends at the
// job's output length, with one EventFinished.
package model
