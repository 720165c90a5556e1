package burnreport

import (
	"filbertdeck/internal/accounting"
	"filbertdeck/internal/adminapi"
)

// accountService identifies an accounting row that is summed over all hosts.
type accountService struct{ account, service string }

// counterID identifies the counters of one incarnation of an entry process.
type counterID struct {
	entry       string
	incarnation uint64
	accountService
}

// totals accumulates counters over all hosts and entry incarnations. A restarted
// entry counts from 0 again. The last sampled counters of its previous
// incarnation remain included; events between that sample and the restart are
// lost, which is why the report shows the number of restarts.
type totals struct {
	latest map[counterID]adminapi.AccountingRow
	// incarnations holds the incarnations seen of each entry.
	incarnations map[string]map[uint64]bool
}

func newTotals() *totals {
	return &totals{latest: map[counterID]adminapi.AccountingRow{}, incarnations: map[string]map[uint64]bool{}}
}

// addSample adds a sample. It replaces earlier values of the same incarnation,
// because the counters of an incarnation only increase.
func (t *totals) addSample(s Sample) {
	for _, h := range s.Hosts {
		if h.Accounting == nil {
			continue
		}
		for _, row := range h.Accounting.Rows {
			id := counterID{entry: row.Entry, incarnation: row.Incarnation, accountService: accountService{row.Account, row.Service}}
			t.latest[id] = row
			if t.incarnations[row.Entry] == nil {
				t.incarnations[row.Entry] = map[uint64]bool{}
			}
			t.incarnations[row.Entry][row.Incarnation] = true
		}
	}
}

// restarts counts the entry restarts observed during the report period.
func (t *totals) restarts() int {
	n := 0
	for _, incarnations := range t.incarnations {
		n += len(incarnations) - 1
	}
	return n
}

// sumIncarnations sums the counters of all incarnations by account and service.
func (t *totals) sumIncarnations() map[accountService]adminapi.AccountingRow {
	out := map[accountService]adminapi.AccountingRow{}
	for id, row := range t.latest {
		out[id.accountService] = addRows(out[id.accountService], row)
	}
	return out
}

func addRows(a, b adminapi.AccountingRow) adminapi.AccountingRow {
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
	a.FirstToken = addRatios(a.FirstToken, b.FirstToken)
	a.TokenGap = addRatios(a.TokenGap, b.TokenGap)
	a.NoStall = addRatios(a.NoStall, b.NoStall)
	a.Complete = addRatios(a.Complete, b.Complete)
	a.Lookup = addRatios(a.Lookup, b.Lookup)
	return a
}

func addRatios(a, b accounting.Ratio) accounting.Ratio {
	return accounting.Ratio{Good: a.Good + b.Good, Total: a.Total + b.Total}
}

func subtractRatios(a, b accounting.Ratio) accounting.Ratio {
	return accounting.Ratio{Good: a.Good - b.Good, Total: a.Total - b.Total}
}
