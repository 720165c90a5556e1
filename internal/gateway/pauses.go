package gateway

import "time"

// pauses follows the times of a stream's events, counted from the request's
// arrival.
type pauses struct {
	events      int
	first, last time.Duration
	// longest is the longest pause between two events, and longestAt the time
	// at which it ended.
	longest, longestAt time.Duration
}

func (p *pauses) event(at time.Duration) {
	switch {
	case p.first == 0:
		p.first = at
	case at-p.last > p.longest:
		p.longest, p.longestAt = at-p.last, at
	}
	p.last = at
	p.events++
}
