// Package membership detects which control processes are alive, with a protocol
// in the manner of SWIM: each process probes a few others, asks relays to probe
// those that do not answer, and sends member updates along with the probes. It
// is a pure state machine: ticks, answers and peers' updates go in, actions for
// the network come out. It has no clock, no goroutine and no network; time is
// an argument, counted from the start of the process.
//
// It tolerates processes that die, pause and resume late, are replaced at the
// same address, or are cut off from each other while both sides keep running.
// The published list of hosts does not suffice for this: it names dead hosts
// for a while and new ones too late, so a process that relied on it would ask a
// dead allocator until the list catches up. If every process probed every
// other, each of 3,300 nodes would need 3,300 connections.
//
// Invariants:
//
//   - Updates of a member are ordered by incarnation, then by state (alive,
//     suspect, dead, left). A record only moves up in that order, so updates
//     may arrive late, twice and in any order, and all processes converge on
//     the same state.
//   - Only a process itself raises its incarnation. It does so when it hears
//     that others believe it suspect or dead, or know a higher incarnation at
//     its address. This is how a process that was paused or cut off comes back.
//   - A member of the published list that never answered is probed, but neither
//     counted as alive nor reported to others.
//   - Each process probes only its neighbours: its successors on a few hash
//     rings over all members (an expander graph of fixed degree). The
//     connections, messages and bytes of one node are the same in a fleet of 30
//     and of 3,300; only the member list itself grows.
package membership
