package rest_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/rest"
	"filbertdeck/internal/directory"
)

func TestRest(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rest")
}

var _ = Describe("a target's rest", func() {
	first, second := directory.Lifetime{TargetID: "i-1", StartedUnixMilli: 10}, directory.Lifetime{TargetID: "i-1", StartedUnixMilli: 20}
	var t *rest.Tracker
	BeforeEach(func() {
		t = rest.New()
		Expect(t.Record(time.Second, first, 3*time.Second)).To(BeTrue())
	})

	It("lasts as long as the target asked for", func() {
		Expect(t.Remaining(time.Second, first)).To(Equal(3 * time.Second))
		Expect(t.Remaining(4*time.Second-1, first)).To(Equal(time.Duration(1)))
		Expect(t.Remaining(4*time.Second, first)).To(BeZero())
		Expect(t.Count(3 * time.Second)).To(Equal(1))
		Expect(t.Count(4 * time.Second)).To(BeZero())
	})

	// Guards against a shorter rest, asked for later, that ends a longer one.
	It("lasts until the latest time that the target named", func() {
		Expect(t.Record(2*time.Second, first, time.Second)).To(BeFalse())
		Expect(t.Remaining(2*time.Second, first)).To(Equal(2 * time.Second))
		Expect(t.Record(3*time.Second, first, 9*time.Second)).To(BeFalse())
		Expect(t.Remaining(3*time.Second, first)).To(Equal(9 * time.Second))
	})

	It("begins anew after its end", func() {
		Expect(t.Record(9*time.Second, first, time.Second)).To(BeTrue())
		Expect(t.Remaining(9*time.Second, first)).To(Equal(time.Second))
	})

	// Guards against a restarted target that is left idle.
	It("ends with the lifetime", func() {
		Expect(t.Remaining(time.Second, second)).To(BeZero())
		Expect(t.Remaining(time.Second, directory.Lifetime{TargetID: "i-2", StartedUnixMilli: 10})).To(BeZero())
	})

	// Guards against a late answer of an earlier lifetime that ends the rest of
	// the present one.
	It("is not replaced by that of an earlier lifetime", func() {
		Expect(t.Record(time.Second, second, 5*time.Second)).To(BeTrue())
		Expect(t.Record(time.Second, first, time.Second)).To(BeFalse())
		Expect(t.Remaining(time.Second, second)).To(Equal(5 * time.Second))
	})

	// Guards against more requests in a rest than the target tolerates.
	It("allows one last resort, and no further one when it is prolonged", func() {
		Expect(t.TakeLastResort(time.Second, first)).To(BeTrue())
		Expect(t.TakeLastResort(time.Second, first)).To(BeFalse())
		Expect(t.Record(2*time.Second, first, 5*time.Second)).To(BeFalse())
		Expect(t.TakeLastResort(2*time.Second, first)).To(BeFalse())
		Expect(t.TakeLastResort(9*time.Second, first)).To(BeTrue())
		Expect(t.Record(9*time.Second, first, time.Second)).To(BeTrue())
		Expect(t.TakeLastResort(9*time.Second, first)).To(BeTrue())
	})

	It("is removed when it is over", func() {
		t.Prune(4*time.Second - 1)
		Expect(t.Count(0)).To(Equal(1))
		t.Prune(4 * time.Second)
		Expect(t.Count(0)).To(BeZero())
	})
})
