package gateway_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/platform/standin"
)

// reporting adds a target's load to its answer.
func reporting(load, answer string) string {
	status, rest, _ := strings.Cut(answer, "\n")
	return status + "\n" + standin.HeaderServerLoad + ": " + load + "\n" + rest
}

var _ = Describe("the load that targets report", func() {
	// reportRetention is longer than a report counts.
	const requests, reportRetention = 100, time.Second

	// Guards against a slow or full target that gets as much as the others because
	// nothing reads what its answers say.
	DescribeTable("leads requests to other targets",
		func(load, otherLoad string) {
			target, other := startTarget("i-1", respond(reporting(load, completeAnswer))), startTarget("i-2", respond(reporting(otherLoad, completeAnswer)))
			gw := startGateway(target.directoryEntry("app", "dc-1"), other.directoryEntry("app", "dc-1"))
			for range requests {
				gw.do(gw.request("POST", "/book/"))
			}
			Expect(len(target.requests())).To(BeNumerically("<", requests/4))
			Expect(len(target.requests()) + len(other.requests())).To(Equal(requests))
		},
		Entry("slow machine", "1,0,6,250", "1,0,6,100"),
		Entry("full target", "6,18,6", "0,0,6"),
		Entry("slow machine, further figures unknown to this version", "1,0,6,250,9", "1,0,6,100,9"),
		Entry("slow machine, one figure that can't be read", "?,0,6,250", "?,0,6,100"),
	)

	// Guards against a target that is left out for good after one report.
	It("is forgotten", func() {
		target, other := startTarget("i-1", respond(reporting("1,0,6,250", completeAnswer))), startTarget("i-2", respond(reporting("1,0,6,100", completeAnswer)))
		gw := startGateway(target.directoryEntry("app", "dc-1"), other.directoryEntry("app", "dc-1"))
		for range requests {
			gw.do(gw.request("POST", "/book/"))
			gw.skip(reportRetention)
		}
		Expect(len(target.requests())).To(BeNumerically(">", requests/4))
	})
})
