package departure_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/departure"
	"filbertdeck/internal/directory"
)

func TestDeparture(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "departure")
}

var _ = Describe("a target's notice that it leaves", func() {
	first, second := directory.Lifetime{TargetID: "i-1", StartedUnixMilli: 10}, directory.Lifetime{TargetID: "i-1", StartedUnixMilli: 20}
	known, unknown := func(string) bool { return true }, func(string) bool { return false }
	var t *departure.Tracker
	BeforeEach(func() {
		t = departure.New()
		Expect(t.Record(0, first)).To(BeTrue())
	})

	// Guards against requests to a target that still leaves after hours.
	It("holds as long as the directory knows the target", func() {
		for now := time.Duration(0); now < 5*time.Hour; now += time.Minute {
			t.Retain(now, known)
		}
		Expect(t.IsLeaving(first)).To(BeTrue())
	})

	// Guards against a notice that is lost when the entry lapses with the store.
	It("survives the removal of the directory entry for a while", func() {
		t.Retain(time.Hour, known)
		t.Retain(time.Hour+30*time.Second, unknown)
		Expect(t.IsLeaving(first)).To(BeTrue())
		t.Retain(time.Hour+31*time.Second, known)
		t.Retain(time.Hour+90*time.Second, unknown)
		Expect(t.IsLeaving(first)).To(BeTrue())
	})

	// Guards against memory that grows with each target that ever left.
	It("is removed once the target is gone", func() {
		t.Retain(time.Hour, known)
		t.Retain(time.Hour+time.Minute, unknown)
		Expect(t.Count()).To(BeZero())
	})

	// Guards against a restarted target that is never used again.
	It("ends with the lifetime", func() {
		Expect(t.IsLeaving(second)).To(BeFalse())
		Expect(t.IsLeaving(directory.Lifetime{TargetID: "i-2", StartedUnixMilli: 10})).To(BeFalse())
	})

	// Guards against a directory entry of an earlier lifetime that arrives late.
	It("holds for earlier lifetimes, and is not replaced by theirs", func() {
		Expect(t.Record(0, second)).To(BeTrue())
		Expect(t.Record(0, first)).To(BeFalse())
		Expect(t.IsLeaving(first)).To(BeTrue())
		Expect(t.IsLeaving(second)).To(BeTrue())
	})

	It("is new once", func() {
		Expect(t.Record(time.Second, first)).To(BeFalse())
	})
})
