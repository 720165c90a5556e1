// Package admission decides which request may start on which target, and
// when. It is a pure state machine: asks, renewals, settlements, target
// reports and ticks go in, decisions come out. It has no clock, no goroutine
// and no network; time is an argument, counted from any fixed start.
//
// One Allocator owns the targets of one service in one data centre (a pool).
// The control process runs it on a single goroutine.
package admission

import "time"

// LeaseID names one admission; it is never used twice by one allocator.
type LeaseID uint64

// Holder is the entry process that asked: its address and incarnation.
type Holder struct {
	Entry       string
	Incarnation uint64
}

// Ask is one request for admission.
type Ask struct {
	Holder  Holder
	Request uint64
	Account string
	// Service tells whose outputs' lengths the request is predicted by.
	Service string
	// PromptTokens and MaxTokens are in tokens; MaxTokens bounds the output.
	PromptTokens, MaxTokens int
	// Fingerprint is equal for equal requests.
	Fingerprint uint64
	// Prefix is a chain of hashes of the prompt's leading blocks.
	Prefix []uint64
	// MaxWait bounds the wait in the queue.
	MaxWait time.Duration
	// Avoid lists targets that failed this request already.
	Avoid []string
	// AdoptTarget, when set, books a generation that runs there already.
	AdoptTarget string
	AdoptTokens int
}

// Renewal keeps a lease alive and says how far its generation is. It carries
// enough to rebuild the lease at an allocator that has just taken over.
type Renewal struct {
	Lease          LeaseID
	Target         string
	Account        string
	Service        string
	PromptTokens   int
	ProducedTokens int
}

// Outcome says how an admitted request ended.
type Outcome int

// The ways in which an admitted request ends.
const (
	OutcomeDone Outcome = iota + 1
	OutcomeNotRun
	OutcomeTargetFailed
	OutcomeCallerLeft
	// OutcomeTargetCrashed means that the target died while it ran the request.
	OutcomeTargetCrashed
)

// Settlement ends a lease.
type Settlement struct {
	Lease          LeaseID
	Outcome        Outcome
	ProducedTokens int
	FirstToken     time.Duration
	Duration       time.Duration
}

// Report is a target's own statement of its load, taken Age ago.
type Report struct {
	Target string
	Age    time.Duration
	// Incarnation changes when the target restarts: it is cold again.
	Incarnation uint64
	// MemoryTokens is the memory for keys and values, in tokens; Used is the
	// part in use.
	MemoryTokens, UsedTokens int
	Running, Waiting         int
	Preemptions              uint64
	// Capacity is the number of requests that the target bears now; 0 means that
	// the target does not say.
	Capacity int
	// Stopping is set once the target has announced that it will stop.
	Stopping bool
	// StepTime is the mean time of a batch step.
	StepTime time.Duration
	// CachedPrefixes are the prefix hashes the target reports as cached since
	// the last report.
	CachedPrefixes, EvictedPrefixes []uint64
}

// Target is one back end of the pool.
type Target struct {
	Address string
	// Leaving targets receive no new work.
	Leaving bool
}

// Share is an account's part of the pool.
type Share struct {
	Account string
	Weight  float64
	// MaxRunning bounds the account's leases in this pool; 0 means no bound.
	MaxRunning int
	// SharedLimits accounts share their limits with other pools: only what SetPart
	// gave may start here, never more than MaxRunning.
	SharedLimits bool
	// Priority is handed to engines; higher goes first.
	Priority int
}

// RefusalReason says why a request was refused.
type RefusalReason int

// The reasons to refuse.
const (
	RefusedOverloaded RefusalReason = iota + 1
	RefusedNoTarget
	RefusedPoison
	RefusedAccountLimit
	RefusedDeadline
	RefusedStopping
	RefusedTooLarge
)

// Decision answers one ask: Target is set for a grant, Reason for a refusal.
type Decision struct {
	Holder        Holder
	Request       uint64
	Lease         LeaseID
	Target        string
	Priority      int
	LeaseDuration time.Duration

	Reason     RefusalReason
	RetryAfter time.Duration
}

// Granted tells a grant from a refusal.
func (d Decision) Granted() bool { return d.Reason == 0 }
