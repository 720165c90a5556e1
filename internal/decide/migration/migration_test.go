package migration_test

import (
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
		left := migration.MostLeft(10, 4, 3*40*time.Millisecond)
		Expect(left).To(Equal(6 * 40 * time.Millisecond))
		Expect(migration.Default().Stays(left, notice)).To(BeTrue())
	})

	// The client's estimate says that the report is about to end. Estimates are
	// off by a factor of three, and a report that stays for nothing is cut.
	DescribeTable("leaves when that is not sure", func(most, done int) {
		left := migration.MostLeft(most, done, time.Duration(done)*40*time.Millisecond)
		Expect(migration.Default().Stays(left, notice)).To(BeFalse())
	},
		Entry("long to run", 556, 50),
		Entry("too close to the end of the notice", 40, 20),
		Entry("no bound known", 0, 50),
		Entry("just begun", 2, 1),
	)
})
