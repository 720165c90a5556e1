package rollout

import (
	"slices"
	"strings"
)

// maxLog bounds the changes that a document remembers for deltas. At 20,000
// edits a day it covers more than two hours; a peer that is further behind
// fetches the whole document.
const maxLog = 2048

// Delta carries a document from any version in [From, To] to To.
type Delta struct {
	From Version
	Head
	// Full says that Rows are all the rows; From means nothing then.
	Full bool
	Rows []Row
}

// Verdict says what a delta means to a document.
type Verdict int

// The verdicts on a delta.
const (
	// VerdictCurrent: the document holds this version already.
	VerdictCurrent Verdict = iota + 1
	// VerdictStale: the document holds a newer version, the peer or the service
	// is behind.
	VerdictStale
	// VerdictApply: the delta leads to a newer version.
	VerdictApply
	// VerdictGap: the delta starts after this document's version or does not
	// give its digest; fetch the whole.
	VerdictGap
	// VerdictConflict: one version with two contents, and this one's stands.
	// It comes about only when a restored service counts up to a revision
	// that was in use before; see docs/design/table.md.
	VerdictConflict
	// VerdictRefused: this version failed validation here.
	VerdictRefused
)

// Document is one document in force on this node. It is not safe for
// concurrent use.
type Document struct {
	head Head
	rows map[string]string
	// log lists changed rows in the order of versions. Invariant: it holds
	// every change after logFrom.
	log     []logEntry
	logFrom Version
	refused Refusal
}

type logEntry struct {
	version Version
	key     string
}

// NewDocument returns a document without rows at version 0.0.
func NewDocument() *Document { return &Document{rows: map[string]string{}} }

// Head gives version and digest in force.
func (d *Document) Head() Head { return d.head }

// Len counts the rows.
func (d *Document) Len() int { return len(d.rows) }

// Rows gives all rows in the order of their keys.
func (d *Document) Rows() []Row {
	rows := make([]Row, 0, len(d.rows))
	for k, t := range d.rows {
		rows = append(rows, Row{k, t})
	}
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

// Evaluate says what a delta means here, and for VerdictTake gives the rows that
// it changes, for validation. It changes nothing.
func (d *Document) Evaluate(delta Delta) (Verdict, []Row) {
	switch c := delta.Version.Compare(d.head.Version); {
	case c < 0:
		return VerdictStale, nil
	case c == 0 && delta.Digest == d.head.Digest:
		return VerdictCurrent, nil
	case c == 0 && delta.Digest < d.head.Digest:
		// Two contents of one version: all nodes settle on the larger digest.
		// Nothing tells which is newer, but that all hold the same matters.
		return VerdictConflict, nil
	case delta.Version == d.refused.Version:
		return VerdictRefused, nil
	case !delta.Full && (c == 0 || delta.From.After(d.head.Version)):
		return VerdictGap, nil
	}
	changed := d.changed(delta)
	digest := d.head.Digest
	for _, r := range changed {
		digest += r.hash() - Row{r.Key, d.rows[r.Key]}.hash()
	}
	if digest != delta.Digest {
		return VerdictGap, nil
	}
	return VerdictApply, changed
}

// changed gives the rows of a delta that differ from those in force, with the
// rows that a whole document no longer names.
func (d *Document) changed(delta Delta) []Row {
	var out []Row
	for _, r := range delta.Rows {
		if d.rows[r.Key] != r.Text {
			out = append(out, r)
		}
	}
	if !delta.Full {
		return out
	}
	named := make(map[string]bool, len(delta.Rows))
	for _, r := range delta.Rows {
		named[r.Key] = true
	}
	for k := range d.rows {
		if !named[k] {
			out = append(out, Row{Key: k})
		}
	}
	return out
}

// Commit puts a delta in force whose changed rows Judge returned.
func (d *Document) Commit(delta Delta, changed []Row) {
	if d.head.Version == (Version{}) {
		// Nothing is known of what came before the first version.
		d.logFrom = delta.Version
	}
	for _, r := range changed {
		if r.Text == "" {
			delete(d.rows, r.Key)
		} else {
			d.rows[r.Key] = r.Text
		}
		if d.logFrom != delta.Version {
			d.log = append(d.log, logEntry{delta.Version, r.Key})
		}
	}
	d.trim()
	d.head = delta.Head
	if !d.refused.Version.After(d.head.Version) {
		d.refused = Refusal{}
	}
}

// trim forgets the oldest changes past the bound, a version at a time.
func (d *Document) trim() {
	if len(d.log) <= maxLog {
		return
	}
	cut := len(d.log) - maxLog
	d.logFrom = d.log[cut-1].version
	for cut < len(d.log) && d.log[cut].version == d.logFrom {
		cut++
	}
	d.log = slices.Delete(d.log, 0, cut)
}

// DeltaSince gives what a peer at version from lacks; the whole document when the
// log does not reach back that far or a delta would not be smaller.
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
	named := map[string]bool{}
	for _, e := range d.log[start:] {
		if !named[e.key] {
			named[e.key] = true
			delta.Rows = append(delta.Rows, Row{e.key, d.rows[e.key]})
		}
	}
	if len(delta.Rows) > len(d.rows) {
		return d.FullDelta()
	}
	return delta
}

// FullDelta gives the whole document.
func (d *Document) FullDelta() Delta { return Delta{Head: d.head, Full: true, Rows: d.Rows()} }

// Refuse notes that a version failed validation. The newest refusal stands; a
// version that is in force or older can't be refused any more. It tells
// whether that was news.
func (d *Document) Refuse(r Refusal) bool {
	if !r.Version.After(d.head.Version) || !r.Version.After(d.refused.Version) {
		return false
	}
	d.refused = r
	return true
}

// Refused gives the refusal newer than what is in force; the zero value when
// there is none.
func (d *Document) Refused() Refusal { return d.refused }
