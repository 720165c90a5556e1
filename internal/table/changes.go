package table

import (
	"cmp"
	"slices"
	"strconv"
)

// ChangedRows returns the rows in which next differs from old, to be passed to
// Apply on a copy of old in another process. Accounts that Apply shared between
// the two are recognised without being encoded, so that an edit of one row
// among 11,000 costs one iteration over the map and the encoding of one row.
func ChangedRows(old, next *Table) []RowChange {
	enc := newLineEncoder()
	changes := epochChange(enc, old, next)
	for name, a := range next.Accounts {
		previous, existed := old.Accounts[name]
		if previous == a {
			continue
		}
		text := enc.account(a)
		if !existed || enc.account(previous) != text {
			changes = append(changes, RowChange{AccountKey(name), text})
		}
	}
	for name := range old.Accounts {
		if _, exists := next.Accounts[name]; !exists {
			changes = append(changes, RowChange{Key: AccountKey(name)})
		}
	}
	changes = append(changes, serviceChanges(enc, old, next)...)
	slices.SortFunc(changes, func(a, b RowChange) int { return cmp.Compare(a.Key, b.Key) })
	return changes
}

// serviceChanges compares the encoded rows, not pointers: With copies services
// to fill in their targets, which are not part of the row.
func serviceChanges(enc *lineEncoder, old, next *Table) []RowChange {
	var changes []RowChange
	for name, s := range next.Services {
		text := enc.service(s)
		if previous, existed := old.Services[name]; !existed || enc.service(previous) != text {
			changes = append(changes, RowChange{ServiceKey(name), text})
		}
	}
	for name := range old.Services {
		if _, exists := next.Services[name]; !exists {
			changes = append(changes, RowChange{Key: ServiceKey(name)})
		}
	}
	return changes
}

func epochChange(enc *lineEncoder, old, next *Table) []RowChange {
	switch {
	case old.Epoch == next.Epoch:
		return nil
	case next.Epoch == 0:
		return []RowChange{{Key: EpochKey}}
	}
	return []RowChange{{EpochKey, enc.line(string(RowEpoch), strconv.FormatUint(next.Epoch, 10))}}
}
