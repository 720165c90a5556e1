// Package brittle limits what the hosts send to targets that fall over when they have
// to turn away too many requests in a second.
//
// Such a target says so in its answers, with the number of requests a second that it
// can turn away. That number holds for all hosts together, and no host knows what the
// others are sending. So hosts do not spend it: the places of the target are divided
// among the hosts, by their rank for it, and a host sends only while it has a place
// free. A host without one borrows a place for one request from a host that has some.
// What is still turned away, because the target has less room than it says, makes the
// host that sent it pause.
//
// Types in this package are not safe for concurrent use. Times are on the monotonic
// clock.
package brittle

import (
	"slices"
	"time"

	"filbertdeck/internal/decide/coldlimit"
	"filbertdeck/internal/directory"
)

const (
	// retention is how long a target counts as brittle after its last answer that said
	// so.
	retention = 2 * time.Minute
	// announceInterval is the interval at which an unchanged statement is passed on.
	// All targets of a large service may be brittle at once, and every host hears of
	// each.
	announceInterval = retention / 2
	// pause is how long a host sends nothing to a target that turned its request
	// away: as long as the span in which the target counts.
	pause = time.Second
	// maxHostsPerSlot is the number of hosts for each place up to which each place
	// belongs to another host. In larger fleets fewHolders hosts have them all, since
	// most requests borrow a place and a host with several of them has one free more
	// often.
	maxHostsPerSlot = 2
	fewHolders      = 3
	// leaseTime is how long a place is lent that is not returned. Requests of plain
	// services take some ten milliseconds.
	leaseTime = time.Second
	// unusedTime is how long a borrowed place may wait for its request.
	unusedTime = leaseTime / 4
	// busyWait is the time after which a place is likely to be free.
	busyWait = 100 * time.Millisecond
)

// Statement is what a target said of itself in an answer.
type Statement struct {
	Brittle bool
	// StartedUnixMilli is the start of the lifetime in which the target said so.
	StartedUnixMilli int64
	// Slots is the number of requests that the target runs at once.
	Slots int
	// At is the time of the answer.
	At time.Duration
}

// Tracker holds the brittle targets known to one host.
type Tracker struct{ targets map[string]*target }

type target struct {
	latest      Statement
	announcedAt time.Duration
	pausedUntil time.Duration
	// lent holds the ends of the leases of this host's places.
	lent []time.Duration
	// borrowed holds the places of other hosts that wait for a request here,
	// onBorrowed is the number of those with a request.
	borrowed   []borrowedPlace
	onBorrowed int
}

// borrowedPlace is a place that another host lent to this one.
type borrowedPlace struct {
	lender string
	until  time.Duration
}

// New returns a tracker that knows no brittle targets.
func New() *Tracker { return &Tracker{targets: map[string]*target{}} }

// Observe records what a target said of itself in an answer to this host. It reports
// whether that should be passed on to other hosts.
func (t *Tracker) Observe(id string, said Statement) (announce bool) {
	s := t.targets[id]
	if s == nil && !said.Brittle {
		return false
	}
	changed := s == nil || s.latest.StartedUnixMilli != said.StartedUnixMilli || s.latest.Brittle != said.Brittle
	s = t.set(id, said)
	if !changed && (!said.Brittle || said.At-s.announcedAt < announceInterval) {
		return false
	}
	s.announcedAt = said.At
	return true
}

// Merge records what a target said to another host. Older statements are ignored.
func (t *Tracker) Merge(id string, said Statement) {
	s := t.targets[id]
	if s == nil && !said.Brittle || s != nil && said.At <= s.latest.At {
		return
	}
	t.set(id, said).announcedAt = said.At
}

func (t *Tracker) set(id string, said Statement) *target {
	s := t.targets[id]
	if s == nil || s.latest.StartedUnixMilli != said.StartedUnixMilli {
		s = &target{}
		t.targets[id] = s
	}
	s.latest = said
	return s
}

// current returns the state of a target that is brittle, nil for any other. A target
// that has restarted is not brittle until it says so.
func (t *Tracker) current(now time.Duration, lifetime directory.Lifetime) *target {
	s := t.targets[lifetime.TargetID]
	if s == nil || !s.latest.Brittle || s.latest.StartedUnixMilli != lifetime.StartedUnixMilli || now-s.latest.At >= retention {
		return nil
	}
	return s
}

// IsBrittle reports whether a target is brittle.
func (t *Tracker) IsBrittle(now time.Duration, lifetime directory.Lifetime) bool {
	return t.current(now, lifetime) != nil
}

// Count returns the number of brittle targets.
func (t *Tracker) Count(now time.Duration) int {
	n := 0
	for id, s := range t.targets {
		if t.IsBrittle(now, s.lifetime(id)) {
			n++
		}
	}
	return n
}

// HolderCount returns the number of hosts that have places of a target with the given
// number of slots.
func HolderCount(slots, hosts int) int {
	if hosts <= maxHostsPerSlot*slots {
		return max(min(hosts, slots), 1)
	}
	return max(min(fewHolders, slots), 1)
}

// Host says which part of a target's places a host has, and how many of them it uses.
type Host struct {
	// Rank is the host's rank for the target among Hosts hosts.
	Rank, Hosts int
	// InUse is the number of the host's requests at the target.
	InUse int
}

// places returns the number of a target's slots that belong to the host.
func (h Host) places(slots int) int {
	holders := HolderCount(slots, h.Hosts)
	if h.Rank >= holders {
		return 0
	}
	return coldlimit.SendQuota(float64(max(slots, 1)), h.Rank, holders)
}

// Allows reports whether this host may send one more request to a target now.
func (t *Tracker) Allows(now time.Duration, lifetime directory.Lifetime, h Host) bool {
	s := t.current(now, lifetime)
	return s == nil || now >= s.pausedUntil && (s.hasOwnPlace(now, h) || s.hasBorrowed(now))
}

// hasOwnPlace reports whether one of the host's own places is free.
func (s *target) hasOwnPlace(now time.Duration, h Host) bool {
	s.lent = slices.DeleteFunc(s.lent, func(end time.Duration) bool { return end <= now })
	return h.InUse-s.onBorrowed+len(s.lent) < h.places(s.latest.Slots)
}

// hasBorrowed reports whether a borrowed place waits for a request.
func (s *target) hasBorrowed(now time.Duration) bool {
	s.borrowed = slices.DeleteFunc(s.borrowed, func(p borrowedPlace) bool { return p.until <= now })
	return len(s.borrowed) > 0
}

// TakePlace takes a place for a request that is about to be sent to a target. It
// returns the host to which the place must be returned after the request, empty for
// none.
func (t *Tracker) TakePlace(now time.Duration, id string, h Host) (lender string) {
	s := t.targets[id]
	if s == nil || s.hasOwnPlace(now, h) || !s.hasBorrowed(now) {
		return ""
	}
	lender = s.borrowed[0].lender
	s.borrowed = s.borrowed[1:]
	s.onBorrowed++
	return lender
}

// EndBorrowed records the end of a request on a borrowed place.
func (t *Tracker) EndBorrowed(id string) {
	if s := t.targets[id]; s != nil && s.onBorrowed > 0 {
		s.onBorrowed--
	}
}

// IsPaused reports whether this host sends nothing to a target, since it has just
// turned a request of this host away.
func (t *Tracker) IsPaused(now time.Duration, lifetime directory.Lifetime) bool {
	s := t.current(now, lifetime)
	return s != nil && now < s.pausedUntil
}

// Slots returns the number of requests that a brittle target runs at once; false for
// any other target.
func (t *Tracker) Slots(now time.Duration, id string) (int, bool) {
	s := t.targets[id]
	if s == nil || t.current(now, s.lifetime(id)) == nil {
		return 0, false
	}
	return s.latest.Slots, true
}

func (s *target) lifetime(id string) directory.Lifetime {
	return directory.Lifetime{TargetID: id, StartedUnixMilli: s.latest.StartedUnixMilli}
}

// Lend lends a place to another host. It reports whether there was one.
func (t *Tracker) Lend(now time.Duration, id string, h Host) bool {
	s := t.targets[id]
	if s == nil {
		return false
	}
	lifetime := s.lifetime(id)
	if !t.IsBrittle(now, lifetime) || !t.Allows(now, lifetime, h) {
		return false
	}
	s.lent = append(s.lent, now+leaseTime)
	return true
}

// RecordReturned records that another host returned a place.
func (t *Tracker) RecordReturned(id string) {
	if s := t.targets[id]; s != nil && len(s.lent) > 0 {
		s.lent = s.lent[1:]
	}
}

// AddBorrowed adds a place that another host lent for one request.
func (t *Tracker) AddBorrowed(now time.Duration, id, lender string) {
	if s := t.targets[id]; s != nil {
		s.borrowed = append(s.borrowed, borrowedPlace{lender, now + unusedTime})
	}
}

// RecordTurnedAway records that a target turned a request of this host away.
func (t *Tracker) RecordTurnedAway(now time.Duration, lifetime directory.Lifetime) {
	if s := t.current(now, lifetime); s != nil {
		s.pausedUntil = now + pause
	}
}

// Wait returns the time until this host may find a place at a target, as far as it is
// known.
func (t *Tracker) Wait(now time.Duration, id string) time.Duration {
	s := t.targets[id]
	if s == nil || !t.IsBrittle(now, s.lifetime(id)) {
		return 0
	}
	return max(s.pausedUntil-now, busyWait)
}

// Retain removes the targets for which known returns false.
func (t *Tracker) Retain(known func(id string) bool) {
	for id := range t.targets {
		if !known(id) {
			delete(t.targets, id)
		}
	}
}
