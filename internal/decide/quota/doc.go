// Package quota leases an account's limits, of requests in progress and of
// tokens a second, from one owner to the pools that admit its requests.
//
// Load pattern: an account with a limit of 100 sends through all entries to
// twenty pools; its demand moves from pool to pool within seconds, while hosts
// die and the fleet is split for an hour.
//
// What happens without it: a limit split evenly leaves 95 places idle when the
// demand is at one pool; a limit that each pool counts by gossip is exceeded by
// what all of them start within one round, and without bound in a split. The
// account is refused below its limit, or another pays for its surplus.
//
// How it works: the owner of the account (by rendezvous hash over the
// published hosts) leases parts of the row's limit for seconds, by demand, and
// their sum never exceeds the row:
//
//   - A holder counts a lease from before it asked, the owner from after it
//     granted, so a lease ends at the holder first, whatever is lost or late.
//   - An owner that is new or not confirmed (package ownership) leases nothing.
//     It has learnt by then what the pools run.
//   - A holder may have started requests up to any grant that it has received,
//     and they run on after a smaller one. Its demands say which grant it knows;
//     until then the largest one that is under way counts.
//   - What a holder may have in progress when it falls silent stays counted for
//     LingerFor: its generations are not cut, and may still run.
//
// What it costs: in a split, pools that can't reach the owner start nothing of
// a limited account once their leases are over. Accounts without limits take
// no part. When the row is lowered, what runs is not cut; new leases shrink as
// it ends. Tokens of unknown number can't be refused in mid-generation, so the
// rate bounds the start of generations: a holder that overdrew starts none
// until its debt is paid.
package quota

import (
	"cmp"
	"time"

	"filbertdeck/internal/decide/ownership"
)

// Config holds the figures; the zero value of a field means its default.
type Config struct {
	// LeaseDuration is the life of a lease at its holder. Default 3 s: long enough
	// that one lost renewal of one a second costs nothing.
	LeaseDuration time.Duration
	// Margin is how much longer the owner counts a lease. Default 500 ms, for
	// clocks of the two that run at rates apart by less than a tenth.
	Margin time.Duration
	// ConfirmFor is how long one confirmation of the host list counts. Default
	// 4 s, see package ownership.
	ConfirmFor time.Duration
	// LingerFor is how long the owner counts what a silent holder had in
	// progress. Default 60 s, most generations of the users' reports.
	LingerFor time.Duration
	// RateBurst is how much of its rate a holder may save up. Default 1 s.
	RateBurst time.Duration
}

const (
	defaultLeaseFor   = 3 * time.Second
	defaultMargin     = 500 * time.Millisecond
	defaultConfirmFor = 4 * time.Second
	defaultLingerFor  = 60 * time.Second
	defaultRateBurst  = time.Second
)

func (c Config) withDefaults() Config {
	c.LeaseDuration = cmp.Or(c.LeaseDuration, defaultLeaseFor)
	c.Margin = cmp.Or(c.Margin, defaultMargin)
	c.ConfirmFor = cmp.Or(c.ConfirmFor, defaultConfirmFor)
	c.LingerFor = cmp.Or(c.LingerFor, defaultLingerFor)
	c.RateBurst = cmp.Or(c.RateBurst, defaultRateBurst)
	return c
}

func (c Config) tenure() ownership.Config {
	return ownership.Config{ConfirmationTTL: c.ConfirmFor, ActionTTL: c.LeaseDuration + c.Margin}
}

// Limits are a row's limits; 0 means none.
type Limits struct {
	Running         int
	TokensPerSecond float64
}

// Demand is what a holder asks for. Each demand replaces the one before.
type Demand struct {
	Account string
	// Holder names the pool and the process that admits for it.
	Holder string
	// Running is what it has in progress, Waiting what it would start.
	Running, Waiting int
	// TokensPerSecond is the rate that it would use.
	TokensPerSecond float64
	// KnownSerial is the serial number of the grant that it acts on, 0 for none.
	KnownSerial uint64
}

// Release tells the owner that a holder's lease of an account is over and that
// it runs nothing of it.
type Release struct {
	Account, Holder string
	// KnownSerial is the serial number of the last grant that the holder received.
	KnownSerial uint64
}

// Grant answers a demand: the holder's part of the limits.
type Grant struct {
	Account         string
	Running         int
	TokensPerSecond float64
	// LeaseDuration counts from before the demand was sent; 0 means no lease.
	LeaseDuration time.Duration
	// NotOwner says that another process owns the account.
	NotOwner bool
	// RetryAfter is when to ask again.
	RetryAfter time.Duration
	// Serial rises with each grant for this account and holder. A holder acts
	// on the highest one that it has received.
	Serial uint64
}
