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
	// OutOfPlace counts frames of targets that were not passed on, because
	// they belong to another generation or another place.
	OutOfPlace uint64 `json:"out_of_place"`

	PromptTokens uint64 `json:"prompt_tokens"`
	OutputTokens uint64 `json:"output_tokens"`
	WaitUS       uint64 `json:"wait_us"`
	StallUS      uint64 `json:"stall_us"`

	FirstToken Ratio `json:"first_token"`
	TokenGap   Ratio `json:"token_gap"`
	// NoStall counts the gaps that were no stall.
	NoStall Ratio `json:"no_stall"`
	Whole   Ratio `json:"whole"`
	Lookup  Ratio `json:"lookup"`

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
}

// Book holds the rows of one process.
type Book struct {
	rows sync.Map // rowKey → *row
}

// New returns an empty book.
func New() *Book { return &Book{} }

func (b *Book) row(account, service string) *row {
	key := rowKey{account, service}
	if r, ok := b.rows.Load(key); ok {
		return r.(*row)
	}
	r, _ := b.rows.LoadOrStore(key, &row{})
	return r.(*row)
}

// Begin counts a request as received and in progress.
func (b *Book) Begin(account, service string) *Entry {
	r := b.row(account, service)
	r.mu.Lock()
	r.counts.Received++
	r.counts.InProgress++
	r.mu.Unlock()
	return &Entry{row: r}
}

// Entry follows one request. Its End may be called by any path, and only the
// first call counts.
type Entry struct {
	row   *row
	ended atomic.Bool
}

// End books the request's outcome from the failure it ended with, nil for
// success.
func (e *Entry) End(err error) {
	if !e.ended.CompareAndSwap(false, true) {
		return
	}
	e.row.mu.Lock()
	defer e.row.mu.Unlock()
	c := &e.row.counts
	c.InProgress--
	if err == nil {
		c.Ran++
		return
	}
	c.endFailed(failure.From(err))
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
func (e *Entry) Update(change func(*Counts)) {
	e.row.mu.Lock()
	change(&e.row.counts)
	e.row.mu.Unlock()
}

// FirstToken counts the time to the first token.
func (e *Entry) FirstToken(d time.Duration) {
	e.Update(func(c *Counts) { c.FirstToken.add(d <= FirstTokenObjective) })
}

// Tokens counts n tokens that came gap after the ones before.
func (e *Entry) Tokens(n int, gap time.Duration) {
	e.row.mu.Lock()
	c := &e.row.counts
	c.OutputTokens += uint64(n)
	c.TokenGap.add(gap <= TokenGapObjective)
	c.NoStall.add(gap <= StallBound)
	if gap > StallBound {
		c.StallUS += uint64(gap.Microseconds())
	}
	e.row.mu.Unlock()
}

// Whole counts whether a generation's answer arrived whole.
func (e *Entry) Whole(good bool) {
	e.Update(func(c *Counts) { c.Whole.add(good) })
}

// Lookup counts the time of an idempotent call.
func (e *Entry) Lookup(d time.Duration) {
	e.Update(func(c *Counts) { c.Lookup.add(d <= LookupObjective) })
}

// Line is one row of a snapshot.
type Line struct {
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
	Lines       []Line `json:"lines"`
	// Unbalanced counts the rows whose identity does not hold; anything but 0
	// is a fault of this program.
	Unbalanced int `json:"unbalanced"`
}

// Lines copies all rows, sorted by account and service.
func (b *Book) Lines() []Line {
	var lines []Line
	b.rows.Range(func(k, v any) bool {
		key := k.(rowKey)
		lines = append(lines, Line{Account: key.account, Service: key.service, Counts: v.(*row).copy()})
		return true
	})
	sort.Slice(lines, func(i, j int) bool {
		if lines[i].Account != lines[j].Account {
			return lines[i].Account < lines[j].Account
		}
		return lines[i].Service < lines[j].Service
	})
	return lines
}

// Snapshot copies all rows with the name of the process.
func (b *Book) Snapshot(host, dataCentre string, incarnation uint64) Snapshot {
	s := Snapshot{Host: host, DataCentre: dataCentre, Incarnation: incarnation, Lines: b.Lines()}
	for _, l := range s.Lines {
		if !l.Balanced() {
			s.Unbalanced++
		}
	}
	return s
}

// InProgress counts the requests of all rows that have not ended.
func (b *Book) InProgress() (n uint64) {
	for _, l := range b.Lines() {
		n += l.InProgress
	}
	return n
}

func (r *row) copy() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.counts
	if r.counts.RefusedBy != nil {
		c.RefusedBy = make(map[failure.Kind]uint64, len(r.counts.RefusedBy))
		for k, n := range r.counts.RefusedBy {
			c.RefusedBy[k] = n
		}
	}
	return c
}
