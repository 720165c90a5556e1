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
		r := readers.New(readers.Default())
		Expect(r.Read(0, "c", ranked, false)).To(BeTrue())
		r.Heard(0, "a", true)
		Expect(r.Read(0, "c", ranked, false)).To(BeTrue())
		r.Heard(0, "b", true)
		Expect(r.Read(0, "c", ranked, false)).To(BeFalse())
		Expect(r.Read(0, "a", ranked, false)).To(BeTrue())
		Expect(r.Known(0, "c", ranked)).To(Equal([]string{"a", "b"}))
		Expect(r.Among("b", ranked)).To(BeTrue())
		Expect(r.Among("c", ranked)).To(BeFalse())
	})

	// The store refuses just the hosts that read it. If they kept the role, the
	// whole fleet would act on old data while the store answers all other
	// hosts.
	It("replaces readers that can't read or have not been heard from", func() {
		r := readers.New(readers.Default())
		r.Heard(0, "a", true)
		r.Heard(0, "b", true)
		r.Heard(time.Second, "b", false)
		Expect(r.Read(time.Second, "c", ranked, false)).To(BeTrue())
		r.Heard(time.Second, "b", true)
		Expect(r.Read(time.Second, "c", ranked, false)).To(BeFalse())
		Expect(r.Read(2*time.Second, "c", ranked, false)).To(BeTrue())
	})

	// A fleet of 84 hosts starts at once. Each knows only some others and hears
	// of no higher-ranked reader, so that nearly all of them read for seconds,
	// and the store's calls are used up just when callers arrive.
	It("takes only the highest-ranked hosts, or those with old data, while the fleet starts", func() {
		r := readers.New(readers.Default())
		Expect(r.Read(0, "c", ranked, false)).To(BeTrue())
		Expect(r.Read(0, "c", ranked, true)).To(BeFalse())
		Expect(r.Read(0, "b", ranked, true)).To(BeTrue())
		Expect(r.Read(5*time.Second, "c", ranked, true)).To(BeTrue())
	})

	It("takes the configured number of readers", func() {
		cfg := readers.Default()
		cfg.Want = 1
		r := readers.New(cfg)
		Expect(r.Read(0, "b", ranked, false)).To(BeTrue())
		r.Heard(0, "a", true)
		Expect(r.Read(0, "b", ranked, false)).To(BeFalse())
		r.Heard(time.Second, "a", false)
		Expect(r.Read(time.Second, "b", ranked, false)).To(BeTrue())
	})
})
