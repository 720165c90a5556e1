package gateway_test

import (
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/gateway"
	"filbertdeck/platform/standin"
)

// answerWithRate is a complete answer that advertises the target's rate limit.
func answerWithRate(perSecond string) string {
	return strings.Replace(completeAnswer, "Content-Length", standin.HeaderServerLimit+": "+perSecond+"\nContent-Length", 1)
}

var _ = Describe("a target that advertises a rate limit", func() {
	const hosts = 8
	fleet := func(targets ...*fakeTarget) []*fixture {
		var gateways []*fixture
		for i := range hosts {
			gw := startGateway()
			gw.loads.SetColdRateLimit(gateway.ColdRateLimit{Rank: func(string) (int, int) { return i, hosts }})
			gateways = append(gateways, gw)
			for _, t := range targets {
				gw.add(t.directoryEntry("app", "dc-1"))
			}
		}
		return gateways
	}

	// Guards against hosts that together send more than the target's rate while
	// another target has room.
	It("gets no more than that rate from all hosts together, and other targets get the rest", func() {
		const perHost = 12
		limited, unlimited := startTarget("i-1", respond(answerWithRate("2.0"))), startTarget("i-2", respond(completeAnswer))
		gateways := fleet(limited, unlimited)
		start := time.Now()
		for range perHost {
			for _, gw := range gateways {
				Expect(gw.do(gw.request("POST", "/book/")).status).To(Equal(http.StatusOK))
			}
		}
		seconds := max(time.Since(start).Seconds(), 4)
		// Each host sends one request before it knows the rate.
		Expect(len(limited.requests()) - hosts).To(BeNumerically("<=", 1.5*2*seconds+5))
	})

	// Guards against callers that wait, or get a failure after their request
	// has run, when all targets of a service are at their rates.
	It("causes immediate refusals with Retry-After when every target is at its rate", func() {
		limited := startTarget("i-1", respond(answerWithRate("0.5")))
		gw := fleet(limited)[0]
		refused := 0
		for range 30 {
			got := gw.do(gw.request("POST", "/book/"))
			if got.status != http.StatusServiceUnavailable {
				Expect(got.status).To(Equal(http.StatusOK))
				continue
			}
			refused++
			Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		}
		Expect(refused).To(BeNumerically(">=", 15))
		Expect(len(limited.requests())).To(Equal(30 - refused))
	})
})
