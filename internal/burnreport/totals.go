package burnreport

import (
	"filbertdeck/internal/accounting"
	"filbertdeck/internal/adminapi"
)

// key names a row of the accounting over all hosts.
type key struct{ account, service string }

// life names one life of one entry's counters.
type life struct {
	entry       string
	incarnation uint64
	key
}

// totals are counters over all hosts and all lives that were seen. An entry
// that restarts begins at 0; the last state of its earlier life stays counted,
// and what happened between that state and its end is lost, which is told.
type totals struct {
	last map[life]adminapi.AccountingRow
	// lives counts the incarnations of each entry.
	lives map[string]map[uint64]bool
}

func newTotals() *totals {
	return &totals{last: map[life]adminapi.AccountingRow{}, lives: map[string]map[uint64]bool{}}
}

// take adds a sample; counters of one life only rise.
func (t *totals) take(s Sample) {
	for _, h := range s.Hosts {
		if h.Accounting == nil {
			continue
		}
		for _, row := range h.Accounting.Rows {
			id := life{entry: row.Entry, incarnation: row.Incarnation, key: key{row.Account, row.Service}}
			t.last[id] = row
			if t.lives[row.Entry] == nil {
				t.lives[row.Entry] = map[uint64]bool{}
			}
			t.lives[row.Entry][row.Incarnation] = true
		}
	}
}

// restarts counts the lives that ended while the report was made.
func (t *totals) restarts() int {
	n := 0
	for _, incarnations := range t.lives {
		n += len(incarnations) - 1
	}
	return n
}

// rows adds the lives up.
func (t *totals) rows() map[key]adminapi.AccountingRow {
	out := map[key]adminapi.AccountingRow{}
	for id, row := range t.last {
		out[id.key] = add(out[id.key], row)
	}
	return out
}

func add(a, b adminapi.AccountingRow) adminapi.AccountingRow {
	a.Account, a.Service = b.Account, b.Service
	a.Received += b.Received
	a.Refused += b.Refused
	a.Ran += b.Ran
	a.Unknown += b.Unknown
	a.InProgress += b.InProgress
	a.Failed += b.Failed
	a.WaitMS += b.WaitMS
	a.StallMS += b.StallMS
	a.Tokens += b.Tokens
	a.Preemptions += b.Preemptions
	a.Hedges += b.Hedges
	a.Retries += b.Retries
	a.Resumes += b.Resumes
	a.Replays += b.Replays
	a.MisplacedFrames += b.MisplacedFrames
	a.FirstToken = sum(a.FirstToken, b.FirstToken)
	a.TokenGap = sum(a.TokenGap, b.TokenGap)
	a.NoStall = sum(a.NoStall, b.NoStall)
	a.Complete = sum(a.Complete, b.Complete)
	a.Lookup = sum(a.Lookup, b.Lookup)
	return a
}

func sum(a, b accounting.Ratio) accounting.Ratio {
	return accounting.Ratio{Good: a.Good + b.Good, Total: a.Total + b.Total}
}

func minus(a, b accounting.Ratio) accounting.Ratio {
	return accounting.Ratio{Good: a.Good - b.Good, Total: a.Total - b.Total}
}
