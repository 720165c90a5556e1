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
// copy waits behind the first copies of all others; seen were pauses of 0.35
// to 1.2 s in seven of eight moves on one day of ten leaving engines, where
// 0.18 s is the longest that callers bear. And copies of generations that are
// about to end by themselves hold up those that are not.
//
// How it works: a generation runs on while its memory is copied, and goes on
// at the other engine as soon as that copy is whole. What it made meanwhile,
// some ten tokens for each tenth of a second, the other engine reads again in
// a few milliseconds; no second copy waits in the queue. Generations that will
// most likely have ended before the engine stops stay.
//
// The functions are pure; times are durations.
package migration

import "time"

// Config holds the figures.
type Config struct {
	// Notice is taken for the time until an engine stops that doesn't say so.
	Notice time.Duration
	// EndMargin is the spare time with which a generation must be expected to
	// end before the engine stops if it is to stay. Clients' estimates are
	// right at the median and often far off: with a margin of 2, three of four
	// that stayed were cut; 8 served as much as moving all, with fewer copies.
	EndMargin float64
}

// Default gives the figures in use.
func Default() Config {
	return Config{Notice: 1500 * time.Millisecond, EndMargin: 8}
}

// Stays tells whether a generation needn't be moved: it is expected to end in
// time by itself. left is the time that it is expected to run on.
func (c Config) Stays(left, leavesIn time.Duration) bool {
	return left < time.Duration(float64(leavesIn)/c.EndMargin)
}

// unknownLeft stands for a time that nothing is known of.
const unknownLeft = time.Duration(1<<63 - 1)

// TimeLeft estimates how long a generation runs on: expected events are those
// that the client's estimate comes to, done those made in the time since the
// first one.
func TimeLeft(expected, done int, since time.Duration) time.Duration {
	if done < 2 {
		return unknownLeft
	}
	pace := since / time.Duration(done-1)
	left := expected - done
	if left <= 0 {
		// A generation past its estimate says nothing of its end.
		left = max(expected/2, 1)
	}
	return time.Duration(left) * pace
}
