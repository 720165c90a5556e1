// Package migration decides how a running generation leaves an engine that is
// about to stop.
//
// An engine is taken away with about two seconds' notice while it runs four to
// eight generations of several hosts, which last up to half a minute and may run
// only once. Copies of their memory queue on the engine's link: 3,000 tokens of
// 18 KB take 165 ms within the data centre and twice that to another one.
//
// If a generation were stopped while the rest of its memory is copied, it would
// wait behind the first copies of all others for longer than callers tolerate.
// Copies of generations that are about to finish anyway would delay the copies of
// those that are not.
//
// A generation therefore keeps running while its memory is copied, and resumes on
// the other engine as soon as that copy is complete. The tokens produced in the
// meantime, about ten per tenth of a second, are read again by the other engine
// in a few milliseconds, so no second copy has to queue. Generations that will
// have finished before the engine stops, at their maximum length, stay.
//
// If the link cannot carry all copies in time, the shorter copies go first, so
// that more generations are saved. Each generation waits for a fraction of its
// own copying time before its copy is requested. Hosts that do not know each
// other's generations arrive at a common order this way, and the link is idle for
// a few hundredths of a second at most.
//
// The functions are pure.
package migration

import "time"

// Config holds the parameters.
type Config struct {
	// Notice is the assumed time until an engine stops if the engine does not
	// state it.
	Notice time.Duration
	// CompletionMargin is the fraction of the time until the engine stops within
	// which a generation must finish to stay. It allows for reports of the
	// engine's stop that are half a second old.
	CompletionMargin float64
	// CopyWaitFactor is the fraction of its copying time that a generation waits.
	CopyWaitFactor float64
}

// Default returns the default parameters.
func Default() Config {
	return Config{Notice: 1500 * time.Millisecond, CompletionMargin: 0.5, CopyWaitFactor: 0.5}
}

// CompletesInTime reports whether a generation finishes before the engine stops and does
// not have to be migrated. remaining is the longest time that it can still run,
// untilStop the time until the engine stops.
func (c Config) CompletesInTime(remaining, untilStop time.Duration) bool {
	return remaining < time.Duration(float64(untilStop)*c.CompletionMargin)
}

// CopyTime returns the time that a copy of the given number of tokens takes on an
// idle link, from the bytes per token and the bandwidth of the link in megabits
// per second; 0 if the bandwidth is unknown.
func CopyTime(tokens int, bytesPerToken, linkMbps float64) time.Duration {
	if linkMbps <= 0 {
		return 0
	}
	bits := float64(tokens) * bytesPerToken * 8
	return time.Duration(bits / linkMbps * float64(time.Microsecond))
}

// CopyDelay returns how long a generation waits before its copy is requested.
func (c Config) CopyDelay(copyTime time.Duration) time.Duration {
	return time.Duration(float64(copyTime) * c.CopyWaitFactor)
}

// WaitsForCopy reports whether a generation is left to the engine of its copy, which has not
// answered in time, and its source is given up: the source stops before another copy could be
// made and answered. untilStop is the time until it stops, copyTime what the last copy took and
// answerTime what an engine is given to answer.
//
// A copy can be offered once. Without this, a generation whose engine stops a moment later loses
// its only copy to an engine that is slow to answer.
func WaitsForCopy(untilStop, copyTime, answerTime time.Duration) bool {
	return untilStop < copyTime+answerTime
}

// unknownRemaining is the remaining time if nothing is known about it.
const unknownRemaining = time.Duration(1<<63 - 1)

// MaxRemaining returns the longest time that a generation can still run. maxEvents is
// the maximum number of events, 0 if unknown, and events the number produced in
// the time elapsed since the first one. Clients' length estimates are too
// inaccurate for this.
func MaxRemaining(maxEvents, events int, elapsed time.Duration) time.Duration {
	if maxEvents == 0 || events < 2 {
		return unknownRemaining
	}
	return time.Duration(max(maxEvents-events, 0)) * (elapsed / time.Duration(events-1))
}
