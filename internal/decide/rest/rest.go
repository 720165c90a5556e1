// Package rest remembers which targets asked this host for a rest.
//
// A target that sheds load turns requests away and says for how long it wants
// nothing from the host that sent them. It then looks idle and healthy, so that
// its load and its failures lead requests back to it long before that time, and
// it sheds again.
//
// A rest concerns the host that was asked; the target asks each host itself. It
// ends at the latest time that the target named, whatever the target answers
// meanwhile, or with the target's lifetime.
//
// Types in this package are not safe for concurrent use. Times are on the
// monotonic clock.
package rest

import (
	"time"

	"filbertdeck/internal/directory"
)

// Tracker holds the rests that targets asked one host for.
type Tracker struct{ byTarget map[string]rest }

type rest struct {
	lifetime directory.Lifetime
	until    time.Duration
	// lastResortTaken is set once a last resort was taken in this rest.
	lastResortTaken bool
}

// New returns a tracker without rests.
func New() *Tracker { return &Tracker{byTarget: map[string]rest{}} }

// Record records that a target asked for a rest of a duration from now. It
// reports whether a rest begins by that.
func (t *Tracker) Record(now time.Duration, lifetime directory.Lifetime, duration time.Duration) bool {
	current, found := t.byTarget[lifetime.TargetID]
	switch {
	case found && lifetime.StartedUnixMilli < current.lifetime.StartedUnixMilli:
		return false
	case t.Remaining(now, lifetime) == 0:
		t.byTarget[lifetime.TargetID] = rest{lifetime: lifetime, until: now + duration}
		return true
	}
	current.until = max(current.until, now+duration)
	t.byTarget[lifetime.TargetID] = current
	return false
}

// Remaining returns the rest that a target still has, 0 for none.
func (t *Tracker) Remaining(now time.Duration, lifetime directory.Lifetime) time.Duration {
	r, found := t.byTarget[lifetime.TargetID]
	if !found || lifetime.StartedUnixMilli > r.lifetime.StartedUnixMilli {
		return 0
	}
	return max(r.until-now, 0)
}

// TakeLastResort reports whether a request that no other target can serve may be
// sent to a target in spite of its rest. Targets tolerate single requests in a
// rest; one is allowed in each.
func (t *Tracker) TakeLastResort(now time.Duration, lifetime directory.Lifetime) bool {
	if t.Remaining(now, lifetime) == 0 {
		return true
	}
	r := t.byTarget[lifetime.TargetID]
	if r.lastResortTaken {
		return false
	}
	r.lastResortTaken = true
	t.byTarget[lifetime.TargetID] = r
	return true
}

// Count returns the number of targets that have a rest.
func (t *Tracker) Count(now time.Duration) int {
	n := 0
	for _, r := range t.byTarget {
		if r.until > now {
			n++
		}
	}
	return n
}

// Prune removes the rests that are over.
func (t *Tracker) Prune(now time.Duration) {
	for id, r := range t.byTarget {
		if r.until <= now {
			delete(t.byTarget, id)
		}
	}
}
