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

var _ = Describe("the selection of the store's readers", func() {
	ranked := []string{"a", "b", "c", "d"}

	It("takes the two highest-ranked hosts that report that they read", func() {
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

	// The store refuses just the hosts that read it. If they kept the role, the
	// whole fleet would act on old data while the store answers all other
	// hosts.
	It("replaces readers that can't read or have not been heard from", func() {
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
	// of no higher-ranked reader, so that nearly all of them read for seconds,
	// and the store's calls are used up just when callers arrive.
	It("takes only the highest-ranked hosts, or those with old data, while the fleet starts", func() {
		r := readers.New(readers.DefaultConfig())
		Expect(r.ShouldRead(0, "c", ranked, false)).To(BeTrue())
		Expect(r.ShouldRead(0, "c", ranked, true)).To(BeFalse())
		Expect(r.ShouldRead(0, "b", ranked, true)).To(BeTrue())
		Expect(r.ShouldRead(5*time.Second, "c", ranked, true)).To(BeTrue())
	})

	It("takes the configured number of readers", func() {
		cfg := readers.DefaultConfig()
		cfg.ReaderCount = 1
		r := readers.New(cfg)
		Expect(r.ShouldRead(0, "b", ranked, false)).To(BeTrue())
		r.RecordReport(0, "a", true)
		Expect(r.ShouldRead(0, "b", ranked, false)).To(BeFalse())
		r.RecordReport(time.Second, "a", false)
		Expect(r.ShouldRead(time.Second, "b", ranked, false)).To(BeTrue())
	})
})
