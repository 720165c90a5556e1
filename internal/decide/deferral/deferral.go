// Package deferral decides how long a generation waits at its host while no engine
// has memory for it.
//
// It is made for bursts of long generations that need more memory than all engines
// have. An engine takes every generation that it is sent: it preempts the newest of
// the least urgent ones, reads their prompts again when memory is free, and preempts
// others for them. Callers then see long pauses in streams that had begun, and the
// engines spend their time on prompts that they had read before. A generation that
// has not begun loses nothing by waiting, as long as its first token still comes in
// time.
//
// Generations that can no longer be in time let those go first that can, less and less
// the longer they wait, so that an overload that lasts does not keep them out. When half
// of their caller's time is over they go to the engine where they do least harm, as they
// would without waiting: a caller that has waited is better served late than refused.
// The most urgent ones do so as soon as they could be late, since engines preempt others
// for them.
//
// The functions are pure.
package deferral

import "time"

const (
	// searchInterval is the mean time between two searches for an engine with room.
	// Engines' counts reach the hosts that search within a round trip, and one of
	// some dozens of engines finishes a generation in that time.
	searchInterval = 100 * time.Millisecond
	// lateSearchInterval is searchInterval for generations that can no longer be in
	// time.
	lateSearchInterval = 2 * searchInterval
	// firstTokenMargin multiplies the expected time to the first token: prompts that
	// other hosts place at the same moment are read first.
	firstTokenMargin = 2
	// agingFactor multiplies the objective; the product is the time in which a late
	// generation gains the same share as those that can be in time.
	agingFactor = 3
	// patienceDivisor divides a caller's time; the quotient is the longest wait.
	patienceDivisor = 2
)

// Shares of an engine's memory that may be reserved. Generations are counted at their
// expected final size, which they do not all reach at the same time, so that more than
// the whole memory can be reserved.
const (
	urgentShare = 1.1
	normalShare = 1.0
	// lateShare applies to a generation that has just become late. It leaves the room
	// that generations need which can still be in time.
	lateShare = 0.7
)

// Generation is a generation that waits for an engine with room.
type Generation struct {
	// Urgent is set if no generation of its service is more urgent.
	Urgent bool
	// Waited is the time since its caller sent it, Timeout the time that the caller
	// gives it.
	Waited, Timeout time.Duration
	// FirstTokenObjective is the objective for the time to the first token; 0 if
	// there is none.
	FirstTokenObjective time.Duration
	// TimeToFirstToken is the time that an engine with room is expected to take to
	// the first token.
	TimeToFirstToken time.Duration
}

// UntilLate returns the time until the generation can no longer be in time; not positive
// if it is late.
func (g Generation) UntilLate() time.Duration {
	return g.FirstTokenObjective - firstTokenMargin*g.TimeToFirstToken - g.Waited
}

// Aged returns how far a late generation has come to the standing of those that can be in
// time, from 0 when its objective is over to 1.
func (g Generation) Aged() float64 {
	aged := float64(g.Waited-g.FirstTokenObjective) / float64(agingFactor*g.FirstTokenObjective)
	return min(max(aged, 0), 1)
}

// Search says where a generation may be placed now, and what follows if there is no
// such engine.
type Search struct {
	// MemoryShare is the share of an engine's memory beyond which the generation is
	// not placed there; 0 if it may be placed anywhere and does not wait.
	MemoryShare float64
	// Wait is the time until the next search.
	Wait time.Duration
}

// InTurn returns the search of a generation that has its turn in an order of all that wait.
// Those that can be in time go first by the order, so that a late one leaves no room for
// them.
func (s Search) InTurn() Search {
	if s.MemoryShare > 0 {
		s.MemoryShare = max(s.MemoryShare, normalShare)
	}
	return s
}

// Next returns the next search for an engine. draw, in [0, 1), spreads the searches of
// generations that arrive together.
func Next(g Generation, draw float64) Search {
	untilLate := g.UntilLate()
	switch {
	case g.FirstTokenObjective <= 0, g.Urgent && untilLate <= 0:
		return Search{}
	case g.Urgent:
		return Search{MemoryShare: urgentShare, Wait: min(spread(searchInterval, draw), untilLate)}
	case untilLate > 0:
		return Search{MemoryShare: normalShare, Wait: min(spread(searchInterval, draw), untilLate)}
	case g.Waited < g.Timeout/patienceDivisor:
		return Search{MemoryShare: shareOfLate(g), Wait: spread(lateSearchInterval, draw)}
	}
	return Search{}
}

// WaitForRoom returns the time until the next search of a generation that no longer
// waits by Next, while every engine is full and must not be sent more than it has room
// for; false when it is to be refused.
func WaitForRoom(g Generation, draw float64) (time.Duration, bool) {
	return spread(lateSearchInterval, draw), g.Waited < g.Timeout/patienceDivisor
}

// shareOfLate returns the share of a late generation, which rises with the time that it
// has waited beyond its objective.
func shareOfLate(g Generation) float64 {
	return lateShare + (normalShare-lateShare)*g.Aged()
}

// spread returns a duration between half and one and a half of d.
func spread(d time.Duration, draw float64) time.Duration {
	return time.Duration((0.5 + draw) * float64(d))
}
