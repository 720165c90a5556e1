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

// play has some hosts, drawn at random, try to send to one target as often as
// they can once a time has passed, and gives when they did. With lending, a host
// without a token asks one of those that share the rate.
func play(perSecond float64, hosts int, lending bool, idle, length time.Duration) []time.Duration {
	draw := rand.New(rand.NewPCG(1, uint64(hosts)))
	boards := make([]*targetrate.Limiter, hosts)
	for i := range boards {
		boards[i] = targetrate.New()
		boards[i].Merge("i-1", targetrate.Advertisement{Limited: true, PerSecond: perSecond})
	}
	holders := targetrate.HolderCount(perSecond, hosts)
	var sent []time.Duration
	const triesPerSecond = 200
	for now := idle; now < idle+length; now += time.Second / triesPerSecond {
		host := draw.IntN(hosts)
		if !boards[host].Allows(now, "i-1", host, hosts) && lending {
			if lender := draw.IntN(holders); lender != host && boards[lender].Lend(now, "i-1", lender, hosts) {
				boards[host].AddBorrowed("i-1")
			}
		}
		if boards[host].Allows(now, "i-1", host, hosts) {
			boards[host].TakeToken("i-1")
			sent = append(sent, now)
		}
	}
	return sent
}

// most is the largest number of sends in four seconds.
func most(sent []time.Duration) int {
	out, first := 0, 0
	for i, at := range sent {
		for at-sent[first] >= 4*time.Second {
			first++
		}
		out = max(out, i-first+1)
	}
	return out
}

var _ = Describe("the shares of a target's rate", func() {
	// Guards against shares that add up to more than the target takes.
	DescribeTable("keep all hosts together within its bound", func(perSecond float64, hosts int) {
		for _, lending := range []bool{false, true} {
			for _, idle := range []time.Duration{0, time.Minute} {
				sent := play(perSecond, hosts, lending, idle, 30*time.Second)
				Expect(most(sent)).To(BeNumerically("<=", 1.5*perSecond*4+5), "lending: %v, idle for %s", lending, idle)
			}
		}
	},
		Entry("one host", 3.4, 1), Entry("a few hosts", 3.4, 8), Entry("a large fleet", 4.6, 300),
		Entry("a high rate", 40.0, 8), Entry("hardly any", 0.1, 195), Entry("none at all", 0.0, 195),
	)

	// Guards against requests that are refused at hosts without a share while
	// tokens of others expire unused.
	It("serve the target's rate wherever requests come in, once tokens are lent", func() {
		const rate, length = 4.0, 30 * time.Second
		for _, hosts := range []int{1, 8, 195, 300} {
			own, lent := play(rate, hosts, false, 0, length), play(rate, hosts, true, 0, length)
			AddReportEntry(fmt.Sprintf("%d hosts, requests served of the rate", hosts), fmt.Sprintf("shares alone %.2f, lent %.2f",
				float64(len(own))/(rate*length.Seconds()), float64(len(lent))/(rate*length.Seconds())))
			Expect(len(lent)).To(BeNumerically(">=", 0.9*rate*length.Seconds()))
		}
	})
})

var _ = Describe("what a target says of its rate", func() {
	limited := func(perSecond float64, at time.Duration) targetrate.Advertisement {
		return targetrate.Advertisement{Limited: true, PerSecond: perSecond, At: at}
	}

	It("holds until it says something else, whoever heard it", func() {
		b := targetrate.New()
		Expect(b.Observe("i-1", targetrate.Advertisement{At: 1})).To(BeFalse())
		Expect(b.Observe("i-1", limited(2, 2))).To(BeTrue())
		a, known := b.Limit("i-1")
		Expect(known).To(BeTrue())
		Expect(a.PerSecond).To(Equal(2.0))
		b.Merge("i-1", targetrate.Advertisement{At: 3})
		_, known = b.Limit("i-1")
		Expect(known).To(BeFalse())
	})

	// Guards against an advertisement that came late and lifts a rate named after it.
	It("is not overruled by an older one", func() {
		b := targetrate.New()
		b.Observe("i-1", limited(2, 5))
		b.Merge("i-1", targetrate.Advertisement{At: 4})
		_, known := b.Limit("i-1")
		Expect(known).To(BeTrue())
	})

	It("is passed on when it changes, and now and then", func() {
		b := targetrate.New()
		Expect(b.Observe("i-1", limited(2, 0))).To(BeTrue())
		Expect(b.Observe("i-1", limited(2, 100*time.Millisecond))).To(BeFalse())
		Expect(b.Observe("i-1", limited(3, 200*time.Millisecond))).To(BeTrue())
		Expect(b.Observe("i-1", limited(3, 2*time.Second))).To(BeTrue())
		Expect(b.Observe("i-1", targetrate.Advertisement{At: 3 * time.Second})).To(BeTrue())
		Expect(b.Observe("i-1", targetrate.Advertisement{At: 4 * time.Second})).To(BeFalse())
	})

	It("gives the time until the next request", func() {
		b := targetrate.New()
		b.Observe("i-1", limited(1, 0))
		Expect(b.Allows(0, "i-1", 0, 1)).To(BeTrue())
		b.TakeToken("i-1")
		Expect(b.Allows(0, "i-1", 0, 1)).To(BeFalse())
		Expect(b.Wait(0, "i-1", 0, 1)).To(Equal(time.Second))
		Expect(b.Allows(time.Second, "i-1", 0, 1)).To(BeTrue())

		other := targetrate.New()
		other.Merge("i-1", limited(4, 0))
		Expect(other.Wait(0, "i-1", 9, 10)).To(Equal(250 * time.Millisecond))
	})
})
