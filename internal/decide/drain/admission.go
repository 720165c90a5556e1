package drain

import "time"

// StopTimes are the times that are left in a graceful shutdown.
type StopTimes struct {
	// UntilExit is the time until the process exits.
	UntilExit time.Duration
	// UntilRemoved is the time until load balancers are taken to have removed the
	// process; negative after it.
	UntilRemoved time.Duration
}

// Work is a request that could be started during a graceful shutdown.
type Work struct {
	// UntilDeadline is the time after which the request ends, whatever its target
	// does.
	UntilDeadline time.Duration
	// Longest is the longest time that requests of its route took lately; 0 if none
	// has ended.
	Longest time.Duration
}

// answerMargin is the time that the answer to a request takes after its deadline.
const answerMargin = 100 * time.Millisecond

// MayStart reports whether a request may start. Until load balancers have removed the
// process, most callers that it refuses would have been served, so that requests start
// that are expected to end. Later only those start that end before the exit in any case:
// a target that has just turned slow makes every expectation too short, and a request
// that is cut off may run only once. A refused caller is served by another process at
// once.
func (s StopTimes) MayStart(w Work) bool {
	if w.UntilDeadline+answerMargin <= s.UntilExit {
		return true
	}
	return s.UntilRemoved > 0 && w.Longest > 0 && w.Longest <= s.UntilExit
}
