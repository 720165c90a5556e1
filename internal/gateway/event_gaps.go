package gateway

import "time"

// eventGaps tracks the times of a stream's events, measured from the arrival of
// the request.
type eventGaps struct {
	events      int
	first, last time.Duration
	// longest is the longest gap between two events, and longestEnd the time at
	// which it ended.
	longest, longestEnd time.Duration
}

func (g *eventGaps) record(at time.Duration) {
	switch {
	case g.first == 0:
		g.first = at
	case at-g.last > g.longest:
		g.longest, g.longestEnd = at-g.last, at
	}
	g.last = at
	g.events++
}
