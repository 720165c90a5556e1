package idempotency

import (
	"time"
)

// Config holds the bounds; the zero value of a field means its default.
type Config struct {
	Self Process
	// Freshness is the age past which a confirmation of the host list no
	// longer lets this process run callers' keys.
	Freshness time.Duration
	// Margin is the time that a process needs at most from its last check to
	// the first byte on the wire.
	Margin time.Duration
	// ClockError bounds the difference of two hosts' wall clocks.
	ClockError time.Duration
	// AheadLimit is how far in the future a UUIDv7 may lie.
	AheadLimit time.Duration
	// OrderedLife is the life of a UUIDv7 key, from its stamp.
	OrderedLife time.Duration
	// OpaqueWindow is how long a caller may use an opaque key.
	OpaqueWindow time.Duration
	// MintedLife is the life of a minted key.
	MintedLife time.Duration
	// MaxKeys and MaxAnswerBytes bound the record; MaxAnswer one answer.
	MaxKeys, MaxAnswerBytes, MaxAnswer int
}

// The defaults and their grounds.
const (
	// DefaultFreshness: watches are confirmed every second; three times that
	// rides out one lost answer and its retry.
	DefaultFreshness = 3 * time.Second
	// DefaultMargin: the write follows the check by microseconds; a garbage
	// collection or a busy processor adds up to tens of milliseconds.
	DefaultMargin = 2 * time.Second
	// DefaultClockError: hosts with a time service differ by milliseconds.
	DefaultClockError = 500 * time.Millisecond
	// DefaultAheadLimit lets callers' clocks run ahead a little.
	DefaultAheadLimit = 2 * time.Second
	// DefaultLife is long enough for a technician to drive back into coverage.
	DefaultLife = 15 * time.Minute
	// DefaultMaxKeys times DefaultMaxAnswer is not reached: bookings answer in
	// some hundred bytes; the byte bound is what holds.
	DefaultMaxKeys        = 20_000
	DefaultMaxAnswerBytes = 16 << 20
	DefaultMaxAnswer      = 64 << 10
)

func (c Config) withDefaults() Config {
	orDuration := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	orInt := func(n *int, v int) {
		if *n == 0 {
			*n = v
		}
	}
	orDuration(&c.Freshness, DefaultFreshness)
	orDuration(&c.Margin, DefaultMargin)
	orDuration(&c.ClockError, DefaultClockError)
	orDuration(&c.AheadLimit, DefaultAheadLimit)
	orDuration(&c.OrderedLife, DefaultLife)
	orDuration(&c.OpaqueWindow, DefaultLife)
	orDuration(&c.MintedLife, DefaultLife)
	orInt(&c.MaxKeys, DefaultMaxKeys)
	orInt(&c.MaxAnswerBytes, DefaultMaxAnswerBytes)
	orInt(&c.MaxAnswer, DefaultMaxAnswer)
	return c
}

// holdOff is how long after a change of owner nobody can tell whether the old
// owner has stopped.
func (c Config) holdOff() time.Duration { return c.Freshness + c.Margin }
