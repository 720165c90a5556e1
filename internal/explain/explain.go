package explain

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// The messages of the lines that decide.
const (
	lineRefused   = "request refused"
	lineAnswered  = "request answered"
	linePlaced    = "generation placed"
	lineServed    = "generation served"
	lineBroke     = "generation broke"
	lineCopied    = "generation copied"
	lineStays     = "generation stays"
	lineBackup    = "generation goes on at its backup"
	lineLeaves    = "target says that it leaves"
	lineStarted   = "started"
	lineStopping  = "stopping"
	lineStoreLost = "store lost"
)

// Cause says why a request ended as it did.
type Cause string

// The causes.
const (
	CauseServed         Cause = "served"
	CauseTargetFailure  Cause = "the target's own failure"
	CauseRefused        Cause = "refused"
	CauseHostStopped    Cause = "its host stopped by plan before the generation had ended"
	CauseCallerLeft     Cause = "the caller left"
	CauseCopyTooLate    Cause = "its engine stopped before a copy was whole"
	CauseNoRoom         Cause = "its engine stopped while no other had room for a copy"
	CauseBackupRefused  Cause = "its engine stopped and its backup was refused"
	CauseStayed         Cause = "it was to end before its engine stopped, and did not"
	CauseEngineLost     Cause = "its engine was lost without notice, and no copy of it was kept"
	CauseHostLost       Cause = "its host was lost while it ran"
	CauseStillInProcess Cause = "no end was logged; it may still run"
	CauseUnknown        Cause = "no host logged it: it never reached one, or that host was lost first"
)

// Story is what the logs say of one request.
type Story struct {
	Request string `json:"request"`
	Cause   Cause  `json:"cause"`
	// Detail says more where the deciding line does.
	Detail string `json:"detail,omitempty"`
	// Deciding is the line that decided the end, nil when it is the lack of one.
	Deciding *Line `json:"deciding,omitempty"`
	// Lines are those of the request, Around those of its hosts and targets
	// that bear on its end, both in the order of time.
	Lines  []Line `json:"lines"`
	Around []Line `json:"around,omitempty"`
}

const (
	// aroundBefore is how long before a request's last line a change of what a
	// host believes may bear on its end: the grace of a stop, or the store's
	// absence from the start of a notice on.
	aroundBefore = 10 * time.Second
	// aroundAfter covers a process's restart after it was lost: generations run
	// for up to half a minute without a line.
	aroundAfter = time.Minute
)

// Explain tells what the logs say of one request.
func (l *Log) Explain(request string) Story {
	s := Story{Request: request, Lines: slices.Clone(l.requests[request])}
	sortLines(s.Lines)
	if len(s.Lines) == 0 {
		s.Cause = CauseUnknown
		return s
	}
	s.Around = l.around(s.Lines)
	s.decide()
	return s
}

func sortLines(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// around gives the lines about the processes and targets of a request.
func (l *Log) around(lines []Line) []Line {
	last := lines[len(lines)-1]
	targets := map[string]bool{}
	for _, line := range lines {
		targets[line.Target] = true
	}
	var out []Line
	for _, line := range l.process {
		if line.Time.Before(last.Time.Add(-aroundBefore)) || line.Time.After(last.Time.Add(aroundAfter)) {
			continue
		}
		ofHost := line.Host == last.Host && slices.Contains([]string{lineStarted, lineStopping, lineStoreLost}, line.Message)
		if ofHost || line.Message == lineLeaves && targets[line.Target] {
			out = append(out, line)
		}
	}
	sortLines(out)
	return out
}

// decide finds the deciding line.
func (s *Story) decide() {
	for i := len(s.Lines) - 1; i >= 0; i-- {
		line := &s.Lines[i]
		switch line.Message {
		case lineServed:
			s.end(CauseServed, line, "")
		case lineAnswered:
			s.answered(line)
		case lineRefused:
			s.end(CauseRefused, line, line.Kind)
		case lineBroke:
			s.broke(line)
		default:
			continue
		}
		return
	}
	s.unended()
}

func (s *Story) end(c Cause, line *Line, detail string) {
	s.Cause, s.Deciding, s.Detail = c, line, detail
}

func (s *Story) answered(line *Line) {
	if line.Status >= http.StatusInternalServerError {
		s.end(CauseTargetFailure, line, fmt.Sprintf("status %d of %s", line.Status, line.Target))
		return
	}
	s.end(CauseServed, line, "")
}

// broke tells why a generation broke off.
func (s *Story) broke(line *Line) {
	if line.CallerLeft {
		if stop := s.before(line.Time, lineStopping); stop != nil {
			s.end(CauseHostStopped, stop, "")
			return
		}
		s.end(CauseCallerLeft, line, "")
		return
	}
	tried := s.lastFrom(line.Target)
	switch {
	case tried == nil:
		s.end(CauseEngineLost, line, line.Cause)
	case tried.Message == lineStays:
		s.end(CauseStayed, tried, "")
	case tried.Message == lineBackup:
		s.end(CauseBackupRefused, tried, tried.Error)
	case strings.HasPrefix(tried.Error, "overloaded"):
		s.end(CauseNoRoom, tried, tried.Error)
	default:
		s.end(CauseCopyTooLate, tried, distance(tried.Remote))
	}
}

func distance(remote bool) string {
	if remote {
		return "to another data centre"
	}
	return "within its data centre"
}

// before gives the last line about the host with a message before a time.
func (s *Story) before(t time.Time, message string) *Line {
	for i := len(s.Around) - 1; i >= 0; i-- {
		if s.Around[i].Message == message && s.Around[i].Time.Before(t) {
			return &s.Around[i]
		}
	}
	return nil
}

// lastFrom gives the last try to take the generation off a target.
func (s *Story) lastFrom(target string) *Line {
	for i := len(s.Lines) - 1; i >= 0; i-- {
		line := &s.Lines[i]
		switch {
		case line.Message == lineCopied && line.From == target,
			line.Message == lineStays && line.Target == target,
			line.Message == lineBackup && line.Error != "":
			return line
		case line.Message == linePlaced, line.Message == lineCopied:
			// It came to the target by this one.
			return nil
		}
	}
	return nil
}

// unended tells why a request has lines and no end: its process was lost, which
// the next start on the same host shows.
func (s *Story) unended() {
	last := s.Lines[len(s.Lines)-1]
	for i := range s.Around {
		if line := &s.Around[i]; line.Message == lineStarted && line.Time.After(last.Time) {
			s.end(CauseHostLost, line, "")
			return
		}
	}
	s.end(CauseStillInProcess, &s.Lines[len(s.Lines)-1], "")
}
