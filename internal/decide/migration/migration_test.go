package migration_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/migration"
)

func TestMigration(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "migration")
}

var _ = Describe("a generation on an engine that is about to stop", func() {
	const notice = 1500 * time.Millisecond

	// Copying it would delay the copies of generations that have long to run.
	It("stays if it is certain to finish before the engine stops", func() {
		remaining := migration.MaxRemaining(10, 4, 3*40*time.Millisecond)
		Expect(remaining).To(Equal(6 * 40 * time.Millisecond))
		Expect(migration.Default().CompletesInTime(remaining, notice)).To(BeTrue())
	})

	// The client's estimate says that the generation is about to finish.
	// Estimates are off by a factor of three, and a generation that stays too
	// long is cut off.
	DescribeTable("is migrated if that is not certain", func(maxEvents, events int) {
		remaining := migration.MaxRemaining(maxEvents, events, time.Duration(events)*40*time.Millisecond)
		Expect(migration.Default().CompletesInTime(remaining, notice)).To(BeFalse())
	},
		Entry("long to run", 556, 50),
		Entry("finishes too close to the stop", 40, 20),
		Entry("maximum length unknown", 0, 50),
		Entry("just started", 2, 1),
	)
})

var _ = Describe("a generation whose copy is not answered in time", func() {
	// Guards against giving up the only copy for an engine that stops, and an engine that goes
	// on for one that does not answer.
	DescribeTable("waits for it if its engine stops before another copy would be answered", func(untilStop time.Duration, waits bool) {
		Expect(migration.WaitsForCopy(untilStop, 400*time.Millisecond, 300*time.Millisecond)).To(Equal(waits))
	},
		Entry("the engine should have stopped", -100*time.Millisecond, true),
		Entry("no time for another copy", 300*time.Millisecond, true),
		Entry("time for another copy, not for its answer", 600*time.Millisecond, true),
		Entry("time for both", 700*time.Millisecond, false),
		Entry("long to go", 5*time.Second, false),
	)
})

var _ = Describe("copies that a link cannot all carry in time", func() {
	// completedCopies simulates the copies from one stopping engine, which queue
	// on its link in the order in which hosts request them, and returns the
	// number completed before the engine stops.
	completedCopies := func(c migration.Config, rng *rand.Rand) int {
		const generations, notice = 9, 1400 * time.Millisecond
		type request struct{ at, copyTime time.Duration }
		queue := make([]request, generations)
		for i := range queue {
			copyTime := migration.CopyTime(1500+rng.IntN(4500), 18_432, 2700)
			noticeDelay := time.Duration(rng.IntN(30)) * time.Millisecond
			queue[i] = request{noticeDelay + c.CopyDelay(copyTime), copyTime}
		}
		slices.SortFunc(queue, func(a, b request) int { return cmp.Compare(a.at, b.at) })
		linkFreeAt, completed := time.Duration(0), 0
		for _, r := range queue {
			linkFreeAt = max(linkFreeAt, r.at) + r.copyTime
			if linkFreeAt <= notice {
				completed++
			}
		}
		return completed
	}

	// An engine with nine generations is taken away with one and a half seconds'
	// notice. If copies are requested at once and in any order, a few large
	// copies keep several small ones waiting until the engine has stopped.
	It("are made in order of size, so that more of them complete", func() {
		ordered, immediate := 0, 0
		for seed := range uint64(400) {
			ordered += completedCopies(migration.Default(), rand.New(rand.NewPCG(seed, 1)))
			withoutDelay := migration.Default()
			withoutDelay.CopyWaitFactor = 0
			immediate += completedCopies(withoutDelay, rand.New(rand.NewPCG(seed, 1)))
		}
		AddReportEntry("copies made of 3600", fmt.Sprintf("in order %d, at once %d", ordered, immediate))
		Expect(ordered).To(BeNumerically(">", immediate+immediate/20))
	})

	It("take zero time if the bandwidth is unknown", func() {
		Expect(migration.CopyTime(3000, 18_432, 0)).To(BeZero())
		Expect(migration.CopyTime(3000, 18_432, 2700)).To(BeNumerically("~", 164*time.Millisecond, time.Millisecond))
	})
})
