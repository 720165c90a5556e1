package deferral_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/deferral"
)

func TestDeferral(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "deferral")
}

var _ = Describe("a generation for which no engine has room", func() {
	report := deferral.Generation{Timeout: 40 * time.Second, FirstTokenObjective: 4 * time.Second, TimeToFirstToken: 500 * time.Millisecond}
	after := func(g deferral.Generation, waited time.Duration) deferral.Generation {
		g.Waited = waited
		return g
	}
	urgent := report
	urgent.Urgent = true

	It("waits while its first token can be in time", func() {
		for _, draw := range []float64{0, 0.5, 0.999} {
			s := deferral.Next(after(report, 2*time.Second), draw)
			Expect(s.Wait).To(BeNumerically(">", 0))
			Expect(s.Wait).To(BeNumerically("<=", time.Second))
		}
		Expect(deferral.Next(after(report, 2999*time.Millisecond), 0.9).Wait).To(Equal(time.Millisecond))
	})

	// Guards against generations that are late anyway and take the memory of those
	// that could still be in time.
	It("leaves room for others once it is late", func() {
		early, late := deferral.Next(report, 0.5), deferral.Next(after(report, 5*time.Second), 0.5)
		Expect(late.Wait).To(BeNumerically(">", 0))
		Expect(late.MemoryShare).To(BeNumerically("<", early.MemoryShare))
		Expect(early.MemoryShare).To(BeNumerically("<", deferral.Next(urgent, 0.5).MemoryShare))
	})

	// Guards against a caller that waits for its whole time in an overload that lasts.
	It("gains the share of others, and is sent anyway when half of its caller's time is over", func() {
		early, last := deferral.Next(report, 0.5), deferral.Next(after(report, 19*time.Second), 0.5)
		Expect(last.MemoryShare).To(Equal(early.MemoryShare))
		Expect(last.Wait).To(BeNumerically(">", 0))
		Expect(deferral.Next(after(report, 20*time.Second), 0.5)).To(Equal(deferral.Search{}))
	})

	It("is sent anyway when it is most urgent and could not wait longer", func() {
		Expect(deferral.Next(after(urgent, time.Second), 0.5).Wait).To(BeNumerically(">", 0))
		Expect(deferral.Next(after(urgent, 3*time.Second), 0.5)).To(Equal(deferral.Search{}))
	})

	It("is sent at once without an objective", func() {
		Expect(deferral.Next(deferral.Generation{}, 0.5)).To(Equal(deferral.Search{}))
	})
})
