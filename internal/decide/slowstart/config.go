package slowstart

import (
	"cmp"
	"time"
)

// Config holds the parameters of the limit. A field with the zero value has its
// default.
type Config struct {
	// ReportTTL is how long a report is valid, from when the target made it. It
	// must be shorter than a target's restart, so that a report of the previous
	// incarnation is never used for the new one: loading a model takes tens of
	// seconds, starting a plain service a few. Default 2 s: four reports at the
	// 500 ms lag of the users' engines.
	ReportTTL time.Duration
	// LeaseDuration is the duration of a lease without renewal. A grant that is not
	// covered by a report can reach the target until its lease ends. Default 3 s.
	LeaseDuration time.Duration
	// ConfirmationTTL is how long one confirmation of the host list is valid.
	// Default 4 s, see package ownership.
	ConfirmationTTL time.Duration
	// MaxOwners is the largest number of processes that may believe at the same
	// time that they own the pool. Default 3: the users have three data centres,
	// and a partitioned fleet has one owner per partition.
	MaxOwners int
	// WarmCapacity is the number of concurrent requests from which a target
	// counts as warm. Default 16: a continuous batch of 16 is past the part of
	// the warm-up in which engines fail under load.
	WarmCapacity int
	// SettleTime is how long the reported capacity must be constant for a small
	// target to count as settled. Default 5 s, two steps of a warm-up with steps
	// of 2 s.
	SettleTime time.Duration
	// Burst is the largest number of grants to a warm target per report, or a
	// quarter of its capacity if that is more. It limits what a target that
	// becomes cold without a restart receives before any report shows it. Default
	// 4.
	Burst int
	// JumpFactor is the ratio of the step time or the time to the first token to
	// its mean from which a cold start is assumed. Default 4: the step time of a
	// full batch is two to three times that of a small one.
	JumpFactor float64
}

const (
	defaultReportTTL       = 2 * time.Second
	defaultLeaseDuration   = 3 * time.Second
	defaultConfirmationTTL = 4 * time.Second
	defaultMaxOwners       = 3
	defaultWarmCapacity    = 16
	defaultSettleTime      = 5 * time.Second
	defaultBurst           = 4
	defaultJumpFactor      = 4
)

func (c Config) withDefaults() Config {
	c.ReportTTL = cmp.Or(c.ReportTTL, defaultReportTTL)
	c.LeaseDuration = cmp.Or(c.LeaseDuration, defaultLeaseDuration)
	c.ConfirmationTTL = cmp.Or(c.ConfirmationTTL, defaultConfirmationTTL)
	c.MaxOwners = cmp.Or(c.MaxOwners, defaultMaxOwners)
	c.WarmCapacity = cmp.Or(c.WarmCapacity, defaultWarmCapacity)
	c.SettleTime = cmp.Or(c.SettleTime, defaultSettleTime)
	c.Burst = cmp.Or(c.Burst, defaultBurst)
	c.JumpFactor = cmp.Or(c.JumpFactor, defaultJumpFactor)
	return c
}

// Report is a target's statement of its own load.
type Report struct {
	// Age is an upper bound of the time since the target made the report: the age
	// that it states plus the round trip of the call.
	Age time.Duration
	// Incarnation changes when the target restarts.
	Incarnation uint64
	// Capacity is the number of concurrent requests that the target can take now; 0
	// if unknown.
	Capacity         int
	Running, Waiting int
	// StepTime is the mean time of a batch step; 0 if unknown.
	StepTime time.Duration
}

func (r Report) load() int { return r.Running + r.Waiting }

// State is the warm-up state of a target.
type State int

// The states of a target, in the order of the room they allow.
const (
	// Unknown means that there is no valid report.
	Unknown State = iota
	// Cold means that only the published owner grants, one request at a time.
	Cold
	// Settled means a small target whose capacity no longer grows. A sole owner
	// grants up to its capacity; others treat the target as cold.
	Settled
	// Warm means that every allocator grants up to the target's capacity.
	Warm
)

var stateNames = [...]string{Unknown: "unknown", Cold: "cold", Settled: "settled", Warm: "warm"}

// String returns the state as used in metrics and logs.
func (s State) String() string { return stateNames[s] }
