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

// warm returns a hedger that has seen times of 1 to 100 ms.
func warm() *hedge.Hedger {
	h := hedge.New(0, hedge.Config{})
	for i := range 100 {
		h.Observe(0, time.Duration(i+1)*ms)
	}
	h.Observe(5*time.Second, 50*ms)
	return h
}

var _ = Describe("a hedger", func() {
	It("waits for the p95 and knows it only after enough times", func() {
		_, ok := hedge.New(0, hedge.Config{}).StartCall(true)
		Expect(ok).To(BeFalse())
		h := warm()
		delay, ok := h.StartCall(true)
		Expect(ok).To(BeTrue())
		Expect(delay).To(BeNumerically("~", 95*ms, 2*ms))
		_, ok = h.StartCall(false)
		Expect(ok).To(BeFalse())
		for i := range 400 { // the old times leave the window
			h.Observe(time.Duration(i)*100*ms, 4*ms)
		}
		delay, _ = h.StartCall(true)
		Expect(delay).To(BeNumerically("~", 4*ms, ms))
	})

	It("is kept per service, while the table has it", func() {
		s := hedge.NewSet(hedge.Config{})
		lookup := s.ForService(0, "lookup")
		Expect(s.ForService(0, "lookup")).To(BeIdenticalTo(lookup))
		Expect(s.ForService(0, "gate")).NotTo(BeIdenticalTo(lookup))
		s.Keep(func(service string) bool { return service == "gate" })
		Expect(s.ForService(0, "lookup")).NotTo(BeIdenticalTo(lookup))
	})

	DescribeTable("refuses", func(s hedge.Conditions, want hedge.Refusal) {
		Expect(warm().AllowSecond(0, s)).To(Equal(want))
	},
		Entry(nil, hedge.Conditions{OtherTargets: 1}, hedge.NotRepeatable),
		Entry(nil, hedge.Conditions{Repeatable: true, OtherTargets: 1, Backlog: 30 * ms}, hedge.PoolOverloaded),
		Entry(nil, hedge.Conditions{Repeatable: true}, hedge.NoOtherTarget),
		Entry(nil, hedge.Conditions{Repeatable: true, OtherTargets: 1}, hedge.None),
	)

	// All targets become slow together. Every lookup is late now, and sending
	// them all twice would double the load when there is no room for it.
	DescribeTable("shortens the tail within its budget", func(how, slow int, p99 time.Duration, least, most float64) {
		got, second := lookups(1, how, slow)
		Expect(got).To(BeNumerically("<=", p99))
		Expect(second).To(And(BeNumerically(">=", least), BeNumerically("<=", most)))
		AddReportEntry("lookups", fmt.Sprintf("p99 %v, %.1f%% second calls", got, 100*second))
	},
		Entry("no second calls", none, 0, 510*ms, 0.0, 0.0),
		Entry("hedged", hedged, 0, 20*ms, 0.01, 0.06),
		Entry("hedged, all slow", hedged, 2000, 60*ms, 0.01, 0.06),
		Entry("after 10 ms without a budget, all slow", fixed, 2000, 60*ms, 0.3, 1.0),
	)
})

const (
	none = iota
	hedged
	fixed
)

// lookups sends 10,000 lookups of about 3 ms, of which one in fifty meets a
// pause of half a second; the last ones, twice slow of them, take 50 ms. It
// gives the p99 and the share of second calls.
func lookups(seed uint64, how, slow int) (p99 time.Duration, share float64) {
	const n = 10_000
	rnd := rand.New(rand.NewPCG(seed, 1))
	h := hedge.New(0, hedge.Config{})
	times, second := make([]time.Duration, n), 0
	for i := range times {
		now := time.Duration(i) * ms
		call := func() time.Duration {
			switch {
			case i >= n-2*slow:
				return 50 * ms
			case rnd.IntN(50) == 0:
				return 500 * ms
			}
			return ms + time.Duration(rnd.ExpFloat64()*float64(2*ms))
		}
		first := call()
		times[i] = first
		delay, ok := h.StartCall(true)
		if how == fixed {
			delay, ok = 10*ms, true
		}
		late := how != none && ok && first > delay
		if late && (how == fixed || h.AllowSecond(now, hedge.Conditions{Repeatable: true, OtherTargets: 3}) == hedge.None) {
			second++
			times[i] = min(first, delay+call())
		}
		h.Observe(now, times[i])
	}
	slices.Sort(times)
	return times[n*99/100], float64(second) / n
}

func BenchmarkObserve(b *testing.B) {
	h := warm()
	b.ReportAllocs()
	for range b.N {
		h.StartCall(true)
		h.Observe(0, ms)
	}
}
