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
	func(now, before time.Duration, revision uint64, owner bool, confirmed time.Duration, want bool) {
		var t ownership.Tenure
		t.SetOwner(0, 1, true)
		t.Confirm(before)
		t.SetOwner(5*time.Second, revision, owner)
		t.Confirm(confirmed)
		Expect(t.IsExclusive(now, ownership.Config{})).To(Equal(want))
	},
	Entry("waited and confirmed", 8*time.Second, 3*time.Second, uint64(9), true, 7*time.Second, true),
	Entry("too early", 7*time.Second, 3*time.Second, uint64(9), true, 7*time.Second, false),
	Entry("confirmation too old", 12*time.Second, 3*time.Second, uint64(9), true, 7*time.Second, false),
	Entry("not named any more", 8*time.Second, 3*time.Second, uint64(9), false, 7*time.Second, false),
	Entry("may have missed a list", 8*time.Second, 0*time.Second, uint64(9), true, 7*time.Second, false),
	Entry("may have missed a list, waited", 13*time.Second, 0*time.Second, uint64(9), true, 12*time.Second, true),
	Entry("unconfirmed for a while, the same list", 8*time.Second, 0*time.Second, uint64(1), true, 7*time.Second, true),
)
