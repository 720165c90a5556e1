// Package health detects slow and failing targets of a pool and keeps work away
// from them until they recover.
//
// One of four targets may run at a fifth of its speed (a hot accelerator, a
// noisy neighbour, a failing link) or answer with errors at once, while the
// others are fully loaded. Its queue looks short, or its answers are fast
// because they are errors. Least-connections balancing would send a failing
// target most of the work, because errors free its slots soonest. A slow target
// would keep a quarter of all requests and so determine the tail of stall times
// and token gaps: a p95 of several times the median, while the mean looks
// normal.
//
// Each target is compared with the median of the other targets of its pool,
// which run the same model under the same load, so that a busy hour or a mix of
// long prompts makes no target count as slow. A breaker per target opens on
// failures or slowness, lets single trial requests through after a back-off,
// and closes after several successful ones. Only a limited share of a pool is
// ejected. A further bad target is still used when no good one has capacity.
// Without that limit a fault common to all targets (a bad service revision, a
// link of this host) would take the entire pool out of service, or overload the
// few targets that remain.
package health

import (
	"cmp"
	"time"
)

// Config holds the parameters of a pool. A zero field means its default.
type Config struct {
	// SlowFactor is the ratio to the median of the others from which a target's
	// time to the first token, or its step time, counts as slow. The default is
	// 3: different batch sizes explain a factor of two.
	SlowFactor float64
	// MinSlowDifference is the minimum difference from that median. The default
	// is 20 ms, a third of the 61 ms between tokens that the users aim for: a
	// lookup of 3 ms among lookups of 1 ms is harmless.
	MinSlowDifference time.Duration
	// MinSamples is the number of samples that a target, and at least one
	// other, must have before they are compared. The default is 8.
	MinSamples int
	// ConsecutiveFailures is the number of failures in a row that opens the
	// breaker. The default is 5.
	ConsecutiveFailures int
	// FailureShare is the share of failures among the last 16 outcomes that
	// opens the breaker. The default is 0.5.
	FailureShare float64
	// InitialBackoff is the first back-off; it doubles up to MaxBackoff. The
	// defaults are 1 s and 30 s: a restart takes seconds, and a trial costs one
	// request.
	InitialBackoff, MaxBackoff time.Duration
	// SuccessfulTrials is the number of successful trials in a row that closes
	// the breaker. The default is 3.
	SuccessfulTrials int
	// TrialTimeout is how long an unfinished trial blocks the next one. The
	// default is 10 s.
	TrialTimeout time.Duration
	// MaxEjectedShare is the share of the pool that may be ejected, rounded
	// down, but at least one target of a pool of two or more. The default is
	// 0.34, one of a pool of four, since the others must carry its work.
	MaxEjectedShare float64
}

const (
	defaultSlowFactor          = 3
	defaultMinSlowDifference   = 20 * time.Millisecond
	defaultMinSamples          = 8
	defaultConsecutiveFailures = 5
	defaultFailureShare        = 0.5
	defaultInitialBackoff      = time.Second
	defaultMaxBackoff          = 30 * time.Second
	defaultSuccessfulTrials    = 3
	defaultTrialTimeout        = 10 * time.Second
	defaultMaxEjectedShare     = 0.34
)

func (c Config) withDefaults() Config {
	c.SlowFactor = cmp.Or(c.SlowFactor, defaultSlowFactor)
	c.MinSlowDifference = cmp.Or(c.MinSlowDifference, defaultMinSlowDifference)
	c.MinSamples = cmp.Or(c.MinSamples, defaultMinSamples)
	c.ConsecutiveFailures = cmp.Or(c.ConsecutiveFailures, defaultConsecutiveFailures)
	c.FailureShare = cmp.Or(c.FailureShare, defaultFailureShare)
	c.InitialBackoff = cmp.Or(c.InitialBackoff, defaultInitialBackoff)
	c.MaxBackoff = cmp.Or(c.MaxBackoff, defaultMaxBackoff)
	c.SuccessfulTrials = cmp.Or(c.SuccessfulTrials, defaultSuccessfulTrials)
	c.TrialTimeout = cmp.Or(c.TrialTimeout, defaultTrialTimeout)
	c.MaxEjectedShare = cmp.Or(c.MaxEjectedShare, defaultMaxEjectedShare)
	return c
}

// Status determines what work a target may get.
type Status int

// The values. A picker sends the next request that may be repeated or moved to
// a target that is due for a trial, and records it with BeginTrial. Otherwise
// it picks healthy targets, degraded ones only if no healthy one has capacity,
// and never ejected ones.
const (
	// Healthy targets get work.
	Healthy Status = iota
	// Trial targets have an open breaker that allows one request, to test
	// whether they have recovered.
	Trial
	// Degraded targets also have an open breaker, but the ejected share is used
	// up.
	Degraded
	// Ejected targets get no work.
	Ejected
)

// statusNames are the names in metrics and logs, some of which differ from those of
// the constants.
var statusNames = [...]string{Healthy: "good", Trial: "trial", Degraded: "doubtful", Ejected: "ejected"}

// String returns the name that metrics and logs show.
func (s Status) String() string { return statusNames[s] }

// Sample holds the speed of a target as measured by one request or report. A
// zero field is unknown.
type Sample struct {
	FirstToken time.Duration
	StepTime   time.Duration
}
