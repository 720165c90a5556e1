package gateway_test

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	gometrics "github.com/rcrowley/go-metrics"

	"filbertdeck/internal/call"
	"filbertdeck/internal/decide/contention"
	"filbertdeck/internal/decide/waitlist"
	"filbertdeck/internal/gateway"
	"filbertdeck/platform"
)

// fakeWaitingOrder is a holder whose answers a test sets.
type fakeWaitingOrder struct {
	mu          sync.Mutex
	answer      waitlist.Answer
	silent      bool
	othersWait  bool
	reports     []waitlist.Entry
	ends        []bool
	silentUntil int
}

func (f *fakeWaitingOrder) Report(_ context.Context, e waitlist.Entry) (waitlist.Answer, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports = append(f.reports, e)
	return f.answer, !f.silent && len(f.reports) > f.silentUntil
}

func (f *fakeWaitingOrder) Done(_ waitlist.Entry, placed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ends = append(f.ends, placed)
}

func (f *fakeWaitingOrder) OthersWait(string, int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.othersWait
}

func (f *fakeWaitingOrder) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeWaitingOrder) reportCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.reports)
}

func (f *fakeWaitingOrder) endings() []bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]bool(nil), f.ends...)
}

var _ = Describe("a generation that waits in the order of all hosts", func() {
	var order *fakeWaitingOrder
	var target *fakeTarget
	var hosts int
	var mode contention.Mode
	BeforeEach(func() {
		order, hosts, mode = &fakeWaitingOrder{}, 20, contention.Always
		target = startTarget("i-1", respond(completeStream))
	})
	// start runs a gateway whose only engine is full until the returned reservation is
	// released.
	start := func() (*fixture, *gateway.Reservation) {
		gw := startGatewayConfigured(func(c *gateway.Config) {
			c.Dialect, c.WaitingOrder, c.Scheduling.WaitingOrder = platform.Dialect{}, order, mode
		}, slog.DiscardHandler)
		gw.loads.SetHostCount(func() int { return hosts })
		for i := range gw.cfg.Routes {
			gw.cfg.Routes[i].LatencyObjective = 2 * time.Second
		}
		gw.cfg.Routes[2].Priority = 1
		gw.publish(target.directoryEntry("llm", "dc-1"))
		return gw, gw.loads.Reserve("i-1", call.Prompt{Tokens: 9990, MaxOutputTokens: 1000, LengthHint: 1000})
	}
	send := func(gw *fixture) <-chan result {
		results := make(chan result, 1)
		go func() {
			defer GinkgoRecover()
			results <- gw.do(gw.request("POST", "/report/"))
		}()
		return results
	}
	counter := func(gw *fixture, name string) int64 {
		return gw.metrics.Get("gateway." + name).(gometrics.Counter).Count()
	}

	It("searches at once while nobody waits", func() {
		gw, full := start()
		full.Release()
		Expect((<-send(gw)).status).To(Equal(http.StatusOK))
		Expect(order.reportCount()).To(BeZero())
		Expect(order.endings()).To(BeEmpty())
	})

	// Guards against generations that take room before their turn.
	It("is not placed before its turn", func() {
		gw, full := start()
		results := send(gw)
		Eventually(order.reportCount).Should(BeNumerically(">", 1))
		full.Release()
		Consistently(results, "250ms").ShouldNot(Receive())
		order.set(func() { order.answer.Search = true })
		Expect((<-results).status).To(Equal(http.StatusOK))
		Expect(order.endings()).To(Equal([]bool{true}))
		Expect(order.reports[0].Service).To(Equal("llm"))
		Expect(order.reports[0].Priority).To(Equal(1))
		Expect(order.reports[0].Account).To(Equal("clinic"))
		Expect(counter(gw, "waiting_turns")).To(Equal(int64(1)))
		Expect(counter(gw, "waiting_held")).To(Equal(int64(order.reportCount() - 1)))
	})

	// Guards against a new generation that takes the room of those that wait elsewhere.
	It("reports before its first search while others wait", func() {
		gw, full := start()
		full.Release()
		order.othersWait = true
		results := send(gw)
		Consistently(results, "150ms").ShouldNot(Receive())
		order.set(func() { order.answer.Search = true })
		Expect((<-results).status).To(Equal(http.StatusOK))
	})

	// Guards against generations that wait for a holder that is gone.
	It("searches by itself when the holder does not answer", func() {
		gw, full := start()
		order.silent = true
		results := send(gw)
		Eventually(order.reportCount).Should(BeNumerically(">", 0))
		full.Release()
		Expect((<-results).status).To(Equal(http.StatusOK))
		Expect(counter(gw, "waiting_unanswered")).To(Equal(int64(order.reportCount())))
	})

	// Guards against a lost datagram by which a generation goes before others.
	It("waits an interval when one report is lost", func() {
		gw, full := start()
		full.Release()
		order.othersWait, order.silentUntil = true, 1
		order.answer = waitlist.Answer{Search: true}
		Expect((<-send(gw)).status).To(Equal(http.StatusOK))
		Expect(order.reportCount()).To(Equal(2))
	})

	// Guards against callers that wait until they leave, and against a refusal that says
	// "not run" of a request that an engine has.
	It("is refused at once when its wait would outlast its caller", func() {
		gw, _ := start()
		order.answer = waitlist.Answer{Ahead: 100, ExpectedWait: 900 * time.Millisecond, ExpectedWaitKnown: true}
		results := send(gw)
		Eventually(order.reportCount).Should(BeNumerically(">", 2))
		order.set(func() { order.answer.ExpectedWait = 9 * time.Second })
		got := <-results
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(target.requestsToRun()).To(BeEmpty())
		Expect(order.endings()).To(Equal([]bool{false}))
		Expect(counter(gw, "waiting_hopeless")).To(Equal(int64(1)))
	})

	// Guards against a caller that gives up its stream without an answer before its deadline.
	It("is refused at once when its wait would outlast the gap after which callers leave", func() {
		gw, _ := start()
		gw.cfg.Routes[2].MaxEventGap = time.Second
		gw.publish(target.directoryEntry("llm", "dc-1"))
		order.answer = waitlist.Answer{Ahead: 100, ExpectedWait: 2 * time.Second, ExpectedWaitKnown: true}
		got := <-send(gw)
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(target.requestsToRun()).To(BeEmpty())
		Expect(counter(gw, "waiting_hopeless")).To(Equal(int64(1)))
	})

	// Guards against entries that keep turns after their caller has left.
	It("leaves the list when its caller leaves", func() {
		gw, _ := start()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			gw.do(gw.request("POST", "/report/").WithContext(ctx))
		}()
		Eventually(order.reportCount).Should(BeNumerically(">", 0))
		cancel()
		<-done
		Eventually(order.endings).Should(Equal([]bool{false}))
	})

	// Guards against generations that wait for turns beyond what they may wait.
	It("is sent without a turn when half of its caller's time is over", func() {
		gw, _ := start()
		Expect((<-send(gw)).status).To(Equal(http.StatusOK))
		Expect(order.endings()).To(Equal([]bool{true}))
		Expect(order.reports[len(order.reports)-1].Waited).To(BeNumerically("<", 2500*time.Millisecond))
	})

	// Guards against changes for deployments that don't call for the order.
	DescribeTable("waits by itself",
		func(change func()) {
			change()
			gw, full := start()
			order.othersWait = true
			results := send(gw)
			Consistently(results, "200ms").ShouldNot(Receive())
			full.Release()
			Expect((<-results).status).To(Equal(http.StatusOK))
			Expect(order.reportCount()).To(BeZero())
			Expect(order.endings()).To(BeEmpty())
		},
		Entry("in a small fleet", func() { hosts = 8 }),
		Entry("where the order is off", func() { mode = contention.Never }),
		Entry("where the objectives don't call for it", func() { mode = contention.Auto }),
	)
})
