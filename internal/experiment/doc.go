// Package experiment compares the admission allocator with simpler baseline
// policies in a discrete-time simulation, without a network and with a
// simulated clock.
//
// Engines are the state machines of package model, which the stand-in processes
// run too. A loop with a step of one millisecond simulates the callers, the
// network between the processes (fixed delays) and the delayed load reports of
// the engines. All policies of a scenario get the same arrivals, request
// lengths and faults, which are generated from the seed. The results describe
// what callers observe: tokens, gaps between tokens, responses and refusals.
//
// The package evaluates the admission decisions of one or two pools. It does
// not simulate a cluster: entries, gossip, failover of allocators and network
// faults are left out.
package experiment
