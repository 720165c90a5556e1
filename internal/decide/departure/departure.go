// Package departure remembers which targets said that they leave.
//
// A target that leaves tells the store, and says so in its answers as well. The
// store may be silent for many seconds meanwhile, and the answers are then the
// only notice. They stop as soon as the target gets no more requests, so that a
// notice with an expiry would end while the target still leaves, and requests
// would reach it again.
//
// A notice holds for one lifetime of the target, from its start to its end. It
// survives the removal of the target's directory entry for a while, because an
// entry that lapses with the store comes back unchanged.
//
// Types in this package are not safe for concurrent use. Times are on the
// monotonic clock.
package departure

import (
	"time"

	"filbertdeck/internal/directory"
)

// retention is how long a notice is kept after the directory last knew the
// target. It is longer than an entry that lapsed with the store takes to return.
const retention = time.Minute

// Tracker holds the notices known to one host.
type Tracker struct{ byTarget map[string]notice }

// notice is a target's statement that it leaves.
type notice struct {
	lifetime directory.Lifetime
	// knownAt is the last time at which the directory is known to have had the
	// target.
	knownAt time.Duration
}

// New returns a tracker without notices.
func New() *Tracker { return &Tracker{byTarget: map[string]notice{}} }

// Record records that a target said that it leaves. It reports whether that is
// new.
func (t *Tracker) Record(now time.Duration, lifetime directory.Lifetime) bool {
	if t.IsLeaving(lifetime) {
		return false
	}
	t.byTarget[lifetime.TargetID] = notice{lifetime, now}
	return true
}

// IsLeaving reports whether a target said in this lifetime, or in a later one,
// that it leaves. An earlier lifetime has ended, whatever the directory says.
func (t *Tracker) IsLeaving(lifetime directory.Lifetime) bool {
	n, found := t.byTarget[lifetime.TargetID]
	return found && lifetime.StartedUnixMilli <= n.lifetime.StartedUnixMilli
}

// Count returns the number of notices.
func (t *Tracker) Count() int { return len(t.byTarget) }

// Retain removes the notices of targets that have been unknown for the retention
// period.
func (t *Tracker) Retain(now time.Duration, known func(targetID string) bool) {
	for id, n := range t.byTarget {
		if known(id) {
			n.knownAt = now
			t.byTarget[id] = n
		} else if now-n.knownAt >= retention {
			delete(t.byTarget, id)
		}
	}
}
