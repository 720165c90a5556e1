// Package migration decides how a running generation leaves an engine that is
// about to stop.
//
// Load pattern: an engine is taken away with about two seconds' notice while
// it runs four to eight generations of several hosts, which last up to half a
// minute and may run only once. Copies of their memory queue on the engine's
// link: 3,000 tokens of 18 KB take 165 ms there, twice that to another data
// centre.
//
// What happens without it: a generation that is stopped right after its first
// copy waits for the rest behind the first copies of all others; seen were
// pauses of 0.35 to 1.2 s in seven of eight moves on one day of ten leaving
// engines, where 0.18 s is the longest that callers bear. And copies of
// generations that are about to end by themselves hold up those that are not.
//
// How it works: a generation is copied again and again while it runs on, each
// time only what is new, until a copy was short: then the link is free, and
// the rest takes a few milliseconds. Only when the notice runs out is it
// stopped without that. Generations that will most likely have ended before
// the engine stops stay.
//
// The functions are pure; times are durations since the notice.
package migration

import "time"

// Step is what to do next.
type Step int

// The steps of a move.
const (
	// Copy copies what is new while the generation runs on.
	Copy Step = iota + 1
	// Stop stops the generation and copies the rest.
	Stop
)

// Config holds the figures.
type Config struct {
	// ShortCopy is a copy that shows that the link is free. A few new tokens
	// take 2 ms and two ways between data centres; the copy of one short
	// prompt of another generation takes 50.
	ShortCopy time.Duration
	// StopBefore is how long before the engine stops a generation is stopped
	// at the latest: the rest of the copy, and the way of the request to the
	// other engine.
	StopBefore time.Duration
	// Notice is taken for the time until an engine stops that doesn't say so.
	Notice time.Duration
	// EndMargin is the spare time with which a generation must be expected to
	// end before the engine stops if it is to stay. Clients' estimates are
	// right at the median only.
	EndMargin float64
}

// Default gives the figures in use.
func Default() Config {
	return Config{
		ShortCopy: 30 * time.Millisecond, StopBefore: 250 * time.Millisecond, Notice: 1500 * time.Millisecond,
		EndMargin: 2,
	}
}

// Next decides what follows a copy that took so long, when the engine stops in
// leavesIn.
func (c Config) Next(took, leavesIn time.Duration) Step {
	if took <= c.ShortCopy || leavesIn <= c.StopBefore+took {
		return Stop
	}
	return Copy
}

// Stays tells whether a generation needn't be moved: it is expected to end in
// time by itself. left is the time that it is expected to run on.
func (c Config) Stays(left, leavesIn time.Duration) bool {
	return time.Duration(c.EndMargin*float64(left)) < leavesIn-c.StopBefore
}

// TimeLeft estimates how long a generation runs on: expected events are those
// that the client's estimate comes to, done those made in the time since the
// first one.
func TimeLeft(expected, done int, since time.Duration) time.Duration {
	if done < 2 {
		return time.Duration(1<<62 - 1)
	}
	pace := since / time.Duration(done-1)
	left := expected - done
	if left <= 0 {
		// A generation past its estimate says nothing of its end.
		left = max(expected/2, 1)
	}
	return time.Duration(left) * pace
}
