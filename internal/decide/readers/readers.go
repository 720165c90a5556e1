// Package readers decides which hosts read the store.
//
// Every host needs each update within a second of its publication, and the store
// limits the calls per second of all hosts together. If each host
// watched the store itself, the calls would grow with the fleet. With a fixed
// set of readers, the fleet would get no updates when just these are cut off.
//
// All hosts rank the hosts in the same order, and a host reads while fewer
// hosts than the configured number rank above it and are known to read
// successfully. A host that can't reach the store reports it and no longer
// counts; neither does a host that has sent no report for a while. Two
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
	// ReaderCount is the number of readers for the hosts that share them. With
	// two, the loss of one has no effect.
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

// New returns the selector of a host that has received no reports. Such a host
// reads the store itself.
func New(cfg Config) *Selector { return &Selector{cfg: cfg, reports: map[string]report{}} }

// RecordReport records whether a host reported that it reads the store
// successfully.
func (s *Selector) RecordReport(now time.Duration, host string, reading bool) {
	s.reports[host] = report{now, reading}
}

// ShouldRead reports whether self is to read the store. ranked lists the live
// hosts by rank, and fresh is set when self's data is recent enough. While a
// fleet starts, hosts know few others and have no report of a higher-ranked
// reader, so most of them would read. Therefore a host that has just
// started and is not among the first ReaderCount hosts reads only while its data
// is out of date.
func (s *Selector) ShouldRead(now time.Duration, self string, ranked []string, fresh bool) bool {
	if now < s.cfg.StartupPeriod && fresh && !s.IsPreferred(self, ranked) {
		return false
	}
	higherRanked := 0
	for _, host := range ranked {
		if host == self {
			break
		}
		if s.isReading(now, host) {
			higherRanked++
		}
	}
	return higherRanked < s.ReaderCount()
}

// ReaderCount returns the configured number of readers.
func (s *Selector) ReaderCount() int { return s.cfg.ReaderCount }

// IsPreferred reports whether self is one of the hosts that read in normal operation.
func (s *Selector) IsPreferred(self string, ranked []string) bool {
	return slices.Contains(ranked[:min(len(ranked), s.ReaderCount())], self)
}

// KnownReaders returns the other hosts that are known to read, in the order of ranked.
func (s *Selector) KnownReaders(now time.Duration, self string, ranked []string) []string {
	var out []string
	for _, host := range ranked {
		if host != self && s.isReading(now, host) {
			out = append(out, host)
		}
	}
	return out
}

func (s *Selector) isReading(now time.Duration, host string) bool {
	last, known := s.reports[host]
	return known && last.reading && now-last.receivedAt < s.cfg.ReportTTL
}
