package gateway_test

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/directory"
	"filbertdeck/platform/standin"
)

// patient sets how long the caller waits, in milliseconds.
func patient(req *http.Request, ms int) *http.Request {
	req.Header.Set(standin.HeaderDeadline, strconv.Itoa(ms))
	return req
}

// handedOver is the time that a target was told it may work, in milliseconds.
func handedOver(r *http.Request) int {
	ms, err := strconv.Atoi(r.Header.Get(standin.HeaderDeadline))
	Expect(err).NotTo(HaveOccurred())
	return ms
}

var _ = Describe("a caller that leaves", func() {
	// A technician closes the page in the middle of a report. An engine that
	// goes on for half a minute keeps others waiting for its memory.
	It("frees the engine of its generation", func() {
		first := startEngine("i-1", 400, 10*time.Millisecond)
		d := startDeck(first.entry("llm", "dc-1"))
		ctx, leave := context.WithCancel(context.Background())
		done := make(chan result, 1)
		go func() { done <- d.do(d.request("POST", "/report/").WithContext(ctx)) }()
		Eventually(first.made.Load).Should(BeNumerically(">", 3))
		leave()
		Eventually(first.dropped.Load, "2s").Should(BeTrue())
		Eventually(func() int { return d.loads.Hosts("i-1") }, "2s").Should(BeZero())
	})

	// The same while the report is on its way to another engine: nothing may go
	// on there either.
	It("ends a generation that is being moved", func() {
		first := startEngine("i-1", 400, 10*time.Millisecond)
		first.copying = 200 * time.Millisecond
		second := startEngine("i-2", 400, 10*time.Millisecond)
		d := startDeck(first.entry("llm", "dc-1"))
		ctx, leave := context.WithCancel(context.Background())
		done := make(chan result, 1)
		go func() { done <- d.do(d.request("POST", "/report/").WithContext(ctx)) }()
		Eventually(first.made.Load).Should(BeNumerically(">", 3))
		d.publish(leaving(first.entry("llm", "dc-1")), second.entry("llm", "dc-1"))
		Eventually(first.moves.Load).Should(BeNumerically(">", 0))
		leave()
		Eventually(first.dropped.Load, "2s").Should(BeTrue())
		Consistently(func() int { return len(second.requests()) }, "400ms").Should(BeZero())
		for _, id := range []string{"i-1", "i-2"} {
			Eventually(func() int { return d.loads.Hosts(id) }, "2s").Should(BeZero())
		}
	})
})

var _ = Describe("a request's time", func() {
	// A lookup fails at one target and is asked of another. A target that is
	// handed the whole time again works on for a caller that is long gone.
	It("shrinks with each target", func() {
		slow := func(conn net.Conn, r *http.Request) {
			time.Sleep(100 * time.Millisecond)
			say(ownFailure)(conn, r)
		}
		one, two := startTarget("i-1", slow), startTarget("i-2", slow)
		d := startDeck(one.entry("app", "dc-1"), two.entry("app", "dc-1"))
		d.do(patient(d.request("GET", "/look/"), 2000))
		first, second := handedOver(one.requests()[0]), handedOver(two.requests()[0])
		Expect(max(first, second)).To(BeNumerically("<=", 2000))
		Expect(min(first, second)).To(BeNumerically("<=", max(first, second)-100))
	})

	// A target never answers. The caller must hear so when its route's time is
	// over, not when its own much longer patience is.
	It("ends with the route's timeout", func() {
		silent := startTarget("i-1", func(net.Conn, *http.Request) { time.Sleep(3 * time.Second) })
		d := startDeck(silent.entry("app", "dc-1"))
		d.cfg.Routes[0].Timeout = 200 * time.Millisecond
		got := d.do(patient(d.request("POST", "/book/"), 30_000))
		Expect(got.status).To(Equal(http.StatusGatewayTimeout))
		Expect(handedOver(silent.requests()[0])).To(BeNumerically("<=", 200))
	})
})

var _ = Describe("a data centre that operators have taken out", func() {
	drained := func(d *deck, dataCentre string, targets ...*directory.ObservedTarget) {
		seen := map[string]*directory.ObservedTarget{}
		for _, t := range targets {
			seen[t.ID] = t
		}
		d.out.Publish(directory.NewView(1, d.cfg, seen, []string{dataCentre}))
	}

	// Its targets may lose power any moment. A request that is sent there is
	// lost with them.
	It("gets no request, also when it is all there is", func() {
		there := startTarget("i-1", say(goodPlain))
		d := startDeck()
		drained(d, "dc-1", there.entry("app", "dc-1"))
		got := d.do(d.request("POST", "/book/"))
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(there.requests()).To(BeEmpty())
	})

	// An engine elsewhere leaves, and those of the data centre that is taken
	// out are the emptiest.
	It("gets no generation moved there", func() {
		const events = 40
		first, there := startEngine("i-1", events, 10*time.Millisecond), startEngine("i-2", events, time.Millisecond)
		d := startDeck(first.entry("llm", "dc-1"))
		done := make(chan result, 1)
		go func() { done <- d.do(d.request("POST", "/report/")) }()
		Eventually(first.made.Load).Should(BeNumerically(">", 3))
		drained(d, "dc-2", leaving(first.entry("llm", "dc-1")), there.entry("llm", "dc-2"))
		var got result
		Eventually(done, "5s").Should(Receive(&got))
		Expect(got.body).To(Equal(wanted(events)))
		Expect(there.requests()).To(BeEmpty())
		Expect(first.moves.Load()).To(BeZero())
	})
})

var _ = Describe("a host that can't know what is published", func() {
	// The store turns this host away while operators add a key. A park that
	// uses the new key must not be told for good that it is wrong.
	DescribeTable("denies nothing", func(change func(*http.Request)) {
		d := startDeck(startTarget("i-1", say(goodPlain)).entry("app", "dc-1"))
		d.blind.Store(true)
		req := d.request("GET", "/look/")
		change(req)
		got := d.do(req)
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	},
		Entry("unknown key", func(r *http.Request) { r.Header.Set("Authorization", "Bearer new") }),
		Entry("unknown route", func(r *http.Request) { r.URL.Path = "/new/" }),
	)
})

var _ = Describe("the logs", func() {
	// Logs go to collectors that many can read. A key in one of their lines lets
	// any reader book as its owner.
	It("hold no client's key, whatever becomes of its requests", func() {
		logs := &bytes.Buffer{}
		first := startTarget("i-1", say(goodPlain))
		d := startDeckLogging(slog.NewJSONHandler(&locked{to: logs}, &slog.HandlerOptions{Level: slog.LevelDebug}),
			first.entry("app", "dc-1"))
		for _, path := range []string{"/book/", "/look/", "/none/", "/report/"} {
			d.do(d.request("POST", path))
			wrong := d.request("POST", path)
			wrong.Header.Set("Authorization", "Bearer key-of-nobody")
			d.do(wrong)
		}
		Expect(logs.String()).To(ContainSubstring("request answered"))
		Expect(logs.String()).To(ContainSubstring("request refused"))
		Expect(logs.String()).NotTo(ContainSubstring("key-1"))
		Expect(logs.String()).NotTo(ContainSubstring("key-of-nobody"))
	})
})

// locked lets several requests write to one buffer.
type locked struct {
	mu sync.Mutex
	to io.Writer
}

func (l *locked) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.to.Write(p)
}
