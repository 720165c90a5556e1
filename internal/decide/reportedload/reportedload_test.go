package reportedload_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/reportedload"
	"filbertdeck/internal/directory"
)

func TestReportedLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "reported load")
}

var _ = Describe("reported load", func() {
	lifetime := directory.Lifetime{TargetID: "i-1", StartedUnixMilli: 5}
	busy, slow := 18, 2.5
	var t *reportedload.Tracker
	BeforeEach(func() {
		t = reportedload.New()
		t.Record(time.Second, lifetime, reportedload.Report{Busy: &busy, Slowdown: &slow})
	})

	It("is of no account for an unknown target", func() {
		other := directory.Lifetime{TargetID: "i-2"}
		Expect(t.Slowdown(time.Second, other)).To(Equal(1.0))
		Expect(t.Unaccounted(time.Second, other, 0)).To(BeZero())
	})

	It("counts in full at once, less the requests that are known", func() {
		Expect(t.Slowdown(time.Second, lifetime)).To(Equal(2.5))
		Expect(t.Unaccounted(time.Second, lifetime, 3)).To(Equal(15))
		Expect(t.Unaccounted(time.Second, lifetime, 30)).To(BeZero())
	})

	// Guards against a target that is avoided for good because nothing newer is
	// heard of it.
	It("loses its weight with its age", func() {
		Expect(t.Slowdown(1300*time.Millisecond, lifetime)).To(BeNumerically("~", 1.55, 0.01))
		Expect(t.Slowdown(2*time.Second, lifetime)).To(Equal(1.0))
		Expect(t.Unaccounted(2*time.Second, lifetime, 0)).To(BeZero())
	})

	It("ends with the lifetime", func() {
		restarted := directory.Lifetime{TargetID: "i-1", StartedUnixMilli: 6}
		Expect(t.Slowdown(time.Second, restarted)).To(Equal(1.0))
		t.Record(time.Second, restarted, reportedload.Report{})
		t.Record(time.Second, lifetime, reportedload.Report{Slowdown: &slow})
		Expect(t.Slowdown(time.Second, restarted)).To(Equal(1.0))
	})

	It("keeps a figure when another is missing, and bounds it", func() {
		huge := 1e9
		t.Record(time.Second, lifetime, reportedload.Report{Slowdown: &huge})
		Expect(t.Slowdown(time.Second, lifetime)).To(Equal(10.0))
		Expect(t.Unaccounted(time.Second, lifetime, 0)).To(BeZero())
	})

	It("is dropped once it does not count", func() {
		t.Prune(1100 * time.Millisecond)
		Expect(t.Slowdown(1100*time.Millisecond, lifetime)).To(BeNumerically(">", 1.5))
		t.Prune(4 * time.Second)
		Expect(t.Slowdown(time.Second, lifetime)).To(Equal(1.0))
	})
})
