package enginespeed_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/enginespeed"
)

func TestEngineSpeed(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine speed")
}

var _ = Describe("the speed of an engine", func() {
	const fast, slow = 7500 * time.Microsecond, 9750 * time.Microsecond
	// sample returns the time per token of one window. In 35% of the windows
	// prompts are read for part of the time, which slows tokens by up to a factor
	// of two.
	sample := func(rng *rand.Rand, step time.Duration) time.Duration {
		noise := 1 + 0.03*rng.NormFloat64()
		if rng.Float64() < 0.35 {
			noise += rng.Float64()
		}
		return time.Duration(float64(step) * noise)
	}

	// Some engines of a service are a third slower. A long generation sent to one
	// takes a third longer although a fast engine had room.
	It("is distinguished within two seconds of one stream while prompts are read", func() {
		misranked := 0
		for seed := range uint64(200) {
			rng := rand.New(rand.NewPCG(seed, 1))
			estimator := enginespeed.New()
			for range 6 {
				estimator.AddSample("quick", sample(rng, fast))
				estimator.AddSample("slow", sample(rng, slow))
			}
			if estimator.TimePerToken("quick") >= estimator.TimePerToken("slow") {
				misranked++
			}
		}
		Expect(misranked).To(BeNumerically("<=", 10))
	})

	It("follows an engine that becomes slower", func() {
		estimator := enginespeed.New()
		for range 20 {
			estimator.AddSample("i-1", fast)
		}
		for range 60 {
			estimator.AddSample("i-1", slow)
		}
		Expect(estimator.TimePerToken("i-1")).To(BeNumerically(">", fast+(slow-fast)/2))
	})

	// A host is paused for seconds and then receives all events of the pause at
	// once. If they were taken for the engine's speed, every long generation
	// would be sent there.
	It("ignores events that arrive all at once after a pause", func() {
		estimator := enginespeed.New()
		for range 20 {
			estimator.AddSample("i-1", fast)
		}
		for range 20 {
			estimator.AddSample("i-1", time.Microsecond)
		}
		Expect(estimator.TimePerToken("i-1")).To(BeNumerically("~", fast, time.Microsecond))
	})

	It("is known from other hosts before the first local event", func() {
		estimator := enginespeed.New()
		Expect(estimator.TimePerToken("i-1")).To(BeZero())
		Expect(estimator.Median()).To(BeZero())
		estimator.SetRemote("i-1", []time.Duration{slow})
		estimator.SetRemote("i-2", []time.Duration{fast})
		estimator.SetRemote("i-3", []time.Duration{fast})
		Expect(estimator.TimePerToken("i-1")).To(Equal(slow))
		Expect(estimator.Median()).To(Equal(fast))
		estimator.Retain(func(target string) bool { return target != "i-1" })
		Expect(estimator.TimePerToken("i-1")).To(BeZero())
	})

	// Guards against a belief that changes with the order in which other hosts' estimates
	// are read.
	It("is the median of other hosts' estimates", func() {
		for _, received := range [][]time.Duration{{fast, slow, slow}, {slow, fast, slow}, {slow, slow, fast}} {
			estimator := enginespeed.New()
			estimator.SetRemote("i-1", received)
			Expect(estimator.TimePerToken("i-1")).To(Equal(slow))
			estimator.SetRemote("i-1", nil)
			Expect(estimator.TimePerToken("i-1")).To(Equal(slow))
		}
	})

	It("is published when it is new or has changed", func() {
		estimator := enginespeed.New()
		Expect(estimator.AddSample("i-1", slow)).To(BeTrue())
		Expect(estimator.AddSample("i-1", slow)).To(BeFalse())
		Expect(estimator.AddSample("i-1", fast/2)).To(BeTrue())
	})

	It("is measured over a window of events", func() {
		var w enginespeed.Window
		windows := 0
		for n := range 1 + 3*enginespeed.WindowEvents {
			if mean, ok := w.Add(time.Duration(n) * 30 * time.Millisecond); ok {
				windows++
				Expect(mean).To(Equal(30 * time.Millisecond))
			}
		}
		Expect(windows).To(Equal(3))
	})
})
