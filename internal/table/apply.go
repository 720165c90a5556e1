package table

import (
	"cmp"
	"encoding/csv"
	"maps"
	"strings"
)

// RowChange is one row that differs between two revisions. Text is empty if the
// row is removed.
type RowChange struct {
	Key  string
	Text string
}

// Apply returns the table that results from changing rows of t; t itself is not
// modified. Only the changed rows are parsed; the others are shared with t. The
// rules that span rows (a key belongs to one account only, referenced services
// exist) are checked on the result; if one is violated, Apply returns no table.
func (t *Table) Apply(epoch, revision uint64, changes []RowChange) (*Table, Faults) {
	b := &builder{
		table: &Table{
			Epoch: epoch, Revision: revision,
			Accounts: maps.Clone(t.Accounts), Services: maps.Clone(t.Services),
			Drained: t.Drained, AccountByKeyHash: maps.Clone(t.AccountByKeyHash),
		},
		positionByKey: map[string]position{}, accountPositions: map[*Account]position{},
	}
	var faults Faults
	// All old rows are removed before the new ones are added, because a key may
	// move from one account to another within one edit.
	serviceRemoved := false
	for _, c := range changes {
		serviceRemoved = b.remove(c) || serviceRemoved
	}
	for i, c := range changes {
		b.addChanged(i+1, c, &faults)
	}
	if serviceRemoved {
		b.queueAllAccountChecks()
	}
	b.checkServiceReferences(&faults)
	b.table.Epoch = epoch
	if len(faults) > 0 {
		return nil, faults
	}
	return b.table, nil
}

// remove deletes a row. It reports whether a service ceases to exist.
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

func (b *builder) addChanged(line int, c RowChange, faults *Faults) {
	if c.Text == "" {
		return
	}
	reader := csv.NewReader(strings.NewReader(c.Text))
	reader.FieldsPerRecord = -1
	cells, err := reader.Read()
	if err != nil || len(cells) != len(columns) {
		faults.add(Fault{Row: line, Column: "(row)", Value: c.Key, Allowed: "one row in canonical form"})
		return
	}
	row := &rowReader{pos: position{0, line}, header: columns, index: canonicalIndexes, cells: cells, faults: faults}
	rowsBefore := len(b.positionByKey)
	b.add(row)
	if _, ok := b.positionByKey[c.Key]; (!ok || len(b.positionByKey) != rowsBefore+1) && !row.failed {
		row.fault(colName, row.cell(colName), "the row that its key "+c.Key+" names")
	}
}

// queueAllAccountChecks marks every account for the check of its service
// references.
func (b *builder) queueAllAccountChecks() {
	for _, a := range b.table.Accounts {
		if _, ok := b.accountPositions[a]; !ok {
			b.accountPositions[a] = position{}
		}
	}
}

// WithDrainAndTargets returns the table with the drain list and the targets of the services
// filled in. Rows are shared with t.
func (t *Table) WithDrainAndTargets(drained []string, targets map[string][]Target) *Table {
	result := *t
	result.Drained = newSet(drained...)
	result.Services = make(map[string]*Service, len(t.Services))
	for name, s := range t.Services {
		copied := *s
		copied.Targets = targets[name]
		result.Services[name] = &copied
	}
	return &result
}

// IsNewerThan reports whether t comes after other in the order of edits: by epoch,
// then by recognised restores, then by revision of the configuration service.
func (t *Table) IsNewerThan(other *Table) bool {
	if other == nil {
		return true
	}
	return cmp.Or(cmp.Compare(t.Epoch, other.Epoch), cmp.Compare(t.Restores, other.Restores),
		cmp.Compare(t.Revision, other.Revision)) > 0
}
