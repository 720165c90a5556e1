package health

import (
	"math/bits"
	"time"
)

// outcomes is how many of the last outcomes a breaker remembers.
const outcomes = 16

// breaker opens on failures and closes after good trials.
type breaker struct {
	open bool
	// cause orders open breakers: the worst are ejected first.
	cause cause
	// until is when the next trial may begin.
	until   time.Duration
	backoff time.Duration

	inRow  int
	recent uint16
	known  int

	trial      bool
	trialBegan time.Duration
	goodTrials int
}

// cause says why a breaker opened, the milder first.
type cause int

const (
	causeSlow cause = iota + 1
	causeFailing
)

func (b *breaker) trip(now time.Duration, why cause, cfg Config, jitter float64) {
	if b.open {
		b.backoff = min(2*b.backoff, cfg.MaxOpenFor)
	} else {
		b.backoff = cfg.OpenFor
	}
	b.open, b.cause = true, why
	b.trial, b.goodTrials = false, 0
	// Up to a quarter is taken off at random, so that the allocators of a
	// fleet don't send their trials at the same moment.
	b.until = now + time.Duration(float64(b.backoff)*(1-jitter/4))
}

func (b *breaker) close() { *b = breaker{} }

// result takes an outcome and tells whether it should open the breaker.
func (b *breaker) result(ok bool, cfg Config) bool {
	b.recent <<= 1
	b.known = min(b.known+1, outcomes)
	if ok {
		b.inRow = 0
		return false
	}
	b.inRow++
	b.recent |= 1
	failed := bits.OnesCount16(b.recent)
	often := b.known == outcomes && float64(failed) >= cfg.FailureShare*outcomes
	return b.inRow >= cfg.Failures || often
}

// mayTry tells whether an open breaker lets a trial through.
func (b *breaker) mayTry(now time.Duration, cfg Config) bool {
	busy := b.trial && now-b.trialBegan < cfg.TrialFor
	return now >= b.until && !busy
}

func (b *breaker) tried(now time.Duration, ok bool, cfg Config, jitter float64) {
	b.trial = false
	if !ok {
		b.trip(now, b.cause, cfg, jitter)
		return
	}
	b.goodTrials++
	if b.goodTrials >= cfg.Trials {
		b.close()
	}
}
