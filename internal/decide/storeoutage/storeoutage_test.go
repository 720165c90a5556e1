package storeoutage_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/storeoutage"
)

func TestSilence(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "silence")
}

var _ = Describe("the silence of the store", func() {
	// Guards against a fixed timeout that is too long for a store of milliseconds.
	It("is noticed within tenths of a second where answers come in milliseconds", func() {
		var d storeoutage.Detector
		for range 20 {
			d.RecordAnswer(8 * time.Millisecond)
		}
		Expect(d.AnswerTimeout()).To(BeNumerically("<=", 100*time.Millisecond))
	})

	// Guards against a slow store that is taken for a silent one at each call.
	It("is not seen in answers of a store that is always slow", func() {
		var d storeoutage.Detector
		draw := rand.New(rand.NewPCG(1, 2))
		early := 0
		for i := range 200 {
			took := time.Duration(200+draw.IntN(80)) * time.Millisecond
			if i > 20 && took > d.AnswerTimeout() {
				early++
			}
			d.RecordAnswer(took)
		}
		Expect(early).To(BeNumerically("<=", 2))
	})

	It("ends with the answer to a later call", func() {
		var d storeoutage.Detector
		Expect(d.IsSuspect(0)).To(BeFalse())
		Expect(d.RecordOverdue(5 * time.Second)).To(BeTrue())
		Expect(d.IsSuspect(4 * time.Second)).To(BeTrue())
		Expect(d.IsSuspect(5 * time.Second)).To(BeFalse())
	})

	// Guards against hosts that tell each other of one silence for ever, each time
	// a few milliseconds later.
	It("is one silence, however often hosts tell each other of it", func() {
		var here, there storeoutage.Detector
		at := 5 * time.Second
		Expect(here.RecordOverdue(at)).To(BeTrue())
		for range 1000 {
			at += 3 * time.Millisecond
			there.RecordOverdue(at)
			at, _ = there.LastOverdue()
			Expect(here.RecordOverdue(at)).To(BeFalse())
		}
		Expect(here.IsSuspect(5*time.Second + time.Millisecond)).To(BeFalse())
	})
})

var _ = Describe("the questions to a target", func() {
	// Guards against a notice that nobody hears because chance passed its target
	// over: all hosts ask in the first round.
	It("are asked by all at first, by few afterwards", func() {
		draw := rand.New(rand.NewPCG(3, 4))
		const hosts, rounds = 8, 1000
		asked, none := 0, 0
		for range rounds {
			n := 0
			for range hosts {
				Expect(storeoutage.ShouldAsk(true, hosts, draw.Float64())).To(BeTrue())
				if storeoutage.ShouldAsk(false, hosts, draw.Float64()) {
					n++
				}
			}
			asked += n
			if n == 0 {
				none++
			}
		}
		Expect(asked).To(BeNumerically("<", 3*rounds))
		Expect(none).To(BeNumerically("<", rounds/5))
	})

	It("are always asked by the only host", func() {
		Expect(storeoutage.ShouldAsk(false, 1, 0.999)).To(BeTrue())
		Expect(storeoutage.ShouldAsk(false, 0, 0.999)).To(BeTrue())
	})
})
