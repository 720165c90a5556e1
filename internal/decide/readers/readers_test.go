package readers_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/readers"
)

func TestReaders(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "readers")
}

var _ = Describe("the readers of the store", func() {
	ranked := []string{"a", "b", "c", "d"}

	It("are the best two that say that they read", func() {
		r := readers.New(readers.DefaultConfig())
		Expect(r.ShouldRead(0, "c", ranked, false)).To(BeTrue())
		r.RecordReport(0, "a", true)
		Expect(r.ShouldRead(0, "c", ranked, false)).To(BeTrue())
		r.RecordReport(0, "b", true)
		Expect(r.ShouldRead(0, "c", ranked, false)).To(BeFalse())
		Expect(r.ShouldRead(0, "a", ranked, false)).To(BeTrue())
		Expect(r.KnownReaders(0, "c", ranked)).To(Equal([]string{"a", "b"}))
		Expect(r.IsPreferred("b", ranked)).To(BeTrue())
		Expect(r.IsPreferred("c", ranked)).To(BeFalse())
	})

	// The store turns away just the hosts that read it. If they kept the role,
	// the whole fleet would act on old news while the store answers everyone
	// else.
	It("are replaced when they can't read or aren't heard of", func() {
		r := readers.New(readers.DefaultConfig())
		r.RecordReport(0, "a", true)
		r.RecordReport(0, "b", true)
		r.RecordReport(time.Second, "b", false)
		Expect(r.ShouldRead(time.Second, "c", ranked, false)).To(BeTrue())
		r.RecordReport(time.Second, "b", true)
		Expect(r.ShouldRead(time.Second, "c", ranked, false)).To(BeFalse())
		Expect(r.ShouldRead(2*time.Second, "c", ranked, false)).To(BeTrue())
	})

	// A fleet of 84 hosts starts at once. Each knows only some others and hears
	// of no better reader, so that nearly all of them read for seconds, and the
	// store's calls are used up just when callers arrive.
	It("are only the best by rank, or those without news, while the fleet finds itself", func() {
		r := readers.New(readers.DefaultConfig())
		Expect(r.ShouldRead(0, "c", ranked, false)).To(BeTrue())
		Expect(r.ShouldRead(0, "c", ranked, true)).To(BeFalse())
		Expect(r.ShouldRead(0, "b", ranked, true)).To(BeTrue())
		Expect(r.ShouldRead(5*time.Second, "c", ranked, true)).To(BeTrue())
	})

	It("are as many as are wanted", func() {
		one := readers.DefaultConfig()
		one.ReaderCount = 1
		r := readers.New(one)
		Expect(r.ShouldRead(0, "b", ranked, false)).To(BeTrue())
		r.RecordReport(0, "a", true)
		Expect(r.ShouldRead(0, "b", ranked, false)).To(BeFalse())
		r.RecordReport(time.Second, "a", false)
		Expect(r.ShouldRead(time.Second, "b", ranked, false)).To(BeTrue())
	})
})
