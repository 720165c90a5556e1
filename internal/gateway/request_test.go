package gateway_test

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/directory"
	"filbertdeck/platform/standin"
)

// withTimeout sets the caller's timeout in milliseconds.
func withTimeout(req *http.Request, ms int) *http.Request {
	req.Header.Set(standin.HeaderDeadline, strconv.Itoa(ms))
	return req
}

// deadlineMillis returns the time that a target was given for a request, in
// milliseconds.
func deadlineMillis(r *http.Request) int {
	ms, err := strconv.Atoi(r.Header.Get(standin.HeaderDeadline))
	Expect(err).NotTo(HaveOccurred())
	return ms
}

var _ = Describe("a request header", func() {
	// Guards against headers that operators do not allow, which take a small host's memory.
	It("is refused when it is longer than the configured limit", func() {
		target := startTarget("i-1", respond(completeAnswer))
		gw := startGateway()
		gw.cfg.Limits.HeaderBytes = 2000
		gw.add(target.directoryEntry("app", "dc-1"))
		status := func(bytes int) int {
			req := gw.request("GET", "/look/")
			req.Header.Set("X-Long", strings.Repeat("a", bytes))
			return gw.do(req).status
		}
		Expect(status(1000)).To(Equal(http.StatusOK))
		Expect(status(2000)).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		Expect(target.requestsToRun()).To(HaveLen(1))
	})
})

var _ = Describe("a caller that disconnects", func() {
	// A caller disconnects in the middle of a report. An engine that continued
	// for half a minute would keep others waiting for its memory.
	It("stops its generation at the engine", func() {
		first := startEngine("i-1", 400, 10*time.Millisecond)
		gw := startGateway(first.directoryEntry("llm", "dc-1"))
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan result, 1)
		go func() { done <- gw.do(gw.request("POST", "/report/").WithContext(ctx)) }()
		Eventually(first.eventsSent.Load).Should(BeNumerically(">", 3))
		cancel()
		Eventually(first.connClosed.Load, "2s").Should(BeTrue())
		Eventually(func() int { return gw.loads.HostsUsing("i-1") }, "2s").Should(BeZero())
	})

	// The caller disconnects while the generation is moved to another engine:
	// it must not continue there either.
	It("stops a generation that is being moved", func() {
		first := startEngine("i-1", 400, 10*time.Millisecond)
		first.copyDelay = 200 * time.Millisecond
		second := startEngine("i-2", 400, 10*time.Millisecond)
		gw := startGateway(first.directoryEntry("llm", "dc-1"))
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan result, 1)
		go func() { done <- gw.do(gw.request("POST", "/report/").WithContext(ctx)) }()
		Eventually(first.eventsSent.Load).Should(BeNumerically(">", 3))
		gw.publish(asLeaving(first.directoryEntry("llm", "dc-1")), second.directoryEntry("llm", "dc-1"))
		Eventually(first.moveRequests.Load).Should(BeNumerically(">", 0))
		cancel()
		Eventually(first.connClosed.Load, "2s").Should(BeTrue())
		Consistently(func() int { return len(second.requests()) }, "400ms").Should(BeZero())
		for _, id := range []string{"i-1", "i-2"} {
			Eventually(func() int { return gw.loads.HostsUsing(id) }, "2s").Should(BeZero())
		}
	})
})

var _ = Describe("the timeout given to a target", func() {
	// A lookup fails at one target and is sent to another. A target that was
	// given the full time again would work on after the caller is gone.
	It("shrinks with each attempt", func() {
		slow := func(conn net.Conn, r *http.Request) {
			time.Sleep(100 * time.Millisecond)
			respond(serverError)(conn, r)
		}
		one, two := startTarget("i-1", slow), startTarget("i-2", slow)
		gw := startGateway(one.directoryEntry("app", "dc-1"), two.directoryEntry("app", "dc-1"))
		gw.do(withTimeout(gw.request("GET", "/look/"), 2000))
		first, second := deadlineMillis(one.requests()[0]), deadlineMillis(two.requests()[0])
		Expect(max(first, second)).To(BeNumerically("<=", 2000))
		Expect(min(first, second)).To(BeNumerically("<=", max(first, second)-100))
	})

	// A target never answers. The caller must be told when the route's timeout
	// is over, which is shorter than its own.
	It("is limited by the route's timeout", func() {
		silent := startTarget("i-1", func(net.Conn, *http.Request) { time.Sleep(3 * time.Second) })
		gw := startGateway(silent.directoryEntry("app", "dc-1"))
		gw.cfg.Routes[0].Timeout = 200 * time.Millisecond
		got := gw.do(withTimeout(gw.request("POST", "/book/"), 30_000))
		Expect(got.status).To(Equal(http.StatusGatewayTimeout))
		Expect(deadlineMillis(silent.requests()[0])).To(BeNumerically("<=", 200))
	})
})

var _ = Describe("a drained data centre", func() {
	publishDrained := func(gw *fixture, dataCentre string, targets ...*directory.ObservedTarget) {
		byID := map[string]*directory.ObservedTarget{}
		for _, t := range targets {
			byID[t.ID] = t
		}
		gw.views.Publish(directory.NewView(1, gw.cfg, byID, []string{dataCentre}))
	}

	// The data centre's targets may lose power at any moment, and a request
	// sent there would be lost with them.
	It("gets no request, even when it has the only target", func() {
		drainedTarget := startTarget("i-1", respond(completeAnswer))
		gw := startGateway()
		publishDrained(gw, "dc-1", drainedTarget.directoryEntry("app", "dc-1"))
		got := gw.do(gw.request("POST", "/book/"))
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(drainedTarget.requests()).To(BeEmpty())
	})

	// An engine in another data centre leaves, and the engines with the most
	// room are in the drained data centre.
	It("is no destination of a move", func() {
		const events = 40
		first, drainedEngine := startEngine("i-1", events, 10*time.Millisecond), startEngine("i-2", events, time.Millisecond)
		gw := startGateway(first.directoryEntry("llm", "dc-1"))
		done := make(chan result, 1)
		go func() { done <- gw.do(gw.request("POST", "/report/")) }()
		Eventually(first.eventsSent.Load).Should(BeNumerically(">", 3))
		publishDrained(gw, "dc-2", asLeaving(first.directoryEntry("llm", "dc-1")), drainedEngine.directoryEntry("llm", "dc-2"))
		var got result
		Eventually(done, "5s").Should(Receive(&got))
		Expect(got.body).To(Equal(eventStream(events)))
		Expect(drainedEngine.requests()).To(BeEmpty())
		Expect(first.moveRequests.Load()).To(BeZero())
	})
})

var _ = Describe("a host without access to the published state", func() {
	// The configuration store refuses to serve this host while operators add a
	// key or a route. A caller that uses the new one must not get a final answer
	// that it is unknown.
	DescribeTable("answers an unknown key or route with a retryable failure", func(change func(*http.Request)) {
		gw := startGateway(startTarget("i-1", respond(completeAnswer)).directoryEntry("app", "dc-1"))
		gw.disconnected.Store(true)
		req := gw.request("GET", "/look/")
		change(req)
		got := gw.do(req)
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	},
		Entry("unknown key", func(r *http.Request) { r.Header.Set("Authorization", "Bearer new") }),
		Entry("unknown route", func(r *http.Request) { r.URL.Path = "/new/" }),
	)
})

var _ = Describe("the logs", func() {
	// Many people can read the collected logs. A key in a log line would let
	// any of them send requests as its owner.
	It("contain no client's key, whatever the outcome of a request", func() {
		logs := &lockedBuffer{}
		first := startTarget("i-1", respond(completeAnswer))
		gw := startGatewayWithLogs(slog.NewJSONHandler(logs, &slog.HandlerOptions{Level: slog.LevelDebug}),
			first.directoryEntry("app", "dc-1"))
		for _, path := range []string{"/book/", "/look/", "/none/", "/report/"} {
			gw.do(gw.request("POST", path))
			wrong := gw.request("POST", path)
			wrong.Header.Set("Authorization", "Bearer key-of-nobody")
			gw.do(wrong)
		}
		Expect(logs.String()).To(ContainSubstring("request answered"))
		Expect(logs.String()).To(ContainSubstring("request refused"))
		Expect(logs.String()).NotTo(ContainSubstring("key-1"))
		Expect(logs.String()).NotTo(ContainSubstring("key-of-nobody"))
	})
})

// lockedBuffer holds what several goroutines log.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}
