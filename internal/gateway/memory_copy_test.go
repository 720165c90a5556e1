package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/platform/standin"
)

// respondNotExecuted refuses a request and says that it did not run.
var respondNotExecuted = respond("HTTP/1.1 503 Service Unavailable\n" + requestID + ": ID\n" + standin.HeaderNotExecuted + ": 1\nContent-Length: 0\n\n")

// breakingEngine is an engine that produces one event and breaks the stream off
// once breakStream is set.
type breakingEngine struct {
	*fakeEngine
	breakStream atomic.Bool
}

func startBreakingEngine(id string) *breakingEngine {
	e := &breakingEngine{fakeEngine: &fakeEngine{events: 1, eventInterval: time.Millisecond}}
	e.fakeTarget = startTarget(id, func(conn net.Conn, r *http.Request) {
		if r.Method != http.MethodPost || r.URL.Path == standin.PathMove {
			e.serve(conn, r)
			return
		}
		respond("HTTP/1.1 200 OK\n"+requestID+": ID\n"+seal+": s1\nTransfer-Encoding: chunked\n\n")(conn, r)
		_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event(1)), event(1))
		e.eventsSent.Store(1)
		for !e.breakStream.Load() {
			time.Sleep(time.Millisecond)
		}
	})
	return e
}

var _ = Describe("a copy that its engine refused", func() {
	// An engine is lost, and the engine with the generation's backup refuses it
	// because it no longer has it. Seconds later the connection to the lost
	// engine breaks, and by then the other engine runs whatever it is sent.
	// Guards against offering it the generation again, which would run twice
	// although it may run once.
	It("is not offered there again when the previous engine dies", func() {
		first := startBreakingEngine("i-1")
		backupTarget := startTarget("i-2", respondNotExecuted)
		gw := startGateway(first.directoryEntry("llm", "dc-1"))
		gw.publish(first.directoryEntry("llm", "dc-1"), backupTarget.directoryEntry("llm", "dc-2"))
		gw.loads.RecordFailure("i-2")
		done := make(chan result, 1)
		go func() { done <- gw.do(gw.request("POST", "/report/")) }()
		Eventually(first.eventsSent.Load).Should(Equal(int64(1)))
		Expect(first.requests()[0].Header.Get(standin.HeaderBackup)).To(Equal(backupTarget.address))
		first.refuseMoves.Store(true)
		gw.publish(asLeaving(first.directoryEntry("llm", "dc-1")), backupTarget.directoryEntry("llm", "dc-2"))
		Eventually(func() int { return len(backupTarget.requests()) }).Should(Equal(1))
		first.breakStream.Store(true)
		var got result
		Eventually(done, "10s").Should(Receive(&got))
		Expect(got.err).To(HaveOccurred())
		Expect(backupTarget.requests()).To(HaveLen(1))
	})

	// The connection to a lost engine stays silent until the kernel gives it up
	// after some seconds. The backup is freed by then, and an engine that runs
	// whatever it is sent would run the generation a second time.
	It("is not offered once it may have expired", func() {
		first := startBreakingEngine("i-1")
		backupEngine := startEngine("i-2", 3, time.Millisecond)
		gw := startGateway(first.directoryEntry("llm", "dc-1"))
		gw.cfg.Services[1].Engine.CopyTTL = 100 * time.Millisecond
		gw.publish(first.directoryEntry("llm", "dc-1"), backupEngine.directoryEntry("llm", "dc-2"))
		gw.loads.RecordFailure("i-2")
		done := make(chan result, 1)
		go func() { done <- gw.do(gw.request("POST", "/report/")) }()
		Eventually(first.eventsSent.Load).Should(Equal(int64(1)))
		Expect(first.requests()[0].Header.Get(standin.HeaderBackup)).To(Equal(backupEngine.address))
		time.AfterFunc(200*time.Millisecond, func() { first.breakStream.Store(true) })
		var got result
		Eventually(done, "10s").Should(Receive(&got))
		Expect(got.err).To(HaveOccurred())
		Expect(backupEngine.requests()).To(BeEmpty())
	})

	// A leaving engine copied a generation, the other engine refused to
	// continue it, and then the leaving one dies. The refused copy is gone:
	// offered again, the generation might run a second time.
	It("is not offered again after a move", func() {
		first := startBreakingEngine("i-1")
		var requestCount atomic.Int64
		second := startTarget("i-2", func(conn net.Conn, r *http.Request) {
			requestCount.Add(1)
			first.refuseMoves.Store(true)
			first.breakStream.Store(true)
			time.Sleep(20 * time.Millisecond)
			respondNotExecuted(conn, r)
		})
		gw := startGateway(first.directoryEntry("llm", "dc-1"))
		done := make(chan result, 1)
		go func() { done <- gw.do(gw.request("POST", "/report/")) }()
		Eventually(first.eventsSent.Load).Should(Equal(int64(1)))
		gw.publish(asLeaving(first.directoryEntry("llm", "dc-1")), second.directoryEntry("llm", "dc-1"))
		var got result
		Eventually(done, "10s").Should(Receive(&got))
		Expect(got.err).To(HaveOccurred())
		Expect(requestCount.Load()).To(Equal(int64(1)))
	})
})
