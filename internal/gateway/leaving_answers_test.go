package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/targetload"
	"filbertdeck/internal/gateway"
	"filbertdeck/platform/standin"
)

// sayingLeaving adds to an answer that the target leaves.
func sayingLeaving(answer string) string {
	status, rest, _ := strings.Cut(answer, "\n")
	return status + "\n" + standin.HeaderServerLeaving + ": 1\n" + rest
}

// answerBrokenOff is a success whose body ends early.
const answerBrokenOff = "HTTP/1.1 200 OK\n" + requestID + ": ID\n" + seal + ": s1\nContent-Length: 9\n\nok"

// doWhileAnotherIsAnswered sends the request r-1 through a gateway with a single
// engine. The request r-2 is sent and answered between the placement of r-1 and
// its first byte.
func doWhileAnotherIsAnswered(engine *fakeTarget) result {
	gw := startGateway(engine.directoryEntry("llm", "dc-1"))
	gw.loads.SetHostCount(func() int { return 100 })
	var queries atomic.Int64
	gw.loads.SetOwnerQuery(func(gateway.TargetRef, []targetload.HostLoad) ([]targetload.HostLoad, bool) {
		// The second query reports the placement.
		if queries.Add(1) == 2 {
			gw.do(gw.requestWithID("r-2", "POST", "/report/"))
		}
		return nil, true
	})
	placed := gw.requestWithID("r-1", "POST", "/report/")
	placed.Header.Set(standin.HeaderTokenUsage, "100,10")
	return gw.do(placed)
}

var _ = Describe("a target whose answer says that it leaves", func() {
	const requests = 20
	do := func(gw *fixture, path string) {
		for range requests {
			gw.do(gw.request("POST", path))
		}
	}

	// Guards against requests to a leaving target while the store is silent.
	DescribeTable("gets no further request from that host",
		func(answer, path, service string) {
			leaving := startTarget("i-1", respond(sayingLeaving(answer)))
			other := startTarget("i-2", respond(completeAnswer))
			if service == "llm" {
				other = startEngine("i-2", 1, time.Millisecond).fakeTarget
			}
			gw := startGateway(leaving.directoryEntry(service, "dc-1"))
			gw.do(gw.request("POST", path))
			Expect(leaving.requestsToRun()).To(HaveLen(1))
			gw.publish(leaving.directoryEntry(service, "dc-1"), other.directoryEntry(service, "dc-1"))
			do(gw, path)
			gw.skip(time.Hour)
			do(gw, path)
			Expect(leaving.requestsToRun()).To(HaveLen(1))
			Expect(other.requests()).To(HaveLen(2 * requests))
		},
		Entry("after a success", completeAnswer, "/book/", "app"),
		Entry("after a failure of its own", serverError, "/book/", "app"),
		Entry("after a request that it did not run", notExecuted, "/book/", "app"),
		Entry("after an answer that breaks off", answerBrokenOff, "/book/", "app"),
		Entry("after a refusal without the request's id", strings.ReplaceAll(notExecuted, requestID+": ID\n", ""), "/book/", "app"),
		Entry("after a stream", completeStream, "/report/", "llm"),
	)

	// Guards against a mark that is lost with the target's entry, which lapses
	// while the store is unavailable.
	It("gets no further request when its entry disappears and comes back", func() {
		leaving, other := startTarget("i-1", respond(sayingLeaving(completeAnswer))), startTarget("i-2", respond(completeAnswer))
		gw := startGateway(leaving.directoryEntry("app", "dc-1"))
		gw.do(gw.request("POST", "/book/"))
		gw.publish(other.directoryEntry("app", "dc-1"))
		gw.skip(10 * time.Second)
		do(gw, "/book/")
		gw.publish(leaving.directoryEntry("app", "dc-1"), other.directoryEntry("app", "dc-1"))
		do(gw, "/book/")
		Expect(leaving.requests()).To(HaveLen(1))
	})

	// Guards against forgetting what a health check's answer said.
	It("gets no further request when only a health check was told", func() {
		leaving, other := startEngine("i-1", 50, 10*time.Millisecond), startEngine("i-2", 1, time.Millisecond)
		leaving.saysLeaving.Store(true)
		gw := startGateway(leaving.directoryEntry("llm", "dc-1"))
		done := make(chan result, 1)
		go func() { done <- gw.do(gw.requestWithID("r-0", "POST", "/report/")) }()
		Eventually(leaving.eventsSent.Load).Should(BeNumerically(">", 1))
		gw.disconnected.Store(true)
		Eventually(leaving.healthChecks.Load, "5s").Should(BeNumerically(">", 0))
		gw.disconnected.Store(false)
		Eventually(done, "5s").Should(Receive())
		gw.publish(leaving.directoryEntry("llm", "dc-1"), other.directoryEntry("llm", "dc-1"))
		gw.skip(10 * time.Second)
		// Alerts expire when they are sent to other hosts.
		gw.loads.PendingAlerts("host-2")
		do(gw, "/report/")
		Expect(leaving.generationRequests()).To(HaveLen(1))
	})

	// Guards against a request that was given the target before the answer
	// arrived and is sent after it.
	It("gets no request that was placed there before", func() {
		leaving := startTarget("i-1", respond(sayingLeaving(completeStream)))
		Expect(doWhileAnotherIsAnswered(leaving).status).To(Equal(http.StatusServiceUnavailable))
		Expect(leaving.requestsToRun()).To(HaveLen(1))
		Expect(leaving.requestsToRun()[0].Header.Get(requestID)).To(Equal("r-2"))
	})

	// Guards against a generation that continues from its copy at a target that
	// leaves.
	It("gets no generation back that has a backup there", func() {
		end := make(chan struct{})
		dying := startTarget("i-1", func(conn net.Conn, r *http.Request) {
			if r.Header.Get(requestID) != "r-1" {
				respond(notExecuted)(conn, r)
				return
			}
			respond("HTTP/1.1 200 OK\n"+requestID+": ID\n"+seal+": s1\nTransfer-Encoding: chunked\n\n")(conn, r)
			_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event(1)), event(1))
			<-end
		})
		leaving := startTarget("i-2", respond(sayingLeaving(completeStream)))
		gw := startGateway(dying.directoryEntry("llm", "dc-1"), leaving.directoryEntry("llm", "dc-2"))
		done := make(chan result, 1)
		go func() { done <- gw.do(gw.requestWithID("r-1", "POST", "/report/")) }()
		Eventually(dying.requests).Should(HaveLen(1))
		gw.do(gw.requestWithID("r-2", "POST", "/brief/"))
		Expect(leaving.requestsToRun()).To(HaveLen(1))
		close(end)
		var got result
		Eventually(done, "5s").Should(Receive(&got))
		Expect(got.err).To(HaveOccurred())
		Expect(leaving.requestsToRun()).To(HaveLen(1))
	})

	// Guards against a target that is never used again because an earlier run
	// under its id left.
	It("gets requests again when it has restarted under the same id", func() {
		var restarted atomic.Bool
		target := startTarget("i-1", func(conn net.Conn, r *http.Request) {
			if restarted.Load() {
				respond(completeAnswer)(conn, r)
				return
			}
			respond(sayingLeaving(completeAnswer))(conn, r)
		})
		entry := target.directoryEntry("app", "dc-1")
		gw := startGateway(entry)
		gw.do(gw.request("POST", "/book/"))
		restarted.Store(true)
		next := *entry
		next.StartedUnixMilli++
		gw.publish(&next)
		do(gw, "/book/")
		Expect(target.requests()).To(HaveLen(1 + requests))
	})

	// Guards against a healthy target that is taken out by an answer that is not
	// its own.
	DescribeTable("is not taken for leaving by an answer that is not its own",
		func(answer string) {
			target := startTarget("i-1", respond(sayingLeaving(answer)))
			gw := startGateway(target.directoryEntry("app", "dc-1"))
			do(gw, "/book/")
			Expect(target.requests()).To(HaveLen(requests))
		},
		Entry("of another target at its address", "HTTP/1.1 421 Misdirected Request\n"+requestID+": ID\nContent-Length: 0\n\n"),
		Entry("to another request", strings.ReplaceAll(completeAnswer, "ID", "r-9")),
		Entry("without a seal", strings.ReplaceAll(completeAnswer, seal, "X-Other")),
	)

	// Guards against requests that wait when all targets of a service leave.
	It("causes immediate refusals with Retry-After when the service has no other", func() {
		leaving := startTarget("i-1", respond(sayingLeaving(completeAnswer)))
		gw := startGateway(leaving.directoryEntry("app", "dc-1"))
		gw.do(gw.request("POST", "/book/"))
		got := gw.do(gw.request("POST", "/book/"))
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(leaving.requests()).To(HaveLen(1))
	})
})
