package rollout

import (
	"slices"
	"strings"
)

// maxLogEntries limits the changes that a document keeps for deltas. At 20,000
// edits a day it covers more than two hours; a peer that is further behind
// fetches the whole document.
const maxLogEntries = 2048

// Delta updates a document from any version in [From, To] to To, the version of
// its Head.
type Delta struct {
	From Version
	Head
	// Full is set if Rows are all rows of the document; From is not used then.
	Full bool
	Rows []Row
}

// Verdict is the result of comparing a delta with a document.
type Verdict int

// Results of comparing a delta with a document.
const (
	// VerdictCurrent means that the document already has this version.
	VerdictCurrent Verdict = iota + 1
	// VerdictStale means that the document has a newer version: the peer or the
	// service is behind.
	VerdictStale
	// VerdictApply means that the delta leads to a newer version and can be
	// committed.
	VerdictApply
	// VerdictGap means that the delta starts after the document's version or
	// that its digest does not match; the whole document must be fetched.
	VerdictGap
	// VerdictConflict means that one version has two contents and that this
	// document's content is retained. This happens only when a restored service
	// reaches a revision that was already in use; see docs/design/table.md.
	VerdictConflict
	// VerdictRefused means that this version has failed validation.
	VerdictRefused
)

// Document is a document in force on this node. It is not safe for concurrent
// use.
type Document struct {
	head Head
	rows map[string]string
	// log lists the changed rows in the order of versions. Invariant: it
	// includes every change after logFrom.
	log     []logEntry
	logFrom Version
	refused Refusal
}

type logEntry struct {
	version Version
	key     string
}

// NewDocument returns an empty document at version 0.0.
func NewDocument() *Document { return &Document{rows: map[string]string{}} }

// Head returns the version and the digest in force.
func (d *Document) Head() Head { return d.head }

// Len returns the number of rows.
func (d *Document) Len() int { return len(d.rows) }

// Rows returns all rows, sorted by key.
func (d *Document) Rows() []Row {
	rows := make([]Row, 0, len(d.rows))
	for k, t := range d.rows {
		rows = append(rows, Row{k, t})
	}
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

// Evaluate compares a delta with the document. If the delta can be committed, it
// also returns the changed rows, for validation. It does not modify the
// document.
func (d *Document) Evaluate(delta Delta) (Verdict, []Row) {
	switch c := delta.Version.Compare(d.head.Version); {
	case c < 0:
		return VerdictStale, nil
	case c == 0 && delta.Digest == d.head.Digest:
		return VerdictCurrent, nil
	case c == 0 && delta.Digest < d.head.Digest:
		// Nothing shows which of two contents of one version is newer, so all
		// nodes converge on the one with the larger digest.
		return VerdictConflict, nil
	case delta.Version == d.refused.Version:
		return VerdictRefused, nil
	case !delta.Full && (c == 0 || delta.From.After(d.head.Version)):
		return VerdictGap, nil
	}
	changes := d.changedRows(delta)
	digest := d.head.Digest
	for _, r := range changes {
		digest += r.hash() - Row{r.Key, d.rows[r.Key]}.hash()
	}
	if digest != delta.Digest {
		return VerdictGap, nil
	}
	return VerdictApply, changes
}

// changedRows returns the rows of a delta that differ from those in force,
// including the rows that a full delta no longer lists.
func (d *Document) changedRows(delta Delta) []Row {
	var out []Row
	for _, r := range delta.Rows {
		if d.rows[r.Key] != r.Text {
			out = append(out, r)
		}
	}
	if !delta.Full {
		return out
	}
	listed := make(map[string]bool, len(delta.Rows))
	for _, r := range delta.Rows {
		listed[r.Key] = true
	}
	for k := range d.rows {
		if !listed[k] {
			out = append(out, Row{Key: k})
		}
	}
	return out
}

// Commit applies a delta; changes are the changed rows that were returned with
// the verdict.
func (d *Document) Commit(delta Delta, changes []Row) {
	if d.head.Version == (Version{}) {
		// Changes before the first version are unknown.
		d.logFrom = delta.Version
	}
	for _, r := range changes {
		if r.Text == "" {
			delete(d.rows, r.Key)
		} else {
			d.rows[r.Key] = r.Text
		}
		if d.logFrom != delta.Version {
			d.log = append(d.log, logEntry{delta.Version, r.Key})
		}
	}
	d.trimLog()
	d.head = delta.Head
	if !d.refused.Version.After(d.head.Version) {
		d.refused = Refusal{}
	}
}

// trimLog removes the oldest changes beyond maxLogEntries, in whole versions.
func (d *Document) trimLog() {
	if len(d.log) <= maxLogEntries {
		return
	}
	removeCount := len(d.log) - maxLogEntries
	d.logFrom = d.log[removeCount-1].version
	for removeCount < len(d.log) && d.log[removeCount].version == d.logFrom {
		removeCount++
	}
	d.log = slices.Delete(d.log, 0, removeCount)
}

// DeltaSince returns the delta for a peer at the given version: the whole document
// if the log does not reach back that far, or if the changes would have more
// rows than the document.
func (d *Document) DeltaSince(from Version) Delta {
	if from == (Version{}) || d.logFrom.After(from) {
		return d.FullDelta()
	}
	start, _ := slices.BinarySearchFunc(d.log, from, func(e logEntry, v Version) int {
		if e.version.After(v) {
			return 1
		}
		return -1
	})
	delta := Delta{From: from, Head: d.head}
	included := map[string]bool{}
	for _, e := range d.log[start:] {
		if !included[e.key] {
			included[e.key] = true
			delta.Rows = append(delta.Rows, Row{e.key, d.rows[e.key]})
		}
	}
	if len(delta.Rows) > len(d.rows) {
		return d.FullDelta()
	}
	return delta
}

// FullDelta returns the whole document as a delta.
func (d *Document) FullDelta() Delta { return Delta{Head: d.head, Full: true, Rows: d.Rows()} }

// Refuse records that a version failed validation and reports whether this was
// new. Only the newest refusal is kept. A version that is in force or older
// can't be refused.
func (d *Document) Refuse(r Refusal) bool {
	if !r.Version.After(d.head.Version) || !r.Version.After(d.refused.Version) {
		return false
	}
	d.refused = r
	return true
}

// Refused returns the refusal of a version newer than the one in force, or the
// zero value.
func (d *Document) Refused() Refusal { return d.refused }
