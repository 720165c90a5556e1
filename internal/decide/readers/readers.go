// Package readers decides which hosts read the store.
//
// Every host needs what is published within a second, and the store answers a
// limited number of calls a second for all of them together. If each host
// watched the store itself, the calls would grow with the fleet. With a fixed
// set of readers, the fleet would get no updates when just these are cut off.
//
// All hosts rank the hosts in the same order, and a host reads while fewer
// hosts than the configured number rank above it and are known to read
// successfully. A host that can't reach the store reports it and no longer
// counts; neither does a host that has not been heard from for a while. Two
// hosts that disagree for a moment cost only a few extra calls.
//
// The package is not safe for concurrent use; times are on the monotonic clock.
package readers

import (
	"slices"
	"time"
)

// Config holds the settings of the selection.
type Config struct {
	// ReaderCount is the number of readers for the hosts that share them. With two,
	// the loss of one has no effect.
	ReaderCount int
	// ReportTTL is how long a host's report is valid. Hosts ask the readers in
	// turn, every 200 ms; two requests to each may fail.
	ReportTTL time.Duration
	// StartupPeriod is the time after a process's start in which it discovers
	// the other hosts. Until then its rank among the hosts that it knows means
	// little.
	StartupPeriod time.Duration
}

// DefaultConfig returns the settings in use.
func DefaultConfig() Config {
	return Config{ReaderCount: 2, ReportTTL: 1200 * time.Millisecond, StartupPeriod: 5 * time.Second}
}

// Selector holds one host's knowledge of the others.
type Selector struct {
	cfg     Config
	reports map[string]report
}

type report struct {
	receivedAt time.Duration
	reading    bool
}

// New returns the state of a host that has heard from no other: it reads.
func New(cfg Config) *Selector { return &Selector{cfg: cfg, reports: map[string]report{}} }

// RecordReport records whether a host reported that it reads the store successfully.
func (r *Selector) RecordReport(now time.Duration, host string, reading bool) {
	r.reports[host] = report{now, reading}
}

// ShouldRead reports whether self is to read, given the live hosts in the order of
// their rank; fresh is set when self's data is recent enough. While a fleet
// starts, hosts know few others and hear of no higher-ranked reader, so most of
// them would take the role in turn. Therefore a host that has just started and
// does not rank among the first reads only while its data is out of date.
func (r *Selector) ShouldRead(now time.Duration, self string, ranked []string, fresh bool) bool {
	if now < r.cfg.StartupPeriod && fresh && !r.IsPreferred(self, ranked) {
		return false
	}
	higherRanked := 0
	for _, host := range ranked {
		if host == self {
			break
		}
		if r.isReading(now, host) {
			higherRanked++
		}
	}
	return higherRanked < r.ReaderCount()
}

// ReaderCount returns the configured number of readers.
func (r *Selector) ReaderCount() int { return r.cfg.ReaderCount }

// IsPreferred reports whether self is one of the hosts that read in normal operation.
func (r *Selector) IsPreferred(self string, ranked []string) bool {
	return slices.Contains(ranked[:min(len(ranked), r.ReaderCount())], self)
}

// KnownReaders returns the other hosts that are known to read, in the order of ranked.
func (r *Selector) KnownReaders(now time.Duration, self string, ranked []string) []string {
	var out []string
	for _, host := range ranked {
		if host != self && r.isReading(now, host) {
			out = append(out, host)
		}
	}
	return out
}

func (r *Selector) isReading(now time.Duration, host string) bool {
	last, known := r.reports[host]
	return known && last.reading && now-last.receivedAt < r.cfg.ReportTTL
}
