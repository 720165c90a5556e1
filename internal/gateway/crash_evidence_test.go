package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/directory"
)

// startCrashingTarget runs a target that dies when the path contains "poison"
// and answers all other requests.
func startCrashingTarget(id string) (*directory.ObservedTarget, func() int) {
	return startCrashingTargetOf("app", id)
}

// startCrashingTargetOf is startCrashingTarget for a given service.
func startCrashingTargetOf(service, id string) (*directory.ObservedTarget, func() int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = l.Close() })
	t := &fakeTarget{id: id, address: l.Addr().String()}
	var once sync.Once
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go t.serve(conn, func(conn net.Conn, r *http.Request) {
				if strings.Contains(r.URL.Path, "poison") {
					once.Do(func() { _ = l.Close() })
					return
				}
				respond(completeAnswer)(conn, r)
			})
		}
	}()
	return t.directoryEntry(service, "dc-1"), func() int { return len(t.requests()) }
}

// startTargetThatEnds runs an engine that writes the text as its answer and dies.
func startTargetThatEnds(id, text string) (*directory.ObservedTarget, *fakeTarget) {
	var t *fakeTarget
	t = startTarget(id, func(conn net.Conn, r *http.Request) {
		t.close()
		respond(text)(conn, r)
	})
	return t.directoryEntry("llm", "dc-1"), t
}

var _ = Describe("a request that crashes every target that runs it", func() {
	// The caller sends the request again and again. Each time another target
	// dies with the requests of all other callers, until none is left.
	It("is refused at once after its third crash, while others are served", func() {
		gw := startGateway()
		for _, id := range []string{"i-1", "i-2", "i-3"} {
			t, _ := startCrashingTarget(id)
			gw.publish(t)
			Expect(gw.do(gw.request("POST", "/book/poison")).status).To(Equal(http.StatusBadGateway))
			Eventually(gw.crashCount).Should(Equal(int(id[2] - '0')))
		}
		last, requestCount := startCrashingTarget("i-4")
		gw.publish(last)
		got := gw.do(gw.request("POST", "/book/poison"))
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(requestCount()).To(BeZero())
		Expect(gw.do(gw.request("POST", "/book/")).status).To(Equal(http.StatusOK))
	})

	// Guards against evidence that is lost when most targets are down, as when requests crash one after the other.
	It("is suspected although the other targets of its service are down", func() {
		var targets []*directory.ObservedTarget
		for i := range 8 {
			down := startTarget("down-"+strconv.Itoa(i), nil)
			down.close()
			targets = append(targets, down.directoryEntry("app", "dc-1"))
		}
		crashing, _ := startCrashingTarget("i-1")
		gw := startGateway(append(targets, crashing, startTarget("e-1", respond(completeAnswer)).directoryEntry("llm", "dc-1"))...)
		Eventually(func() int { gw.do(gw.request("POST", "/book/poison")); return gw.crashCount() }).Should(Equal(1))
	})

	// Guards against evidence that is lost when all targets of the only service end together.
	It("is suspected once the records say that its target ended, though its host reaches no other", func() {
		down := startTarget("down", nil)
		down.close()
		crashing, _ := startCrashingTarget("i-1")
		other := down.directoryEntry("app", "dc-1")
		gw := startGateway(crashing, other)
		gw.do(gw.request("POST", "/book/poison"))
		Consistently(gw.crashCount, "400ms").Should(BeZero(), "the host may be partitioned")
		gw.publish(other)
		Eventually(gw.crashCount).Should(Equal(1))
	})

	// Guards against evidence that is lost while so many targets are down that the host takes the service for lost.
	It("is suspected although its host has lost the service", func() {
		arrived, crash := make(chan struct{}), make(chan struct{})
		var held *fakeTarget
		held = startTarget("i-1", func(net.Conn, *http.Request) { close(arrived); <-crash; held.close() })
		entries := []*directory.ObservedTarget{held.directoryEntry("app", "dc-1"), startTarget("e-1", respond(completeAnswer)).directoryEntry("llm", "dc-1")}
		gw := startGateway(entries...)
		go gw.do(gw.request("POST", "/book/poison"))
		Eventually(arrived).Should(BeClosed())
		for i := range 4 {
			down := startTarget("down-"+strconv.Itoa(i), nil)
			down.close()
			entries = append(entries, down.directoryEntry("app", "dc-1"))
		}
		gw.publish(entries[1:]...)
		gw.do(gw.request("POST", "/book/other"))
		Expect(gw.countLost()).To(Equal(1))
		gw.publish(entries...)
		close(crash)
		Eventually(gw.crashCount).Should(Equal(1))
	})

	// Guards against sound streams that count as suspects whenever their target crashes.
	It("is suspected, and no stream that had gone on for a while", func() {
		var target *fakeTarget
		target = startTarget("i-1", func(conn net.Conn, r *http.Request) {
			if strings.Contains(r.URL.Path, "poison") {
				target.close()
				return
			}
			respond("HTTP/1.1 200 OK\n"+requestID+": ID\n"+seal+": s1\nTransfer-Encoding: chunked\n\n")(conn, r)
			for n := 1; n <= 100; n++ {
				if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event(n)), event(n)); err != nil {
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
		gw := startGateway(target.directoryEntry("llm", "dc-1"), startTarget("a-1", respond(completeAnswer)).directoryEntry("app", "dc-1"))
		ctx, leave := context.WithCancel(context.Background())
		defer leave()
		go gw.do(gw.requestWithID("r-sound", "POST", "/report/sound").WithContext(ctx))
		Eventually(target.requestsToRun).Should(HaveLen(1))
		time.Sleep(1200 * time.Millisecond)
		gw.do(gw.request("POST", "/report/poison"))
		Eventually(gw.crashCount).Should(Equal(1))
		Expect(gw.crashEvidence.Export()[0].Suspects).To(HaveLen(1))
	})

	// Guards against crashes that nobody notices since the caller had left.
	It("is suspected although its caller has left", func() {
		crashing, _ := startCrashingTarget("i-1")
		gw := startGateway(crashing)
		gw.do(gw.request("POST", "/book/poison"))
		Eventually(gw.crashCount).Should(Equal(1))
		arrived := make(chan struct{})
		var second *fakeTarget
		second = startTarget("i-2", func(net.Conn, *http.Request) {
			close(arrived)
			time.Sleep(100 * time.Millisecond)
			second.close()
		})
		gw.publish(second.directoryEntry("app", "dc-1"), startTarget("i-3", respond(completeAnswer)).directoryEntry("llm", "dc-1"))
		ctx, leave := context.WithCancel(context.Background())
		go gw.do(gw.request("POST", "/book/poison").WithContext(ctx))
		Eventually(arrived).Should(BeClosed())
		leave()
		Eventually(gw.crashCount, "2s").Should(Equal(2))
	})

	// Guards against a request that reaches a target between its first broken connection and its end.
	It("is suspected although another connection to its target broke before", func() {
		var target *fakeTarget
		first, poison := make(chan struct{}), make(chan struct{})
		target = startTarget("i-1", func(_ net.Conn, r *http.Request) {
			if strings.Contains(r.URL.Path, "poison") {
				close(poison)
				target.close()
				return
			}
			<-first
		})
		gw := startGateway(target.directoryEntry("app", "dc-1"), startTarget("e-1", respond(completeAnswer)).directoryEntry("llm", "dc-1"))
		done := make(chan struct{})
		go func() { defer close(done); gw.do(gw.request("POST", "/book/sound")) }()
		Eventually(target.requests).Should(HaveLen(1))
		close(first)
		<-done
		gw.do(gw.request("POST", "/book/poison"))
		Expect(poison).To(BeClosed())
		Eventually(gw.crashCount).Should(Equal(1))
		Expect(gw.crashEvidence.Export()[0].Suspects).To(HaveLen(2))
	})

	// Guards against a crash that looks like the end of an answer without a length.
	DescribeTable("is suspected when its stream ends without a length", func(stream string) {
		crashing, _ := startTargetThatEnds("i-1", "HTTP/1.1 200 OK\n"+requestID+": ID\n"+seal+": s1\n\n"+stream)
		gw := startGateway(crashing)
		Expect(gw.do(gw.request("POST", "/report/poison")).status).NotTo(Equal(http.StatusOK))
		Eventually(gw.crashCount).Should(Equal(1))
	},
		Entry("before its first event", ""),
	)

	// Guards against copies of a request that wait at engines and end these once they are begun, though the request is refused by then.
	It("is ended at engines that have not begun to answer when it comes to be refused, and others go on", func() {
		open := make(chan struct{})
		waiting := startTarget("i-0", func(conn net.Conn, r *http.Request) {
			if strings.Contains(r.URL.Path, "sound") {
				<-open
				respond("HTTP/1.1 200 OK\n"+requestID+": ID\n"+seal+": s1\n\nid: 1\ndata: a\n\n")(conn, r)
				return
			}
			_, _ = conn.Read(make([]byte, 1))
		})
		gw := startGateway(waiting.directoryEntry("llm", "dc-1"))
		ended, sound := make(chan result, 1), make(chan result, 1)
		go func() { ended <- gw.do(gw.request("POST", "/report/poison")) }()
		go func() { sound <- gw.do(gw.requestWithID("r-sound", "POST", "/report/sound")) }()
		Eventually(waiting.requestsToRun).Should(HaveLen(2))
		for i := range 3 {
			crashing, _ := startTargetThatEnds(fmt.Sprintf("i-%d", 1+i), "")
			gw.publish(crashing)
			gw.do(gw.requestWithID(fmt.Sprintf("r-%d", i), "POST", "/report/poison"))
			Eventually(gw.crashCount).Should(Equal(1 + i))
		}
		var got result
		Eventually(ended).Should(Receive(&got))
		Expect(got.status).To(Equal(http.StatusBadGateway), "it may have run")
		close(open)
		Eventually(sound).Should(Receive(&got))
		Expect(got.status).To(Equal(http.StatusOK))
	})

	// Guards against callers that get a closed connection without a status though nothing was sent to them.
	DescribeTable("has an answer with a status when its stream fails before its first event", func(stream string) {
		target := startTarget("i-1", respond("HTTP/1.1 200 OK\n"+requestID+": ID\n"+seal+": s1\nContent-Length: 200000\n\n"+stream))
		gw := startGateway(target.directoryEntry("llm", "dc-1"))
		got := gw.do(gw.request("POST", "/report/"))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(http.StatusBadGateway))
	},
		Entry("since it ends", "id: 1\nda"),
		Entry("since the event has no end", "data: "+strings.Repeat("x", 150_000)),
	)

	// Guards against a stream that looks complete though it ended inside an event.
	DescribeTable("does not end as complete inside an event", func(stream string) {
		crashing, _ := startTargetThatEnds("i-1", "HTTP/1.1 200 OK\n"+requestID+": ID\n"+seal+": s1\n\n"+stream)
		gw := startGateway(crashing)
		Expect(gw.do(gw.request("POST", "/report/poison")).err).To(HaveOccurred())
		Eventually(gw.crashCount).Should(Equal(1))
	},
		Entry("within a line", "id: 1\ndata: a\n\nid: 2\nda"),
		Entry("after a whole line", "id: 1\ndata: a\n\nid: 2\n"),
	)

	// Guards against whole streams without a length that are taken for broken ones.
	It("is served when its stream without a length ends between two events", func() {
		whole := startTarget("i-1", respond("HTTP/1.1 200 OK\n"+requestID+": ID\n"+seal+": s1\n\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
		gw := startGateway(whole.directoryEntry("llm", "dc-1"))
		got := gw.do(gw.request("POST", "/report/"))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n"))
	})

	// A target breaks off one answer and keeps running. That is no evidence
	// against the request, which many callers may send.
	It("is not suspected because of answers that only broke off", func() {
		t := startTarget("i-1", respond(""))
		gw := startGateway(t.directoryEntry("app", "dc-1"))
		for range 5 {
			Expect(gw.do(gw.request("POST", "/book/")).status).To(Equal(http.StatusBadGateway))
		}
		Consistently(gw.crashCount, "200ms").Should(BeZero())
	})
})
