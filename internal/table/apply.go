package table

import (
	"cmp"
	"encoding/csv"
	"maps"
	"strings"
)

// RowChange is one row that differs between two revisions. Text is empty when
// the row is gone.
type RowChange struct {
	Key  string
	Text string
}

// Apply gives the table that results from changing rows of t, which stays as
// it was. Only the changed rows are parsed; the others are shared. The rules
// that span rows (a key of one account only, services that exist) hold for
// the result, or nothing changes.
func (t *Table) Apply(epoch, revision uint64, changes []RowChange) (*Table, Faults) {
	b := &builder{
		table: &Table{
			Epoch: epoch, Revision: revision,
			Accounts: maps.Clone(t.Accounts), Services: maps.Clone(t.Services),
			Drained: t.Drained, AccountByKeyHash: maps.Clone(t.AccountByKeyHash),
		},
		seen: map[string]place{}, places: map[*Account]place{},
	}
	var faults Faults
	// First every old row goes, then the new ones come: a key may move from
	// one account to another within one edit.
	lostService := false
	for _, c := range changes {
		lostService = b.remove(c) || lostService
	}
	for i, c := range changes {
		b.replace(i+1, c, &faults)
	}
	if lostService {
		b.recheckAll()
	}
	b.finish(&faults)
	b.table.Epoch = epoch
	if len(faults) > 0 {
		return nil, faults
	}
	return b.table, nil
}

// remove takes a row out; it tells whether a service is lost by it.
func (b *builder) remove(c RowChange) bool {
	if name, ok := strings.CutPrefix(c.Key, accountPrefix); ok {
		if old := b.table.Accounts[name]; old != nil {
			for _, k := range old.KeyHashes {
				delete(b.table.AccountByKeyHash, k)
			}
			delete(b.table.Accounts, name)
		}
	}
	if name, ok := strings.CutPrefix(c.Key, servicePrefix); ok {
		delete(b.table.Services, name)
		return c.Text == ""
	}
	return false
}

func (b *builder) replace(line int, c RowChange, faults *Faults) {
	if c.Text == "" {
		return
	}
	r := csv.NewReader(strings.NewReader(c.Text))
	r.FieldsPerRecord = -1
	cells, err := r.Read()
	if err != nil || len(cells) != len(columns) {
		faults.add(Fault{Row: line, Column: "(row)", Value: c.Key, Allowed: "one row in canonical form"})
		return
	}
	row := &rowReader{at: place{0, line}, header: columns, index: canonicalIndex, cells: cells, faults: faults}
	before := len(b.seen)
	b.add(row)
	if _, ok := b.seen[c.Key]; (!ok || len(b.seen) != before+1) && !row.failed {
		row.fault(colName, row.cell(colName), "the row that its key "+c.Key+" names")
	}
}

// recheckAll puts every account up for the check against the services.
func (b *builder) recheckAll() {
	for _, a := range b.table.Accounts {
		if _, ok := b.places[a]; !ok {
			b.places[a] = place{}
		}
	}
}

// WithDrainAndTargets gives the table with the drain list and the services' targets filled
// in; rows are shared with t.
func (t *Table) WithDrainAndTargets(drained []string, targets map[string][]Target) *Table {
	out := *t
	out.Drained = set(drained...)
	out.Services = make(map[string]*Service, len(t.Services))
	for name, s := range t.Services {
		copied := *s
		copied.Targets = targets[name]
		out.Services[name] = &copied
	}
	return &out
}

// IsNewerThan tells whether t comes after other in the order of edits: by epoch,
// recognised restores, then the configuration service's revision.
func (t *Table) IsNewerThan(other *Table) bool {
	if other == nil {
		return true
	}
	return cmp.Or(cmp.Compare(t.Epoch, other.Epoch), cmp.Compare(t.Restores, other.Restores),
		cmp.Compare(t.Revision, other.Revision)) > 0
}
