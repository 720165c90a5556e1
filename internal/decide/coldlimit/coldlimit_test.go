package coldlimit_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/coldlimit"
)

func TestColdshare(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "coldshare")
}

var _ = Describe("a cold target", func() {
	// A data centre comes back cold. Every host keeps to the rate that one
	// target bears, and together they send it eight times as much.
	DescribeTable("gets no more than it bears from all hosts together",
		func(bears float64, hosts int) {
			most := 0
			for rank := range hosts {
				var g coldlimit.Limiter
				part := coldlimit.SendQuota(bears, rank, hosts)
				sent := 0
				for ms := 0; ms < 1000; ms++ {
					now := time.Duration(ms) * time.Millisecond
					if g.Allows(now, part) {
						g.RecordSend(now)
						sent++
					}
				}
				most += sent
			}
			Expect(most).To(Equal(int(bears)))
		},
		Entry("many sends, few hosts", 90.5, 8),
		Entry("few sends, many hosts", 12.5, 84),
		Entry("one", 1.0, 300),
		Entry("none", 0.4, 8),
	)

	It("gets the next send a second after the one before", func() {
		var g coldlimit.Limiter
		g.RecordSend(0)
		Expect(g.Allows(999*time.Millisecond, 1)).To(BeFalse())
		Expect(g.Allows(time.Second, 1)).To(BeTrue())
	})
})
