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

// noRoom refuses a request as one that did not run.
var noRoom = say("HTTP/1.1 503 Service Unavailable\n" + requestID + ": ID\n" + standin.HeaderNotExecuted + ": 1\nContent-Length: 0\n\n")

// failing is an engine that makes one event and, once told to, breaks off.
type failing struct {
	*engine
	breaks atomic.Bool
}

func startFailing(id string) *failing {
	f := &failing{engine: &engine{events: 1, pace: time.Millisecond}}
	f.target = startTarget(id, func(conn net.Conn, r *http.Request) {
		if r.Method != http.MethodPost || r.URL.Path == standin.PathMove {
			f.serve(conn, r)
			return
		}
		say("HTTP/1.1 200 OK\n"+requestID+": ID\n"+seal+": s1\nTransfer-Encoding: chunked\n\n")(conn, r)
		_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event(1)), event(1))
		f.made.Store(1)
		for !f.breaks.Load() {
			time.Sleep(time.Millisecond)
		}
	})
	return f
}

var _ = Describe("a copy that its engine refused", func() {
	// An engine is lost, and the one that keeps a report's backup no longer has
	// it. Seconds later the connection to the lost engine breaks, and by then
	// the other engine runs whatever it is sent. Sent the report again, it
	// begins another run of it, and a report that may run once has run twice.
	It("is not offered there again when the engine before dies", func() {
		first := startFailing("i-1")
		keeper := startTarget("i-2", noRoom)
		d := startDeck(first.entry("llm", "dc-1"))
		d.publish(first.entry("llm", "dc-1"), keeper.entry("llm", "dc-2"))
		d.loads.Failed("i-2")
		done := make(chan result, 1)
		go func() { done <- d.do(d.request("POST", "/report/")) }()
		Eventually(first.made.Load).Should(Equal(int64(1)))
		Expect(first.requests()[0].Header.Get(standin.HeaderBackup)).To(Equal(keeper.address))
		first.refuseMoves.Store(true)
		d.publish(leaving(first.entry("llm", "dc-1")), keeper.entry("llm", "dc-2"))
		Eventually(func() int { return len(keeper.requests()) }).Should(Equal(1))
		first.breaks.Store(true)
		var got result
		Eventually(done, "10s").Should(Receive(&got))
		Expect(got.err).To(HaveOccurred())
		Expect(keeper.requests()).To(HaveLen(1))
	})

	// The connection to a lost engine stays silent until the kernel gives it up
	// after some seconds. The backup is freed by then, and an engine that runs
	// whatever it is sent would begin the report a second time.
	It("is not offered at all once it must be gone", func() {
		first := startFailing("i-1")
		keeper := startEngine("i-2", 3, time.Millisecond)
		d := startDeck(first.entry("llm", "dc-1"))
		d.cfg.Services[1].Engine.CopyTTL = 100 * time.Millisecond
		d.publish(first.entry("llm", "dc-1"), keeper.entry("llm", "dc-2"))
		d.loads.Failed("i-2")
		done := make(chan result, 1)
		go func() { done <- d.do(d.request("POST", "/report/")) }()
		Eventually(first.made.Load).Should(Equal(int64(1)))
		Expect(first.requests()[0].Header.Get(standin.HeaderBackup)).To(Equal(keeper.address))
		time.AfterFunc(200*time.Millisecond, func() { first.breaks.Store(true) })
		var got result
		Eventually(done, "10s").Should(Receive(&got))
		Expect(got.err).To(HaveOccurred())
		Expect(keeper.requests()).To(BeEmpty())
	})

	// A leaving engine copied a report, the other engine refused to go on with
	// it, and then the leaving one dies. The refused copy is gone: sent there
	// again the report may run a second time.
	It("is not offered again after a move", func() {
		first := startFailing("i-1")
		var asked atomic.Int64
		second := startTarget("i-2", func(conn net.Conn, r *http.Request) {
			asked.Add(1)
			first.refuseMoves.Store(true)
			first.breaks.Store(true)
			time.Sleep(20 * time.Millisecond)
			noRoom(conn, r)
		})
		d := startDeck(first.entry("llm", "dc-1"))
		done := make(chan result, 1)
		go func() { done <- d.do(d.request("POST", "/report/")) }()
		Eventually(first.made.Load).Should(Equal(int64(1)))
		d.publish(leaving(first.entry("llm", "dc-1")), second.entry("llm", "dc-1"))
		var got result
		Eventually(done, "10s").Should(Receive(&got))
		Expect(got.err).To(HaveOccurred())
		Expect(asked.Load()).To(Equal(int64(1)))
	})
})
