package health

import (
	"math/bits"
	"time"
)

// outcomeWindow is the number of recent outcomes that a breaker remembers.
const outcomeWindow = 16

// breaker is a circuit breaker. It opens on failures or slowness and closes
// after successful trials.
type breaker struct {
	open bool
	// cause orders open breakers: targets with the worst cause are ejected
	// first.
	cause cause
	// nextTrialAt is when the next trial may start.
	nextTrialAt time.Duration
	backoff     time.Duration

	consecutiveFailures int
	recentFailures      uint16
	knownOutcomes       int

	trialRunning     bool
	trialStartedAt   time.Duration
	successfulTrials int
}

// cause is why a breaker opened, in order of severity.
type cause int

const (
	causeSlow cause = iota + 1
	causeFailing
)

func (b *breaker) trip(now time.Duration, c cause, cfg Config, jitter float64) {
	if b.open {
		b.backoff = min(2*b.backoff, cfg.MaxBackoff)
	} else {
		b.backoff = cfg.InitialBackoff
	}
	b.open, b.cause = true, c
	b.trialRunning, b.successfulTrials = false, 0
	// Up to a quarter of the back-off is removed at random, so that the
	// allocators of a fleet don't start their trials at the same moment.
	b.nextTrialAt = now + time.Duration(float64(b.backoff)*(1-jitter/4))
}

func (b *breaker) close() { *b = breaker{} }

// recordOutcome records an outcome and reports whether it should open the
// breaker.
func (b *breaker) recordOutcome(ok bool, cfg Config) bool {
	b.recentFailures <<= 1
	b.knownOutcomes = min(b.knownOutcomes+1, outcomeWindow)
	if ok {
		b.consecutiveFailures = 0
		return false
	}
	b.consecutiveFailures++
	b.recentFailures |= 1
	failures := bits.OnesCount16(b.recentFailures)
	tooManyFailures := b.knownOutcomes == outcomeWindow && float64(failures) >= cfg.FailureShare*outcomeWindow
	return b.consecutiveFailures >= cfg.ConsecutiveFailures || tooManyFailures
}

// trialAllowed reports whether an open breaker lets a trial through.
func (b *breaker) trialAllowed(now time.Duration, cfg Config) bool {
	trialPending := b.trialRunning && now-b.trialStartedAt < cfg.TrialTimeout
	return now >= b.nextTrialAt && !trialPending
}

func (b *breaker) recordTrial(now time.Duration, ok bool, cfg Config, jitter float64) {
	b.trialRunning = false
	if !ok {
		b.trip(now, b.cause, cfg, jitter)
		return
	}
	b.successfulTrials++
	if b.successfulTrials >= cfg.SuccessfulTrials {
		b.close()
	}
}
