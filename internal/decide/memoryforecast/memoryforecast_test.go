package memoryforecast

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/outputlength"
)

func TestMemoryForecast(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "memoryforecast")
}

const capacity = 10_000.0

// constantLength returns a distribution in which every output has the given
// length.
func constantLength(length int) *outputlength.Distribution {
	d := outputlength.New(0)
	for range 3000 {
		d.RecordProgress(0, length-1)
		d.RecordFinished(length)
	}
	d.Refresh()
	return d
}

// admittedCount returns how many new generations the rule admits to an empty
// engine.
func admittedCount(d *outputlength.Distribution, gen Generation, untracked float64) int {
	var load Load
	var forecast Forecast
	forecast.Predict(d, gen)
	for n := 0; ; n++ {
		if DefaultRule().Headroom(&load, &forecast, untracked, capacity) < 0 {
			return n
		}
		load.Add(&forecast)
	}
}

var _ = Describe("memory admission", func() {
	// Ninety prompts of 100 tokens fit an empty engine. If their outputs are
	// long, its memory fills up during decoding, and streams stall while
	// preempted generations are computed again.
	It("reserves memory for the expected output", func() {
		short, long := constantLength(20), constantLength(900)
		Expect(admittedCount(short, Generation{Prompt: 100}, 0)).To(BeNumerically("~", 77, 6))
		Expect(admittedCount(long, Generation{Prompt: 100}, 0)).To(BeNumerically("~", 9, 2))
	})

	It("counts memory used by untracked generations", func() {
		d := constantLength(20)
		withoutUntracked := admittedCount(d, Generation{Prompt: 100}, 0)
		Expect(admittedCount(d, Generation{Prompt: 100}, capacity/2)).To(BeNumerically("<", withoutUntracked/2))
		Expect(admittedCount(d, Generation{Prompt: 100}, capacity)).To(BeZero())
	})

	It("uses the maximum length of an output", func() {
		d := constantLength(900)
		Expect(admittedCount(d, Generation{Prompt: 100, Max: 2}, 0)).To(BeNumerically(">", 80))
	})

	It("returns to zero when everything that was added is removed", func() {
		rng := rand.New(rand.NewPCG(3, 4))
		d := constantLength(300)
		var load Load
		running := make([]Forecast, 200)
		for i := range running {
			running[i].Predict(d, Generation{Prompt: rng.IntN(2000), Produced: rng.IntN(400)})
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
	d := constantLength(300)
	var load Load
	var forecast Forecast
	b.ReportAllocs()
	for range b.N {
		forecast.Predict(d, Generation{Prompt: 400, Max: 4096})
		DefaultRule().Headroom(&load, &forecast, 0, capacity)
	}
}
