package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/directory"
	"filbertdeck/internal/gateway"
	"filbertdeck/platform/standin"
)

// event returns the n-th event of the generation that all engines produce.
func event(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }

// eventStream returns the complete stream of a number of events.
func eventStream(events int) string {
	var all strings.Builder
	for n := 1; n <= events; n++ {
		all.WriteString(event(n))
	}
	return all.String()
}

// fakeEngine is a model engine that copies running generations.
type fakeEngine struct {
	*fakeTarget
	events int
	// eventInterval is the time between two events.
	eventInterval time.Duration
	// eventsSent counts the events of the run, moveRequests the requests to
	// move it; connClosed is set once the caller closed the connection.
	eventsSent, moveRequests atomic.Int64
	connClosed               atomic.Bool
	// refuseMoves makes it answer 503 to a move request after refusalDelay.
	refuseMoves  atomic.Bool
	refusalDelay time.Duration
	// refusedAddresses are the addresses that it cannot copy to.
	refusedAddresses []string
	// onMove is called with the number of the move request before it is answered; nil for
	// nothing.
	onMove func(n int64)
	// unhealthy makes it answer 503 to health checks, busy makes that answer
	// say that it has no free slot for the check.
	unhealthy, busy atomic.Bool
	// closeConns makes it close the connection after each answer, as it also
	// does when unhealthy.
	closeConns atomic.Bool
	// saysLeaving makes it answer health checks with 503 and say in that answer
	// that it leaves.
	saysLeaving  atomic.Bool
	healthChecks atomic.Int64
	// firstEventDelay is the time before the answer to a run, copyDelay the
	// time that a move takes.
	firstEventDelay, copyDelay time.Duration
	// breakAfter is the number of events after which it breaks off a stream that it
	// began; 0 for never.
	breakAfter int
	// started is the start that it reports of itself, in Unix milliseconds, leavesIn the
	// time until it stops, in milliseconds, 0 for none.
	started, leavesIn atomic.Int64
	// lateReports is the number of reports that it answers after reportDelay.
	lateReports atomic.Int64
	reportDelay time.Duration
}

func startEngine(id string, events int, eventInterval time.Duration) *fakeEngine {
	e := &fakeEngine{events: events, eventInterval: eventInterval}
	e.fakeTarget = startTarget(id, e.serve)
	return e
}

func (e *fakeEngine) serve(conn net.Conn, r *http.Request) {
	switch r.URL.Path {
	case standin.PathMove:
		if n := e.moveRequests.Add(1); e.onMove != nil {
			e.onMove(n)
		}
		body, _ := io.ReadAll(r.Body)
		refused := func(address string) bool { return strings.Contains(string(body), address) }
		if e.refuseMoves.Load() {
			time.Sleep(e.refusalDelay)
		}
		if e.refuseMoves.Load() || slices.ContainsFunc(e.refusedAddresses, refused) {
			respond("HTTP/1.1 503 Service Unavailable\nContent-Length: 0\n\n")(conn, r)
			return
		}
		time.Sleep(e.copyDelay)
		answer := standin.MoveResponse("h-"+e.id, e.eventsSent.Load())
		respond(fmt.Sprintf("HTTP/1.1 200 OK\nContent-Length: %d\n\n", len(answer)))(conn, r)
		_, _ = conn.Write(answer)
	case healthPath:
		e.health(conn, r)
	case standin.PathReport:
		if e.lateReports.Add(-1) >= 0 {
			time.Sleep(e.reportDelay)
		}
		report := fmt.Sprintf(`{"born":%d,"leaves_ms":%d}`, e.started.Load(), e.leavesIn.Load())
		respond(fmt.Sprintf("HTTP/1.1 200 OK\nContent-Length: %d\n\n%s", len(report), report))(conn, r)
		e.serveNext(conn)
	default:
		e.generate(conn, r)
	}
}

// serveNext serves one more request on a connection.
func (e *fakeEngine) serveNext(conn net.Conn) {
	if r := e.receive(conn); r != nil {
		e.serve(conn, r)
	}
}

// generationRequests returns the requests for generations.
func (e *fakeEngine) generationRequests() []*http.Request {
	return slices.DeleteFunc(e.requests(), func(r *http.Request) bool { return !strings.HasPrefix(r.URL.Path, "/report/") })
}

func (e *fakeEngine) health(conn net.Conn, r *http.Request) {
	defer e.healthChecks.Add(1)
	switch {
	case e.saysLeaving.Load():
		respond("HTTP/1.1 503 Service Unavailable\n"+standin.HeaderServerLeaving+": 1\nContent-Length: 0\n\n")(conn, r)
	case e.busy.Load():
		respond("HTTP/1.1 503 Service Unavailable\n"+standin.HeaderNotExecuted+": 1\nContent-Length: 0\n\n")(conn, r)
	case e.unhealthy.Load():
		respond("HTTP/1.1 503 Service Unavailable\nContent-Length: 0\n\n")(conn, r)
	default:
		respond("HTTP/1.1 200 OK\nContent-Length: 0\n\n")(conn, r)
	}
}

// generate produces the events after Last-Event-Id until the caller
// disconnects.
func (e *fakeEngine) generate(conn net.Conn, r *http.Request) {
	time.Sleep(e.firstEventDelay)
	closing := ""
	if e.unhealthy.Load() || e.closeConns.Load() {
		closing = "Connection: close\n"
	}
	respond("HTTP/1.1 200 OK\n"+requestID+": ID\n"+seal+": s-"+e.id+"\n"+closing+"Transfer-Encoding: chunked\n\n")(conn, r)
	from, _ := strconv.Atoi(r.Header.Get(standin.HeaderLastEventID))
	gone := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, conn)
		e.connClosed.Store(true)
		close(gone)
	}()
	for n := from + 1; n <= e.events; n++ {
		if from == 0 && e.breakAfter > 0 && n > e.breakAfter {
			return
		}
		select {
		case <-gone:
			return
		case <-time.After(e.eventInterval):
		}
		text := event(n)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text); err != nil {
			return
		}
		e.eventsSent.Store(int64(n))
	}
	_, _ = io.WriteString(conn, "0\r\n\r\n")
}

func asLeaving(t *directory.ObservedTarget) *directory.ObservedTarget {
	out := *t
	out.Leaving = true
	return &out
}

var _ = Describe("generations", func() {
	const events = 40

	// An engine is taken away with two seconds' notice during a report of half
	// a minute. Guards against a stream that breaks off for lack of a move, and
	// against events that the move loses or repeats.
	It("continue at another engine when theirs leaves, with no event lost or repeated", func() {
		first := startEngine("i-1", events, 5*time.Millisecond)
		second := startEngine("i-2", events, 5*time.Millisecond)
		gw := startGateway(first.directoryEntry("llm", "dc-1"))
		done := make(chan result, 1)
		go func() { done <- gw.do(gw.request("POST", "/report/")) }()
		Eventually(first.eventsSent.Load).Should(BeNumerically(">", 5))
		gw.publish(asLeaving(first.directoryEntry("llm", "dc-1")), second.directoryEntry("llm", "dc-1"))
		var got result
		Eventually(done, "5s").Should(Receive(&got))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(eventStream(events)))
		Expect(got.header.Get(seal)).To(Equal("s-i-1"))
		Expect(first.connClosed.Load()).To(BeTrue())
		resumed := second.requests()[0]
		Expect(resumed.Header.Get(standin.HeaderKVFrom)).To(Equal(first.address + "/h-i-1"))
		Expect(resumed.Header.Get(requestID)).To(Equal("r-1"))
	})

	// Guards against a generation that is lost with an engine whose notice lasts
	// for longer than one attempt to move it.
	DescribeTable("are moved later when no engine had room at first", func(refusalDelay time.Duration) {
		const long = 300
		first := startEngine("i-1", long, 50*time.Millisecond)
		second := startEngine("i-2", long, time.Millisecond)
		first.refuseMoves.Store(true)
		first.refusalDelay = refusalDelay
		gw := startGateway()
		for i := range gw.cfg.Routes {
			gw.cfg.Routes[i].Timeout = time.Minute
		}
		gw.publish(first.directoryEntry("llm", "dc-1"))
		done := make(chan result, 1)
		go func() { done <- gw.do(gw.request("POST", "/report/")) }()
		Eventually(first.eventsSent.Load).Should(BeNumerically(">", 5))
		gw.publish(asLeaving(first.directoryEntry("llm", "dc-1")), second.directoryEntry("llm", "dc-1"))
		time.Sleep(gateway.CopyTimeout + 100*time.Millisecond)
		first.refuseMoves.Store(false)
		var got result
		Eventually(done, "15s").Should(Receive(&got))
		Expect(got.body).To(Equal(eventStream(long)))
		Expect(second.requests()).NotTo(BeEmpty())
	},
		Entry("and the time limit ends between two copies", time.Duration(0)),
		Entry("and the time limit ends a copy", gateway.CopyTimeout),
	)

	// The configuration store is unavailable while an engine is taken away, so
	// only the engine itself can tell. Load reports would tell half a second
	// late, and the generation would be lost with the engine.
	It("move when only the engine's health check says that it leaves", func() {
		first := startEngine("i-1", events, 20*time.Millisecond)
		second := startEngine("i-2", events, 5*time.Millisecond)
		gw := startGateway(first.directoryEntry("llm", "dc-1"))
		done := make(chan result, 1)
		go func() { done <- gw.do(gw.request("POST", "/report/")) }()
		Eventually(first.eventsSent.Load).Should(BeNumerically(">", 2))
		gw.publish(first.directoryEntry("llm", "dc-1"), second.directoryEntry("llm", "dc-1"))
		gw.disconnected.Store(true)
		first.unhealthy.Store(true)
		var got result
		Eventually(done, "5s").Should(Receive(&got))
		Expect(got.body).To(Equal(eventStream(events)))
		Expect(second.requests()).NotTo(BeEmpty())
	})

	// Guards against learning of a stop only from the configuration store: an
	// engine that leaves also closes the connections of its answers.
	It("move when another answer of their engine indicates that it may leave", func() {
		first := startEngine("i-1", events, 20*time.Millisecond)
		second := startEngine("i-2", events, 5*time.Millisecond)
		gw := startGateway(first.directoryEntry("llm", "dc-1"))
		done := make(chan result, 1)
		go func() { done <- gw.do(gw.request("POST", "/report/")) }()
		Eventually(first.eventsSent.Load).Should(BeNumerically(">", 2))
		first.unhealthy.Store(true)
		other := gw.request("POST", "/report/")
		other.Header.Set(requestID, "r-2")
		go gw.do(other)
		Eventually(func() bool { return gw.loads.IsLeaving(first.directoryEntry("llm", "dc-1").Target) }, "5s").Should(BeTrue())
		gw.publish(first.directoryEntry("llm", "dc-1"), second.directoryEntry("llm", "dc-1"))
		var got result
		Eventually(done, "5s").Should(Receive(&got))
		Expect(got.body).To(Equal(eventStream(events)))
		Expect(second.requests()).NotTo(BeEmpty())
	})

	// Guards against taking an engine for leaving because it closes a
	// connection, which any server does now and then.
	It("stay at a healthy engine that closes a connection", func() {
		first := startEngine("i-1", events, 5*time.Millisecond)
		first.closeConns.Store(true)
		second := startEngine("i-2", events, 5*time.Millisecond)
		gw := startGateway(first.directoryEntry("llm", "dc-1"))
		done := make(chan result, 1)
		go func() { done <- gw.do(gw.request("POST", "/report/")) }()
		Eventually(first.eventsSent.Load).Should(BeNumerically(">", 2))
		gw.publish(first.directoryEntry("llm", "dc-1"), second.directoryEntry("llm", "dc-1"))
		var got result
		Eventually(done, "5s").Should(Receive(&got))
		Expect(got.body).To(Equal(eventStream(events)))
		Expect(second.requests()).To(BeEmpty())
		Expect(first.requests()[0].Close).To(BeFalse(), "asked the engine to close the connection")
	})

	// An engine without a free slot refuses the health check as well. Taking
	// that for leaving would move all its generations just when it is full.
	It("stay at an engine that has no free slot for the health check", func() {
		first := startEngine("i-1", events, 20*time.Millisecond)
		second := startEngine("i-2", events, 5*time.Millisecond)
		gw := startGateway(first.directoryEntry("llm", "dc-1"))
		first.busy.Store(true)
		gw.disconnected.Store(true)
		done := make(chan result, 1)
		go func() { done <- gw.do(gw.request("POST", "/report/")) }()
		Eventually(first.eventsSent.Load).Should(BeNumerically(">", 2))
		gw.publish(first.directoryEntry("llm", "dc-1"), second.directoryEntry("llm", "dc-1"))
		var got result
		Eventually(done, "5s").Should(Receive(&got))
		Expect(got.body).To(Equal(eventStream(events)))
		Expect(second.requests()).To(BeEmpty())
	})

	// The engine that the copy would go to is full. The next one accepts it.
	It("go to the next engine when one has no room", func() {
		first := startEngine("i-1", events, 5*time.Millisecond)
		second := startEngine("i-2", events, 5*time.Millisecond)
		first.refuseMoves.Store(true)
		gw := startGateway(first.directoryEntry("llm", "dc-1"))
		done := make(chan result, 1)
		go func() { done <- gw.do(gw.request("POST", "/report/")) }()
		Eventually(first.eventsSent.Load).Should(BeNumerically(">", 5))
		third := startEngine("i-3", events, 5*time.Millisecond)
		gw.publish(asLeaving(first.directoryEntry("llm", "dc-1")), second.directoryEntry("llm", "dc-1"), third.directoryEntry("llm", "dc-1"))
		Eventually(first.moveRequests.Load).Should(BeNumerically(">", 0))
		first.refuseMoves.Store(false)
		var got result
		Eventually(done, "5s").Should(Receive(&got))
		Expect(got.body).To(Equal(eventStream(events)))
	})

	// Guards against spending the stop notice on trying the same full engines
	// again while another data centre has room.
	It("go to another data centre when the engines of theirs have no room", func() {
		first := startEngine("i-0", 400, 5*time.Millisecond)
		gw := startGateway(first.directoryEntry("llm", "dc-1"))
		entries := []*directory.ObservedTarget{asLeaving(first.directoryEntry("llm", "dc-1"))}
		for i := range 8 {
			full := startEngine(fmt.Sprint("i-", i+1), 400, time.Millisecond)
			first.refusedAddresses = append(first.refusedAddresses, full.address)
			entries = append(entries, full.directoryEntry("llm", "dc-1"))
		}
		remote := startEngine("i-9", 400, time.Millisecond)
		entries = append(entries, remote.directoryEntry("llm", "dc-2"))
		done := make(chan result, 1)
		go func() { done <- gw.do(gw.request("POST", "/report/")) }()
		Eventually(first.eventsSent.Load).Should(BeNumerically(">", 5))
		gw.publish(entries...)
		var got result
		Eventually(done, "10s").Should(Receive(&got))
		Expect(got.body).To(Equal(eventStream(400)))
		Expect(remote.requests()).NotTo(BeEmpty())
	})

	// An engine leaves while it still reads a prompt, and its directory entry
	// changes again while the copy is made. Guards against two moves of one
	// run: they refuse each other, the second one waits behind the copies of
	// all other runs until the engine is gone, and the stream breaks off.
	It("are copied once, even when the notice comes before their first event", func() {
		first := startEngine("i-1", events, 5*time.Millisecond)
		first.firstEventDelay, first.copyDelay = 100*time.Millisecond, 100*time.Millisecond
		second := startEngine("i-2", events, 5*time.Millisecond)
		gw := startGateway(first.directoryEntry("llm", "dc-1"))
		done := make(chan result, 1)
		go func() { done <- gw.do(gw.request("POST", "/report/")) }()
		Eventually(func() int { return len(first.requests()) }).Should(Equal(1))
		for _, slots := range []int{6, 7, 8} {
			seen := second.directoryEntry("llm", "dc-1")
			seen.Slots = slots
			gw.publish(asLeaving(first.directoryEntry("llm", "dc-1")), seen)
			time.Sleep(90 * time.Millisecond)
		}
		var got result
		Eventually(done, "5s").Should(Receive(&got))
		Expect(got.body).To(Equal(eventStream(events)))
		Expect(first.moveRequests.Load()).To(Equal(int64(1)))
	})

	// The other engines are full when the notice comes, and a moment later one
	// has room. Guards against a move that gives up after some refusals, so
	// that the generation is lost when its engine stops a second later.
	It("are offered to full engines again while their own still runs", func() {
		first := startEngine("i-1", events, 25*time.Millisecond)
		second := startEngine("i-2", events, 5*time.Millisecond)
		first.refuseMoves.Store(true)
		gw := startGateway(first.directoryEntry("llm", "dc-1"))
		done := make(chan result, 1)
		go func() { done <- gw.do(gw.request("POST", "/report/")) }()
		Eventually(first.eventsSent.Load).Should(BeNumerically(">", 2))
		gw.publish(asLeaving(first.directoryEntry("llm", "dc-1")), second.directoryEntry("llm", "dc-1"))
		Eventually(first.moveRequests.Load).Should(BeNumerically(">", 3))
		first.refuseMoves.Store(false)
		var got result
		Eventually(done, "5s").Should(Receive(&got))
		Expect(got.body).To(Equal(eventStream(events)))
		Expect(second.requests()).NotTo(BeEmpty())
	})

	// A route streams from a plain service, which does not support moves. The
	// process must not crash when its target leaves.
	It("of targets that do not support moves stay there", func() {
		first := startEngine("i-1", 10, 5*time.Millisecond)
		gw := startGateway(first.directoryEntry("app", "dc-1"))
		gw.cfg.Routes = append(gw.cfg.Routes, directory.Route{
			Name: "feed", Host: "a.example", Prefix: "/feed/", Kind: directory.Generation, MaxAttempts: 1,
			Backends: []directory.Backend{{Service: "app", Weight: 1}},
		})
		gw.publish(first.directoryEntry("app", "dc-1"))
		done := make(chan result, 1)
		go func() { done <- gw.do(gw.request("POST", "/feed/")) }()
		Eventually(first.eventsSent.Load).Should(BeNumerically(">", 2))
		gw.disconnected.Store(true)
		gw.publish(asLeaving(first.directoryEntry("app", "dc-1")))
		var got result
		Eventually(done, "5s").Should(Receive(&got))
		Expect(got.body).To(Equal(eventStream(10)))
	})

	// The engine dies in the middle of a generation that may run only once. The
	// caller must see that the stream is incomplete, and no second run may be
	// appended to it.
	It("that may run once break off visibly when their engine dies", func() {
		dying := startTarget("i-1", respond("HTTP/1.1 200 OK\n"+requestID+": ID\n"+seal+": s1\nTransfer-Encoding: chunked\n\n12\nid: 1\ndata: a\n\n\n5\nid: 2\n"))
		other := startEngine("i-2", events, time.Millisecond)
		gw := startGateway(dying.directoryEntry("llm", "dc-1"))
		got := gw.do(gw.request("POST", "/report/"))
		Expect(got.err).To(HaveOccurred())
		Expect(got.body).To(ContainSubstring("data: a"))
		Expect(other.requests()).To(BeEmpty())
	})
})

var _ = Describe("generations with a backup", func() {
	const events = 40

	// A leaving engine's link is too slow to copy all its generations during
	// the notice, so another engine keeps a copy of each one as it grows. When
	// the engine leaves, the generation continues there at once and nothing is
	// copied.
	It("continue there when their engine leaves", func() {
		first := startEngine("i-1", events, 5*time.Millisecond)
		second := startEngine("i-2", events, 5*time.Millisecond)
		gw := startGateway(first.directoryEntry("llm", "dc-1"), second.directoryEntry("llm", "dc-2"))
		done := make(chan result, 1)
		go func() { done <- gw.do(gw.request("POST", "/report/")) }()
		Eventually(func() int64 { return first.eventsSent.Load() + second.eventsSent.Load() }).Should(BeNumerically(">", 5))
		from, to := first, second
		if second.eventsSent.Load() > 0 {
			from, to = second, first
		}
		Expect(from.requests()[0].Header.Get(standin.HeaderBackup)).To(Equal(to.address))
		gw.publish(asLeaving(from.directoryEntry("llm", "dc-1")), to.directoryEntry("llm", "dc-1"))
		var got result
		Eventually(done, "5s").Should(Receive(&got))
		Expect(got.body).To(Equal(eventStream(events)))
		Expect(from.moveRequests.Load()).To(BeZero())
		Expect(to.requests()[0].Header.Get(standin.HeaderKVFrom)).To(Equal(to.address + "/r-1"))
	})
})

var _ = Describe("generations whose engine dies", func() {
	// Engines of a data centre die without notice. Their generations may run
	// only once; with a copy at another engine each continues as the same run
	// after the last whole event that the caller has.
	DescribeTable("continue from their backup", func(answerDelay time.Duration) {
		const events = 40
		second := startEngine("i-2", events, time.Millisecond)
		second.firstEventDelay = answerDelay
		dying := startTarget("i-1", func(conn net.Conn, r *http.Request) {
			respond("HTTP/1.1 200 OK\n"+requestID+": ID\n"+seal+": s1\nTransfer-Encoding: chunked\n\n")(conn, r)
			_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event(1)), event(1))
			time.Sleep(50 * time.Millisecond)
		})
		gw := startGateway(dying.directoryEntry("llm", "dc-1"), second.directoryEntry("llm", "dc-2"))
		got := gw.do(gw.request("POST", "/report/"))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(eventStream(events)))
		Expect(second.requests()[0].Header.Get(standin.HeaderKVFrom)).To(Equal(second.address + "/r-1"))
	},
		Entry("that goes on at once", time.Duration(0)),
		// Guards against a limit that protects a previous engine which no longer runs.
		Entry("that goes on late", gateway.SwitchTimeout+150*time.Millisecond),
	)
})

var _ = Describe("summaries that a new run may continue", func() {
	// The engine dies after part of a summary whose route lets a new run
	// continue it. The caller gets the rest from another engine, each event
	// once.
	It("are resumed at another engine after the last whole event", func() {
		const events = 10
		other := startEngine("i-2", events, time.Millisecond)
		partial := event(1) + event(2) + "id: 3\nda"
		dying := startTarget("i-1", func(conn net.Conn, r *http.Request) {
			respond("HTTP/1.1 200 OK\n"+requestID+": ID\n"+seal+": s1\nTransfer-Encoding: chunked\n\n")(conn, r)
			_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(partial), partial)
		})
		gw := startGateway(dying.directoryEntry("llm", "dc-1"), other.directoryEntry("llm", "dc-2"))
		for range 20 {
			got := gw.do(gw.request("POST", "/brief/"))
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.body).To(Equal(eventStream(events)))
			if len(dying.requests()) > 0 {
				break
			}
		}
		Expect(dying.requests()).NotTo(BeEmpty())
	})
})

var _ = Describe("summaries that break at each engine", func() {
	// Each engine breaks the summary off after one event. The route allows two
	// engines. Continuing at further ones would use every engine's time, and a
	// request that breaks one engine may break all of them.
	It("end after the engines that the route allows", func() {
		var requestCount atomic.Int64
		breaking := func(conn net.Conn, r *http.Request) {
			requestCount.Add(1)
			from, _ := strconv.Atoi(r.Header.Get(standin.HeaderLastEventID))
			respond("HTTP/1.1 200 OK\n"+requestID+": ID\n"+seal+": s1\nTransfer-Encoding: chunked\n\n")(conn, r)
			_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event(from+1)), event(from+1))
		}
		var targets []*directory.ObservedTarget
		for _, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
			targets = append(targets, startTarget(id, breaking).directoryEntry("llm", "dc-1"))
		}
		gw := startGateway(targets...)
		got := gw.do(gw.request("POST", "/brief/"))
		Expect(got.err).To(HaveOccurred())
		Expect(requestCount.Load()).To(Equal(int64(2)))
	})
})

var _ = Describe("moves that begin as a generation ends", func() {
	// An engine leaves just as its generations end, many times in a row. Guards
	// against reservations that stay counted, which make empty engines look
	// full to this host and, by gossip, to all others.
	It("leave no reservation at any engine", func() {
		first := startEngine("i-1", 3, time.Millisecond)
		second := startEngine("i-2", 3, time.Millisecond)
		gw := startGateway()
		for i := range 60 {
			gw.publish(first.directoryEntry("llm", "dc-1"), second.directoryEntry("llm", "dc-2"))
			done := make(chan result, 1)
			go func() { done <- gw.do(gw.request("POST", "/report/")) }()
			time.Sleep(time.Duration(i%12) * 500 * time.Microsecond)
			gw.publish(asLeaving(first.directoryEntry("llm", "dc-1")), second.directoryEntry("llm", "dc-2"))
			var got result
			Eventually(done, "5s").Should(Receive(&got))
			Expect(got.body).To(Equal(eventStream(3)))
		}
		for _, id := range []string{"i-1", "i-2"} {
			Eventually(func() int { return gw.loads.HostsUsing(id) }, "5s").Should(BeZero())
		}
	})
})
