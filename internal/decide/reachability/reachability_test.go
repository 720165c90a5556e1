package reachability_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/reachability"
)

func TestReachability(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "reachability")
}

var _ = Describe("a service whose targets fail", func() {
	var t *reachability.Tracker
	BeforeEach(func() { t = reachability.New() })

	// Guards against a host that takes one crashed target for a partition of its own.
	It("is not lost while a single target fails", func() {
		for now := time.Duration(0); now < time.Second; now += 100 * time.Millisecond {
			Expect(t.RecordUnreached(now, "app", "app-1", 3)).To(BeFalse())
		}
		Expect(t.IsLost("app")).To(BeFalse())
	})

	It("is lost when several fail in a row, and for that service alone", func() {
		t.RecordUnreached(0, "app", "app-1", 3)
		Expect(t.RecordUnreached(0, "app", "app-2", 3)).To(BeTrue())
		Expect(t.IsLost("app")).To(BeTrue())
		Expect(t.IsLost("llm")).To(BeFalse())
		Expect(t.Lost()).To(Equal([]string{"app"}))
		Expect(t.RecordUnreached(0, "app", "app-3", 3)).To(BeFalse(), "it was lost before")
	})

	It("is lost when its only target fails", func() {
		Expect(t.RecordUnreached(0, "app", "app-1", 1)).To(BeTrue())
	})

	// Guards against a group of crashed targets that is taken for a partition while
	// others are reached.
	It("is not lost when another target was reached in between", func() {
		t.RecordUnreached(0, "app", "app-1", 3)
		t.RecordReached(0, "app")
		Expect(t.RecordUnreached(0, "app", "app-2", 3)).To(BeFalse())
	})

	It("is not lost by failures that lie far apart", func() {
		t.RecordUnreached(0, "app", "app-1", 3)
		Expect(t.RecordUnreached(5*time.Second, "app", "app-2", 3)).To(BeFalse())
	})

	It("is regained by one connection", func() {
		t.RecordUnreached(0, "app", "app-1", 3)
		t.RecordUnreached(time.Second, "app", "app-2", 3)
		Expect(t.ReachedSince("app", 0)).To(BeFalse())
		lostFor, regained := t.RecordReached(4*time.Second, "app")
		Expect(regained).To(BeTrue())
		Expect(lostFor).To(Equal(3 * time.Second))
		Expect(t.IsLost("app")).To(BeFalse())
		Expect(t.ReachedSince("app", 4*time.Second)).To(BeTrue())
		Expect(t.ReachedSince("app", 5*time.Second)).To(BeFalse())
		_, again := t.RecordReached(5*time.Second, "app")
		Expect(again).To(BeFalse())
	})

	It("is forgotten with its configuration", func() {
		t.RecordUnreached(0, "app", "app-1", 1)
		t.Retain(func(string) bool { return false })
		Expect(t.IsLost("app")).To(BeFalse())
	})
})
