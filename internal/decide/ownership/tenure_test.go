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

// The list names this process, then another, then this one again, and this
// process never reads the list in between. The other's last action may still be
// in flight, and a process that relied on the list alone would act at the same
// time.
var _ = DescribeTable("a tenure is exclusive only while confirmed, and after its predecessor's actions have taken effect",
	func(now, confirmedBefore time.Duration, revision uint64, owner bool, confirmedAfter time.Duration, expected bool) {
		var t ownership.Tenure
		t.SetOwner(0, 1, true)
		t.Confirm(confirmedBefore)
		t.SetOwner(5*time.Second, revision, owner)
		t.Confirm(confirmedAfter)
		Expect(t.IsExclusive(now, ownership.Config{})).To(Equal(expected))
	},
	Entry("wait over and list confirmed", 8*time.Second, 3*time.Second, uint64(9), true, 7*time.Second, true),
	Entry("wait not over", 7*time.Second, 3*time.Second, uint64(9), true, 7*time.Second, false),
	Entry("confirmation too old", 12*time.Second, 3*time.Second, uint64(9), true, 7*time.Second, false),
	Entry("no longer named by the list", 8*time.Second, 3*time.Second, uint64(9), false, 7*time.Second, false),
	Entry("a list may have been missed", 8*time.Second, 0*time.Second, uint64(9), true, 7*time.Second, false),
	Entry("a list may have been missed, but the wait is over", 13*time.Second, 0*time.Second, uint64(9), true, 12*time.Second, true),
	Entry("unconfirmed for a while, but the list is the same", 8*time.Second, 0*time.Second, uint64(1), true, 7*time.Second, true),
)
