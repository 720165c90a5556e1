package gateway

import "time"

// eventTimes tracks the times of a stream's events, measured from the arrival of
// the request.
type eventTimes struct {
	events      int
	first, last time.Duration
	// longest is the longest gap between two events, and longestEnd the time at
	// which it ended.
	longest, longestEnd time.Duration
}

func (t *eventTimes) record(at time.Duration) {
	switch {
	case t.first == 0:
		t.first = at
	case at-t.last > t.longest:
		t.longest, t.longestEnd = at-t.last, at
	}
	t.last = at
	t.events++
}
