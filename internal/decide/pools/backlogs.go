package pools

import (
	"cmp"
	"slices"
	"time"
)

// maxReportAge is how long a report is kept without a newer one, so that a pool
// whose allocator is gone is removed.
const maxReportAge = 30 * time.Second

// BacklogReport is the gossiped backlog report of a pool's allocator.
type BacklogReport struct {
	Pool           string
	ControlAddress string
	// Backlog is the expected wait of a request that arrives now.
	Backlog time.Duration
	// Version increases with each report of one control process.
	Version uint64
}

// BacklogTable stores the latest report of each pool. It is not safe for concurrent
// use.
type BacklogTable struct {
	reports map[string]storedReport
}

type storedReport struct {
	BacklogReport
	receivedAt time.Duration
	// timesSent counts the gossip messages that included the report.
	timesSent int
}

// NewBacklogTable returns an empty table.
func NewBacklogTable() *BacklogTable { return &BacklogTable{reports: map[string]storedReport{}} }

// Update stores a report and reports whether it was new. A report that is not
// newer than the stored one of the same control process is dropped: gossip
// arrives in any order, and an outdated short backlog would attract requests to
// a full pool. A report of another control process, which has become the pool's
// owner, replaces the stored one only after takeoverAfter: otherwise two
// processes that both consider themselves the owner would replace each other's
// report with every message.
func (n *BacklogTable) Update(now time.Duration, item BacklogReport) bool {
	known, ok := n.reports[item.Pool]
	switch {
	case ok && known.ControlAddress == item.ControlAddress && item.Version <= known.Version:
		return false
	case ok && known.ControlAddress != item.ControlAddress && now-known.receivedAt < takeoverAfter:
		return false
	}
	n.reports[item.Pool] = storedReport{BacklogReport: item, receivedAt: now}
	return true
}

// takeoverAfter is how old the report of a pool's allocator must be before a
// report of another one replaces it: two report intervals.
const takeoverAfter = 2 * time.Second

// NextBroadcast returns up to limit reports for the next gossip message: those sent
// least often first, and the latest first among these. A report that was sent
// rounds times is assumed to be known to all hosts and is omitted, so that
// gossip traffic stays low while little changes.
func (n *BacklogTable) NextBroadcast(now time.Duration, limit, rounds int) []BacklogReport {
	n.removeExpired(now)
	var due []storedReport
	for _, report := range n.reports {
		if report.timesSent < rounds {
			due = append(due, report)
		}
	}
	slices.SortFunc(due, func(a, b storedReport) int {
		return cmp.Or(cmp.Compare(a.timesSent, b.timesSent), cmp.Compare(b.receivedAt, a.receivedAt), cmp.Compare(a.Pool, b.Pool))
	})
	out := make([]BacklogReport, 0, min(limit, len(due)))
	for _, report := range due[:min(limit, len(due))] {
		out = append(out, report.BacklogReport)
		report.timesSent++
		n.reports[report.Pool] = report
	}
	return out
}

// Backlog returns the last reported wait of a pool. It returns false if there
// is no report or the report is older than maxReportAge.
func (n *BacklogTable) Backlog(now time.Duration, pool string) (time.Duration, bool) {
	report, ok := n.reports[pool]
	if !ok || now-report.receivedAt > maxReportAge {
		return 0, false
	}
	return report.Backlog, true
}

func (n *BacklogTable) removeExpired(now time.Duration) {
	for pool, report := range n.reports {
		if now-report.receivedAt > maxReportAge {
			delete(n.reports, pool)
		}
	}
}
