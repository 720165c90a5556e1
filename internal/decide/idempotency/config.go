package idempotency

import (
	"time"
)

// Config holds the limits of a registry. A zero field means its default.
type Config struct {
	Self Process
	// MaxConfirmationAge is the maximum age of the last confirmation of the
	// host list at which this process may still run calls with callers' keys.
	MaxConfirmationAge time.Duration
	// MaxWriteDelay is the maximum time that a process needs from its last
	// check to the first byte on the wire.
	MaxWriteDelay time.Duration
	// MaxClockSkew is the maximum difference between the wall clocks of two
	// hosts.
	MaxClockSkew time.Duration
	// MaxFutureTimestamp is how far in the future the timestamp of a UUIDv7 may
	// be.
	MaxFutureTimestamp time.Duration
	// TimeOrderedTTL is how long a UUIDv7 key is valid after its timestamp.
	TimeOrderedTTL time.Duration
	// OpaqueTTL is how long a caller may use an opaque key after its first
	// attempt.
	OpaqueTTL time.Duration
	// MintedTTL is how long a minted key is valid.
	MintedTTL time.Duration
	// MaxKeys limits the number of keys on record, MaxTotalAnswerBytes the size
	// of all recorded answers together, and MaxBytesPerAnswer the size of one
	// recorded answer.
	MaxKeys, MaxTotalAnswerBytes, MaxBytesPerAnswer int
}

// Defaults for the fields of Config.
const (
	// DefaultMaxConfirmationAge is three times the one-second interval of
	// confirmations, which tolerates one lost answer and its retry.
	DefaultMaxConfirmationAge = 3 * time.Second
	// DefaultMaxWriteDelay is generous: the write follows the check within
	// microseconds, and garbage collection or a busy processor adds up to tens
	// of milliseconds.
	DefaultMaxWriteDelay = 2 * time.Second
	// DefaultMaxClockSkew allows for hosts with time synchronization, which
	// differ by milliseconds.
	DefaultMaxClockSkew = 500 * time.Millisecond
	// DefaultMaxFutureTimestamp tolerates callers' clocks that run slightly
	// fast.
	DefaultMaxFutureTimestamp = 2 * time.Second
	// DefaultKeyTTL is long enough for a technician to drive back into network
	// coverage.
	DefaultKeyTTL = 15 * time.Minute
	// DefaultMaxKeys and DefaultMaxBytesPerAnswer do not bound memory use:
	// booking answers have a few hundred bytes, so DefaultMaxKeys answers of
	// the maximum size do not occur. DefaultMaxTotalAnswerBytes bounds it.
	DefaultMaxKeys             = 20_000
	DefaultMaxTotalAnswerBytes = 16 << 20
	DefaultMaxBytesPerAnswer   = 64 << 10
)

func (c Config) withDefaults() Config {
	setDefaultDuration := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	setDefaultInt := func(n *int, v int) {
		if *n == 0 {
			*n = v
		}
	}
	setDefaultDuration(&c.MaxConfirmationAge, DefaultMaxConfirmationAge)
	setDefaultDuration(&c.MaxWriteDelay, DefaultMaxWriteDelay)
	setDefaultDuration(&c.MaxClockSkew, DefaultMaxClockSkew)
	setDefaultDuration(&c.MaxFutureTimestamp, DefaultMaxFutureTimestamp)
	setDefaultDuration(&c.TimeOrderedTTL, DefaultKeyTTL)
	setDefaultDuration(&c.OpaqueTTL, DefaultKeyTTL)
	setDefaultDuration(&c.MintedTTL, DefaultKeyTTL)
	setDefaultInt(&c.MaxKeys, DefaultMaxKeys)
	setDefaultInt(&c.MaxTotalAnswerBytes, DefaultMaxTotalAnswerBytes)
	setDefaultInt(&c.MaxBytesPerAnswer, DefaultMaxBytesPerAnswer)
	return c
}

// handoverDelay is how long after a change of owner the previous owner may
// still be sending calls.
func (c Config) handoverDelay() time.Duration { return c.MaxConfirmationAge + c.MaxWriteDelay }
