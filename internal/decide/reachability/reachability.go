// Package reachability tells whether a host has lost its paths to the targets of a
// service, or whether single targets are gone.
//
// A host that is partitioned from the targets sees what it would see if they had
// crashed. What differs is how many fail: targets crash one by one or in groups, while
// connections to others succeed. So a service counts as lost when connections to
// several of its targets fail in a row and none succeeds in between.
//
// Types in this package are not safe for concurrent use. Times are on the monotonic
// clock.
package reachability

import (
	"maps"
	"slices"
	"time"
)

const (
	// minUnreached is the number of targets that must fail before a service counts as
	// lost.
	minUnreached = 2
	// failureTTL is how long a failed connection counts. A target that crashed is back
	// after some seconds.
	failureTTL = 5 * time.Second
)

// Tracker holds which targets of each service a host failed to reach.
type Tracker struct{ services map[string]*service }

type service struct {
	// unreached holds the targets that could not be reached since the last successful
	// connection to any target of the service, with the time of the last failure.
	unreached map[string]time.Duration
	lost      bool
	lostAt    time.Duration
	reached   bool
	reachedAt time.Duration
}

// New returns a tracker that has seen no connections.
func New() *Tracker { return &Tracker{services: map[string]*service{}} }

func (t *Tracker) service(name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{unreached: map[string]time.Duration{}}
		t.services[name] = s
	}
	return s
}

// RecordReached records a connection to a target of a service. It reports whether the
// service was lost until then, and for how long.
func (t *Tracker) RecordReached(now time.Duration, name string) (lostFor time.Duration, regained bool) {
	s := t.service(name)
	lostFor, regained = now-s.lostAt, s.lost
	*s = service{unreached: s.unreached, reached: true, reachedAt: now}
	clear(s.unreached)
	return lostFor, regained
}

// RecordUnreached records that a target of a service, which has the given number of
// targets, could not be reached. It reports whether the service is lost by that.
func (t *Tracker) RecordUnreached(now time.Duration, name, target string, targets int) (lost bool) {
	s := t.service(name)
	maps.DeleteFunc(s.unreached, func(_ string, at time.Duration) bool { return now-at >= failureTTL })
	s.unreached[target] = now
	if s.lost || len(s.unreached) < min(minUnreached, targets) {
		return false
	}
	s.lost, s.lostAt = true, now
	return true
}

// IsLost reports whether the host has lost a service's targets.
func (t *Tracker) IsLost(name string) bool {
	s := t.services[name]
	return s != nil && s.lost
}

// ReachedSince reports whether a target of a service was reached at or after a time.
func (t *Tracker) ReachedSince(name string, at time.Duration) bool {
	s := t.services[name]
	return s != nil && s.reached && s.reachedAt >= at
}

// Lost returns the lost services, sorted by name.
func (t *Tracker) Lost() []string {
	var lost []string
	for name, s := range t.services {
		if s.lost {
			lost = append(lost, name)
		}
	}
	slices.Sort(lost)
	return lost
}

// Retain removes the services for which known returns false.
func (t *Tracker) Retain(known func(name string) bool) {
	maps.DeleteFunc(t.services, func(name string, _ *service) bool { return !known(name) })
}
