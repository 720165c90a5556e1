package gateway_test

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/call"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/gateway"
	"filbertdeck/platform"
	"filbertdeck/platform/standin"
)

// stallingCodec reads the header of the first answer to a switch late, as a process does
// that has no processor for a moment.
type stallingCodec struct {
	call.Codec
	stall time.Duration
	done  *atomic.Bool
}

// ParseResponseHeader implements call.Codec.
func (c stallingCodec) ParseResponseHeader(resp *http.Response) call.ResponseHeader {
	if resp.Request.Header.Get(standin.HeaderKVFrom) != "" && !c.done.Swap(true) {
		time.Sleep(c.stall)
	}
	return c.Codec.ParseResponseHeader(resp)
}

// resumingEngine is an engine that answers the first request to go on with a generation by
// resume, and further ones as it should.
type resumingEngine struct {
	*fakeEngine
	resumes atomic.Int64
	resume  connHandler
}

func startResumingEngine(id string, events int, resume connHandler) *resumingEngine {
	e := &resumingEngine{fakeEngine: &fakeEngine{events: events, eventInterval: 5 * time.Millisecond}, resume: resume}
	e.fakeTarget = startTarget(id, func(conn net.Conn, r *http.Request) {
		if r.Header.Get(standin.HeaderKVFrom) != "" && e.resumes.Add(1) == 1 {
			e.resume(conn, r)
			return
		}
		e.serve(conn, r)
	})
	return e
}

// respondStreamHeader begins a stream that has no event yet.
var respondStreamHeader = respond("HTTP/1.1 200 OK\n" + requestID + ": ID\n" + seal + ": s-i-2\nTransfer-Encoding: chunked\n\n")

// generationOn starts a generation at an engine, has the engine leave once it has sent a
// few events, and returns the caller's answer.
func (gw *fixture) generationOn(from *fakeEngine, to ...*fakeEngine) result {
	done := make(chan result, 1)
	go func() { done <- gw.do(gw.request("POST", "/report/")) }()
	Eventually(from.eventsSent.Load).Should(BeNumerically(">", 5))
	entries := []*directory.ObservedTarget{asLeaving(from.directoryEntry("llm", "dc-1"))}
	for _, e := range to {
		entries = append(entries, e.directoryEntry("llm", "dc-1"))
	}
	gw.publish(entries...)
	var got result
	Eventually(done, "5s").Should(Receive(&got))
	return got
}

var _ = Describe("a switch to another engine that is answered", func() {
	const events = 60

	// Guards against a stream that the time limit of its switch has ended and that takes the
	// place of the sound one.
	It("just before its time is over does not break the answer off", func() {
		first, second := startEngine("i-1", events, 20*time.Millisecond), startEngine("i-2", events, 5*time.Millisecond)
		codec := stallingCodec{platform.Dialect{}, gateway.SwitchTimeout + 50*time.Millisecond, &atomic.Bool{}}
		gw := startGatewayWithDialect(codec, slog.DiscardHandler, first.directoryEntry("llm", "dc-1"))
		got := gw.generationOn(first, second)
		Expect(codec.done.Load()).To(BeTrue())
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(eventStream(events)))
	})

	// Guards against ending the previous engine's run before the next one has gone on with it.
	DescribeTable("by an engine that", func(resume connHandler) {
		first, second := startEngine("i-1", events, 20*time.Millisecond), startResumingEngine("i-2", events, resume)
		gw := startGateway(first.directoryEntry("llm", "dc-1"))
		got := gw.generationOn(first, second.fakeEngine)
		Expect(second.resumes.Load()).To(BeNumerically(">", 0))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(eventStream(events)))
	},
		Entry("breaks off before its first event leaves the generation where it is", respondStreamHeader),
		Entry("breaks off within its first event leaves the generation where it is", connHandler(func(conn net.Conn, r *http.Request) {
			respondStreamHeader(conn, r)
			_, _ = io.WriteString(conn, "5\r\nid: 7\r\n")
		})),
		Entry("ends without an event leaves the generation where it is", connHandler(func(conn net.Conn, r *http.Request) {
			respondStreamHeader(conn, r)
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		})),
		Entry("then is silent leaves the generation where it is", connHandler(func(conn net.Conn, r *http.Request) {
			respondStreamHeader(conn, r)
			_, _ = io.Copy(io.Discard, conn)
		})),
	)
})

// respondLate begins to answer after a delay, unless the caller closes the connection before, and
// then sends the events after Last-Event-Id.
func respondLate(delay time.Duration, events int) connHandler {
	late := &fakeEngine{fakeTarget: &fakeTarget{id: "i-2"}, events: events, eventInterval: 5 * time.Millisecond, firstEventDelay: delay}
	return late.generate
}

// stopAfter has an engine stop after a number of events, before which it makes one copy.
func stopAfter(e *fakeEngine, events int) {
	e.breakAfter = events
	e.onMove = func(n int64) { e.refuseMoves.Store(n > 1) }
	go func() {
		for e.eventsSent.Load() < int64(events) {
			time.Sleep(time.Millisecond)
		}
		e.close()
	}()
}

var _ = Describe("a switch to another engine that is answered late", func() {
	const events = 60
	const answerDelay = gateway.SwitchTimeout + 150*time.Millisecond
	// bothAtWork is how long two engines may work on one generation.
	const bothAtWork = 400 * time.Millisecond
	const eventInterval = 20 * time.Millisecond

	// Guards against giving up the only copy of a generation whose engine stops a moment later.
	It("is waited for if the previous engine stops before another copy could be made", func() {
		first := startEngine("i-1", events, 20*time.Millisecond)
		first.copyDelay = 100 * time.Millisecond
		first.leavesIn.Store(500)
		stopAfter(first, 30)
		second := startResumingEngine("i-2", events, respondLate(answerDelay, events))
		gw := startGateway(first.directoryEntry("llm", "dc-1"))
		got := gw.generationOn(first, second.fakeEngine)
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(eventStream(events)))
		Expect(second.resumes.Load()).To(Equal(int64(1)))
	})

	// Guards against giving up the only copy of a generation whose engine has just ended.
	It("is waited for if the previous engine has ended meanwhile", func() {
		first := startEngine("i-1", events, 20*time.Millisecond)
		stopAfter(first, 12)
		first.leavesIn.Store(5000)
		second := startResumingEngine("i-2", events, respondLate(answerDelay, events))
		gw := startGateway(first.directoryEntry("llm", "dc-1"))
		got := gw.generationOn(first, second.fakeEngine)
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(eventStream(events)))
		Expect(second.resumes.Load()).To(Equal(int64(1)))
	})

	// Guards against callers that wait for an engine that has nothing to add.
	It("is given up if the previous engine has completed the answer", func() {
		const few = 12
		first := startEngine("i-1", few, 20*time.Millisecond)
		first.leavesIn.Store(5000)
		second := startResumingEngine("i-2", few, func(conn net.Conn, r *http.Request) { _, _ = io.Copy(io.Discard, conn) })
		gw := startGateway(first.directoryEntry("llm", "dc-1"))
		got := gw.generationOn(first, second.fakeEngine)
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(eventStream(few)))
		Expect(second.resumes.Load()).To(Equal(int64(1)))
	})

	// Guards against two engines that work on one generation for long, and against leaving an
	// engine that goes on for one that does not answer.
	It("is given up if the previous engine goes on", func() {
		first := startEngine("i-1", events, 20*time.Millisecond)
		first.leavesIn.Store(5000)
		var sentMeanwhile atomic.Int64
		second := startResumingEngine("i-2", events, func(conn net.Conn, r *http.Request) {
			before := first.eventsSent.Load()
			_, _ = io.Copy(io.Discard, conn)
			sentMeanwhile.Store(first.eventsSent.Load() - before)
		})
		gw := startGateway(first.directoryEntry("llm", "dc-1"))
		got := gw.generationOn(first, second.fakeEngine)
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(eventStream(events)))
		Expect(sentMeanwhile.Load()).To(And(BeNumerically(">", 0), BeNumerically("<=", bothAtWork/eventInterval)))
	})
})

var _ = Describe("the stream of an engine that a generation has left", func() {
	// Guards against engines that count as failed, at all hosts, since this host closed their
	// streams.
	It("ends without a failure of the engine", func() {
		first, second := startEngine("i-1", 60, 20*time.Millisecond), startEngine("i-2", 60, 5*time.Millisecond)
		logs := &lockedBuffer{}
		gw := startGatewayWithLogs(slog.NewJSONHandler(logs, &slog.HandlerOptions{Level: slog.LevelDebug}), first.directoryEntry("llm", "dc-1"))
		Expect(gw.generationOn(first, second).body).To(Equal(eventStream(60)))
		Expect(logged(logs, "generation switched")).To(HaveLen(1))
		Expect(logged(logs, "target failed")).To(BeEmpty())
	})
})
