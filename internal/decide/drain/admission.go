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
	// Longest is the longest time in which requests of its route were answered lately; 0
	// if none was.
	Longest time.Duration
	// Stream is set if parts of the answer are passed on before it is complete, so that
	// a caller that is cut off can't be told so.
	Stream bool
}

const (
	// answerMargin is the time that the answer to a request takes after its deadline.
	answerMargin = 100 * time.Millisecond
	// lateStartFactor multiplies the longest time of a request that starts after the
	// removal of the process: its target may have just turned slow.
	lateStartFactor = 2
)

// MayStart reports whether a request may start. One that ends before the exit in any case
// always does. Until load balancers have removed the process, most callers that it refuses
// would have been served, so that requests start that are expected to end. Later only those
// start that are expected to leave time to spare, and no streams: a refused caller is served
// by another process at once, unless most processes stop at the same time.
func (s StopTimes) MayStart(w Work) bool {
	switch {
	case w.UntilDeadline+answerMargin <= s.UntilExit:
		return true
	case w.Longest == 0:
		return false
	case s.UntilRemoved > 0:
		return w.Longest <= s.UntilExit
	}
	return !w.Stream && lateStartFactor*w.Longest <= s.UntilExit
}
