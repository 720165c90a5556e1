// Package fencing numbers the commands that the system sends to engines (load a
// model, load an adapter, change role), so that an owner that has been replaced
// can't undo the commands of its successor.
//
// A control process that owns an engine may pause for ten seconds, or be on the
// minority side of a partition. Meanwhile the host list names another owner,
// which commands another model. When the first process resumes, it sends the
// command that it had decided on before. Without fencing the engine unloads the
// model that it is serving, or two owners undo each other's commands for as
// long as the partition lasts: engines change role every few seconds, and
// requests are refused for a model that the operators' page shows as loaded.
//
// Each command carries a fencing number whose high bits are the revision of the
// published list, so an engine that checks the number refuses every owner under
// an older list. For an engine that does not check, an owner sends commands
// only while it is confirmed as the only owner, first waits until its
// predecessor's commands have ended, and reads back the engine's state (see
// Command). One case remains: a process that pauses between its last check and
// its write reaches such an engine with an old command. The owner notices when
// it reads back and sends its command again.
package fencing

import (
	"time"

	"filbertdeck/internal/failure"
)

// Number is a fencing number. A larger number is newer.
type Number uint64

// A number holds the list's revision in its high bits and a count of ticks in
// its low bits. The 29 bits of the revision last for a thousand years at one
// change per minute; 35 bits of ticks of 1/64 s last for 17 years after
// tickEpoch.
const (
	tickBits = 35
	maxTicks = 1<<tickBits - 1
	// maxRevision is the highest revision that fits into a number.
	maxRevision = 1<<(64-tickBits) - 1
	// ticksPerSecond is also the highest rate at which one owner can send
	// commands: one per tick.
	ticksPerSecond = 64
)

// tickEpoch is the time of tick 0. No list is older than 2026.
var tickEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Revision returns the list revision under which the number was generated.
func (n Number) Revision() uint64 { return uint64(n) >> tickBits }

// Sequence generates the numbers of one process. It is not safe for concurrent
// use.
//
// Numbers increase within a process whatever its clock does. A process that was
// restarted under the same list revision must continue above the numbers of the
// earlier process, which it does not know, so the low bits come from the wall
// clock. If the clock was set back in between, an engine that checks refuses
// commands (KindFenced) until the clock or the list revision has advanced:
// commands stop, but no outdated one is accepted.
type Sequence struct{ last Number }

// Next returns the next number under the given list revision. It fails with
// KindFenced if the revision or the time does not fit into a number, or if the
// revision is lower than that of an earlier number.
func (s *Sequence) Next(wall time.Time, revision uint64) (Number, error) {
	ticks := wall.Sub(tickEpoch) / (time.Second / ticksPerSecond)
	if revision > maxRevision || ticks < 0 || ticks >= maxTicks {
		return 0, failure.New(failure.KindFenced, "no fencing number for revision %d at %s", revision, wall.Format(time.RFC3339))
	}
	if revision < s.last.Revision() {
		return 0, failure.New(failure.KindFenced, "host list went back from revision %d to %d", s.last.Revision(), revision)
	}
	s.last = max(s.last+1, Number(revision<<tickBits|uint64(ticks)))
	return s.last, nil
}

// Guard checks numbers on the receiving side. The system's own processes that
// accept commands use it.
type Guard struct{ highest Number }

// Admit reports whether a command with number n may be executed, and refuses
// older ones from then on. An equal number is a retransmission of the same
// command.
func (g *Guard) Admit(n Number) bool {
	if n < g.highest {
		return false
	}
	g.highest = n
	return true
}
