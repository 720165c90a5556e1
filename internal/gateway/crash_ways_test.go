package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/poison"
	"filbertdeck/platform/standin"
)

// evidenceAgainst returns three crashes of targets of a service that a request caused.
func evidenceAgainst(service, path string) []poison.Crash {
	gw := startGateway()
	for _, id := range []string{"x-1", "x-2", "x-3"} {
		t, _ := startCrashingTargetOf(service, id)
		gw.publish(t)
		gw.do(gw.request("POST", path))
		Eventually(gw.crashCount).Should(Equal(int(id[2] - '0')))
	}
	return gw.crashEvidence.Export()
}

var _ = Describe("a request that becomes known to crash targets", func() {
	// breakAfter returns a handler that breaks off after some events, once the evidence has reached the gateway.
	breakAfter := func(gw **fixture, crashes []poison.Crash, events int) connHandler {
		return func(conn net.Conn, r *http.Request) {
			if events > 0 {
				respond("HTTP/1.1 200 OK\n"+requestID+": ID\n"+seal+": s1\nTransfer-Encoding: chunked\n\n")(conn, r)
				_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event(1)), event(1))
				time.Sleep(20 * time.Millisecond)
			}
			(*gw).crashEvidence.Merge(crashes)
		}
	}

	// Guards against a retry, a new run, a copy or a backup that goes out although the request is known by then.
	DescribeTable("goes to no further target", func(service, path string, events int) {
		crashes := evidenceAgainst(service, path)
		var gw *fixture
		handle := breakAfter(&gw, crashes, events)
		first, second := startTarget("i-1", handle), startTarget("i-2", handle)
		gw = startGateway(first.directoryEntry(service, "dc-1"), second.directoryEntry(service, "dc-2"))
		got := gw.do(gw.request("POST", path))
		Expect(got.status).NotTo(Equal(http.StatusServiceUnavailable), "it may have run")
		Expect(len(first.requestsToRun()) + len(second.requestsToRun())).To(Equal(1))
	},
		Entry("as a repeat", "app", "/look/poison", 0),
		Entry("as a repeat of a generation", "llm", "/brief/poison", 0),
		Entry("as a new run", "llm", "/brief/poison", 1),
		Entry("from its backup", "llm", "/report/poison", 1),
	)

	// Guards against a verdict that stays although its cause is gone, and a test run that is repeated.
	It("runs once after a while, and is served again if it completes", func() {
		crashes := evidenceAgainst("app", "/look/poison")
		var broken atomic.Bool
		broken.Store(true)
		target := startTarget("i-1", func(conn net.Conn, r *http.Request) {
			if !broken.Load() {
				respond(completeAnswer)(conn, r)
			}
		})
		gw := startGateway(target.directoryEntry("app", "dc-1"), startTarget("i-2", func(net.Conn, *http.Request) {}).directoryEntry("app", "dc-1"))
		gw.crashEvidence.Merge(crashes)
		status := func() int { return gw.do(gw.request("POST", "/look/poison")).status }
		Expect(status()).To(Equal(http.StatusServiceUnavailable))
		gw.skip(2 * time.Minute)
		Expect(status()).To(Equal(http.StatusBadGateway), "the test run, which is not repeated")
		Expect(status()).To(Equal(http.StatusServiceUnavailable))
		broken.Store(false)
		gw.publish(target.directoryEntry("app", "dc-1"))
		gw.skip(2 * time.Minute)
		Expect(status()).To(Equal(http.StatusOK))
		Expect(status()).To(Equal(http.StatusOK))
	})

	// Guards against a host that sends for another one what it knows to crash targets.
	It("is not sent for another host", func() {
		crashes := evidenceAgainst("app", "/book/poison")
		target := startTarget("app-1", respond(completeAnswer))
		host, peer := startPeers(target.directoryEntry("app", "dc-1"))
		host.cut.set(refused)
		peer.crashEvidence.Merge(crashes)
		Expect(host.do(host.request("POST", "/book/poison")).status).To(Equal(http.StatusServiceUnavailable))
		Expect(target.requests()).To(BeEmpty())
		Expect(host.do(host.request("POST", "/book/sound")).status).To(Equal(http.StatusOK))
	})

	// Guards against a verdict that a generation escapes by waiting for room.
	It("is refused while it waits for room", func() {
		crashes := evidenceAgainst("llm", "/brief/poison")
		held := make(chan struct{})
		engine := startTarget("i-1", func(net.Conn, *http.Request) { <-held })
		gw := startGateway()
		for i := range gw.cfg.Routes {
			gw.cfg.Routes[i].LatencyObjective = 4 * time.Second
		}
		gw.publish(engine.directoryEntry("llm", "dc-1"))
		large := func(path string) *http.Request {
			r := gw.request("POST", path)
			r.Header.Set(standin.HeaderTokenUsage, "9000,10")
			return r
		}
		go gw.do(large("/brief/sound"))
		Eventually(engine.requestsToRun).Should(HaveLen(1))
		status := make(chan int, 1)
		go func() { status <- gw.do(large("/brief/poison")).status }()
		Consistently(status, "100ms").ShouldNot(Receive())
		gw.crashEvidence.Merge(crashes)
		Eventually(status).Should(Receive(Equal(http.StatusServiceUnavailable)))
		Expect(engine.requestsToRun()).To(HaveLen(1))
		close(held)
	})
})
