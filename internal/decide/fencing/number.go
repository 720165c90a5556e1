// Package fencing numbers the orders that the system gives to engines (load a
// model, an adapter, change role) and makes sure that an owner that has been
// replaced can't undo its successor's.
//
// Load pattern: a control process that owns an engine's orders pauses for ten
// seconds, or sits in the lesser part of a split fleet. Meanwhile the host list
// names another owner, which orders another model. Then the first one wakes up
// and sends what it had decided.
//
// What happens without it: the engine unloads the model that it is serving, or
// the two owners undo each other's orders for as long as the split lasts. One
// sees engines that change role every few seconds, and requests refused for a
// model that the operators' page shows as loaded.
//
// How it works: an order carries a number that is led by the published list's
// revision, so an engine that checks refuses every owner of an older list. For
// engines that don't check, an owner gives orders only while it is confirmed as
// the only one, waits out its predecessor first, and reads back what the engine
// does: see Order. What that can't do: a process that pauses between its last
// check and its write reaches such an engine with an old order. The owner sees
// it when it reads back, and orders again.
package fencing

import (
	"time"

	"filbertdeck/internal/failure"
)

// Number is a fencing number; a larger one is newer.
type Number uint64

// A number holds the list's revision, then a count of ticks. The revision's 29
// bits last for a thousand years of changes every minute; 35 bits of ticks of a
// 64th of a second last for 17 years after the epoch.
const (
	tickBits = 35
	maxTick  = 1<<tickBits - 1
	// maxRevision is the highest revision that a number can hold.
	maxRevision = 1<<(64-tickBits) - 1
	// ticksPerSecond bounds the orders of one owner too: one a tick.
	ticksPerSecond = 64
)

// epoch is the zero of ticks: the start of the year in which the project began.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Revision is the list's revision that the number was made under.
func (n Number) Revision() uint64 { return uint64(n) >> tickBits }

// Sequence makes the numbers of one process. It is not safe for concurrent use.
//
// Numbers rise within a process whatever its clock does. A process that was
// replaced while the list's revision stayed the same must go on above its
// earlier self, of which it remembers nothing; that is why the lower part
// comes from the wall clock. A clock that was set back meanwhile makes a
// checking engine refuse (KindFenced) until the clock or the list moves on:
// orders stop, none is taken wrongly.
type Sequence struct{ last Number }

// Next gives the next number under the list's revision. It fails with
// KindFenced when the revision or the clock can't be put into a number, or
// went back to before an earlier number of this process.
func (s *Sequence) Next(wall time.Time, revision uint64) (Number, error) {
	ticks := wall.Sub(epoch) / (time.Second / ticksPerSecond)
	if revision > maxRevision || ticks < 0 || ticks >= maxTick {
		return 0, failure.New(failure.KindFenced, "no fencing number for revision %d at %s", revision, wall.Format(time.RFC3339))
	}
	if revision < s.last.Revision() {
		return 0, failure.New(failure.KindFenced, "host list went back from revision %d to %d", s.last.Revision(), revision)
	}
	s.last = max(s.last+1, Number(revision<<tickBits|uint64(ticks)))
	return s.last, nil
}

// Guard is the check of an engine that checks; the system uses it for its own
// processes that take orders.
type Guard struct{ highest Number }

// Admit tells whether an order with this number may be followed, and refuses
// older ones from then on. An equal number is the same order, sent again.
func (g *Guard) Admit(n Number) bool {
	if n < g.highest {
		return false
	}
	g.highest = n
	return true
}
