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
	const quick, slow = 7500 * time.Microsecond, 9750 * time.Microsecond
	// sample is one window's time a token: prompts are read beside it for part
	// of the time, which doubles it.
	sample := func(draw *rand.Rand, step time.Duration) time.Duration {
		noise := 1 + 0.03*draw.NormFloat64()
		if draw.Float64() < 0.35 {
			noise += draw.Float64()
		}
		return time.Duration(float64(step) * noise)
	}

	// Some engines of a service are a third slower. A secretary whose long draft
	// is sent there waits a third longer, though a quick one had room.
	It("is told apart within two seconds of one stream, in spite of prompts read beside it", func() {
		wrong := 0
		for seed := range uint64(200) {
			draw := rand.New(rand.NewPCG(seed, 1))
			b := enginespeed.New()
			for range 6 {
				b.AddSample("quick", sample(draw, quick))
				b.AddSample("slow", sample(draw, slow))
			}
			if b.TimePerToken("quick") >= b.TimePerToken("slow") {
				wrong++
			}
		}
		Expect(wrong).To(BeNumerically("<=", 10))
	})

	It("follows an engine that turns slower", func() {
		b := enginespeed.New()
		for range 20 {
			b.AddSample("i-1", quick)
		}
		for range 60 {
			b.AddSample("i-1", slow)
		}
		Expect(b.TimePerToken("i-1")).To(BeNumerically(">", quick+(slow-quick)/2))
	})

	// A host is paused for seconds and then gets all events of that time at
	// once. Taken for the engine's speed, every long draft would go there.
	It("is not taken from events that come all at once", func() {
		b := enginespeed.New()
		for range 20 {
			b.AddSample("i-1", quick)
		}
		for range 20 {
			b.AddSample("i-1", time.Microsecond)
		}
		Expect(b.TimePerToken("i-1")).To(BeNumerically("~", quick, time.Microsecond))
	})

	It("is known from other hosts before the first own event", func() {
		b := enginespeed.New()
		Expect(b.TimePerToken("i-1")).To(BeZero())
		Expect(b.Median()).To(BeZero())
		b.SetRemote("i-1", slow)
		b.SetRemote("i-2", quick)
		b.SetRemote("i-3", quick)
		Expect(b.TimePerToken("i-1")).To(Equal(slow))
		Expect(b.Median()).To(Equal(quick))
		b.Retain(func(target string) bool { return target != "i-1" })
		Expect(b.TimePerToken("i-1")).To(BeZero())
	})

	It("is told when it is new or has changed", func() {
		b := enginespeed.New()
		Expect(b.AddSample("i-1", slow)).To(BeTrue())
		Expect(b.AddSample("i-1", slow)).To(BeFalse())
		Expect(b.AddSample("i-1", quick/2)).To(BeTrue())
	})

	It("is measured over a window of events", func() {
		var w enginespeed.Window
		full := 0
		for n := range 1 + 3*enginespeed.WindowEvents {
			if mean, ok := w.Add(time.Duration(n) * 30 * time.Millisecond); ok {
				full++
				Expect(mean).To(Equal(30 * time.Millisecond))
			}
		}
		Expect(full).To(Equal(3))
	})
})
