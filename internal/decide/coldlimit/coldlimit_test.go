package coldlimit_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/coldlimit"
)

func TestColdLimit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "coldlimit")
}

var _ = Describe("a cold target", func() {
	// A data centre comes back cold. If every host keeps to the rate that one
	// target can take, all hosts together send it eight times as much.
	DescribeTable("gets no more than its capacity from all hosts together",
		func(capacity float64, hosts int) {
			total := 0
			for rank := range hosts {
				var g coldlimit.Limiter
				quota := coldlimit.SendQuota(capacity, rank, hosts)
				sent := 0
				for ms := 0; ms < 1000; ms++ {
					now := time.Duration(ms) * time.Millisecond
					if g.Allows(now, quota) {
						g.RecordSend(now)
						sent++
					}
				}
				total += sent
			}
			Expect(total).To(Equal(int(capacity)))
		},
		Entry("many requests, few hosts", 90.5, 8),
		Entry("few requests, many hosts", 12.5, 84),
		Entry("one request", 1.0, 300),
		Entry("less than one request", 0.4, 8),
	)

	It("gets the next request a second after the previous one", func() {
		var g coldlimit.Limiter
		g.RecordSend(0)
		Expect(g.Allows(999*time.Millisecond, 1)).To(BeFalse())
		Expect(g.Allows(time.Second, 1)).To(BeTrue())
	})
})
