package gateway

import "time"

// eventTimes tracks the times of a stream's events, measured from the arrival of
// the request.
type eventTimes struct {
	events      int
	first, last time.Duration
	// longestGap is the longest gap between two events, and longestGapEnd the
	// time at which it ended.
	longestGap, longestGapEnd time.Duration
}

func (t *eventTimes) record(at time.Duration) {
	switch {
	case t.first == 0:
		t.first = at
	case at-t.last > t.longestGap:
		t.longestGap, t.longestGapEnd = at-t.last, at
	}
	t.last = at
	t.events++
}
