package slopes

import (
	"encoding/json"
	"time"

	"filbertdeck/internal/accounting"
)

// accountingRounds is the number of snapshots that are averaged.
const accountingRounds = 5

// MeasureAccounting measures an entry's accounting counters: their memory, and the cost
// of the snapshot that the entry sends to the control process of its host.
func (printer Printer) MeasureAccounting() {
	for _, rows := range []int{10, 100, 1000, FullScaleAccounts, 3 * FullScaleAccounts} {
		heapBefore := heapInUse()
		counters := accounting.New()
		for i := range rows {
			request := counters.Begin(accountName(i/3), serviceName+string(rune('a'+i%3)))
			request.RecordFirstToken(300 * time.Millisecond)
			request.RecordTokens(230, 50*time.Millisecond)
			request.RecordCompleteness(true)
			request.RecordOutcome(nil)
		}
		heapUsed := heapInUse() - heapBefore
		var snapshot []byte
		snapshotCPU := meanCPU(accountingRounds, func() { snapshot, _ = json.Marshal(counters.Snapshot("host-0001", dataCentreName(0), 1)) })
		printer.printLine("accounting: %d rows of an account and a service: %.2f MB allocated; snapshot %d bytes, cpu %v", rows, megabytes(heapUsed), len(snapshot), snapshotCPU)
	}
}
