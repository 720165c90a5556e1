package gateway_test

import (
	"context"
	"log/slog"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/call"
	"filbertdeck/internal/directory"
	"filbertdeck/platform"
	"filbertdeck/platform/standin"
)

const (
	goodPlain  = "HTTP/1.1 200 OK\n" + requestID + ": ID\n" + seal + ": s1\nContent-Length: 2\n\nok"
	goodStream = "HTTP/1.1 200 OK\n" + requestID + ": ID\n" + seal + ": s1\nContent-Type: text/event-stream\n" +
		"Transfer-Encoding: chunked\n\n14\nid: 1\ndata: one\n\n\n0\n\n"
	ownFailure = "HTTP/1.1 500 Internal Server Error\n" + requestID + ": ID\n" + seal + ": s1\nContent-Length: 4\n\noops"
	notRun     = "HTTP/1.1 503 Service Unavailable\n" + requestID + ": ID\n" + standin.HeaderNotExecuted + ": 1\nContent-Length: 0\n\n"
)

var _ = Describe("answers", func() {
	It("come back as the target gave them, and the request as the caller sent it", func() {
		t := startTarget("i-1", say(goodPlain))
		d := startDeck(t.entry("app", "dc-1"))
		got := d.do(d.request("POST", "/book/a%2Fb//c?x=1&&y"))
		Expect(got.status).To(Equal(200))
		Expect(got.body).To(Equal("ok"))
		Expect(got.header.Get(seal)).To(Equal("s1"))
		sent := t.requests()[0]
		Expect(sent.RequestURI).To(Equal("/book/a%2Fb//c?x=1&&y"))
		Expect(sent.Host).To(Equal("a.example"))
		Expect(sent.Header.Get("Authorization")).To(BeEmpty())
		Expect(sent.Header.Get(standin.HeaderTenant)).To(Equal("clinic"))
		Expect(sent.Header.Get(standin.HeaderExpectInstance)).To(Equal("i-1"))
		Expect(t.body[0]).To(Equal("hello"))
	})

	It("of a generation come event by event", func() {
		t := startTarget("i-1", say(goodStream))
		d := startDeck(t.entry("llm", "dc-1"))
		got := d.do(d.request("POST", "/report/"))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal("id: 1\r\ndata: one\r\n\r\n"))
	})

	// An engine answers a generation with a failure and the failure's body
	// breaks off. Taken for an answer that was passed on already, it reached
	// the clerk as an empty success: a summary that looks whole and says
	// nothing.
	It("that break off never become an empty success", func() {
		t := startTarget("i-1", say("HTTP/1.1 500 Internal Server Error\n"+requestID+": ID\n"+seal+": s1\nContent-Length: 400\n\noo"))
		d := startDeck(t.entry("llm", "dc-1"))
		got := d.do(d.request("POST", "/report/"))
		Expect(got.err == nil && got.status == http.StatusOK).To(BeFalse())
		Expect(got.status).To(Equal(http.StatusBadGateway))
	})

	// Broken off, unmarked or crossed answers: a caller who took one for whole
	// would act on half a summary, or on another one's.
	DescribeTable("that are not the target's whole answer to this request are no success",
		func(path, answer string) {
			t := startTarget("i-1", say(answer))
			d := startDeck(t.entry("app", "dc-1"), t.entry("llm", "dc-1"))
			d.publish(t.entry("app", "dc-1"))
			got := d.do(d.request("POST", path))
			Expect(got.err == nil && got.status < 300).To(BeFalse())
		},
		Entry("no mark", "/book/", "HTTP/1.1 200 OK\n"+requestID+": ID\nContent-Length: 2\n\nok"),
		Entry("another request's id", "/book/", "HTTP/1.1 200 OK\n"+requestID+": r-9\n"+seal+": s\nContent-Length: 2\n\nok"),
		Entry("too short", "/book/", "HTTP/1.1 200 OK\n"+requestID+": ID\n"+seal+": s\nContent-Length: 20\n\nok"),
		Entry("no HTTP", "/book/", "GARBAGE GARBAGE\n\n"),
	)

	// The only target is full and says that it did not run the booking. The
	// technician may come back at once and is told so truthfully.
	It("say that nothing ran only when the target said so", func() {
		t := startTarget("i-1", say(notRun))
		d := startDeck(t.entry("app", "dc-1"))
		got := d.do(d.request("POST", "/book/"))
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	})

	// The target's address belongs to another one by now, which says so. The
	// booking did not run, and its caller may come again: a status of our own
	// that callers take for final would lose it.
	It("let the caller come again when only other targets' addresses are left", func() {
		t := startTarget("i-1", say("HTTP/1.1 421 Misdirected Request\n"+requestID+": ID\nContent-Length: 0\n\n"))
		d := startDeck(t.entry("app", "dc-1"))
		got := d.do(d.request("POST", "/book/"))
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	})

	// The target takes the booking and the connection dies. Nobody knows
	// whether the crew was booked, so it is not sent again and no "not run" is
	// promised.
	It("promise nothing about a booking whose answer was lost", func() {
		t := startTarget("i-1", say(""))
		other := startTarget("i-2", say(""))
		d := startDeck(t.entry("app", "dc-1"), other.entry("app", "dc-1"))
		got := d.do(d.request("POST", "/book/"))
		Expect(got.status).To(Equal(http.StatusBadGateway))
		Expect(len(t.requests()) + len(other.requests())).To(Equal(1))
	})

	// The first target takes long to fail, and the other one leaves meanwhile.
	// A second send by what was known at first would reach a target that has
	// been leaving for seconds, and be cut with it.
	It("of lookups are not asked of a target that has left since", func() {
		release := make(chan struct{})
		slow := startTarget("i-1", func(conn net.Conn, r *http.Request) {
			<-release
			say(ownFailure)(conn, r)
		})
		other := startTarget("i-2", say(goodPlain))
		d := startDeck(slow.entry("app", "dc-1"), other.entry("app", "dc-2"))
		done := make(chan result, 1)
		go func() { done <- d.do(d.request("GET", "/look/")) }()
		Eventually(slow.requests).Should(HaveLen(1))
		d.publish(slow.entry("app", "dc-1"), leaving(other.entry("app", "dc-2")))
		close(release)
		Eventually(done, "5s").Should(Receive())
		Expect(other.requests()).To(BeEmpty())
	})

	// Guards against a request that reaches a target which left between the choice
	// and the first byte.
	It("come from another target when the chosen one leaves before it is sent", func() {
		first, second := startTarget("i-1", say(goodPlain)), startTarget("i-2", say(goodPlain))
		dialect := &hookedDialect{}
		d := startDeckSpeaking(dialect, slog.DiscardHandler, first.entry("app", "dc-1"), second.entry("app", "dc-1"))
		left := ""
		dialect.beforeSend = func(chosen directory.Target) {
			if left != "" {
				return
			}
			left = chosen.ID
			entries := []*directory.ObservedTarget{first.entry("app", "dc-1"), second.entry("app", "dc-1")}
			for i, e := range entries {
				if e.ID == left {
					entries[i] = leaving(e)
				}
			}
			d.publish(entries...)
		}
		Expect(d.do(d.request("POST", "/book/")).status).To(Equal(http.StatusOK))
		for _, t := range []*target{first, second} {
			if t.id == left {
				Expect(t.requests()).To(BeEmpty())
			}
		}
	})

	// While a lookup waits for a target that then fails, another one joins.
	It("of lookups may come from a target that has joined since", func() {
		release := make(chan struct{})
		slow := startTarget("i-1", func(conn net.Conn, r *http.Request) {
			<-release
			say(ownFailure)(conn, r)
		})
		other := startTarget("i-2", say(goodPlain))
		d := startDeck(slow.entry("app", "dc-1"))
		done := make(chan result, 1)
		go func() { done <- d.do(d.request("GET", "/look/")) }()
		Eventually(slow.requests).Should(HaveLen(1))
		d.publish(slow.entry("app", "dc-1"), other.entry("app", "dc-1"))
		close(release)
		var got result
		Eventually(done, "5s").Should(Receive(&got))
		Expect(got.status).To(Equal(http.StatusOK))
	})

	// A lookup meets a target's own failure; another target answers it.
	It("of lookups come from another target when the first fails", func() {
		bad := startTarget("i-1", say(ownFailure))
		good := startTarget("i-2", say(goodPlain))
		d := startDeck(bad.entry("app", "dc-1"), good.entry("app", "dc-1"))
		for range 8 {
			Expect(d.do(d.request("GET", "/look/")).status).To(Equal(200))
		}
	})
})

// hookedDialect calls a spec before a request is sent to the target chosen for it.
type hookedDialect struct {
	platform.Dialect
	beforeSend func(chosen directory.Target)
}

func (d *hookedDialect) WriteSend(ctx context.Context, s *call.Send) (*http.Request, error) {
	if d.beforeSend != nil {
		d.beforeSend(s.Target)
	}
	return d.Dialect.WriteSend(ctx, s)
}

var _ = Describe("answers without a body", func() {
	// A target answers 204. With a length in the header the caller's
	// connection would wait for bytes that never come, or take the next answer
	// for them.
	It("carry no length", func() {
		t := startTarget("i-1", say("HTTP/1.1 204 No Content\n"+requestID+": ID\n"+seal+": s1\n\n"))
		d := startDeck(t.entry("app", "dc-1"))
		got := d.do(d.request("POST", "/book/"))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(204))
		Expect(got.header).NotTo(HaveKey("Content-Length"))
	})
})
