package table

import (
	"encoding/csv"
	"slices"
	"strings"
)

// DiffKind says what an edit does to a row.
type DiffKind string

// What an edit does to a row.
const (
	DiffAdded   DiffKind = "added"
	DiffRemoved DiffKind = "removed"
	DiffChanged DiffKind = "changed"
)

// RowDiff is what an edit changes for one account or service.
type RowDiff struct {
	Kind DiffKind `json:"change"`
	Key  string   `json:"row"`
	// Text is the row's new canonical form, empty when it is removed.
	Text  string     `json:"-"`
	Cells []CellDiff `json:"cells"`
}

// CellDiff is one column's change, defaults written out.
type CellDiff struct {
	Column string `json:"column"`
	Old    string `json:"old"`
	New    string `json:"new"`
}

// Diff gives what an edit from old to next changes, in the order of keys.
func Diff(old, next *Table) []RowDiff {
	before, after := byKey(old), byKey(next)
	var out []RowDiff
	for k, line := range after {
		was, known := before[k]
		switch {
		case !known:
			out = append(out, RowDiff{DiffAdded, k, line, cellDiffs("", line)})
		case was != line:
			out = append(out, RowDiff{DiffChanged, k, line, cellDiffs(was, line)})
		}
	}
	for k, line := range before {
		if _, kept := after[k]; !kept {
			out = append(out, RowDiff{DiffRemoved, k, "", cellDiffs(line, "")})
		}
	}
	slices.SortFunc(out, func(a, b RowDiff) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// String gives the difference as one line.
func (d RowDiff) String() string {
	parts := make([]string, len(d.Cells))
	for i, c := range d.Cells {
		parts[i] = c.Column + " " + shown(c.Old) + " -> " + shown(c.New)
	}
	kind, name, _ := strings.Cut(d.Key, "/")
	return string(d.Kind) + " " + kind + " " + name + ": " + strings.Join(parts, ", ")
}

func shown(v string) string {
	if v == "" {
		return "(empty)"
	}
	return v
}

func byKey(t *Table) map[string]string {
	lines := t.EncodeRows()
	m := make(map[string]string, len(lines))
	for _, l := range lines {
		m[l.Key] = l.Text
	}
	return m
}

// identity is the number of leading columns that name a row.
const identity = 2

func cellDiffs(old, next string) []CellDiff {
	before, after := cellsOf(old), cellsOf(next)
	var out []CellDiff
	for i := identity; i < len(columns); i++ {
		if before[i] != after[i] {
			out = append(out, CellDiff{columns[i], before[i], after[i]})
		}
	}
	return out
}

func cellsOf(line string) []string {
	cells, err := csv.NewReader(strings.NewReader(line)).Read()
	if err != nil {
		// An empty line stands for a row that is not there.
		return make([]string, len(columns))
	}
	return cells
}
