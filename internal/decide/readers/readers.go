// Package readers decides which hosts read the store.
//
// Load pattern: every host needs what is published within a second, and the
// store answers a limited number of calls a second for all of them together.
//
// What happens without it: each host watches for itself, and the calls grow
// with the fleet. With readers that are fixed, the fleet is blind when just
// these are cut off.
//
// How it works: hosts are ranked, the same everywhere, and a host reads while
// fewer than Want better ones are known to read with success. Who can't reach
// the store says so and counts no more; who isn't heard of for HeardFor counts
// no more. Two hosts that disagree for a moment cost a few calls, no more.
//
// It is not safe for concurrent use; times are on the steady clock.
package readers

import (
	"slices"
	"time"
)

// Config holds the figures.
type Config struct {
	// ReaderCount is the number of readers of the hosts that share them. With two, the
	// loss of one costs nothing.
	ReaderCount int
	// HeardFor is how long a host's word holds. Hosts ask readers every 200 ms
	// in turn; two questions to each may fail.
	HeardFor time.Duration
	// SettleFor is the time from a process's start in which it finds the other
	// hosts. Its rank among those it knows says little until then.
	SettleFor time.Duration
}

// DefaultConfig gives the figures in use.
func DefaultConfig() Config {
	return Config{ReaderCount: 2, HeardFor: 1200 * time.Millisecond, SettleFor: 5 * time.Second}
}

// Selector holds what one host knows of the others.
type Selector struct {
	cfg   Config
	heard map[string]word
}

type word struct {
	at      time.Duration
	reading bool
}

// New returns a Readers that has heard of nobody: its host reads.
func New(cfg Config) *Selector { return &Selector{cfg: cfg, heard: map[string]word{}} }

// RecordReport notes whether a host said that it reads the store with success.
func (r *Selector) RecordReport(now time.Duration, host string, reading bool) {
	r.heard[host] = word{now, reading}
}

// ShouldRead tells whether self is to read, given the live hosts in the order of
// their rank; fresh tells whether what self knows is new enough. While a fleet
// starts, hosts know few others and hear of no better reader, and most would take
// the role in turn. So a host that has just started and is not among the best by
// its own rank reads only while it lacks news.
func (r *Selector) ShouldRead(now time.Duration, self string, ranked []string, fresh bool) bool {
	if now < r.cfg.SettleFor && fresh && !r.IsPreferred(self, ranked) {
		return false
	}
	better := 0
	for _, host := range ranked {
		if host == self {
			break
		}
		if r.reads(now, host) {
			better++
		}
	}
	return better < r.ReaderCount()
}

// ReaderCount is the number of readers that there should be.
func (r *Selector) ReaderCount() int { return r.cfg.ReaderCount }

// IsPreferred tells whether self is among those that read when all is well.
func (r *Selector) IsPreferred(self string, ranked []string) bool {
	return slices.Contains(ranked[:min(len(ranked), r.ReaderCount())], self)
}

// KnownReaders gives the hosts that are known to read, in the order of ranked.
func (r *Selector) KnownReaders(now time.Duration, self string, ranked []string) []string {
	var out []string
	for _, host := range ranked {
		if host != self && r.reads(now, host) {
			out = append(out, host)
		}
	}
	return out
}

func (r *Selector) reads(now time.Duration, host string) bool {
	w, known := r.heard[host]
	return known && w.reading && now-w.at < r.cfg.HeardFor
}
