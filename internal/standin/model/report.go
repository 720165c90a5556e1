package model

import "time"

// Report is the engine's statement of its load, as it was Age ago.
type Report struct {
	Incarnation uint64
	Age         time.Duration
	// MemoryTokens is the memory for keys and values; UsedTokens is in use.
	MemoryTokens, UsedTokens int
	Running, Waiting         int
	Preemptions              uint64
	// Bears is the number of jobs that the engine bears.
	Bears int
	// StepTime is the time of the last batch step.
	StepTime time.Duration
	// Stopping is set from a reclaim notice on.
	Stopping bool
}

// reportSlots bounds the history of reports; they are taken at least
// ReportLag/reportsPerLag apart, so that the history always spans the lag.
const (
	reportSlots   = 64
	reportsPerLag = 16
)

type timedReport struct {
	at     time.Duration
	report Report
}

// reportLog is a ring of the latest reports.
type reportLog struct {
	ring  [reportSlots]timedReport
	count int
}

func (l *reportLog) last() *timedReport { return &l.ring[(l.count-1)%reportSlots] }

// record notes the state for reports to come. Changes that follow each other
// closely share a slot.
func (e *Engine) record() {
	l := &e.reports
	spacing := e.cfg.ReportLag / reportsPerLag
	if l.count < 2 || e.now-l.ring[(l.count-2)%reportSlots].at >= spacing {
		l.count++
	}
	*l.last() = timedReport{at: e.now, report: e.current()}
}

func (e *Engine) current() Report {
	return Report{
		Incarnation: e.cfg.Incarnation, MemoryTokens: e.cfg.MemoryTokens, UsedTokens: e.used,
		Running: len(e.running), Waiting: len(e.waiting), Preemptions: e.stats.Preemptions,
		Bears: e.Bears(), StepTime: e.stepTime, Stopping: e.stopping,
	}
}

// Report gives the state as it was Config.ReportLag ago, or at the engine's
// start when that is later.
func (e *Engine) Report(now time.Duration) Report {
	e.catchUp(now)
	if e.cfg.ReportLag < 0 {
		return e.current()
	}
	l := &e.reports
	oldest := max(0, l.count-reportSlots)
	chosen := l.ring[oldest%reportSlots]
	for i := oldest + 1; i < l.count; i++ {
		if r := l.ring[i%reportSlots]; r.at <= e.now-e.cfg.ReportLag {
			chosen = r
		}
	}
	chosen.report.Age = min(e.cfg.ReportLag, e.now)
	return chosen.report
}
