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
	It("stays when it ends well before the engine stops", func() {
		left := migration.TimeLeft(54, 50, 49*40*time.Millisecond)
		Expect(left).To(Equal(4 * 40 * time.Millisecond))
		Expect(migration.Default().Stays(left, notice)).To(BeTrue())
	})

	DescribeTable("leaves when that is not sure", func(expected, done int) {
		left := migration.TimeLeft(expected, done, time.Duration(done)*40*time.Millisecond)
		Expect(migration.Default().Stays(left, notice)).To(BeFalse())
	},
		Entry("long to run", 200, 50),
		Entry("too close to the end of the notice", 60, 50),
		Entry("past the client's estimate", 50, 90),
		Entry("just begun", 2, 1),
	)
})

var _ = Describe("backups", func() {
	const linkMbps, bytesPerToken = 2700, 18432 // 18.3 tokens a millisecond

	// An engine holds nine long generations and leaves with a notice of a
	// second and a half. Its link can't carry them all off, and those that
	// wait at the end of the queue die with it.
	It("are made for what the engine's link could not carry off in time", func() {
		c := migration.Default()
		Expect(c.BacksUp(5000, 3500, linkMbps, bytesPerToken)).To(BeFalse())
		Expect(c.BacksUp(12000, 3500, linkMbps, bytesPerToken)).To(BeTrue())
	})

	It("are not made where nothing is known of links", func() {
		Expect(migration.Default().BacksUp(1e6, 3500, 0, 0)).To(BeFalse())
	})
})
