package slopes

import (
	"runtime"

	"google.golang.org/protobuf/proto"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/decide/rollout"
	"filbertdeck/internal/table"
)

// tableRounds is how often each step is run.
const tableRounds = 10

// Table measures the table in force: its memory, a changed row's way into it,
// and the whole table's way to the entry of the host, which a changed row
// takes today.
func (out Printer) Table() {
	for _, accounts := range []int{10, 100, 1000, TargetAccounts} {
		pages := tablePages(accounts, 0)
		before := ownHeap()
		t, _ := table.Parse(1, pages)
		held := ownHeap() - before
		parse := cpuOf(tableRounds, func() { _, _ = table.Parse(1, pages) })
		changed := changedRow(accounts)
		apply := cpuOf(tableRounds, func() { _, _ = t.Apply(0, 2, changed) })
		digest := cpuOf(tableRounds, func() { rollout.ComputeDigest(rowsOf(t)) })
		text, _ := proto.Marshal(section(t))
		send := cpuOf(tableRounds, func() { _, _ = proto.Marshal(section(t)) })
		take := cpuOf(tableRounds, func() { receive(text) })
		out.line("table: %d accounts: %.2f MB held, cpu %v to parse, %v to apply a row, %v to write and digest all rows; push to the entry %d bytes, cpu %v to send, %v to take",
			accounts, megabytes(held), parse, apply, digest, len(text), send, take)
		runtime.KeepAlive(t)
	}
}

// changedRow is the first account's row after an edit.
func changedRow(accounts int) []table.RowChange {
	edited, _ := table.Parse(2, tablePages(accounts, 1))
	for _, l := range edited.EncodeRows() {
		if l.Key == table.AccountKey(accountName(0)) {
			return []table.RowChange{table.RowChange(l)}
		}
	}
	return nil
}

func rowsOf(t *table.Table) []rollout.Row {
	lines := t.EncodeRows()
	rows := make([]rollout.Row, len(lines))
	for i, l := range lines {
		rows[i] = rollout.Row(l)
	}
	return rows
}

func section(t *table.Table) *filbertv1.TableSection {
	return &filbertv1.TableSection{Revision: t.Revision, Pages: table.EncodePages(t)}
}

func receive(text []byte) {
	var s filbertv1.TableSection
	_ = proto.Unmarshal(text, &s)
	_, _ = table.Parse(s.Revision, s.Pages)
}
