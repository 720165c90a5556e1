package explain

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// The messages of the log lines that are relevant to the end of a request.
const (
	msgRequestRefused   = "request refused"
	msgRequestAnswered  = "request answered"
	msgGenerationPlaced = "generation placed"
	msgGenerationServed = "generation served"
	msgGenerationBroke  = "generation broke"
	msgGenerationCopied = "generation copied"
	msgGenerationStays  = "generation stays"
	msgMoveWaits        = "move waits for room"
	msgBackupResumed    = "generation goes on at its backup"
	msgTargetLeaves     = "target says that it leaves"
	msgHealthCheckFails = "target's health check says that it leaves"
	msgTargetRests      = "target asks for a rest"
	msgProcessStarted   = "started"
	msgProcessStopping  = "stopping"
	msgStoreLost        = "store lost"
)

// Cause is the reason why a request ended as it did.
type Cause string

// The causes of a request's end.
const (
	CauseServed         Cause = "served"
	CauseTargetFailure  Cause = "the target's own failure"
	CauseRefused        Cause = "refused"
	CauseHostStopped    Cause = "its host stopped by plan before the generation had ended"
	CauseCallerLeft     Cause = "the caller left"
	CauseCopyTooLate    Cause = "its engine stopped before a copy was whole"
	CauseNoCapacity     Cause = "its engine stopped while no other had room for a copy"
	CauseBackupRefused  Cause = "its engine stopped and its backup was refused"
	CauseOutlivedEngine Cause = "it was to end before its engine stopped, and did not"
	CauseEngineLost     Cause = "its engine was lost without notice, and no copy of it was kept"
	CauseHostLost       Cause = "its host was lost while it ran"
	CauseNoEndLogged    Cause = "no end was logged; it may still run"
	CauseUnknown        Cause = "no host logged it: it never reached one, or that host was lost first"
)

// Explanation is what the logs contain about one request.
type Explanation struct {
	Request string `json:"request"`
	Cause   Cause  `json:"cause"`
	// Detail contains additional information from the decisive line, if it has
	// any.
	Detail string `json:"detail,omitempty"`
	// DecidingLine is the line that decided the outcome. It is nil if the cause
	// follows from the lack of any line.
	DecidingLine *Line `json:"deciding,omitempty"`
	// Lines are the lines of the request, RelatedLines those of its hosts and
	// targets that may have affected its end, both in chronological order.
	Lines        []Line `json:"lines"`
	RelatedLines []Line `json:"around,omitempty"`
}

const (
	// relatedBefore is how long before a request's last line an event on its
	// host may have affected its end: the grace period of a stop, or the
	// store's absence since the start of a stop notice.
	relatedBefore = 10 * time.Second
	// relatedAfter covers the restart of a process after its loss: generations
	// run for up to half a minute without a line.
	relatedAfter = time.Minute
)

// Explain returns what the logs contain about one request.
func (l *Log) Explain(request string) Explanation {
	explanation := Explanation{Request: request, Lines: slices.Clone(l.requestLines[request])}
	sortLines(explanation.Lines)
	if len(explanation.Lines) == 0 {
		explanation.Cause = CauseUnknown
		return explanation
	}
	explanation.RelatedLines = l.relatedLines(explanation.Lines)
	explanation.findCause()
	return explanation
}

func sortLines(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// relatedLines returns the lines about the processes and targets of a request.
func (l *Log) relatedLines(lines []Line) []Line {
	last := lines[len(lines)-1]
	targets := map[string]bool{}
	for _, line := range lines {
		targets[line.Target] = true
	}
	var out []Line
	for _, line := range l.processLines {
		if line.Time.Before(last.Time.Add(-relatedBefore)) || line.Time.After(last.Time.Add(relatedAfter)) {
			continue
		}
		isHostEvent := line.Host == last.Host && slices.Contains([]string{msgProcessStarted, msgProcessStopping, msgStoreLost}, line.Message)
		isTargetEvent := targets[line.Target] && slices.Contains([]string{msgTargetLeaves, msgHealthCheckFails, msgTargetRests}, line.Message)
		if isHostEvent || isTargetEvent {
			out = append(out, line)
		}
	}
	sortLines(out)
	return out
}

// findCause sets the cause and the decisive line.
func (e *Explanation) findCause() {
	for i := len(e.Lines) - 1; i >= 0; i-- {
		line := &e.Lines[i]
		switch line.Message {
		case msgGenerationServed:
			e.setCause(CauseServed, line, "")
		case msgRequestAnswered:
			e.findAnsweredCause(line)
		case msgRequestRefused:
			e.setCause(CauseRefused, line, line.Kind)
		case msgGenerationBroke:
			e.findBrokenCause(line)
		default:
			continue
		}
		return
	}
	e.findUnendedCause()
}

func (e *Explanation) setCause(cause Cause, line *Line, detail string) {
	e.Cause, e.DecidingLine, e.Detail = cause, line, detail
}

func (e *Explanation) findAnsweredCause(line *Line) {
	if line.Status >= http.StatusInternalServerError {
		e.setCause(CauseTargetFailure, line, fmt.Sprintf("status %d of %s", line.Status, line.Target))
		return
	}
	e.setCause(CauseServed, line, "")
}

// findBrokenCause determines why a generation was interrupted.
func (e *Explanation) findBrokenCause(line *Line) {
	if line.CallerLeft {
		if stopping := e.lastRelatedBefore(line.Time, msgProcessStopping); stopping != nil {
			e.setCause(CauseHostStopped, stopping, "")
			return
		}
		e.setCause(CauseCallerLeft, line, "")
		return
	}
	attempt := e.lastMoveAttempt(line.Target)
	switch {
	case attempt == nil:
		e.setCause(CauseEngineLost, line, line.Cause)
	case attempt.Message == msgGenerationStays:
		e.setCause(CauseOutlivedEngine, attempt, "")
	case attempt.Message == msgBackupResumed:
		e.setCause(CauseBackupRefused, attempt, attempt.Error)
	case attempt.Message == msgMoveWaits, strings.HasPrefix(attempt.Error, "overloaded"):
		e.setCause(CauseNoCapacity, attempt, attempt.Error)
	default:
		e.setCause(CauseCopyTooLate, attempt, copyDistance(attempt.Remote))
	}
}

func copyDistance(remote bool) string {
	if remote {
		return "to another data centre"
	}
	return "within its data centre"
}

// lastRelatedBefore returns the last related line with the given message before
// a time.
func (e *Explanation) lastRelatedBefore(t time.Time, message string) *Line {
	for i := len(e.RelatedLines) - 1; i >= 0; i-- {
		if e.RelatedLines[i].Message == message && e.RelatedLines[i].Time.Before(t) {
			return &e.RelatedLines[i]
		}
	}
	return nil
}

// lastMoveAttempt returns the last attempt to move the generation away from a
// target.
func (e *Explanation) lastMoveAttempt(target string) *Line {
	for i := len(e.Lines) - 1; i >= 0; i-- {
		line := &e.Lines[i]
		switch {
		case line.Message == msgGenerationCopied && line.From == target,
			line.Message == msgGenerationStays && line.Target == target,
			line.Message == msgMoveWaits && line.Target == target,
			line.Message == msgBackupResumed && line.Error != "":
			return line
		case line.Message == msgGenerationPlaced, line.Message == msgGenerationCopied:
			// This line moved the generation to the target.
			return nil
		}
	}
	return nil
}

// findUnendedCause handles a request whose lines contain no end: its process
// was lost if a later start on the same host is logged.
func (e *Explanation) findUnendedCause() {
	last := e.Lines[len(e.Lines)-1]
	for i := range e.RelatedLines {
		if line := &e.RelatedLines[i]; line.Message == msgProcessStarted && line.Time.After(last.Time) {
			e.setCause(CauseHostLost, line, "")
			return
		}
	}
	e.setCause(CauseNoEndLogged, &e.Lines[len(e.Lines)-1], "")
}
