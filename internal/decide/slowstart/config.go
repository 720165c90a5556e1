package slowstart

import (
	"cmp"
	"time"
)

// Config holds the figures of a Gate; the zero value of a field means its
// default.
type Config struct {
	// FreshFor is how long a report counts, from when the target took it. It
	// has to be shorter than a target's restart, so that a report of the
	// incarnation before never speaks for the new one: loading a model takes
	// tens of seconds, a plain service a few. Default 2 s: four reports at the
	// 500 ms lag that the users' engines show.
	FreshFor time.Duration
	// LeaseDuration is the life of an admission without renewal; an unseen grant
	// can reach the target until it ends. Default 3 s.
	LeaseDuration time.Duration
	// ConfirmFor is how long one confirmation of the host list counts. Default
	// 4 s, see package ownership.
	ConfirmFor time.Duration
	// Claimants bounds the processes that may believe at the same time that
	// they own the pool. Default 3: the users have three data centres, and a
	// split fleet has one owner a side.
	Claimants int
	// WarmBears is the number of requests from which a target counts as warm.
	// Default 16: a continuous batch of 16 is past the part of the ramp in
	// which engines fall over.
	WarmBears int
	// SettleFor is how long Bears has to stay level for a small target to
	// count as settled. Default 5 s, two steps of a ramp with steps of 2 s.
	SettleFor time.Duration
	// Burst bounds the grants to a warm target that one report covers, at the
	// least; a quarter of Bears when that is more. It bounds what a target
	// that turns cold in place receives before anyone can know. Default 4.
	Burst int
	// JumpFactor is how many times its usual value the step time or the time
	// to the first token has to reach to be taken for a cold start. Default 4:
	// the step time of a full batch is two to three times that of a small one.
	JumpFactor float64
}

const (
	defaultFreshFor   = 2 * time.Second
	defaultLeaseFor   = 3 * time.Second
	defaultConfirmFor = 4 * time.Second
	defaultClaimants  = 3
	defaultWarmBears  = 16
	defaultSettleFor  = 5 * time.Second
	defaultBurst      = 4
	defaultJumpFactor = 4
)

func (c Config) withDefaults() Config {
	c.FreshFor = cmp.Or(c.FreshFor, defaultFreshFor)
	c.LeaseDuration = cmp.Or(c.LeaseDuration, defaultLeaseFor)
	c.ConfirmFor = cmp.Or(c.ConfirmFor, defaultConfirmFor)
	c.Claimants = cmp.Or(c.Claimants, defaultClaimants)
	c.WarmBears = cmp.Or(c.WarmBears, defaultWarmBears)
	c.SettleFor = cmp.Or(c.SettleFor, defaultSettleFor)
	c.Burst = cmp.Or(c.Burst, defaultBurst)
	c.JumpFactor = cmp.Or(c.JumpFactor, defaultJumpFactor)
	return c
}

// Report is a target's own statement of its load.
type Report struct {
	// Age is the time since the target took the figures, at the most: the age
	// that it states plus the whole round trip of the call.
	Age time.Duration
	// Incarnation changes when the target restarts.
	Incarnation uint64
	// Capacity is the number of requests that it bears now; 0 means unsaid.
	Capacity         int
	Running, Waiting int
	// StepTime is the mean time of a batch step; 0 means unsaid.
	StepTime time.Duration
}

func (r Report) load() int { return r.Running + r.Waiting }

// State says how far a target is.
type State int

// The states of a target, from the most careful on.
const (
	// Unknown: no report that still counts.
	Unknown State = iota
	// Cold: only the published owner grants, one request at a time.
	Cold
	// Settled: a small target whose Bears no longer grows. A sole owner fills
	// it up to Bears; others treat it as cold.
	Settled
	// Warm: every allocator grants up to Bears.
	Warm
)

var stateNames = [...]string{Unknown: "unknown", Cold: "cold", Settled: "settled", Warm: "warm"}

// String names the state as counters and logs show it.
func (s State) String() string { return stateNames[s] }
