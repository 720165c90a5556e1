package table

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"filbertdeck/internal/failure"
)

// Fault is one validation error of a table, with its position so that an
// operator finds the cell in the spreadsheet.
type Fault struct {
	// Page is the index of the page, from 0, in the order of the keys under
	// table/; a single file has page 0 only.
	Page int `json:"page"`
	// Row is the line in the page, from 1; 0 if the fault concerns the whole
	// page.
	Row    int    `json:"row"`
	Column string `json:"column"`
	// Value is the content of the cell. The key column's content is never
	// reported, because an operator may have pasted the key itself in place of
	// its digest.
	Value string `json:"value"`
	// Allowed describes the permitted values.
	Allowed string `json:"allowed"`
}

// maxShownValueBytes limits how much of a faulty value a report contains.
const maxShownValueBytes = 80

// String formats the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("page %d row %d column %s: %q; allowed: %s", f.Page, f.Row, f.Column, f.Value, f.Allowed)
}

// Faults are all the faults of one table; it is empty if the table is valid.
type Faults []Fault

// maxFaults limits the length of a report. A file that is not a table at all
// would otherwise yield one fault for each of its cells.
const maxFaults = 1000

// maxFaultsInError limits how many faults the text of an error lists.
const maxFaultsInError = 3

// Err combines the faults into one error of kind KindTableInvalid. It returns
// nil if there are none.
func (fs Faults) Err() error {
	if len(fs) == 0 {
		return nil
	}
	texts := make([]string, 0, maxFaultsInError)
	for _, f := range fs[:min(len(fs), maxFaultsInError)] {
		texts = append(texts, f.String())
	}
	return failure.New(failure.KindTableInvalid, "%d faults: %s", len(fs), strings.Join(texts, "; "))
}

func (fs *Faults) add(f Fault) {
	if len(*fs) >= maxFaults {
		return
	}
	if f.Column == colKeyHashes {
		f.Value = "(not shown)"
	}
	if len(f.Value) > maxShownValueBytes {
		f.Value = strings.ToValidUTF8(f.Value[:maxShownValueBytes], "") + "..."
	}
	*fs = append(*fs, f)
}

func (fs Faults) sort() {
	slices.SortStableFunc(fs, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Page, b.Page), cmp.Compare(a.Row, b.Row), cmp.Compare(a.Column, b.Column), cmp.Compare(a.Value, b.Value))
	})
}
