package accounting_test

import (
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/accounting"
	"filbertdeck/internal/failure"
)

func TestAccounting(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "accounting")
}

var ends = []error{
	nil,
	failure.New(failure.KindOverloaded, "full"),
	failure.New(failure.KindTargetLost, "lost").WithExecutionUnknown(),
	failure.New(failure.KindTargetFailed, "failed").WithExecuted(),
}

var _ = Describe("the accounting", func() {
	// A request ends on two paths at once, or on none. It would be counted
	// twice, or be in no column, and the monitor's sum would not come out.
	It("balances at every moment, whatever paths a request ends by", func() {
		book := accounting.New()
		var wg sync.WaitGroup
		for worker := range 8 {
			wg.Go(func() {
				r := rand.New(rand.NewPCG(uint64(worker), 0))
				for range 500 {
					e := book.Begin("school", "reports")
					e.RecordTokens(1, time.Duration(r.IntN(100))*time.Millisecond)
					for range 1 + r.IntN(2) {
						e.RecordOutcome(ends[r.IntN(len(ends))])
					}
				}
			})
		}
		for range 200 {
			Expect(book.Snapshot("h", "d", 1).Unbalanced).To(BeZero())
		}
		wg.Wait()
		line := book.Lines()[0]
		Expect(line.Received).To(BeEquivalentTo(4000))
		Expect(line.InProgress).To(BeZero())
	})

	// The control process of a host is told changed rows only. One that was
	// lost on the way would stay wrong for as long as nobody asks for more.
	It("comes together from changed rows as it is", func() {
		book, merged := accounting.New(), accounting.NewSnapshotMerger()
		r := rand.New(rand.NewPCG(5, 0))
		for range 200 {
			for range r.IntN(4) {
				e := book.Begin(string(rune('a'+r.IntN(5))), "sites")
				e.RecordLookup(time.Duration(r.IntN(500)) * time.Millisecond)
				if r.IntN(3) > 0 {
					e.RecordOutcome(ends[r.IntN(len(ends))])
				}
			}
			var handed accounting.Snapshot
			text, err := json.Marshal(book.ChangedSnapshot("h", "d", 1))
			Expect(err).NotTo(HaveOccurred())
			Expect(json.Unmarshal(text, &handed)).To(Succeed())
			merged.Apply(handed)
			Expect(merged.Snapshot().Rows).To(ConsistOf(book.Lines()))
		}
		Expect(book.Changed()).To(BeEmpty())
	})
})

// BenchmarkChanged measures the handing over of a few changed rows among many.
func BenchmarkChanged(b *testing.B) {
	book := accounting.New()
	entries := make([]*accounting.RequestRecorder, 11_000)
	for i := range entries {
		entries[i] = book.Begin("account-"+strconv.Itoa(i), "reports")
	}
	_ = book.Changed()
	b.ReportAllocs()
	for b.Loop() {
		for i := range 8 {
			entries[i*1000].RecordTokens(1, time.Millisecond)
		}
		if text, err := json.Marshal(book.ChangedSnapshot("h", "d", 1)); err != nil || len(text) == 0 {
			b.Fatal(err)
		}
	}
}
