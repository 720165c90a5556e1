package gateway_test

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/call"
	"filbertdeck/internal/directory"
	"filbertdeck/platform"
	"filbertdeck/platform/standin"
)

const (
	completeAnswer = "HTTP/1.1 200 OK\n" + requestID + ": ID\n" + seal + ": s1\nContent-Length: 2\n\nok"
	completeStream = "HTTP/1.1 200 OK\n" + requestID + ": ID\n" + seal + ": s1\nContent-Type: text/event-stream\n" +
		"Transfer-Encoding: chunked\n\n14\nid: 1\ndata: one\n\n\n0\n\n"
	answerWithoutLength = "HTTP/1.1 200 OK\n" + requestID + ": ID\n" + seal + ": s1\n\nok"
	serverError         = "HTTP/1.1 500 Internal Server Error\n" + requestID + ": ID\n" + seal + ": s1\nContent-Length: 4\n\noops"
	notExecuted         = "HTTP/1.1 503 Service Unavailable\n" + requestID + ": ID\n" + standin.HeaderNotExecuted + ": 1\nContent-Length: 0\n\n"
)

var _ = Describe("answers", func() {
	It("are passed on unchanged, and so are requests", func() {
		t := startTarget("i-1", respond(completeAnswer))
		gw := startGateway(t.directoryEntry("app", "dc-1"))
		got := gw.do(gw.request("POST", "/book/a%2Fb//c?x=1&&y"))
		Expect(got.status).To(Equal(200))
		Expect(got.body).To(Equal("ok"))
		Expect(got.header.Get(seal)).To(Equal("s1"))
		sent := t.requests()[0]
		Expect(sent.RequestURI).To(Equal("/book/a%2Fb//c?x=1&&y"))
		Expect(sent.Host).To(Equal("a.example"))
		Expect(sent.Header.Get("Authorization")).To(BeEmpty())
		Expect(sent.Header.Get(standin.HeaderTenant)).To(Equal("clinic"))
		Expect(sent.Header.Get(standin.HeaderExpectInstance)).To(Equal("i-1"))
		Expect(t.bodies[0]).To(Equal("hello"))
	})

	It("of a generation are passed on event by event", func() {
		t := startTarget("i-1", respond(completeStream))
		gw := startGateway(t.directoryEntry("llm", "dc-1"))
		got := gw.do(gw.request("POST", "/report/"))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal("id: 1\r\ndata: one\r\n\r\n"))
	})

	// Guards against an engine's failure answer whose body breaks off being
	// taken for an answer that was already passed on: the caller received an
	// empty success, which looks like a complete summary.
	It("that break off are not passed on as an empty success", func() {
		t := startTarget("i-1", respond("HTTP/1.1 500 Internal Server Error\n"+requestID+": ID\n"+seal+": s1\nContent-Length: 400\n\noo"))
		gw := startGateway(t.directoryEntry("llm", "dc-1"))
		got := gw.do(gw.request("POST", "/report/"))
		Expect(got.err == nil && got.status == http.StatusOK).To(BeFalse())
		Expect(got.status).To(Equal(http.StatusBadGateway))
	})

	// Guards against answers without a length or chunks that are whole and are not passed on.
	It("are passed on whole when they end with their connection", func() {
		t := startTarget("i-1", respond(answerWithoutLength))
		gw := startGateway(t.directoryEntry("app", "dc-1"))
		got := gw.do(gw.request("POST", "/book/"))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal("ok"))
	})

	// Guards against answers without a length that look complete although they were cut.
	DescribeTable("that end with their connection are not passed on as a success when they were cut",
		func(end func(t *fakeTarget, conn net.Conn)) {
			var t *fakeTarget
			t = startTarget("i-1", func(conn net.Conn, r *http.Request) {
				respond(answerWithoutLength)(conn, r)
				time.Sleep(20 * time.Millisecond)
				end(t, conn)
			})
			gw := startGateway(t.directoryEntry("app", "dc-1"))
			Expect(gw.do(gw.request("POST", "/book/")).status).To(Equal(http.StatusBadGateway))
		},
		Entry("by a reset", func(_ *fakeTarget, conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0) }),
		Entry("by the end of their target", func(t *fakeTarget, _ net.Conn) { t.close() }),
	)

	// Guards against truncated answers, answers without a seal and answers to
	// another request being passed on as complete.
	DescribeTable("that are not the complete answer to this request are not passed on as a success",
		func(path, answer string) {
			t := startTarget("i-1", respond(answer))
			gw := startGateway(t.directoryEntry("app", "dc-1"), t.directoryEntry("llm", "dc-1"))
			gw.publish(t.directoryEntry("app", "dc-1"))
			got := gw.do(gw.request("POST", path))
			Expect(got.err == nil && got.status < 300).To(BeFalse())
		},
		Entry("no seal", "/book/", "HTTP/1.1 200 OK\n"+requestID+": ID\nContent-Length: 2\n\nok"),
		Entry("another request's id", "/book/", "HTTP/1.1 200 OK\n"+requestID+": r-9\n"+seal+": s\nContent-Length: 2\n\nok"),
		Entry("shorter than Content-Length", "/book/", "HTTP/1.1 200 OK\n"+requestID+": ID\n"+seal+": s\nContent-Length: 20\n\nok"),
		Entry("not HTTP", "/book/", "GARBAGE GARBAGE\n\n"),
	)

	// The only target is full and says that it did not run the request, so the
	// caller is told that it may retry.
	It("say that the request did not run when the target said so", func() {
		t := startTarget("i-1", respond(notExecuted))
		gw := startGateway(t.directoryEntry("app", "dc-1"))
		got := gw.do(gw.request("POST", "/book/"))
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	})

	// The target's address now belongs to another target, which says so. The
	// request did not run, so its caller must get a retryable status and not
	// one that it takes for final.
	It("are retryable when the address belongs to another target", func() {
		t := startTarget("i-1", respond("HTTP/1.1 421 Misdirected Request\n"+requestID+": ID\nContent-Length: 0\n\n"))
		gw := startGateway(t.directoryEntry("app", "dc-1"))
		got := gw.do(gw.request("POST", "/book/"))
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	})

	// The target receives the request and the connection breaks. Whether the
	// request ran is unknown, so it is not sent again and the caller is not
	// told that it did not run.
	It("do not say that a request did not run when its answer was lost", func() {
		t := startTarget("i-1", respond(""))
		other := startTarget("i-2", respond(""))
		gw := startGateway(t.directoryEntry("app", "dc-1"), other.directoryEntry("app", "dc-1"))
		got := gw.do(gw.request("POST", "/book/"))
		Expect(got.status).To(Equal(http.StatusBadGateway))
		Expect(len(t.requests()) + len(other.requests())).To(Equal(1))
	})

	// The first target takes long to fail, and the other one starts to leave
	// meanwhile. A retry that used the view of the first attempt would reach
	// the leaving target and be cut off with it.
	It("of lookups are not requested from a target that has left since", func() {
		release := make(chan struct{})
		slow := startTarget("i-1", func(conn net.Conn, r *http.Request) {
			<-release
			respond(serverError)(conn, r)
		})
		other := startTarget("i-2", respond(completeAnswer))
		gw := startGateway(slow.directoryEntry("app", "dc-1"), other.directoryEntry("app", "dc-2"))
		done := make(chan result, 1)
		go func() { done <- gw.do(gw.request("GET", "/look/")) }()
		Eventually(slow.requests).Should(HaveLen(1))
		gw.publish(slow.directoryEntry("app", "dc-1"), asLeaving(other.directoryEntry("app", "dc-2")))
		close(release)
		Eventually(done, "5s").Should(Receive())
		Expect(other.requests()).To(BeEmpty())
	})

	// Guards against sending a request to a target that left between the
	// selection and the first byte.
	It("come from another target when the chosen one leaves before it is sent", func() {
		first, second := startTarget("i-1", respond(completeAnswer)), startTarget("i-2", respond(completeAnswer))
		dialect := &hookedDialect{}
		gw := startGatewayWithDialect(dialect, slog.DiscardHandler, first.directoryEntry("app", "dc-1"), second.directoryEntry("app", "dc-1"))
		leavingID := ""
		dialect.beforeSend = func(chosen directory.Target) {
			if leavingID != "" {
				return
			}
			leavingID = chosen.ID
			entries := []*directory.ObservedTarget{first.directoryEntry("app", "dc-1"), second.directoryEntry("app", "dc-1")}
			for i, e := range entries {
				if e.ID == leavingID {
					entries[i] = asLeaving(e)
				}
			}
			gw.publish(entries...)
		}
		Expect(gw.do(gw.request("POST", "/book/")).status).To(Equal(http.StatusOK))
		for _, t := range []*fakeTarget{first, second} {
			if t.id == leavingID {
				Expect(t.requests()).To(BeEmpty())
			}
		}
	})

	// While a lookup waits for a target that then fails, another target joins.
	It("of lookups may come from a target that has joined since", func() {
		release := make(chan struct{})
		slow := startTarget("i-1", func(conn net.Conn, r *http.Request) {
			<-release
			respond(serverError)(conn, r)
		})
		other := startTarget("i-2", respond(completeAnswer))
		gw := startGateway(slow.directoryEntry("app", "dc-1"))
		done := make(chan result, 1)
		go func() { done <- gw.do(gw.request("GET", "/look/")) }()
		Eventually(slow.requests).Should(HaveLen(1))
		gw.publish(slow.directoryEntry("app", "dc-1"), other.directoryEntry("app", "dc-1"))
		close(release)
		var got result
		Eventually(done, "5s").Should(Receive(&got))
		Expect(got.status).To(Equal(http.StatusOK))
	})

	// A lookup gets a target's own failure; another target answers it.
	It("of lookups come from another target when the first fails", func() {
		bad := startTarget("i-1", respond(serverError))
		good := startTarget("i-2", respond(completeAnswer))
		gw := startGateway(bad.directoryEntry("app", "dc-1"), good.directoryEntry("app", "dc-1"))
		for range 8 {
			Expect(gw.do(gw.request("GET", "/look/")).status).To(Equal(200))
		}
	})
})

// hookedDialect calls beforeSend before a request is sent to the target chosen
// for it.
type hookedDialect struct {
	platform.Dialect
	beforeSend func(chosen directory.Target)
}

func (d *hookedDialect) BuildRequest(ctx context.Context, s *call.Attempt) (*http.Request, error) {
	if d.beforeSend != nil {
		d.beforeSend(s.Target)
	}
	return d.Dialect.BuildRequest(ctx, s)
}

var _ = Describe("answers without a body", func() {
	// A target answers 204. With a Content-Length the caller's connection would
	// wait for bytes that never come, or take the next answer for them.
	It("have no Content-Length", func() {
		t := startTarget("i-1", respond("HTTP/1.1 204 No Content\n"+requestID+": ID\n"+seal+": s1\n\n"))
		gw := startGateway(t.directoryEntry("app", "dc-1"))
		got := gw.do(gw.request("POST", "/book/"))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(204))
		Expect(got.header).NotTo(HaveKey("Content-Length"))
	})
})
