// Package quota leases the limits of an account, on requests in progress and on
// tokens per second, from one owner to the pools that admit the account's
// requests.
//
// An account with a limit of 100 sends through all entries to twenty pools. Its
// demand moves from pool to pool within seconds, while hosts crash and the
// fleet may be partitioned for an hour. If the limit were split evenly, demand
// at a single pool would leave 95 of the 100 unused. If each pool counted usage
// by gossip, the limit would be exceeded by everything that all pools start
// within one gossip round, and without bound during a partition. The account
// would be refused below its limit, or other accounts would pay for its excess.
//
// Instead, the owner of the account, selected by rendezvous hash over the
// published hosts, leases parts of the limit for a few seconds according to
// demand. The sum of the leases never exceeds the limit in the account's row of
// the table:
//
//   - A holder counts the time of a lease from before it sent the demand, the
//     owner from after it granted it. A lease therefore always expires at the
//     holder first, however late messages arrive and whichever of them are
//     lost.
//   - An owner that is new or unconfirmed (see package ownership) grants no
//     leases. By the time that it may, it has learnt what the pools have in
//     progress.
//   - A holder may have started requests up to any grant that it has received,
//     and they continue after a smaller one arrives. Its demands name the latest
//     grant that it knows; until one names the smaller grant, the owner counts
//     the largest grant that the holder may have.
//   - What a holder may have in progress when it stops renewing is counted for
//     SilentHolderGrace, because its generations are not aborted and may still
//     run.
//
// The cost of this design: during a partition, pools that cannot reach the
// owner start no requests of a limited account after their leases have expired.
// Accounts without limits are not affected. When the limit is lowered, requests
// in progress are not aborted; new leases shrink as they end. The length of a
// generation is not known in advance and it can't be refused midway, so the
// rate limits the start of generations: a holder that used more tokens than its
// rate allows starts none until the rate has made up for it.
package quota

import (
	"cmp"
	"time"

	"filbertdeck/internal/decide/ownership"
)

// Config holds the parameters of leases. A zero field means its default.
type Config struct {
	// LeaseDuration is the duration of a lease at its holder. Default 3 s: with a
	// renewal every second, the loss of one of them has no effect.
	LeaseDuration time.Duration
	// ExpiryMargin is how much longer the owner counts a lease than its holder.
	// Default 500 ms, which allows for clock rates that differ by less than a
	// tenth.
	ExpiryMargin time.Duration
	// ConfirmationTTL is how long a confirmation of the host list is valid.
	// Default 4 s; see package ownership.
	ConfirmationTTL time.Duration
	// SilentHolderGrace is how long the owner counts the requests that a holder
	// had in progress after its lease has expired. Default 60 s, longer than
	// most generations in the users' reports.
	SilentHolderGrace time.Duration
	// RateBurst is how many seconds' worth of unused rate a holder may
	// accumulate. Default 1 s.
	RateBurst time.Duration
}

const (
	defaultLeaseDuration     = 3 * time.Second
	defaultExpiryMargin      = 500 * time.Millisecond
	defaultConfirmationTTL   = 4 * time.Second
	defaultSilentHolderGrace = 60 * time.Second
	defaultRateBurst         = time.Second
)

func (c Config) withDefaults() Config {
	c.LeaseDuration = cmp.Or(c.LeaseDuration, defaultLeaseDuration)
	c.ExpiryMargin = cmp.Or(c.ExpiryMargin, defaultExpiryMargin)
	c.ConfirmationTTL = cmp.Or(c.ConfirmationTTL, defaultConfirmationTTL)
	c.SilentHolderGrace = cmp.Or(c.SilentHolderGrace, defaultSilentHolderGrace)
	c.RateBurst = cmp.Or(c.RateBurst, defaultRateBurst)
	return c
}

func (c Config) ownershipConfig() ownership.Config {
	return ownership.Config{ConfirmationTTL: c.ConfirmationTTL, ActionTTL: c.LeaseDuration + c.ExpiryMargin}
}

// Limits are the limits in an account's row; 0 means no limit.
type Limits struct {
	Running         int
	TokensPerSecond float64
}

// Demand is a holder's request for a lease. Each demand replaces the one
// before.
type Demand struct {
	Account string
	// Holder identifies the pool and the control process that admits for it.
	Holder string
	// Running is the number of requests in progress, Waiting the number that
	// the holder would start.
	Running, Waiting int
	// TokensPerSecond is the rate that the holder would use.
	TokensPerSecond float64
	// KnownSerial is the serial number of the grant in force at the holder, 0 for
	// none.
	KnownSerial uint64
}

// Release tells the owner that a holder's lease of an account has expired and
// that it has no requests of the account in progress.
type Release struct {
	Account, Holder string
	// KnownSerial is the serial number of the last grant that the holder received.
	KnownSerial uint64
}

// Grant is the answer to a demand: the holder's part of the limits.
type Grant struct {
	Account         string
	Running         int
	TokensPerSecond float64
	// LeaseDuration is the duration of the lease, counted from before the demand was
	// sent; 0 means no lease.
	LeaseDuration time.Duration
	// NotOwner is set when another process owns the account.
	NotOwner bool
	// RetryAfter is the delay before the next demand.
	RetryAfter time.Duration
	// Serial increases with each grant for this account and holder. A holder
	// uses the grant with the highest serial that it has received.
	Serial uint64
}
