package table

import (
	"cmp"
	"slices"
	"strconv"
)

// ChangedRows gives the rows by which next differs from old, for Apply on a copy
// of old elsewhere. Accounts that Apply shared between the two are recognised
// without being encoded, so that an edit of one row among 11,000 costs a walk
// over the map and one encoded row.
func ChangedRows(old, next *Table) []RowChange {
	enc := newLineEncoder()
	out := epochChange(enc, old, next)
	for name, a := range next.Accounts {
		was, known := old.Accounts[name]
		if was == a {
			continue
		}
		text := enc.account(a)
		if !known || enc.account(was) != text {
			out = append(out, RowChange{AccountKey(name), text})
		}
	}
	for name := range old.Accounts {
		if _, kept := next.Accounts[name]; !kept {
			out = append(out, RowChange{Key: AccountKey(name)})
		}
	}
	out = append(out, serviceChanges(enc, old, next)...)
	slices.SortFunc(out, func(a, b RowChange) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// serviceChanges compares the rows themselves: With copies services to fill in
// their targets, which are no part of the row.
func serviceChanges(enc *lineEncoder, old, next *Table) []RowChange {
	var out []RowChange
	for name, s := range next.Services {
		text := enc.service(s)
		if was, known := old.Services[name]; !known || enc.service(was) != text {
			out = append(out, RowChange{ServiceKey(name), text})
		}
	}
	for name := range old.Services {
		if _, kept := next.Services[name]; !kept {
			out = append(out, RowChange{Key: ServiceKey(name)})
		}
	}
	return out
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
