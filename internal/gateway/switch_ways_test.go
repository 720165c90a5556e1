package gateway_test

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/directory"
	"filbertdeck/internal/gateway"
)

// silent keeps a request without an answer until the caller closes the connection.
func silent(conn net.Conn, _ *http.Request) { _, _ = io.Copy(io.Discard, conn) }

// moved starts a generation on a route, has its engine leave once it has sent a few events, and
// returns the caller's answer.
func (gw *fixture) moved(path string, from *fakeEngine, to *fakeEngine) result {
	done := make(chan result, 1)
	go func() { done <- gw.do(gw.request("POST", path)) }()
	Eventually(from.eventsSent.Load).Should(BeNumerically(">", 5))
	gw.publish(asLeaving(from.directoryEntry("llm", "dc-1")), to.directoryEntry("llm", "dc-1"))
	var got result
	Eventually(done, "10s").Should(Receive(&got))
	return got
}

var _ = Describe("a switch to an engine that does not go on", func() {
	const events = 60

	// Guards against a wait until the deadline for an engine that is silent, where a new run may
	// go on with the stream.
	It("is given up if the previous engine has ended and a new run may go on", func() {
		first := startEngine("i-1", events, 20*time.Millisecond)
		stopAfter(first, 12)
		first.leavesIn.Store(5000)
		second := startResumingEngine("i-2", events, silent)
		gw := startGateway(first.directoryEntry("llm", "dc-1"))
		got := gw.moved("/brief/", first, second.fakeEngine)
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(eventStream(events)))
	})

	// Guards against ending a run for an engine that is silent since its engine might stop.
	It("leaves the generation to an engine that goes on and has not said when it stops", func() {
		const events = 200
		first := startEngine("i-1", events, 20*time.Millisecond)
		first.copyDelay = 1200 * time.Millisecond
		second := startResumingEngine("i-2", events, silent)
		gw := startGateway(first.directoryEntry("llm", "dc-1"))
		got := gw.moved("/report/", first, second.fakeEngine)
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(eventStream(events)))
	})

	// Guards against a complete answer that is held until the deadline, for an engine that is
	// silent: a stream without length or chunks, as all are that come through another host.
	It("is given up if the previous engine has completed an answer without length or chunks", func() {
		const few = 12
		first := &fakeEngine{}
		first.leavesIn.Store(300)
		first.fakeTarget = startTarget("i-1", func(conn net.Conn, r *http.Request) {
			if !strings.HasPrefix(r.URL.Path, "/report/") {
				first.serve(conn, r)
				return
			}
			respond("HTTP/1.1 200 OK\n"+requestID+": ID\n"+seal+": s-1\nConnection: close\n\n")(conn, r)
			for n := 1; n <= few; n++ {
				time.Sleep(20 * time.Millisecond)
				_, _ = io.WriteString(conn, event(n))
				first.eventsSent.Store(int64(n))
			}
		})
		second := startResumingEngine("i-2", few, silent)
		gw := startGateway(first.directoryEntry("llm", "dc-1"))
		for i := range gw.cfg.Routes {
			gw.cfg.Routes[i].Timeout = time.Minute
		}
		gw.publish(first.directoryEntry("llm", "dc-1"))
		got := gw.moved("/report/", first, second.fakeEngine)
		Expect(second.resumes.Load()).To(Equal(int64(1)))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(eventStream(few)))
	})

	// Guards against a host that takes its targets for lost since engines that have left do not
	// answer it.
	It("does not count the engines that have left as unreachable", func() {
		logs := &lockedBuffer{}
		gw := startGatewayWithLogs(slog.NewJSONHandler(logs, nil))
		third, fourth := startTarget("i-3", silent), startTarget("i-4", silent)
		gw.cfg.Services[1].Engine.KeepsBackups = false
		var staying, leaving []*directory.ObservedTarget
		var engines []*fakeEngine
		done := make(chan result, 2)
		for _, id := range []string{"i-1", "i-2"} {
			first := startEngine(id, events, 20*time.Millisecond)
			first.copyDelay = 100 * time.Millisecond
			first.leavesIn.Store(500)
			engines = append(engines, first)
			staying = append(staying, first.directoryEntry("llm", "dc-1"))
			leaving = append(leaving, asLeaving(first.directoryEntry("llm", "dc-1")))
			gw.publish(staying...)
			go func() { done <- gw.do(gw.requestWithID("r-"+id, "POST", "/report/")) }()
			Eventually(first.eventsSent.Load).Should(BeNumerically(">", 2))
		}
		gw.publish(append(leaving, third.directoryEntry("llm", "dc-1"), fourth.directoryEntry("llm", "dc-1"))...)
		Eventually(func() int { return len(third.requestsToRun()) + len(fourth.requestsToRun()) }).Should(BeNumerically(">=", 2))
		for _, e := range engines {
			e.close()
		}
		for range 2 {
			Eventually(done, "10s").Should(Receive())
		}
		Expect(logged(logs, "targets can't be reached from this host")).To(BeEmpty())
	})

	// Guards against broken answers of which nobody can tell who ended them.
	DescribeTable("is named as what ended the answer", func(timeout time.Duration, resume connHandler, endedBy any) {
		first := startEngine("i-1", events, 20*time.Millisecond)
		first.copyDelay = 100 * time.Millisecond
		first.leavesIn.Store(500)
		stopAfter(first, 30)
		second := startResumingEngine("i-2", events, resume)
		logs := &lockedBuffer{}
		gw := startGatewayWithLogs(slog.NewJSONHandler(logs, nil))
		for i := range gw.cfg.Routes {
			gw.cfg.Routes[i].Timeout = timeout
		}
		gw.publish(first.directoryEntry("llm", "dc-1"))
		Expect(gw.moved("/report/", first, second.fakeEngine).err).To(HaveOccurred())
		Expect(second.resumes.Load()).To(Equal(int64(1)))
		broken := func() []map[string]any { return logged(logs, "generation broke") }
		Eventually(broken, "5s").Should(HaveLen(1))
		Expect(broken()[0]).To(HaveKeyWithValue("ended_by", endedBy))
	},
		Entry("when it breaks off", time.Minute, connHandler(func(conn net.Conn, _ *http.Request) {
			time.Sleep(gateway.SwitchTimeout + 150*time.Millisecond)
		}), Not(BeEmpty())),
		Entry("until the deadline", 1500*time.Millisecond, connHandler(silent), Equal("deadline")),
	)
})

var _ = Describe("an engine that goes on after the loss of another one", func() {
	const events = 5
	// dying sends events and breaks off.
	dying := func(id string, count int) *fakeTarget {
		return startTarget(id, func(conn net.Conn, r *http.Request) {
			playHeader(conn, r)
			for n := 1; n <= count; n++ {
				writeEvent(conn, n)
			}
			time.Sleep(50 * time.Millisecond)
		})
	}

	// Guards against breaking off an answer of which the caller has every event.
	It("completes the answer if nothing is left of it", func() {
		first, second := dying("i-1", events), startEngine("i-2", events, time.Millisecond)
		gw := startGateway(first.directoryEntry("llm", "dc-1"), second.directoryEntry("llm", "dc-2"))
		got := gw.do(gw.request("POST", "/report/"))
		Expect(second.requests()).NotTo(BeEmpty())
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(eventStream(events)))
	})

	// Guards against an incomplete answer that looks complete: a stream without length or chunks
	// that ends before its first event.
	It("does not complete the answer by a new run that ends before its first event", func() {
		first := dying("i-1", 1)
		second := startTarget("i-2", respond("HTTP/1.1 200 OK\n"+requestID+": ID\n"+seal+": s-i-2\nConnection: close\n\n"))
		gw := startGateway(first.directoryEntry("llm", "dc-1"))
		done := make(chan result, 1)
		go func() { done <- gw.do(gw.request("POST", "/brief/")) }()
		Eventually(first.requestsToRun).ShouldNot(BeEmpty())
		gw.publish(first.directoryEntry("llm", "dc-1"), second.directoryEntry("llm", "dc-1"))
		var got result
		Eventually(done, "5s").Should(Receive(&got))
		Expect(second.requestsToRun()).NotTo(BeEmpty())
		Expect(got.body).To(Equal(event(1)))
		Expect(got.err).To(HaveOccurred())
	})
})
