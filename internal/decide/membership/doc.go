// Package membership decides which control processes are alive, by probes and
// by what peers tell, in the manner of SWIM. It is a pure state machine:
// ticks, answers and peers' news go in, actions for the network come out. It
// has no clock, no goroutine and no network; time is an argument, counted
// from any fixed start.
//
// Faults it answers: processes die, pause and wake late, are replaced at the
// same address, and are split from each other while both sides go on; the
// published list of hosts names the dead for a while and the new too late. A
// naive process trusts that list, and asks an allocator that is gone until the
// list catches up; or it lets each process probe each other, which costs each
// of 3,300 nodes 3,300 connections.
//
// Contract:
//   - What is known of a member is ordered by incarnation, then by state
//     (alive, suspect, dead, left). A core only moves up in that order, so
//     that news may come late, twice and in any order, and all cores settle on
//     the same.
//   - Only a process itself raises its incarnation. It does so when it hears
//     that others take it for dead: that is how a process that was paused or
//     cut off comes back.
//   - A member of the published list that never answered is probed, and
//     neither counted as alive nor told to others.
//   - Each core probes only its neighbours: its successors on a few hash rings
//     over all members (an expander graph of fixed degree). Connections,
//     messages and bytes of one node are the same in a fleet of 30 and of
//     3,300; only the list of members itself grows.
package membership
