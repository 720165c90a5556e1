// Package failurereports weighs what other hosts tell of failing targets.
//
// Load pattern: one target of a plain service breaks each connection while its
// health answers say that it is well, and many hosts send it a few requests a
// second between them.
//
// What happens without it: each host finds out by a request of its own, which
// may not be sent again: a few for each host, hundreds together.
//
// How it works: hosts tell each other which targets broke a request of theirs.
// One host alone proves nothing: it may be cut off from targets that are well,
// and all others would crowd the rest. A target that two others accuse within a
// few seconds is passed over while there are better ones.
//
// It is not safe for concurrent use; times are on the steady clock.
package failurereports

import "time"

const (
	// holdsFor is how long an accusation holds: as long as a host's own failure
	// counts against a target.
	holdsFor = 4 * time.Second
	// leastHosts must accuse a target before it counts.
	leastHosts = 2
	// each is added to a target's fullness for each accuser, up to most: enough
	// to take a target at half of its load in its place.
	each, most = 0.25, 0.75
)

// Tracker holds the accusations known to one host.
type Tracker struct {
	of map[string]map[string]accusation
}

type accusation struct {
	failures uint32
	at       time.Duration
}

// New returns a board without accusations.
func New() *Tracker { return &Tracker{of: map[string]map[string]accusation{}} }

// RecordFailures takes what a host tells of its failures at a target: a number that is
// another one after each failure, 0 for none.
func (b *Tracker) RecordFailures(now time.Duration, host, target string, failures uint32) {
	if failures == 0 {
		return
	}
	hosts := b.of[target]
	if hosts == nil {
		hosts = map[string]accusation{}
		b.of[target] = hosts
	}
	if hosts[host].failures != failures {
		hosts[host] = accusation{failures, now}
	}
}

// Penalty is what the accusations add to a target's fullness.
func (b *Tracker) Penalty(now time.Duration, target string) float64 {
	hosts := 0
	for _, a := range b.of[target] {
		if now-a.at < holdsFor {
			hosts++
		}
	}
	if hosts < leastHosts {
		return 0
	}
	return min(float64(hosts)*each, most)
}

// Retain drops the targets that are not known any more.
func (b *Tracker) Retain(known func(target string) bool) {
	for target := range b.of {
		if !known(target) {
			delete(b.of, target)
		}
	}
}
