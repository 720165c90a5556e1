package ownership_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/ownership"
)

func TestOwnership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ownership")
}

// The list names this process, then another, then this one again, and it never
// reads the list in between. The other's last act may still be under way, and
// one that relies on the list alone would act beside it.
var _ = DescribeTable("a tenure is sole only while confirmed, after its predecessor's acts",
	func(now time.Duration, revision uint64, owner bool, confirmed time.Duration, want bool) {
		var t ownership.Tenure
		t.Set(0, 1, true)
		t.Set(4*time.Second, revision, owner)
		t.Confirm(confirmed)
		Expect(t.Sole(now, ownership.Config{})).To(Equal(want))
	},
	Entry("waited and confirmed", 6*time.Second, uint64(2), true, 5*time.Second, true),
	Entry("too early", 5*time.Second, uint64(2), true, 5*time.Second, false),
	Entry("confirmation too old", 8*time.Second, uint64(2), true, 5*time.Second, false),
	Entry("not named any more", 6*time.Second, uint64(2), false, 5*time.Second, false),
	Entry("skipped a list", 6*time.Second, uint64(3), true, 5*time.Second, false),
	Entry("skipped a list, waited", 10*time.Second, uint64(3), true, 9*time.Second, true),
)
