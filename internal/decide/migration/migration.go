// Package migration decides how a running generation leaves an engine that is
// about to stop.
//
// Load pattern: an engine is taken away with about two seconds' notice while
// it runs four to eight generations of several hosts, which last up to half a
// minute and may run only once. Copies of their memory queue on the engine's
// link: 3,000 tokens of 18 KB take 165 ms there, twice that to another data
// centre.
//
// What happens without it: a generation that is stopped for the rest of its
// copy waits behind the first copies of all others, for longer than callers
// bear. And copies of generations that are about to end by themselves hold up
// those that are not.
//
// How it works: a generation runs on while its memory is copied, and goes on
// at the other engine as soon as that copy is whole. What it made meanwhile,
// some ten tokens for each tenth of a second, the other engine reads again in
// a few milliseconds; no second copy waits in the queue. Generations that
// will have ended before the engine stops, however long they may become, stay.
//
// Where the link can't carry everything off in time, copies that take less of
// it go first, so that more generations get away: each waits for a part of its
// own copying time before it is asked for. Hosts that know nothing of each
// other's generations come to one order that way, and the link idles for a few
// hundredths of a second at most.
//
// The functions are pure; times are durations.
package migration

import "time"

// Config holds the figures.
type Config struct {
	// Notice is taken for the time until an engine stops that doesn't say so.
	Notice time.Duration
	// EndMargin is the part of the time until the engine stops within which a
	// generation must have ended at the latest if it is to stay. Reports of
	// engines on their stop are half a second old.
	EndMargin float64
	// OrderShare is the part of its copying time that a generation waits.
	OrderShare float64
}

// Default gives the figures in use.
func Default() Config {
	return Config{Notice: 1500 * time.Millisecond, EndMargin: 0.5, OrderShare: 0.5}
}

// CompletesInTime tells whether a generation needn't be moved: it has ended by itself
// before the engine stops. left is the longest that it can run on.
func (c Config) CompletesInTime(left, leavesIn time.Duration) bool {
	return left < time.Duration(float64(leavesIn)*c.EndMargin)
}

// CopyTime is the time that a copy of so many tokens takes on an idle link,
// from the bytes of a token and the link's megabits a second; 0 when these are
// unknown.
func CopyTime(tokens int, bytesPerToken, linkMbps float64) time.Duration {
	if linkMbps <= 0 {
		return 0
	}
	bits := float64(tokens) * bytesPerToken * 8
	return time.Duration(bits / linkMbps * float64(time.Microsecond))
}

// CopyDelay is the time that a generation waits before its copy is asked for.
func (c Config) CopyDelay(copying time.Duration) time.Duration {
	return time.Duration(float64(copying) * c.OrderShare)
}

// unknownLeft stands for a time that nothing is known of.
const unknownLeft = time.Duration(1<<63 - 1)

// MaxRemaining gives the longest time that a generation runs on: most events is
// what it may make at all, 0 when that is unknown, done those made in the time
// since the first one. Clients' estimates say too little for it.
func MaxRemaining(most, done int, since time.Duration) time.Duration {
	if most == 0 || done < 2 {
		return unknownLeft
	}
	return time.Duration(max(most-done, 0)) * (since / time.Duration(done-1))
}
