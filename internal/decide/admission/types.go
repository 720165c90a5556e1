// Package admission decides which request may start on which target, and when.
// It is a deterministic state machine without clock, goroutines or network:
// asks, renewals, settlements, target reports and ticks are its inputs and
// decisions its outputs. Time is an argument, measured from any fixed origin.
//
// An Allocator owns the targets of one service in one data centre (a pool). A
// target is an inference engine, which reports its memory in tokens, or an
// instance of a plain service, which has neither tokens nor memory reports.
// Entry processes accept the clients' requests, ask the allocator for admission
// and hold the leases that it grants. The control process runs each Allocator on
// a single goroutine.
package admission

import "time"

// LeaseID identifies one admission; an allocator never reuses one.
type LeaseID uint64

// Holder identifies the entry process that asked, by address and incarnation.
type Holder struct {
	EntryAddress string
	Incarnation  uint64
}

// Ask is one request for admission.
type Ask struct {
	Holder    Holder
	RequestID uint64
	Account   string
	// Service selects the distribution of output lengths that predicts the
	// request.
	Service string
	// PromptTokens is the length of the prompt and MaxTokens the limit of the
	// output, in tokens.
	PromptTokens, MaxTokens int
	// Fingerprint is equal for identical requests; 0 means that it is not
	// known.
	Fingerprint uint64
	// Prefix is a chain of hashes of the prompt's leading blocks.
	Prefix []uint64
	// MaxWait bounds the time in the queue.
	MaxWait time.Duration
	// Avoid lists targets that have already failed this request.
	Avoid []string
	// AdoptTarget, when set, registers a generation that already runs there;
	// AdoptTokens is the number of tokens that it has produced.
	AdoptTarget string
	AdoptTokens int
}

// Renewal extends a lease and reports the progress of its generation. It
// carries enough to rebuild the lease in an allocator that has just taken over
// the pool.
type Renewal struct {
	Lease          LeaseID
	Target         string
	Account        string
	Service        string
	PromptTokens   int
	ProducedTokens int
}

// Outcome is the way in which an admitted request ended.
type Outcome int

// The ways in which an admitted request ends.
const (
	OutcomeDone Outcome = iota + 1
	OutcomeNotRun
	OutcomeTargetFailed
	OutcomeCallerLeft
	// OutcomeTargetCrashed means that the target crashed while it ran the
	// request.
	OutcomeTargetCrashed
)

// Settlement ends a lease.
type Settlement struct {
	Lease            LeaseID
	Outcome          Outcome
	ProducedTokens   int
	TimeToFirstToken time.Duration
	Duration         time.Duration
}

// Report is a target's own measurement of its load, taken Age ago.
type Report struct {
	Target string
	Age    time.Duration
	// Incarnation changes when the target restarts, which makes it cold again.
	Incarnation uint64
	// KVCapacityTokens is the size of the key-value cache, in tokens, and
	// KVUsedTokens the part in use.
	KVCapacityTokens, KVUsedTokens int
	Running, Waiting               int
	Preemptions                    uint64
	// Capacity is the number of requests that the target can run concurrently at
	// present; 0 means that it does not report this.
	Capacity int
	// Stopping is set once the target has announced that it will stop.
	Stopping bool
	// StepTime is the mean time of a batch step.
	StepTime time.Duration
	// CachedPrefixes and EvictedPrefixes are the prefix hashes that the target
	// has cached and evicted since the last report.
	CachedPrefixes, EvictedPrefixes []uint64
}

// Target is an entry of the pool's target list.
type Target struct {
	Address string
	// Leaving targets receive no new work.
	Leaving bool
}

// Share is an account's entitlement to the pool.
type Share struct {
	Account string
	Weight  float64
	// MaxRunning bounds the account's leases in this pool; 0 means unlimited.
	MaxRunning int
	// SharedLimits is set for accounts that share their limits with other pools: only
	// what a quota grant allows may start here, and never more than MaxRunning.
	SharedLimits bool
	// Priority is passed on to engines; higher values are served first.
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
	RequestID     uint64
	Lease         LeaseID
	Target        string
	Priority      int
	LeaseDuration time.Duration

	Reason     RefusalReason
	RetryAfter time.Duration
}

// Granted reports whether the decision is a grant.
func (d Decision) Granted() bool { return d.Reason == 0 }
