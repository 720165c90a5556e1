// Package loadgen implements the program filbert-load, an open-loop load generator
// that measures what the callers of a running system receive.
//
// A workload is a deployment's mix of calls (see Profiles). Arrivals follow a
// Poisson process with bursts, lengths are heavy-tailed, and accounts differ in
// size. All of these are drawn from one seed and do not depend on the answers.
// Latencies are measured from the intended start, so that a stall of the system
// counts for every call that it delayed (no coordinated omission).
//
// Every answer is verified: each token arrives exactly once, in order, with the
// expected text and from a single generation; each answer belongs to its call;
// and each call with an idempotency key ran once.
package loadgen
