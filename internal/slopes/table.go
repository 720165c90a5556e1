package slopes

import (
	"runtime"

	"google.golang.org/protobuf/proto"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/decide/rollout"
	"filbertdeck/internal/table"
)

// tableRounds is the number of runs that are averaged.
const tableRounds = 10

// MeasureTable measures the table in force: its memory, the cost of applying a changed
// row, and the cost of sending the whole table to the entry of the host, which
// currently happens at every change of a row.
func (printer Printer) MeasureTable() {
	for _, accounts := range []int{10, 100, 1000, FullScaleAccounts} {
		pages := tablePages(accounts, 0)
		heapBefore := heapInUse()
		t, _ := table.Parse(1, pages)
		heapUsed := heapInUse() - heapBefore
		parseCPU := meanCPU(tableRounds, func() { _, _ = table.Parse(1, pages) })
		changed := changedRow(accounts)
		applyCPU := meanCPU(tableRounds, func() { _, _ = t.Apply(0, 2, changed) })
		digestCPU := meanCPU(tableRounds, func() { rollout.ComputeDigest(rowsOf(t)) })
		encoded, _ := proto.Marshal(tableSection(t))
		sendCPU := meanCPU(tableRounds, func() { _, _ = proto.Marshal(tableSection(t)) })
		receiveCPU := meanCPU(tableRounds, func() { decodeTable(encoded) })
		printer.printLine("table: %d accounts: %.2f MB allocated, cpu %v to parse, %v to apply a row, %v to encode and digest all rows; push to the entry %d bytes, cpu %v to send, %v to receive",
			accounts, megabytes(heapUsed), parseCPU, applyCPU, digestCPU, len(encoded), sendCPU, receiveCPU)
		runtime.KeepAlive(t)
	}
}

// changedRow returns the first account's row after an edit.
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

func tableSection(t *table.Table) *filbertv1.TableSection {
	return &filbertv1.TableSection{Revision: t.Revision, Pages: table.EncodePages(t)}
}

func decodeTable(encoded []byte) {
	var section filbertv1.TableSection
	_ = proto.Unmarshal(encoded, &section)
	_, _ = table.Parse(section.Revision, section.Pages)
}
