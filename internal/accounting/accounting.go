// Package accounting counts the outcomes of all requests on this host, for each
// client account and service.
//
// The following invariant holds at any time and is checked at run time:
//
//	received = refused + ran + unknown + in progress
//
// A request that is counted in none of these would have been lost unnoticed.
// Each row has its own lock, which is held for a few additions only, so that a
// snapshot never shows a partial update.
package accounting

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"filbertdeck/internal/failure"
)

// Service level objectives that are counted as good or bad where they are
// measured. The users specified the first two; this project chose the others.
const (
	// FirstTokenObjective is the limit on the time from a request to its first
	// token.
	FirstTokenObjective = 550 * time.Millisecond
	// TokenGapObjective is the limit on the time between two tokens.
	TokenGapObjective = 61 * time.Millisecond
	// StallThreshold is the gap between two tokens above which the caller
	// experiences a stall.
	StallThreshold = time.Second
	// LookupObjective is the limit on the duration of an idempotent call to a
	// plain service.
	LookupObjective = 250 * time.Millisecond
)

// Ratio counts the good events and all events.
type Ratio struct {
	Good  uint64 `json:"good"`
	Total uint64 `json:"total"`
}

func (r *Ratio) add(good bool) {
	r.Total++
	if good {
		r.Good++
	}
}

// Counts is one row: the requests of one account to one service since the start
// of this process. Durations are sums in microseconds.
type Counts struct {
	Received   uint64 `json:"received"`
	Refused    uint64 `json:"refused"`
	Ran        uint64 `json:"ran"`
	Unknown    uint64 `json:"unknown"`
	InProgress uint64 `json:"in_progress"`

	// Failed counts the requests among Ran that ended in an error.
	Failed  uint64 `json:"failed"`
	Resumes uint64 `json:"resumes"`
	Retries uint64 `json:"retries"`
	Hedges  uint64 `json:"hedges"`
	Replays uint64 `json:"replays"`
	// MisplacedFrames counts frames from targets that were not forwarded because
	// they belong to another generation or another position in it.
	MisplacedFrames uint64 `json:"out_of_place"`

	PromptTokens uint64 `json:"prompt_tokens"`
	OutputTokens uint64 `json:"output_tokens"`
	WaitUS       uint64 `json:"wait_us"`
	StallUS      uint64 `json:"stall_us"`

	FirstToken Ratio `json:"first_token"`
	TokenGap   Ratio `json:"token_gap"`
	// NoStall counts the token gaps that were not a stall.
	NoStall  Ratio `json:"no_stall"`
	Complete Ratio `json:"whole"`
	Lookup   Ratio `json:"lookup"`

	RefusedBy map[failure.Kind]uint64 `json:"refused_by,omitempty"`
}

// Balanced reports whether the invariant holds.
func (c Counts) Balanced() bool {
	return c.Received == c.Refused+c.Ran+c.Unknown+c.InProgress
}

type rowKey struct{ account, service string }

type row struct {
	mu     sync.Mutex
	counts Counts
	// changed is set by each update and cleared when the row is exported.
	changed bool
}

// update modifies the counters under the row's lock.
func (r *row) update(apply func(*Counts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	apply(&r.counts)
	r.changed = true
}

// Recorder holds the rows of one process.
type Recorder struct {
	rows sync.Map // rowKey → *row
}

// New returns a Book without rows.
func New() *Recorder { return &Recorder{} }

func (b *Recorder) row(account, service string) *row {
	key := rowKey{account, service}
	if r, ok := b.rows.Load(key); ok {
		return r.(*row)
	}
	r, _ := b.rows.LoadOrStore(key, &row{})
	return r.(*row)
}

// Begin counts a request as received and in progress.
func (b *Recorder) Begin(account, service string) *RequestRecorder {
	r := b.row(account, service)
	r.update(func(c *Counts) {
		c.Received++
		c.InProgress++
	})
	return &RequestRecorder{row: r}
}

// RequestRecorder records one request. End may be called on several paths; only the first
// call counts.
type RequestRecorder struct {
	row   *row
	ended atomic.Bool
}

// RecordOutcome records the outcome of the request from the error it ended with, nil for
// success.
func (e *RequestRecorder) RecordOutcome(err error) {
	if !e.ended.CompareAndSwap(false, true) {
		return
	}
	e.row.update(func(c *Counts) {
		c.InProgress--
		if err == nil {
			c.Ran++
			return
		}
		c.addFailure(failure.FromError(err))
	})
}

func (c *Counts) addFailure(f *failure.Error) {
	switch f.Executed {
	case failure.ExecutedNo:
		c.Refused++
		if c.RefusedBy == nil {
			c.RefusedBy = map[failure.Kind]uint64{}
		}
		c.RefusedBy[f.Kind]++
	case failure.ExecutedYes:
		c.Ran++
		c.Failed++
	default:
		c.Unknown++
	}
}

// Update modifies the other counters of the row under its lock.
func (e *RequestRecorder) Update(change func(*Counts)) { e.row.update(change) }

// RecordFirstToken records the time to the first token.
func (e *RequestRecorder) RecordFirstToken(d time.Duration) {
	e.Update(func(c *Counts) { c.FirstToken.add(d <= FirstTokenObjective) })
}

// RecordTokens records n tokens that arrived after a gap since the previous ones.
func (e *RequestRecorder) RecordTokens(n int, gap time.Duration) {
	e.row.update(func(c *Counts) {
		c.OutputTokens += uint64(n)
		c.TokenGap.add(gap <= TokenGapObjective)
		c.NoStall.add(gap <= StallThreshold)
		if gap > StallThreshold {
			c.StallUS += uint64(gap.Microseconds())
		}
	})
}

// RecordCompleteness records whether the response of a generation arrived completely.
func (e *RequestRecorder) RecordCompleteness(good bool) {
	e.Update(func(c *Counts) { c.Complete.add(good) })
}

// RecordLookup records the duration of an idempotent call.
func (e *RequestRecorder) RecordLookup(d time.Duration) {
	e.Update(func(c *Counts) { c.Lookup.add(d <= LookupObjective) })
}

// Row is one row of a snapshot.
type Row struct {
	Account string `json:"account"`
	Service string `json:"service"`
	Counts
}

// Snapshot holds the counters of one process.
type Snapshot struct {
	Host       string `json:"host"`
	DataCentre string `json:"data_centre"`
	// Incarnation distinguishes restarts of the process on one host: the
	// counters restart from 0.
	Incarnation uint64 `json:"incarnation"`
	Rows        []Row  `json:"lines"`
	// Unbalanced counts the rows that violate the invariant; any value but 0
	// indicates a bug in this program.
	Unbalanced int `json:"unbalanced"`
}

// Rows copies all rows, sorted by account and service.
func (b *Recorder) Rows() []Row {
	return b.copyRows(func(r *row) (Counts, bool) { return r.copyCounts(), true })
}

// ChangedRows copies the rows that changed since its last call, sorted by
// account and service. It must have a single caller, the one that exports the
// rows.
func (b *Recorder) ChangedRows() []Row { return b.copyRows((*row).copyIfChanged) }

func (b *Recorder) copyRows(copyRow func(*row) (Counts, bool)) []Row {
	var lines []Row
	b.rows.Range(func(k, v any) bool {
		key := k.(rowKey)
		if counts, ok := copyRow(v.(*row)); ok {
			lines = append(lines, Row{Account: key.account, Service: key.service, Counts: counts})
		}
		return true
	})
	sortLines(lines)
	return lines
}

func sortLines(lines []Row) {
	sort.Slice(lines, func(i, j int) bool {
		if lines[i].Account != lines[j].Account {
			return lines[i].Account < lines[j].Account
		}
		return lines[i].Service < lines[j].Service
	})
}

// Snapshot copies all rows together with the identity of the process.
func (b *Recorder) Snapshot(host, dataCentre string, incarnation uint64) Snapshot {
	return snapshotOf(host, dataCentre, incarnation, b.Rows())
}

// ChangedSnapshot is like Snapshot but contains only the rows that changed
// since its last call.
func (b *Recorder) ChangedSnapshot(host, dataCentre string, incarnation uint64) Snapshot {
	return snapshotOf(host, dataCentre, incarnation, b.ChangedRows())
}

func snapshotOf(host, dataCentre string, incarnation uint64, lines []Row) Snapshot {
	s := Snapshot{Host: host, DataCentre: dataCentre, Incarnation: incarnation, Rows: lines}
	for _, l := range s.Rows {
		if !l.Balanced() {
			s.Unbalanced++
		}
	}
	return s
}

// InProgress returns the number of requests in progress over all rows.
func (b *Recorder) InProgress() (total uint64) {
	for _, l := range b.Rows() {
		total += l.InProgress
	}
	return total
}

// copyIfChanged copies the row if it changed since the last call.
func (r *row) copyIfChanged() (Counts, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.changed {
		return Counts{}, false
	}
	r.changed = false
	return r.counts.clone(), true
}

func (r *row) copyCounts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts.clone()
}

// clone copies the counters including the map.
func (c Counts) clone() Counts {
	if c.RefusedBy == nil {
		return c
	}
	refusedBy := make(map[failure.Kind]uint64, len(c.RefusedBy))
	for k, n := range c.RefusedBy {
		refusedBy[k] = n
	}
	c.RefusedBy = refusedBy
	return c
}
