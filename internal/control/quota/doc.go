// Package quota keeps the limits of client accounts over the whole fleet. It
// runs what internal/decide/quota decides: one holder for each pool that runs
// here, which asks for parts of the limits, and one owner, which leases the
// limits of the accounts that the published list gives to this process.
//
// Without it each pool applies the row's max_running by itself, and an account
// runs as many times its limit as there are pools that it reaches; nobody
// applies tokens_per_second at all.
//
// Messages: every pool's demands go out once a second, those for the same owner
// in one call. Between these rounds only accounts whose requests wait are asked
// for. A node talks to the owners of the accounts that are active in its pools,
// so its cost grows with these and neither with the table nor with the fleet.
//
// Every call has a timeout, and one that runs into it closes its connection:
// something between the two hosts may have lost track of it, and a new one
// works. Until an answer comes the lease in force goes on to its end; then the
// account's requests wait in the pool's queue.
//
// What isn't kept: a generation whose entry died runs on at its engine for the
// engine's grace time, uncounted. A pool that moved to another process is counted
// at both for ten seconds, for a minute when its process died, so that the
// account gets less than its row meanwhile.
package quota
