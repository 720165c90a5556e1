package memoryforecast

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/outputlength"
)

func TestMemory(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "memory")
}

const size = 10_000.0

// learned returns a table in which every output has the given length.
func learned(length int) *outputlength.Distribution {
	d := outputlength.New(0)
	for range 3000 {
		d.RecordProgress(0, length-1)
		d.RecordFinished(length)
	}
	d.Refresh()
	return d
}

// admit counts how many fresh generations the rule lets in.
func admit(d *outputlength.Distribution, gen Generation, unexplained float64) int {
	var load Load
	var g Forecast
	g.Predict(d, gen)
	for n := 0; ; n++ {
		if DefaultRule().Headroom(&load, &g, unexplained, size) < 0 {
			return n
		}
		load.Add(&g)
	}
}

var _ = Describe("memory admission", func() {
	// Ninety prompts of 100 tokens fit an empty engine. When their outputs are
	// long, it fills up in mid-decode: callers see streams stall while the
	// engine computes preempted ones again.
	It("leaves room for what is likely to be produced", func() {
		short, long := learned(20), learned(900)
		Expect(admit(short, Generation{Prompt: 100}, 0)).To(BeNumerically("~", 77, 6))
		Expect(admit(long, Generation{Prompt: 100}, 0)).To(BeNumerically("~", 9, 2))
	})

	It("counts memory that no known generation explains", func() {
		d := learned(20)
		all := admit(d, Generation{Prompt: 100}, 0)
		Expect(admit(d, Generation{Prompt: 100}, size/2)).To(BeNumerically("<", all/2))
		Expect(admit(d, Generation{Prompt: 100}, size)).To(BeZero())
	})

	It("trusts the bound on an output's length", func() {
		d := learned(900)
		Expect(admit(d, Generation{Prompt: 100, Max: 2}, 0)).To(BeNumerically(">", 80))
	})

	It("comes back to zero when everything that was added is taken away", func() {
		r := rand.New(rand.NewPCG(3, 4))
		d := learned(300)
		var load Load
		running := make([]Forecast, 200)
		for i := range running {
			running[i].Predict(d, Generation{Prompt: r.IntN(2000), Produced: r.IntN(400)})
			load.Add(&running[i])
		}
		for i := range running {
			load.Remove(&running[i])
		}
		for i := range horizonCount {
			Expect(load.sum.mean[i]).To(BeNumerically("~", 0, 1e-6))
			Expect(load.sum.variance[i]).To(BeNumerically("~", 0, 1e-3))
		}
	})
})

func BenchmarkHeadroom(b *testing.B) {
	d := learned(300)
	var load Load
	var g Forecast
	b.ReportAllocs()
	for range b.N {
		g.Predict(d, Generation{Prompt: 400, Max: 4096})
		DefaultRule().Headroom(&load, &g, 0, size)
	}
}
