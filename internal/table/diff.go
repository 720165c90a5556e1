package table

import (
	"encoding/csv"
	"slices"
	"strings"
)

// DiffKind is the kind of change that an edit makes to a row.
type DiffKind string

// The kinds of changes.
const (
	DiffAdded   DiffKind = "added"
	DiffRemoved DiffKind = "removed"
	DiffChanged DiffKind = "changed"
)

// RowDiff is the change that an edit makes to the row of one account or
// service.
type RowDiff struct {
	Kind DiffKind `json:"change"`
	Key  string   `json:"row"`
	// Text is the new canonical form of the row; it is empty if the row is
	// removed.
	Text  string     `json:"-"`
	Cells []CellDiff `json:"cells"`
}

// CellDiff is the change of one column. Old and New contain defaults
// explicitly.
type CellDiff struct {
	Column string `json:"column"`
	Old    string `json:"old"`
	New    string `json:"new"`
}

// Diff returns the changes from old to next, sorted by row key.
func Diff(old, next *Table) []RowDiff {
	before, after := textByKey(old), textByKey(next)
	var diffs []RowDiff
	for k, line := range after {
		previous, existed := before[k]
		switch {
		case !existed:
			diffs = append(diffs, RowDiff{DiffAdded, k, line, cellDiffs("", line)})
		case previous != line:
			diffs = append(diffs, RowDiff{DiffChanged, k, line, cellDiffs(previous, line)})
		}
	}
	for k, line := range before {
		if _, exists := after[k]; !exists {
			diffs = append(diffs, RowDiff{DiffRemoved, k, "", cellDiffs(line, "")})
		}
	}
	slices.SortFunc(diffs, func(a, b RowDiff) int { return strings.Compare(a.Key, b.Key) })
	return diffs
}

// String formats the difference as one line.
func (d RowDiff) String() string {
	parts := make([]string, len(d.Cells))
	for i, c := range d.Cells {
		parts[i] = c.Column + " " + displayValue(c.Old) + " -> " + displayValue(c.New)
	}
	kind, name, _ := strings.Cut(d.Key, "/")
	return string(d.Kind) + " " + kind + " " + name + ": " + strings.Join(parts, ", ")
}

func displayValue(v string) string {
	if v == "" {
		return "(empty)"
	}
	return v
}

func textByKey(t *Table) map[string]string {
	lines := t.EncodeRows()
	m := make(map[string]string, len(lines))
	for _, l := range lines {
		m[l.Key] = l.Text
	}
	return m
}

// keyColumnCount is the number of leading columns that identify a row.
const keyColumnCount = 2

func cellDiffs(old, next string) []CellDiff {
	before, after := parseCells(old), parseCells(next)
	var diffs []CellDiff
	for i := keyColumnCount; i < len(columns); i++ {
		if before[i] != after[i] {
			diffs = append(diffs, CellDiff{columns[i], before[i], after[i]})
		}
	}
	return diffs
}

func parseCells(line string) []string {
	cells, err := csv.NewReader(strings.NewReader(line)).Read()
	if err != nil {
		// An empty line represents a row that does not exist.
		return make([]string, len(columns))
	}
	return cells
}
