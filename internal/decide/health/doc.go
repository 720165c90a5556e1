// Package health finds slow and failing targets of a pool and keeps work away
// from them while they are so.
//
// Load pattern: one of four targets runs at a fifth of its speed (a hot
// accelerator, a noisy neighbour, a failing link) or answers with errors at
// once, while the others are full. Its queue looks short, or its answers come
// quickly, since they are errors.
//
// What happens without it: least-connections sends the failing target most of
// the work, because it is rid of it soonest. The slow one keeps a quarter of
// all requests, and the slowest quarter decides what the tail of stall time
// and of the gaps between tokens looks like. One sees a p95 several times the
// median while the mean looks well.
//
// How it works: a target is compared with the median of the other targets of
// its pool, which run the same model under the same load, so that a busy hour
// or a long prompt mix makes nobody slow. A breaker per target opens on
// failures or slowness, lets single trial requests through after a back-off
// and closes after some good ones. At most MaxEjected of a pool is ejected; a
// further bad target is Doubtful: it is used when no good one has room. Else a
// fault common to all (a bad service revision, our own link) would take the
// whole pool away, and the few that stay would fall over.
package health

import (
	"cmp"
	"time"
)

// Config holds the figures of a pool; the zero value of a field means its
// default.
type Config struct {
	// SlowFactor is how many times the median of the others a target's first
	// token or step time has to be. Default 3: batches of different sizes
	// explain a factor of two.
	SlowFactor float64
	// SlowFloor is the least difference that counts. Default 20 ms, a third of
	// the 61 ms between tokens that the users aim for: a lookup of 3 ms among
	// lookups of 1 ms harms nobody.
	SlowFloor time.Duration
	// MinSamples have to be known of a target, and of another one, before they
	// are compared. Default 8.
	MinSamples int
	// Failures in a row open the breaker. Default 5.
	Failures int
	// FailureShare of the last outcomes opens it too. Default 0.5, over the
	// last 16 outcomes.
	FailureShare float64
	// OpenFor is the first back-off; it doubles up to MaxOpenFor. Defaults 1 s
	// and 30 s: a restart takes seconds, and a trial costs one request.
	OpenFor, MaxOpenFor time.Duration
	// Trials that have to go well in a row close the breaker. Default 3.
	Trials int
	// TrialFor is how long an unfinished trial blocks the next. Default 10 s.
	TrialFor time.Duration
	// MaxEjected is the share of the pool that may be ejected, rounded down,
	// but one of two or more. Default 0.34: one of a pool of four, since the
	// others must carry its work.
	MaxEjected float64
}

const (
	defaultSlowFactor   = 3
	defaultSlowFloor    = 20 * time.Millisecond
	defaultMinSamples   = 8
	defaultFailures     = 5
	defaultFailureShare = 0.5
	defaultOpenFor      = time.Second
	defaultMaxOpenFor   = 30 * time.Second
	defaultTrials       = 3
	defaultTrialFor     = 10 * time.Second
	defaultMaxEjected   = 0.34
)

func (c Config) withDefaults() Config {
	c.SlowFactor = cmp.Or(c.SlowFactor, defaultSlowFactor)
	c.SlowFloor = cmp.Or(c.SlowFloor, defaultSlowFloor)
	c.MinSamples = cmp.Or(c.MinSamples, defaultMinSamples)
	c.Failures = cmp.Or(c.Failures, defaultFailures)
	c.FailureShare = cmp.Or(c.FailureShare, defaultFailureShare)
	c.OpenFor = cmp.Or(c.OpenFor, defaultOpenFor)
	c.MaxOpenFor = cmp.Or(c.MaxOpenFor, defaultMaxOpenFor)
	c.Trials = cmp.Or(c.Trials, defaultTrials)
	c.TrialFor = cmp.Or(c.TrialFor, defaultTrialFor)
	c.MaxEjected = cmp.Or(c.MaxEjected, defaultMaxEjected)
	return c
}

// Status says what a target may be given.
type Status int

// The standings. A picker gives a Trial target the next request that may be
// repeated or moved (BeginTrial books it), else takes Healthy targets, Degraded
// ones only when no good one has room, and never Ejected ones.
const (
	// Healthy targets take work.
	Healthy Status = iota
	// Trial targets are open, and one request may show whether they recovered.
	Trial
	// Degraded targets are as bad as ejected ones, but too many are.
	Degraded
	// Ejected targets take no work.
	Ejected
)

var standingNames = [...]string{Healthy: "good", Trial: "trial", Degraded: "doubtful", Ejected: "ejected"}

// String names the standing as counters and logs show it.
func (s Status) String() string { return standingNames[s] }

// Sample is what one request, or one report, showed of a target's speed; a
// zero field is unknown.
type Sample struct {
	FirstToken time.Duration
	StepTime   time.Duration
}
