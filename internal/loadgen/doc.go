// Package loadgen makes an open-loop load on a running system and measures what
// its callers receive: the program filbert-load.
//
// The load pattern is a deployment's mix of calls (Profiles) whose arrivals
// are a Poisson process with bursts, whose lengths are heavy-tailed and whose
// accounts differ in size, all drawn from one seed ahead of the answers.
// Latencies run from the intended start, so that a stall of the system counts
// for every call that it held up (no coordinated omission).
//
// Every answer is checked: tokens in order, once, of one generation and of the
// right words; answers that belong to their call; keyed calls that ran once.
package loadgen
