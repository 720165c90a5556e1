package hedge_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/hedge"
)

func TestHedge(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hedge")
}

const ms = time.Millisecond

// newWarmHedger returns a hedger with samples from 1 to 100 ms.
func newWarmHedger() *hedge.Hedger {
	h := hedge.New(0, hedge.Config{})
	for i := range 100 {
		h.Observe(0, time.Duration(i+1)*ms)
	}
	h.Observe(5*time.Second, 50*ms)
	return h
}

var _ = Describe("a hedger", func() {
	It("waits for the p95 once there are enough samples", func() {
		_, ok := hedge.New(0, hedge.Config{}).StartCall(true)
		Expect(ok).To(BeFalse())
		h := newWarmHedger()
		delay, ok := h.StartCall(true)
		Expect(ok).To(BeTrue())
		Expect(delay).To(BeNumerically("~", 95*ms, 2*ms))
		_, ok = h.StartCall(false)
		Expect(ok).To(BeFalse())
		for i := range 400 { // the old samples leave the window
			h.Observe(time.Duration(i)*100*ms, 4*ms)
		}
		delay, _ = h.StartCall(true)
		Expect(delay).To(BeNumerically("~", 4*ms, ms))
	})

	It("is kept per service as long as the table contains it", func() {
		s := hedge.NewSet(hedge.Config{})
		lookup := s.ForService(0, "lookup")
		Expect(s.ForService(0, "lookup")).To(BeIdenticalTo(lookup))
		Expect(s.ForService(0, "gate")).NotTo(BeIdenticalTo(lookup))
		s.Retain(func(service string) bool { return service == "gate" })
		Expect(s.ForService(0, "lookup")).NotTo(BeIdenticalTo(lookup))
	})

	DescribeTable("refuses", func(conditions hedge.Conditions, want hedge.Refusal) {
		Expect(newWarmHedger().AllowSecondCall(0, conditions)).To(Equal(want))
	},
		Entry(nil, hedge.Conditions{OtherTargets: 1}, hedge.NotRepeatable),
		Entry(nil, hedge.Conditions{Repeatable: true, OtherTargets: 1, Backlog: 30 * ms}, hedge.PoolOverloaded),
		Entry(nil, hedge.Conditions{Repeatable: true}, hedge.NoOtherTarget),
		Entry(nil, hedge.Conditions{Repeatable: true, OtherTargets: 1}, hedge.NoRefusal),
	)

	// All targets become slow together. Every lookup is then late, and sending
	// all of them twice would double the load when there is no capacity for it.
	DescribeTable("reduces the tail latency within its budget", func(strategy, slowPairs int, p99 time.Duration, minShare, maxShare float64) {
		measuredP99, secondShare := simulateLookups(1, strategy, slowPairs)
		Expect(measuredP99).To(BeNumerically("<=", p99))
		Expect(secondShare).To(And(BeNumerically(">=", minShare), BeNumerically("<=", maxShare)))
		AddReportEntry("lookups", fmt.Sprintf("p99 %v, %.1f%% second calls", measuredP99, 100*secondShare))
	},
		Entry("no second calls", withoutHedging, 0, 510*ms, 0.0, 0.0),
		Entry("hedged", hedged, 0, 20*ms, 0.01, 0.06),
		Entry("hedged, all slow", hedged, 2000, 60*ms, 0.01, 0.06),
		Entry("fixed delay of 10 ms without a budget, all slow", fixedDelay, 2000, 60*ms, 0.3, 1.0),
	)
})

const (
	withoutHedging = iota
	hedged
	fixedDelay
)

// simulateLookups sends 10,000 lookups of about 3 ms, one in fifty of which meets
// a pause of half a second. The last 2*slowPairs lookups take 50 ms. It returns
// the p99 and the ratio of second calls to lookups.
func simulateLookups(seed uint64, strategy, slowPairs int) (p99 time.Duration, share float64) {
	const n = 10_000
	rng := rand.New(rand.NewPCG(seed, 1))
	h := hedge.New(0, hedge.Config{})
	times, secondCalls := make([]time.Duration, n), 0
	for i := range times {
		now := time.Duration(i) * ms
		call := func() time.Duration {
			switch {
			case i >= n-2*slowPairs:
				return 50 * ms
			case rng.IntN(50) == 0:
				return 500 * ms
			}
			return ms + time.Duration(rng.ExpFloat64()*float64(2*ms))
		}
		first := call()
		times[i] = first
		delay, ok := h.StartCall(true)
		if strategy == fixedDelay {
			delay, ok = 10*ms, true
		}
		late := strategy != withoutHedging && ok && first > delay
		if late && (strategy == fixedDelay || h.AllowSecondCall(now, hedge.Conditions{Repeatable: true, OtherTargets: 3}) == hedge.NoRefusal) {
			secondCalls++
			times[i] = min(first, delay+call())
		}
		h.Observe(now, times[i])
	}
	slices.Sort(times)
	return times[n*99/100], float64(secondCalls) / n
}

func BenchmarkObserve(b *testing.B) {
	h := newWarmHedger()
	b.ReportAllocs()
	for range b.N {
		h.StartCall(true)
		h.Observe(0, ms)
	}
}
