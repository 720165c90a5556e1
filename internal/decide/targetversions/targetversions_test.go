package targetversions_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/targetversions"
)

func TestTargetVersions(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "the versions of a service")
}

const window = 10 * time.Second

var _ = Describe("the versions of a service", func() {
	var h *targetversions.History
	BeforeEach(func() {
		h = targetversions.New()
		h.Observe(0, "llm", []string{"v1"})
	})
	only := func(at time.Duration) string {
		v, _ := h.Only(at, "llm", window)
		return v
	}

	// Guards against a process that has just started and vouches for the time before.
	It("are one only once the service was observed for long enough", func() {
		Expect(only(9 * time.Second)).To(BeEmpty())
		Expect(only(10 * time.Second)).To(Equal("v1"))
	})

	// Guards against a stream of a version that was withdrawn going on at the one that is left.
	It("are not one until the version that is gone has been gone for long enough", func() {
		_, changed := h.Observe(20*time.Second, "llm", []string{"v2", "v1"})
		Expect(changed).To(BeTrue())
		Expect(only(21 * time.Second)).To(BeEmpty())
		Expect(h.Several(21*time.Second, "llm", window)).To(BeTrue())
		h.Observe(30*time.Second, "llm", []string{"v2"})
		Expect(only(39 * time.Second)).To(BeEmpty())
		Expect(h.Several(39*time.Second, "llm", window)).To(BeTrue())
		Expect(only(40 * time.Second)).To(Equal("v2"))
		Expect(h.Several(40*time.Second, "llm", window)).To(BeFalse())
	})

	// Guards against a service whose last target is gone for a moment counting as new.
	It("are remembered while the service has no target", func() {
		h.Observe(20*time.Second, "llm", nil)
		Expect(only(21 * time.Second)).To(BeEmpty())
		h.Observe(22*time.Second, "llm", []string{"v2"})
		Expect(only(29 * time.Second)).To(BeEmpty())
		Expect(only(32 * time.Second)).To(Equal("v2"))
	})

	It("do not change by being observed in another order", func() {
		h.Observe(20*time.Second, "llm", []string{"v2", "v1"})
		_, changed := h.Observe(21*time.Second, "llm", []string{"v1", "v2"})
		Expect(changed).To(BeFalse())
	})

	It("of a service that was never observed are unknown", func() {
		_, known := h.Only(time.Hour, "app", window)
		Expect(known).To(BeFalse())
		Expect(h.Several(time.Hour, "app", window)).To(BeFalse())
	})
})
