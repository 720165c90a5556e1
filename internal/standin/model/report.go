package model

import "time"

// Report describes the engine's load as it was Age ago.
type Report struct {
	Incarnation uint64
	Age         time.Duration
	// MemoryTokens is the capacity of the KV cache; UsedTokens is in use.
	MemoryTokens, UsedTokens int
	Running, Waiting         int
	Preemptions              uint64
	// Bears is the number of jobs that the engine can take without overload.
	Bears int
	// StepTime is the duration of the last batch step.
	StepTime time.Duration
	// Stopping is set from the time of a reclaim notice.
	Stopping bool
}

// reportRingSize limits the history of reports. Reports are recorded at least
// ReportLag/reportsPerLag apart, so that the history always covers the lag.
const (
	reportRingSize = 64
	reportsPerLag  = 16
)

type timedReport struct {
	at     time.Duration
	report Report
}

// reportLog is a ring buffer of the latest reports.
type reportLog struct {
	ring  [reportRingSize]timedReport
	count int
}

func (l *reportLog) last() *timedReport { return &l.ring[(l.count-1)%reportRingSize] }

// recordReport saves the current state for later reports. It overwrites the last
// entry if the entry before it was recorded less than the spacing ago.
func (e *Engine) recordReport() {
	l := &e.reports
	spacing := e.cfg.ReportLag / reportsPerLag
	if l.count < 2 || e.now-l.ring[(l.count-2)%reportRingSize].at >= spacing {
		l.count++
	}
	*l.last() = timedReport{at: e.now, report: e.currentReport()}
}

func (e *Engine) currentReport() Report {
	return Report{
		Incarnation: e.cfg.Incarnation, MemoryTokens: e.cfg.MemoryTokens, UsedTokens: e.usedTokens,
		Running: len(e.running), Waiting: len(e.waiting), Preemptions: e.stats.Preemptions,
		Bears: e.Capacity(), StepTime: e.stepTime, Stopping: e.stopping,
	}
}

// Report returns the state as it was Config.ReportLag ago, or at the engine's
// start if that is later.
func (e *Engine) Report(now time.Duration) Report {
	e.advanceTo(now)
	if e.cfg.ReportLag < 0 {
		return e.currentReport()
	}
	l := &e.reports
	oldest := max(0, l.count-reportRingSize)
	selected := l.ring[oldest%reportRingSize]
	for i := oldest + 1; i < l.count; i++ {
		if r := l.ring[i%reportRingSize]; r.at <= e.now-e.cfg.ReportLag {
			selected = r
		}
	}
	selected.report.Age = min(e.cfg.ReportLag, e.now)
	return selected.report
}
