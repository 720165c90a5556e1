package table

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"filbertdeck/internal/failure"
)

// Fault is one thing that is wrong with a table, placed so that an operator
// finds the cell in the spreadsheet.
type Fault struct {
	// Page counts from 0 in the order of the keys under table/; a file has
	// page 0 only.
	Page int `json:"page"`
	// Row is the line in the page, from 1; 0 when the whole page is meant.
	Row    int    `json:"row"`
	Column string `json:"column"`
	// Value is what stands there. A key's column is never shown: someone may
	// have pasted the key itself in place of its digest.
	Value string `json:"value"`
	// Allowed says what may stand there.
	Allowed string `json:"allowed"`
}

// maxShown bounds how much of a faulty value a report repeats, in bytes.
const maxShown = 80

// String gives the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("page %d row %d column %s: %q; allowed: %s", f.Page, f.Row, f.Column, f.Value, f.Allowed)
}

// Faults are all the faults of one table; empty means that it is valid.
type Faults []Fault

// maxFaults bounds a report. A file that is no table at all would otherwise
// give one fault for each of its cells.
const maxFaults = 1000

// shownFaults bounds how many faults an error's text names.
const shownFaults = 3

// Err gives the faults as one failure, nil when there are none.
func (fs Faults) Err() error {
	if len(fs) == 0 {
		return nil
	}
	shown := make([]string, 0, shownFaults)
	for _, f := range fs[:min(len(fs), shownFaults)] {
		shown = append(shown, f.String())
	}
	return failure.New(failure.KindTableInvalid, "%d faults: %s", len(fs), strings.Join(shown, "; "))
}

func (fs *Faults) add(f Fault) {
	if len(*fs) >= maxFaults {
		return
	}
	if f.Column == colKeys {
		f.Value = "(not shown)"
	}
	if len(f.Value) > maxShown {
		f.Value = strings.ToValidUTF8(f.Value[:maxShown], "") + "..."
	}
	*fs = append(*fs, f)
}

func (fs Faults) sort() {
	slices.SortStableFunc(fs, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Page, b.Page), cmp.Compare(a.Row, b.Row), cmp.Compare(a.Column, b.Column), cmp.Compare(a.Value, b.Value))
	})
}
