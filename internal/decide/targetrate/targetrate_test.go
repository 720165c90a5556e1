package targetrate_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/targetrate"
)

func TestTargetRate(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "target rate")
}

// simulateSends lets randomly drawn hosts send to one target as often as they can
// for the given length, after an idle time, and returns the send times. With
// lending, a host without a token asks one of the hosts that share the rate.
func simulateSends(perSecond float64, hosts int, lending bool, idle, length time.Duration) []time.Duration {
	rng := rand.New(rand.NewPCG(1, uint64(hosts)))
	limiters := make([]*targetrate.Limiter, hosts)
	for i := range limiters {
		limiters[i] = targetrate.New()
		limiters[i].Merge("i-1", targetrate.Advertisement{Limited: true, PerSecond: perSecond})
	}
	holders := targetrate.HolderCount(perSecond, hosts)
	var sent []time.Duration
	const triesPerSecond = 200
	for now := idle; now < idle+length; now += time.Second / triesPerSecond {
		host := rng.IntN(hosts)
		if !limiters[host].Allows(now, "i-1", host, hosts) && lending {
			if lender := rng.IntN(holders); lender != host && limiters[lender].Lend(now, "i-1", lender, hosts) {
				limiters[host].AddBorrowed("i-1")
			}
		}
		if limiters[host].Allows(now, "i-1", host, hosts) {
			limiters[host].TakeToken("i-1")
			sent = append(sent, now)
		}
	}
	return sent
}

// maxSendsInWindow returns the largest number of sends within four seconds.
func maxSendsInWindow(sends []time.Duration) int {
	maxCount, windowStart := 0, 0
	for i, at := range sends {
		for at-sends[windowStart] >= 4*time.Second {
			windowStart++
		}
		maxCount = max(maxCount, i-windowStart+1)
	}
	return maxCount
}

var _ = Describe("the shares of a target's rate", func() {
	// Guards against shares that add up to more than the target takes.
	DescribeTable("keep all hosts together within its limit", func(perSecond float64, hosts int) {
		for _, lending := range []bool{false, true} {
			for _, idle := range []time.Duration{0, time.Minute} {
				sent := simulateSends(perSecond, hosts, lending, idle, 30*time.Second)
				Expect(maxSendsInWindow(sent)).To(BeNumerically("<=", 1.5*perSecond*4+5), "lending: %v, idle for %s", lending, idle)
			}
		}
	},
		Entry("one host", 3.4, 1), Entry("a few hosts", 3.4, 8), Entry("a large fleet", 4.6, 300),
		Entry("a high rate", 40.0, 8), Entry("a very low rate", 0.1, 195), Entry("a rate of zero", 0.0, 195),
	)

	// Guards against requests that are refused on hosts without a share while
	// tokens of other hosts stay unused.
	It("use the whole rate on whichever hosts requests arrive, if tokens are lent", func() {
		const rate, length = 4.0, 30 * time.Second
		for _, hosts := range []int{1, 8, 195, 300} {
			sharesAlone, withLending := simulateSends(rate, hosts, false, 0, length), simulateSends(rate, hosts, true, 0, length)
			AddReportEntry(fmt.Sprintf("%d hosts, requests served of the rate", hosts), fmt.Sprintf("shares alone %.2f, lent %.2f",
				float64(len(sharesAlone))/(rate*length.Seconds()), float64(len(withLending))/(rate*length.Seconds())))
			Expect(len(withLending)).To(BeNumerically(">=", 0.9*rate*length.Seconds()))
		}
	})
})

var _ = Describe("a target's advertised rate", func() {
	limited := func(perSecond float64, at time.Duration) targetrate.Advertisement {
		return targetrate.Advertisement{Limited: true, PerSecond: perSecond, At: at}
	}

	It("is valid until it changes, whichever host received it", func() {
		limiter := targetrate.New()
		Expect(limiter.Observe("i-1", targetrate.Advertisement{At: 1})).To(BeFalse())
		Expect(limiter.Observe("i-1", limited(2, 2))).To(BeTrue())
		a, known := limiter.Limit("i-1")
		Expect(known).To(BeTrue())
		Expect(a.PerSecond).To(Equal(2.0))
		limiter.Merge("i-1", targetrate.Advertisement{At: 3})
		_, known = limiter.Limit("i-1")
		Expect(known).To(BeFalse())
	})

	// Guards against a late advertisement that lifts a limit stated after it.
	It("is not replaced by an older one", func() {
		limiter := targetrate.New()
		limiter.Observe("i-1", limited(2, 5))
		limiter.Merge("i-1", targetrate.Advertisement{At: 4})
		_, known := limiter.Limit("i-1")
		Expect(known).To(BeTrue())
	})

	It("is passed on when it changes and at intervals", func() {
		limiter := targetrate.New()
		Expect(limiter.Observe("i-1", limited(2, 0))).To(BeTrue())
		Expect(limiter.Observe("i-1", limited(2, 100*time.Millisecond))).To(BeFalse())
		Expect(limiter.Observe("i-1", limited(3, 200*time.Millisecond))).To(BeTrue())
		Expect(limiter.Observe("i-1", limited(3, 2*time.Second))).To(BeTrue())
		Expect(limiter.Observe("i-1", targetrate.Advertisement{At: 3 * time.Second})).To(BeTrue())
		Expect(limiter.Observe("i-1", targetrate.Advertisement{At: 4 * time.Second})).To(BeFalse())
	})

	It("determines the time until the next request", func() {
		limiter := targetrate.New()
		limiter.Observe("i-1", limited(1, 0))
		Expect(limiter.Allows(0, "i-1", 0, 1)).To(BeTrue())
		limiter.TakeToken("i-1")
		Expect(limiter.Allows(0, "i-1", 0, 1)).To(BeFalse())
		Expect(limiter.Wait(0, "i-1", 0, 1)).To(Equal(time.Second))
		Expect(limiter.Allows(time.Second, "i-1", 0, 1)).To(BeTrue())

		withoutShare := targetrate.New()
		withoutShare.Merge("i-1", limited(4, 0))
		Expect(withoutShare.Wait(0, "i-1", 9, 10)).To(Equal(250 * time.Millisecond))
	})
})
