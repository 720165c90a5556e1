package burnreport

import (
	"time"

	"filbertdeck/internal/accounting"
)

// Report is the whole report.
type Report struct {
	From    time.Time `json:"from"`
	To      time.Time `json:"to"`
	Samples int       `json:"samples"`
	// Missing lists the control processes that could not be read in the last
	// sample, with the reason; Gaps counts unanswered readings over all samples.
	Missing    []Host             `json:"missing"`
	Gaps       int                `json:"gaps"`
	Unbalanced int                `json:"unbalanced_rows"`
	Restarts   int                `json:"entry_restarts"`
	Objectives []ServiceObjective `json:"objectives"`
	Shares     []Share            `json:"shares"`
	// Spread is the largest service per weight over the least, among accounts
	// that were served at all; 0 with fewer than two.
	Spread   float64   `json:"spread"`
	Promises []Promise `json:"promises"`
}

// Build makes the report from samples in the order of time.
func Build(samples []Sample, windows []time.Duration) Report {
	r := Report{Samples: len(samples)}
	if len(samples) == 0 {
		return r
	}
	t := newTotals()
	points := make([]point, 0, len(samples))
	var versions newestTable
	for _, s := range samples {
		t.take(s)
		points = append(points, point{at: s.At, rows: t.rows(), inForce: versions.take(s)})
		r.Gaps += len(missing(s))
	}
	first, last := samples[0], samples[len(samples)-1]
	end := points[len(points)-1]
	r.From, r.To = first.At, last.At
	r.Missing = missing(last)
	r.Unbalanced = unbalanced(last)
	r.Restarts = t.restarts()
	r.Objectives = objectives(points, windows)
	r.Shares = shares(end, weightsOf(last))
	r.Spread = spread(r.Shares)
	r.Promises = promises(evidence{
		total: sumRows(end), first: first, last: last, missing: len(r.Missing) + r.Unbalanced, restarts: r.Restarts,
	})
	return r
}

// newestTable follows the newest version of the table that any host showed.
type newestTable struct {
	version string
	events  accounting.Ratio
}

// take counts a sample's hosts and gives the sum so far.
func (n *newestTable) take(s Sample) accounting.Ratio {
	for _, h := range s.Hosts {
		if d := tableOf(h); d != nil && (n.version == "" || older(n.version, d.Version)) {
			n.version = d.Version
		}
	}
	for _, h := range s.Hosts {
		n.events.Total++
		if d := tableOf(h); d != nil && d.Version == n.version {
			n.events.Good++
		}
	}
	return n.events
}

func missing(s Sample) []Host {
	var out []Host
	for _, h := range s.Hosts {
		if h.Problem != "" {
			out = append(out, Host{Control: h.Control, Problem: h.Problem})
		}
	}
	return out
}

func unbalanced(s Sample) int {
	n := 0
	for _, h := range s.Hosts {
		if h.Accounting != nil {
			n += len(h.Accounting.Unbalanced)
		}
	}
	return n
}

func spread(all []Share) float64 {
	least, n := 0.0, 0
	for _, s := range all {
		if s.Tokens == 0 || s.Weight == 0 {
			continue
		}
		if n == 0 || s.PerWeight < least {
			least = s.PerWeight
		}
		n++
	}
	if n < 2 || least == 0 {
		return 0
	}
	return 1 / least
}

// HasBreach tells whether the report shows a broken promise or a row that does
// not balance.
func (r Report) HasBreach() bool {
	for _, p := range r.Promises {
		if p.Verdict == Broken {
			return true
		}
	}
	return r.Unbalanced > 0
}

// Complete tells whether every host was read.
func (r Report) Complete() bool { return len(r.Missing) == 0 && r.Gaps == 0 }
