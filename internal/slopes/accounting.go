package slopes

import (
	"encoding/json"
	"time"

	"filbertdeck/internal/accounting"
)

// accountingRounds is how often a snapshot is made.
const accountingRounds = 5

// Accounting measures the counters of an entry: their memory, and the snapshot
// of all of them that it hands to the control process of its host.
func (out Printer) Accounting() {
	for _, rows := range []int{10, 100, 1000, TargetAccounts, 3 * TargetAccounts} {
		before := ownHeap()
		book := accounting.New()
		for i := range rows {
			e := book.Begin(accountName(i/3), service+string(rune('a'+i%3)))
			e.RecordFirstToken(300 * time.Millisecond)
			e.RecordTokens(230, 50*time.Millisecond)
			e.RecordCompleteness(true)
			e.RecordOutcome(nil)
		}
		held := ownHeap() - before
		var text []byte
		cpu := cpuOf(accountingRounds, func() { text, _ = json.Marshal(book.Snapshot("host-0001", centre(0), 1)) })
		out.line("accounting: %d rows of an account and a service: %.2f MB held; snapshot %d bytes, cpu %v", rows, megabytes(held), len(text), cpu)
	}
}
