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
		_, ok := hedge.New(0, hedge.Config{}).Begin(true)
		Expect(ok).To(BeFalse())
		h := warm()
		delay, ok := h.Begin(true)
		Expect(ok).To(BeTrue())
		Expect(delay).To(BeNumerically("~", 95*ms, 2*ms))
		_, ok = h.Begin(false)
		Expect(ok).To(BeFalse())
		for i := range 400 { // the old times leave the window
			h.Observe(time.Duration(i)*100*ms, 4*ms)
		}
		delay, _ = h.Begin(true)
		Expect(delay).To(BeNumerically("~", 4*ms, ms))
	})

	DescribeTable("refuses", func(s hedge.Situation, want hedge.Refusal) {
		Expect(warm().Second(0, s)).To(Equal(want))
	},
		Entry(nil, hedge.Situation{OtherTargets: 1}, hedge.NotRepeatable),
		Entry(nil, hedge.Situation{Repeatable: true, OtherTargets: 1, Backlog: 30 * ms}, hedge.PoolOverloaded),
		Entry(nil, hedge.Situation{Repeatable: true}, hedge.NoOtherTarget),
		Entry(nil, hedge.Situation{Repeatable: true, OtherTargets: 1}, hedge.None),
	)

	// All targets become slow together. Every lookup is late now, and sending
	// them all twice would double the load when there is no room for it.
	It("keeps to its budget when all are slow, and shortens the tail when few are", func() {
		p99, second := lookups(1, 1, 0)
		naive, _ := lookups(1, 0, 0)
		Expect(p99).To(BeNumerically("<", naive/5))
		Expect(second).To(BeNumerically("<", 0.06))
		_, second = lookups(1, 1, 2000)
		Expect(second).To(BeNumerically("<", 0.06))
		_, second = lookups(1, 2, 2000)
		Expect(second).To(BeNumerically(">", 0.3), "a fixed delay without a budget")
	})
})

// lookups sends 10,000 lookups of about 3 ms, of which one in fifty meets a
// pause of half a second; the last ones, slow of them, all take 50 ms. It gives
// the p99 and the share of second calls. how is 0 for none, 1 for the hedger,
// 2 for a fixed delay of 10 ms.
func lookups(seed uint64, how, slow int) (p99 time.Duration, share float64) {
	const n = 10_000
	rnd := rand.New(rand.NewPCG(seed, 1))
	h := hedge.New(0, hedge.Config{})
	times := make([]time.Duration, n)
	second := 0
	for i := range times {
		now := time.Duration(i) * ms
		call := func() time.Duration {
			took := ms + time.Duration(rnd.ExpFloat64()*float64(2*ms))
			if rnd.IntN(50) == 0 {
				took = 500 * ms
			}
			if i >= n-2*slow {
				took = 50 * ms
			}
			return took
		}
		took := call()
		first := took
		delay, ok := h.Begin(true)
		if how == 2 {
			delay, ok = 10*ms, true
		}
		if how > 0 && ok && took > delay {
			s := hedge.Situation{Repeatable: true, OtherTargets: 3}
			if how == 2 || h.Second(now, s) == hedge.None {
				second++
				took = min(took, delay+call())
			}
		}
		h.Observe(now, min(first, took))
		times[i] = took
	}
	slices.Sort(times)
	return times[n*99/100], float64(second) / n
}

func BenchmarkMeasure(b *testing.B) {
	for how, name := range []string{"none", "hedger", "fixed-delay"} {
		for _, slow := range []int{0, 2000} {
			b.Run(fmt.Sprintf("%s/slow=%d", name, slow), func(b *testing.B) {
				var p99 time.Duration
				var share float64
				for range b.N {
					p99, share = lookups(1, how, slow)
				}
				b.ReportMetric(float64(p99.Microseconds())/1000, "p99-ms")
				b.ReportMetric(100*share, "second-calls-%")
			})
		}
	}
}

func BenchmarkObserve(b *testing.B) {
	h := warm()
	b.ReportAllocs()
	for range b.N {
		h.Begin(true)
		h.Observe(0, ms)
	}
}
