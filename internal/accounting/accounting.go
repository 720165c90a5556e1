// Package accounting counts, for each client account and service, what became
// of every request on this host.
//
// One identity holds at every moment and is checked, not assumed:
//
//	received = refused + ran + unknown + in progress
//
// A request that is in none of these would be one that was lost without
// anyone noticing. Each row has a lock of its own, held for a few additions,
// so that a snapshot never shows half of a change.
package accounting

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"filbertdeck/internal/failure"
)

// Objectives that are counted as good or bad where they are observed. The
// first two are the users' figures; the others are this project's.
const (
	// FirstTokenObjective bounds the time from a request to its first token.
	FirstTokenObjective = 550 * time.Millisecond
	// TokenGapObjective bounds the time between two tokens.
	TokenGapObjective = 61 * time.Millisecond
	// StallBound is the gap from which on the caller sees a stall.
	StallBound = time.Second
	// LookupObjective bounds an idempotent call to a plain service.
	LookupObjective = 250 * time.Millisecond
)

// Ratio counts good events among all.
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

// Counts is one row: an account's requests to one service since the start of
// this process. Durations are sums in microseconds.
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
	// MisplacedFrames counts frames of targets that were not passed on, because
	// they belong to another generation or another place.
	MisplacedFrames uint64 `json:"out_of_place"`

	PromptTokens uint64 `json:"prompt_tokens"`
	OutputTokens uint64 `json:"output_tokens"`
	WaitUS       uint64 `json:"wait_us"`
	StallUS      uint64 `json:"stall_us"`

	FirstToken Ratio `json:"first_token"`
	TokenGap   Ratio `json:"token_gap"`
	// NoStall counts the gaps that were no stall.
	NoStall  Ratio `json:"no_stall"`
	Complete Ratio `json:"whole"`
	Lookup   Ratio `json:"lookup"`

	RefusedBy map[failure.Kind]uint64 `json:"refused_by,omitempty"`
}

// Balanced tells whether the identity holds.
func (c Counts) Balanced() bool {
	return c.Received == c.Refused+c.Ran+c.Unknown+c.InProgress
}

type rowKey struct{ account, service string }

type row struct {
	mu     sync.Mutex
	counts Counts
	// changed is set by each change and taken back when the row is handed on.
	changed bool
}

// change alters the counters under the row's lock.
func (r *row) change(f func(*Counts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.counts)
	r.changed = true
}

// Recorder holds the rows of one process.
type Recorder struct {
	rows sync.Map // rowKey → *row
}

// New returns an empty book.
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
	r.change(func(c *Counts) {
		c.Received++
		c.InProgress++
	})
	return &RequestRecorder{row: r}
}

// RequestRecorder follows one request. Its End may be called by any path, and only the
// first call counts.
type RequestRecorder struct {
	row   *row
	ended atomic.Bool
}

// RecordOutcome books the request's outcome from the failure it ended with, nil for
// success.
func (e *RequestRecorder) RecordOutcome(err error) {
	if !e.ended.CompareAndSwap(false, true) {
		return
	}
	e.row.change(func(c *Counts) {
		c.InProgress--
		if err == nil {
			c.Ran++
			return
		}
		c.endFailed(failure.FromError(err))
	})
}

func (c *Counts) endFailed(f *failure.Error) {
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

// Update changes the row's other counters under its lock.
func (e *RequestRecorder) Update(change func(*Counts)) { e.row.change(change) }

// RecordFirstToken counts the time to the first token.
func (e *RequestRecorder) RecordFirstToken(d time.Duration) {
	e.Update(func(c *Counts) { c.FirstToken.add(d <= FirstTokenObjective) })
}

// RecordTokens counts n tokens that came gap after the ones before.
func (e *RequestRecorder) RecordTokens(n int, gap time.Duration) {
	e.row.change(func(c *Counts) {
		c.OutputTokens += uint64(n)
		c.TokenGap.add(gap <= TokenGapObjective)
		c.NoStall.add(gap <= StallBound)
		if gap > StallBound {
			c.StallUS += uint64(gap.Microseconds())
		}
	})
}

// RecordCompleteness counts whether a generation's answer arrived whole.
func (e *RequestRecorder) RecordCompleteness(good bool) {
	e.Update(func(c *Counts) { c.Complete.add(good) })
}

// RecordLookup counts the time of an idempotent call.
func (e *RequestRecorder) RecordLookup(d time.Duration) {
	e.Update(func(c *Counts) { c.Lookup.add(d <= LookupObjective) })
}

// Row is one row of a snapshot.
type Row struct {
	Account string `json:"account"`
	Service string `json:"service"`
	Counts
}

// Snapshot is what one process counted.
type Snapshot struct {
	Host       string `json:"host"`
	DataCentre string `json:"data_centre"`
	// Incarnation tells two lives of one host apart: counters start anew.
	Incarnation uint64 `json:"incarnation"`
	Rows        []Row  `json:"lines"`
	// Unbalanced counts the rows whose identity does not hold; anything but 0
	// is a fault of this program.
	Unbalanced int `json:"unbalanced"`
}

// Lines copies all rows, sorted by account and service.
func (b *Recorder) Lines() []Row {
	return b.lines(func(r *row) (Counts, bool) { return r.copy(), true })
}

// Changed copies the rows that changed since the last call of Changed, sorted
// likewise. It has one caller: the one that hands them on.
func (b *Recorder) Changed() []Row { return b.lines((*row).take) }

func (b *Recorder) lines(copyOf func(*row) (Counts, bool)) []Row {
	var lines []Row
	b.rows.Range(func(k, v any) bool {
		key := k.(rowKey)
		if counts, ok := copyOf(v.(*row)); ok {
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

// Snapshot copies all rows with the name of the process.
func (b *Recorder) Snapshot(host, dataCentre string, incarnation uint64) Snapshot {
	return snapshotOf(host, dataCentre, incarnation, b.Lines())
}

// ChangedSnapshot is Snapshot of the rows that changed since the last one.
func (b *Recorder) ChangedSnapshot(host, dataCentre string, incarnation uint64) Snapshot {
	return snapshotOf(host, dataCentre, incarnation, b.Changed())
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

// InProgress counts the requests of all rows that have not ended.
func (b *Recorder) InProgress() (n uint64) {
	for _, l := range b.Lines() {
		n += l.InProgress
	}
	return n
}

// take copies the row if it changed since it was taken last.
func (r *row) take() (Counts, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.changed {
		return Counts{}, false
	}
	r.changed = false
	return r.counts.clone(), true
}

func (r *row) copy() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts.clone()
}

// clone copies the counters with their map.
func (c Counts) clone() Counts {
	if c.RefusedBy == nil {
		return c
	}
	refused := make(map[failure.Kind]uint64, len(c.RefusedBy))
	for k, n := range c.RefusedBy {
		refused[k] = n
	}
	c.RefusedBy = refused
	return c
}
