// Package failurereports evaluates other hosts' reports of failing targets.
//
// A faulty target of a plain service can break every connection while its health
// checks succeed, and many hosts together send it a few requests a second. If
// each host detected the fault only from its own requests, and those must not be
// retried, each host would lose a few requests, and the fleet hundreds.
//
// Therefore hosts report to each other which targets failed their requests. The
// report of a single host is not sufficient: that host may be cut off from
// healthy targets, and if all others avoided those, they would overload the
// rest. A target that two other hosts report within a few seconds is avoided
// while there are better ones.
//
// The package is not safe for concurrent use; times are on the monotonic clock.
package failurereports

import "time"

const (
	// reportTTL is how long a report is valid: as long as a host's own failure
	// counts against a target.
	reportTTL = 4 * time.Second
	// minReportingHosts is the number of hosts that must report a target before
	// it is penalised.
	minReportingHosts = 2
	// penaltyPerHost is added to a target's load fraction for each reporting
	// host, up to maxPenalty: enough for a target at half of its load to be
	// chosen instead.
	penaltyPerHost, maxPenalty = 0.25, 0.75
)

// Tracker holds the failure reports known to one host.
type Tracker struct {
	byTarget map[string]map[string]failureReport
}

type failureReport struct {
	failures   uint32
	receivedAt time.Duration
}

// New returns a tracker without reports.
func New() *Tracker { return &Tracker{byTarget: map[string]map[string]failureReport{}} }

// RecordFailures records a host's report of its failures at a target. failures is
// a number that changes with each failure, or 0 for none.
func (t *Tracker) RecordFailures(now time.Duration, host, target string, failures uint32) {
	if failures == 0 {
		return
	}
	hosts := t.byTarget[target]
	if hosts == nil {
		hosts = map[string]failureReport{}
		t.byTarget[target] = hosts
	}
	if hosts[host].failures != failures {
		hosts[host] = failureReport{failures, now}
	}
}

// Penalty returns what the reports add to a target's load fraction.
func (t *Tracker) Penalty(now time.Duration, target string) float64 {
	hosts := 0
	for _, report := range t.byTarget[target] {
		if now-report.receivedAt < reportTTL {
			hosts++
		}
	}
	if hosts < minReportingHosts {
		return 0
	}
	return min(float64(hosts)*penaltyPerHost, maxPenalty)
}

// Retain removes the targets that are no longer known.
func (t *Tracker) Retain(known func(target string) bool) {
	for target := range t.byTarget {
		if !known(target) {
			delete(t.byTarget, target)
		}
	}
}
