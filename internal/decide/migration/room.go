package migration

import (
	"cmp"
	"slices"
	"time"
)

// Parameters of moves that reserve room at their destination before a copy is asked for.
const (
	// RoomShare is the share of an engine's memory that a move may fill.
	RoomShare = 1.0
	// SearchInterval is the time between two rounds of searches of the moves that find no
	// room: a generation ends at an engine every few hundred milliseconds.
	SearchInterval = 50 * time.Millisecond
	// lastResortTime is the time before the engine's stop from which a move takes any
	// engine: a copy to another data centre takes 330 ms on an idle link.
	lastResortTime = 400 * time.Millisecond
	// maxCopies limits the copies that are asked for one generation at one engine. The
	// second one allows for a destination whose counts were out of date.
	maxCopies = 2
	// copiesAtOnce limits the copies that one host has in progress from one engine. Further
	// ones would queue on the engine's link while they hold room at their destination.
	copiesAtOnce = 2
)

// TakesAnyEngine reports whether a move takes the engine where it does the least harm
// although none has room. untilStop is the time until its present engine stops.
func TakesAnyEngine(untilStop time.Duration) bool { return untilStop <= lastResortTime }

// MayAskForCopy reports whether one more copy of a generation may be asked for. asked is
// the number of copies asked for before, without those whose destination disappeared.
func MayAskForCopy(asked int) bool { return asked < maxCopies }

// Waiting is a move of this host that waits for its turn to search for an engine.
type Waiting struct {
	// UntilStop is the time until the engine that the generation leaves stops.
	UntilStop time.Duration
	// Tokens is the size of the generation.
	Tokens int
	// Searched is set if the move has its next turn in the next round.
	Searched bool
	// Copies is set if the move has the generation's memory copied, CopiesInProgress is
	// the number of copies from the same engine that this host has in progress.
	Copies           bool
	CopiesInProgress int
}

// Next returns the index of the move that searches next, -1 if none may. The moves of a
// host search in rounds, each once. Generations with the least time left go first, and of
// those at the same engine the larger ones, which take longer to copy and find room less
// often.
func Next(moves []Waiting) int {
	next := -1
	for i, m := range moves {
		if m.Searched || m.Copies && m.CopiesInProgress >= copiesAtOnce {
			continue
		}
		if next < 0 || compare(m, moves[next]) < 0 {
			next = i
		}
	}
	return next
}

// WaitsForRound reports whether a move that is new waits for the next round, since moves
// that go before it have searched in vain. It would take room that became free since then.
func WaitsForRound(m Waiting, moves []Waiting) bool {
	return slices.ContainsFunc(moves, func(other Waiting) bool { return other.Searched && compare(other, m) < 0 })
}

// compare is negative if move a goes before move b.
func compare(a, b Waiting) int {
	return cmp.Or(cmp.Compare(a.UntilStop, b.UntilStop), cmp.Compare(b.Tokens, a.Tokens))
}

// Unstarted is a generation without a first event at an engine that leaves.
type Unstarted struct {
	// Resumable is set if the generation may run a second time.
	Resumable bool
	// Attempts is the number of engines that the generation was sent to as a new run, and
	// MaxAttempts the number that its route allows.
	Attempts, MaxAttempts int
	// Expected is the time from its placement to its first event as it was expected then,
	// 0 if unknown, and Waited the time since its placement.
	Expected, Waited time.Duration
	// UntilStop is the time until the engine stops.
	UntilStop time.Duration
}

// MayWithdraw reports whether a generation may be withdrawn from its engine and started at
// another one. Closing its stream does not prove that the engine has not run it and will
// not, so that a generation that must not run twice stays.
func (u Unstarted) MayWithdraw() bool { return u.Resumable && u.Attempts < u.MaxAttempts }

// Withdraw reports whether the generation is to be withdrawn now, if it may be. It stays
// while its first event is expected well before the engine stops, so that it can end there
// or be copied. An event that is overdue is expected after as much time again as it is
// overdue by.
func (c Config) Withdraw(u Unstarted) bool {
	remaining := u.Expected - u.Waited
	return !c.CompletesInTime(max(remaining, -remaining), u.UntilStop)
}
