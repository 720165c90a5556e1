package burnreport

import (
	"time"

	"filbertdeck/internal/accounting"
)

// Report is the complete burn report.
type Report struct {
	From    time.Time `json:"from"`
	To      time.Time `json:"to"`
	Samples int       `json:"samples"`
	// UnreadHosts lists the control processes that could not be read in the last
	// sample, with the reason. FailedReads counts failed reads over all samples.
	UnreadHosts    []Host             `json:"missing"`
	FailedReads    int                `json:"gaps"`
	UnbalancedRows int                `json:"unbalanced_rows"`
	EntryRestarts  int                `json:"entry_restarts"`
	Objectives     []ServiceObjective `json:"objectives"`
	Shares         []Share            `json:"shares"`
	// Spread is the ratio of the highest to the lowest number of tokens per
	// weight among the accounts that received tokens; 0 with fewer than two such
	// accounts.
	Spread   float64   `json:"spread"`
	Promises []Promise `json:"promises"`
}

// Build creates the report from samples in chronological order.
func Build(samples []Sample, windows []time.Duration) Report {
	r := Report{Samples: len(samples)}
	if len(samples) == 0 {
		return r
	}
	t := newTotals()
	snapshots := make([]snapshot, 0, len(samples))
	var tableVersions tableVersionTracker
	for _, s := range samples {
		t.addSample(s)
		snapshots = append(snapshots, snapshot{time: s.Time, rows: t.sumIncarnations(), editsInForce: tableVersions.addSample(s)})
		r.FailedReads += len(unreadHosts(s))
	}
	first, last := samples[0], samples[len(samples)-1]
	latest := snapshots[len(snapshots)-1]
	r.From, r.To = first.Time, last.Time
	r.UnreadHosts = unreadHosts(last)
	r.UnbalancedRows = countUnbalanced(last)
	r.EntryRestarts = t.restarts()
	r.Objectives = evaluateObjectives(snapshots, windows)
	r.Shares = accountShares(latest, accountWeights(last))
	r.Spread = perWeightSpread(r.Shares)
	r.Promises = checkPromises(evidence{
		total: totalRow(latest), firstSample: first, lastSample: last, incompleteReads: len(r.UnreadHosts) + r.UnbalancedRows, restarts: r.EntryRestarts,
	})
	return r
}

// tableVersionTracker tracks the newest table version that any host reported and
// counts the hosts that hold it.
type tableVersionTracker struct {
	version string
	events  accounting.Ratio
}

// addSample counts the hosts of a sample and returns the totals so far.
func (t *tableVersionTracker) addSample(s Sample) accounting.Ratio {
	for _, h := range s.Hosts {
		if status := tableStatus(h); status != nil && (t.version == "" || olderVersion(t.version, status.Version)) {
			t.version = status.Version
		}
	}
	for _, h := range s.Hosts {
		t.events.Total++
		if status := tableStatus(h); status != nil && status.Version == t.version {
			t.events.Good++
		}
	}
	return t.events
}

func unreadHosts(s Sample) []Host {
	var out []Host
	for _, h := range s.Hosts {
		if h.Problem != "" {
			out = append(out, Host{Control: h.Control, Problem: h.Problem})
		}
	}
	return out
}

func countUnbalanced(s Sample) int {
	n := 0
	for _, h := range s.Hosts {
		if h.Accounting != nil {
			n += len(h.Accounting.Unbalanced)
		}
	}
	return n
}

func perWeightSpread(shares []Share) float64 {
	lowest, n := 0.0, 0
	for _, s := range shares {
		if s.Tokens == 0 || s.Weight == 0 {
			continue
		}
		if n == 0 || s.PerWeight < lowest {
			lowest = s.PerWeight
		}
		n++
	}
	if n < 2 || lowest == 0 {
		return 0
	}
	return 1 / lowest
}

// HasBreach reports whether a promise was broken or a row does not balance.
func (r Report) HasBreach() bool {
	for _, p := range r.Promises {
		if p.Verdict == Broken {
			return true
		}
	}
	return r.UnbalancedRows > 0
}

// Complete reports whether every host was read in every sample.
func (r Report) Complete() bool { return len(r.UnreadHosts) == 0 && r.FailedReads == 0 }
