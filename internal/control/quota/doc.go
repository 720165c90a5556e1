// Package quota enforces the limits of client accounts across the fleet. It
// applies the decisions of internal/decide/quota: one holder for each pool that
// runs here, which requests parts of the limits, and one owner, which leases the
// limits of the accounts that the published list assigns to this process.
//
// Without it each pool would apply the row's max_running by itself, so that an
// account could run its limit in every pool that it reaches, and nothing would
// apply tokens_per_second.
//
// The demands of all pools are sent once a second, in one call for each owner.
// Between these rounds only accounts with waiting requests ask. A node talks to
// the owners of the accounts that are active in its pools, so its cost grows
// with these accounts, not with the table or the fleet.
//
// Every call has a timeout. A call that exceeds it closes its connection:
// something between the two hosts may have lost the connection's state, and a
// new connection works. Without an answer the lease in force stays valid until
// it expires; then the account's requests wait in the pool's queue.
//
// The limits are not exact in two cases. A generation whose entry died continues
// at its engine for the engine's grace time without being counted. A pool that
// moves to another process is counted at both for ten seconds, or for a minute
// if its process died, so that the account gets less than its limit meanwhile.
package quota
