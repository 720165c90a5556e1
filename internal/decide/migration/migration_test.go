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

var _ = Describe("a generation on a leaving engine", func() {
	const notice = 1500 * time.Millisecond

	// Its copy would hold up those of generations that have long to run.
	It("stays when it can't but end before the engine stops", func() {
		left := migration.MaxRemaining(10, 4, 3*40*time.Millisecond)
		Expect(left).To(Equal(6 * 40 * time.Millisecond))
		Expect(migration.Default().CompletesInTime(left, notice)).To(BeTrue())
	})

	// The client's estimate says that the report is about to end. Estimates are
	// off by a factor of three, and a report that stays for nothing is cut.
	DescribeTable("leaves when that is not sure", func(most, done int) {
		left := migration.MaxRemaining(most, done, time.Duration(done)*40*time.Millisecond)
		Expect(migration.Default().CompletesInTime(left, notice)).To(BeFalse())
	},
		Entry("long to run", 556, 50),
		Entry("too close to the end of the notice", 40, 20),
		Entry("no bound known", 0, 50),
		Entry("just begun", 2, 1),
	)
})

var _ = Describe("copies that a link can't all carry off in time", func() {
	// saved plays the copies of one leaving engine, which queue on its link in
	// the order in which hosts ask for them, and counts those that are whole
	// before the engine stops.
	saved := func(c migration.Config, draw *rand.Rand) int {
		const generations, notice = 9, 1400 * time.Millisecond
		type request struct{ at, takes time.Duration }
		queue := make([]request, generations)
		for i := range queue {
			takes := migration.CopyTime(1500+draw.IntN(4500), 18_432, 2700)
			heard := time.Duration(draw.IntN(30)) * time.Millisecond
			queue[i] = request{heard + c.CopyDelay(takes), takes}
		}
		slices.SortFunc(queue, func(a, b request) int { return cmp.Compare(a.at, b.at) })
		free, whole := time.Duration(0), 0
		for _, r := range queue {
			free = max(free, r.at) + r.takes
			if free <= notice {
				whole++
			}
		}
		return whole
	}

	// An engine with nine reports is taken away with one and a half seconds'
	// notice. Asked for at once and in any order, some large copies keep several
	// small ones waiting until the engine is gone.
	It("go the shorter ones first, and more of them get away", func() {
		inOrder, atOnce := 0, 0
		for seed := range uint64(400) {
			inOrder += saved(migration.Default(), rand.New(rand.NewPCG(seed, 1)))
			naive := migration.Default()
			naive.OrderShare = 0
			atOnce += saved(naive, rand.New(rand.NewPCG(seed, 1)))
		}
		AddReportEntry("copies made of 3600", fmt.Sprintf("in order %d, at once %d", inOrder, atOnce))
		Expect(inOrder).To(BeNumerically(">", atOnce+atOnce/20))
	})

	It("take no time that is not known", func() {
		Expect(migration.CopyTime(3000, 18_432, 0)).To(BeZero())
		Expect(migration.CopyTime(3000, 18_432, 2700)).To(BeNumerically("~", 164*time.Millisecond, time.Millisecond))
	})
})
