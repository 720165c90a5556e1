package gateway_test

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/targetload"
	"filbertdeck/internal/gateway"
	"filbertdeck/platform/standin"
)

// restSeconds is the rest that the targets of these specs ask for.
const restSeconds = 3

// askingForRest adds to an answer that the target wants a rest.
func askingForRest(answer string) string {
	status, rest, _ := strings.Cut(answer, "\n")
	return status + "\n" + standin.HeaderRetryAfter + ": " + strconv.Itoa(restSeconds) + "\n" + rest
}

// ownUnavailable is a target's own failure with status 503, which does not say
// that the request was not run.
const ownUnavailable = "HTTP/1.1 503 Service Unavailable\n" + requestID + ": ID\n" + seal + ": s1\nContent-Length: 4\n\noops"

var _ = Describe("a target that asks for a rest", func() {
	// Guards against load that goes back to a target at rest because it looks
	// idle.
	DescribeTable("gets no request from that host until the rest is over",
		func(answer string) {
			var resting atomic.Bool
			resting.Store(true)
			target := startTarget("i-1", func(conn net.Conn, r *http.Request) {
				if resting.Load() {
					respond(askingForRest(answer))(conn, r)
					return
				}
				respond(completeAnswer)(conn, r)
			})
			busy := startTarget("i-2", func(conn net.Conn, r *http.Request) {
				time.Sleep(100 * time.Millisecond)
				respond(completeAnswer)(conn, r)
			})
			gw := startGateway(target.directoryEntry("app", "dc-1"))
			gw.do(gw.request("POST", "/book/"))
			resting.Store(false)
			gw.publish(target.directoryEntry("app", "dc-1"), busy.directoryEntry("app", "dc-1"))
			burst := func() {
				var wg sync.WaitGroup
				for range 12 {
					wg.Go(func() { gw.do(gw.request("POST", "/book/")) })
				}
				wg.Wait()
			}
			burst()
			gw.skip(restSeconds * time.Second / 2)
			burst()
			Expect(target.requests()).To(HaveLen(1))
			gw.skip(restSeconds * time.Second)
			burst()
			Expect(len(target.requests())).To(BeNumerically(">", 1))
		},
		Entry("after a request that it did not run", notExecuted),
		Entry("after a failure of its own", ownUnavailable),
	)

	// Guards against requests that are sent, or wait, when all targets of a
	// service rest.
	It("causes immediate refusals with Retry-After when the service has no other", func() {
		target := startTarget("i-1", respond(askingForRest(notExecuted)))
		gw := startGateway(target.directoryEntry("app", "dc-1"))
		for range 10 {
			got := gw.do(gw.request("POST", "/book/"))
			Expect(got.status).To(Equal(http.StatusServiceUnavailable))
			after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			Expect(err).NotTo(HaveOccurred())
			Expect(after).To(BeNumerically("~", restSeconds, 1))
		}
		Expect(target.requests()).To(HaveLen(1))
	})

	// Guards against a request that was given the target before the answer
	// arrived and is sent after it.
	It("gets no request that was placed there before", func() {
		target := startTarget("i-1", respond(askingForRest(notExecuted)))
		gw := startGateway(target.directoryEntry("llm", "dc-1"))
		gw.loads.SetHostCount(func() int { return 100 })
		var queries atomic.Int64
		gw.loads.SetOwnerQuery(func(gateway.TargetRef, []targetload.HostLoad) ([]targetload.HostLoad, bool) {
			// The second query reports the choice.
			if queries.Add(1) == 2 {
				gw.do(gw.requestWithID("r-2", "POST", "/report/"))
			}
			return nil, true
		})
		placed := gw.requestWithID("r-1", "POST", "/report/")
		placed.Header.Set(standin.HeaderTokenUsage, "100,10")
		Expect(gw.do(placed).status).To(Equal(http.StatusServiceUnavailable))
		Expect(target.requests()).To(HaveLen(1))
	})

	// Guards against health checks, which take a slot at the target.
	It("gets no health check", func() {
		engine := &fakeEngine{events: 1000, eventInterval: 10 * time.Millisecond}
		engine.fakeTarget = startTarget("i-1", func(conn net.Conn, r *http.Request) {
			if r.Header.Get(requestID) == "r-2" {
				respond(askingForRest(notExecuted))(conn, r)
				return
			}
			engine.serve(conn, r)
		})
		gw := startGateway(engine.directoryEntry("llm", "dc-1"))
		go gw.do(gw.requestWithID("r-1", "POST", "/report/"))
		Eventually(engine.eventsSent.Load).Should(BeNumerically(">", 1))
		gw.do(gw.requestWithID("r-2", "POST", "/report/"))
		gw.disconnected.Store(true)
		Consistently(engine.healthChecks.Load, "300ms").Should(BeZero())
		gw.skip(2 * restSeconds * time.Second)
		Eventually(engine.healthChecks.Load, "5s").Should(BeNumerically(">", 0))
	})
})
