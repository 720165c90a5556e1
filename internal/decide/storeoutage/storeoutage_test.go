package storeoutage_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/storeoutage"
)

func TestStoreOutage(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "silence")
}

var _ = Describe("the detection of a store that stopped answering", func() {
	// Guards against a fixed timeout that is too long for a store that answers
	// within milliseconds.
	It("has a timeout of tenths of a second if answers come within milliseconds", func() {
		var d storeoutage.Detector
		for range 20 {
			d.RecordAnswer(8 * time.Millisecond)
		}
		Expect(d.AnswerTimeout()).To(BeNumerically("<=", 100*time.Millisecond))
	})

	// Guards against a slow store that is suspected of an outage at each call.
	It("does not suspect a store that is always slow", func() {
		var d storeoutage.Detector
		rng := rand.New(rand.NewPCG(1, 2))
		falseTimeouts := 0
		for i := range 200 {
			delay := time.Duration(200+rng.IntN(80)) * time.Millisecond
			if i > 20 && delay > d.AnswerTimeout() {
				falseTimeouts++
			}
			d.RecordAnswer(delay)
		}
		Expect(falseTimeouts).To(BeNumerically("<=", 2))
	})

	It("ends the suspicion with the answer to a later call", func() {
		var d storeoutage.Detector
		Expect(d.IsSuspect(0)).To(BeFalse())
		Expect(d.RecordOverdue(5 * time.Second)).To(BeTrue())
		Expect(d.IsSuspect(4 * time.Second)).To(BeTrue())
		Expect(d.IsSuspect(5 * time.Second)).To(BeFalse())
	})

	// Guards against hosts that report one outage to each other without end,
	// each time a few milliseconds later.
	It("counts one outage, however often hosts report it to each other", func() {
		var local, peer storeoutage.Detector
		at := 5 * time.Second
		Expect(local.RecordOverdue(at)).To(BeTrue())
		for range 1000 {
			at += 3 * time.Millisecond
			peer.RecordOverdue(at)
			at, _ = peer.LastOverdue()
			Expect(local.RecordOverdue(at)).To(BeFalse())
		}
		Expect(local.IsSuspect(5*time.Second + time.Millisecond)).To(BeFalse())
	})
})

var _ = Describe("the requests to a target", func() {
	// Guards against a target's notice that is missed because no host was
	// chosen to ask: all hosts ask in the first round.
	It("are sent by all hosts at first, by few afterwards", func() {
		rng := rand.New(rand.NewPCG(3, 4))
		const hosts, rounds = 8, 1000
		asked, roundsWithoutAsker := 0, 0
		for range rounds {
			n := 0
			for range hosts {
				Expect(storeoutage.ShouldAsk(true, hosts, rng.Float64())).To(BeTrue())
				if storeoutage.ShouldAsk(false, hosts, rng.Float64()) {
					n++
				}
			}
			asked += n
			if n == 0 {
				roundsWithoutAsker++
			}
		}
		Expect(asked).To(BeNumerically("<", 3*rounds))
		Expect(roundsWithoutAsker).To(BeNumerically("<", rounds/5))
	})

	It("are always sent by the only host", func() {
		Expect(storeoutage.ShouldAsk(false, 1, 0.999)).To(BeTrue())
		Expect(storeoutage.ShouldAsk(false, 0, 0.999)).To(BeTrue())
	})
})
