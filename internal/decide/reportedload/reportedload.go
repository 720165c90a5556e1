// Package reportedload remembers the load that targets report in their answers,
// and says how much of a report still counts.
//
// It is made for targets that share their machines with other work: for some
// hundreds of milliseconds at a time a machine is two or three times as slow as
// usual, and requests of other hosts fill a target that this host does not know to
// be busy. A host that goes by its own requests alone sends a slow or full target
// as much as any other.
//
// A report says how the target was when it answered. It loses weight with its age,
// so that a target that is avoided, and so gives no answers, is chosen again by the
// time that it is likely to have recovered.
//
// Types in this package are not safe for concurrent use. Times are on the
// monotonic clock.
package reportedload

import (
	"math"
	"time"

	"filbertdeck/internal/directory"
)

const (
	// decayTime is the age at which the weight of a report has fallen to 1/e.
	decayTime = 300 * time.Millisecond
	// retention is the age at which a report no longer counts. A remainder of
	// weight would still decide between targets that are equal otherwise.
	retention = 3 * decayTime
	// maxSlowdown bounds the slowdown that a target can report, so that a faulty
	// report does not outweigh everything else that is known of the target.
	maxSlowdown = 10
)

// Report is what a target says of itself in one answer. A figure is nil if the
// target did not give it.
type Report struct {
	// Busy is the number of requests that run or wait at the target.
	Busy *int
	// Slowdown is the time that work takes there as a multiple of the usual time.
	Slowdown *float64
}

// Tracker holds the last report of each target.
type Tracker struct{ byTarget map[string]entry }

type entry struct {
	Report
	lifetime directory.Lifetime
	at       time.Duration
}

// New returns a tracker without reports.
func New() *Tracker { return &Tracker{byTarget: map[string]entry{}} }

// Record records a report that a target made now.
func (t *Tracker) Record(now time.Duration, lifetime directory.Lifetime, r Report) {
	if current, found := t.byTarget[lifetime.TargetID]; found && lifetime.StartedUnixMilli < current.lifetime.StartedUnixMilli {
		return
	}
	t.byTarget[lifetime.TargetID] = entry{r, lifetime, now}
}

// Slowdown returns the slowdown that is expected of a target now; 1 is the usual
// speed.
func (t *Tracker) Slowdown(now time.Duration, lifetime directory.Lifetime) float64 {
	e, weight := t.current(now, lifetime)
	if e.Slowdown == nil {
		return 1
	}
	return 1 + (min(*e.Slowdown, maxSlowdown)-1)*weight
}

// Unaccounted returns the number of requests that are expected at a target now
// beyond the known ones.
func (t *Tracker) Unaccounted(now time.Duration, lifetime directory.Lifetime, known int) int {
	e, weight := t.current(now, lifetime)
	if e.Busy == nil {
		return 0
	}
	return int(math.Round(float64(max(*e.Busy-known, 0)) * weight))
}

// current returns the last report of a target in a lifetime and its weight, 0 if
// there is none.
func (t *Tracker) current(now time.Duration, lifetime directory.Lifetime) (e entry, weight float64) {
	e, found := t.byTarget[lifetime.TargetID]
	if !found || e.lifetime != lifetime || now-e.at >= retention {
		return entry{}, 0
	}
	return e, math.Exp(-float64(now-e.at) / float64(decayTime))
}

// Prune drops the reports that no longer count.
func (t *Tracker) Prune(now time.Duration) {
	for id, e := range t.byTarget {
		if now-e.at >= retention {
			delete(t.byTarget, id)
		}
	}
}
