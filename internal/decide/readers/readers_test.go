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
		selector := readers.New(readers.DefaultConfig())
		Expect(selector.ShouldRead(0, "c", ranked, false)).To(BeTrue())
		selector.RecordReport(0, "a", true)
		Expect(selector.ShouldRead(0, "c", ranked, false)).To(BeTrue())
		selector.RecordReport(0, "b", true)
		Expect(selector.ShouldRead(0, "c", ranked, false)).To(BeFalse())
		Expect(selector.ShouldRead(0, "a", ranked, false)).To(BeTrue())
		Expect(selector.KnownReaders(0, "c", ranked)).To(Equal([]string{"a", "b"}))
		Expect(selector.IsPreferred("b", ranked)).To(BeTrue())
		Expect(selector.IsPreferred("c", ranked)).To(BeFalse())
	})

	// The store refuses just the hosts that read it. If they kept the role, the
	// whole fleet would use old data while the store answers all other hosts.
	It("replaces readers that can't read or have sent no recent report", func() {
		selector := readers.New(readers.DefaultConfig())
		selector.RecordReport(0, "a", true)
		selector.RecordReport(0, "b", true)
		selector.RecordReport(time.Second, "b", false)
		Expect(selector.ShouldRead(time.Second, "c", ranked, false)).To(BeTrue())
		selector.RecordReport(time.Second, "b", true)
		Expect(selector.ShouldRead(time.Second, "c", ranked, false)).To(BeFalse())
		Expect(selector.ShouldRead(2*time.Second, "c", ranked, false)).To(BeTrue())
	})

	// A fleet of 84 hosts starts at once. Each knows only some others and hears
	// of no higher-ranked reader, so that nearly all of them read for seconds,
	// and the store's calls are used up just when callers arrive.
	It("takes only the highest-ranked hosts, or those with old data, while the fleet starts", func() {
		selector := readers.New(readers.DefaultConfig())
		Expect(selector.ShouldRead(0, "c", ranked, false)).To(BeTrue())
		Expect(selector.ShouldRead(0, "c", ranked, true)).To(BeFalse())
		Expect(selector.ShouldRead(0, "b", ranked, true)).To(BeTrue())
		Expect(selector.ShouldRead(5*time.Second, "c", ranked, true)).To(BeTrue())
	})

	It("takes the configured number of readers", func() {
		cfg := readers.DefaultConfig()
		cfg.ReaderCount = 1
		selector := readers.New(cfg)
		Expect(selector.ShouldRead(0, "b", ranked, false)).To(BeTrue())
		selector.RecordReport(0, "a", true)
		Expect(selector.ShouldRead(0, "b", ranked, false)).To(BeFalse())
		selector.RecordReport(time.Second, "a", false)
		Expect(selector.ShouldRead(time.Second, "b", ranked, false)).To(BeTrue())
	})
})
