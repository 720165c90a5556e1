// Package failurereports evaluates other hosts' reports of failing targets.
//
// One target of a plain service breaks each connection while its health answers
// say that it is well, and many hosts send it a few requests a second between
// them. If each host had to find out by a request of its own, which may not be
// sent again, a few requests would be lost per host, hundreds together.
//
// Therefore hosts tell each other which targets broke a request of theirs. The
// report of a single host proves nothing: that host may be cut off from healthy
// targets, and all others would overload the rest. A target that two other
// hosts report within a few seconds is avoided while there are better ones.
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

// New returns an empty set of reports.
func New() *Tracker { return &Tracker{byTarget: map[string]map[string]failureReport{}} }

// RecordFailures records a host's report of its failures at a target: a number that
// changes with each failure, or 0 for none.
func (b *Tracker) RecordFailures(now time.Duration, host, target string, failures uint32) {
	if failures == 0 {
		return
	}
	hosts := b.byTarget[target]
	if hosts == nil {
		hosts = map[string]failureReport{}
		b.byTarget[target] = hosts
	}
	if hosts[host].failures != failures {
		hosts[host] = failureReport{failures, now}
	}
}

// Penalty returns what the reports add to a target's load fraction.
func (b *Tracker) Penalty(now time.Duration, target string) float64 {
	hosts := 0
	for _, report := range b.byTarget[target] {
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
func (b *Tracker) Retain(known func(target string) bool) {
	for target := range b.byTarget {
		if !known(target) {
			delete(b.byTarget, target)
		}
	}
}
