package gateway_test

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	gometrics "github.com/rcrowley/go-metrics"

	"filbertdeck/internal/call"
	"filbertdeck/internal/decide/contention"
	"filbertdeck/internal/decide/retrybudget"
	"filbertdeck/internal/decide/roomgrant"
	"filbertdeck/internal/decide/targetload"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/gateway"
	"filbertdeck/platform/standin"
)

// startContendedGateway runs a gateway whose reports yield to its summaries, so that moves
// reserve room.
func startContendedGateway(change func(*gateway.Config), targets ...*directory.ObservedTarget) *fixture {
	gw := startGatewayConfigured(func(cfg *gateway.Config) {
		cfg.Scheduling.RoomGrants = contention.Auto
		change(cfg)
	}, slog.DiscardHandler)
	gw.cfg.Routes = slices.Clone(gw.cfg.Routes)
	for i := range gw.cfg.Routes {
		switch r := &gw.cfg.Routes[i]; r.Prefix {
		case "/report/":
			r.Priority, r.LatencyObjective, r.Timeout = 2, 4*time.Second, 30*time.Second
		case "/brief/":
			r.LatencyObjective, r.Timeout = 1500*time.Millisecond, 30*time.Second
		}
	}
	gw.publish(targets...)
	return gw
}

func unchanged(*gateway.Config) {}

// denyingOwners are the owners of engines' counts, which deny room until grants is set.
type denyingOwners struct {
	grants atomic.Bool
	// moves counts the requests for room for moves.
	moves atomic.Int64
}

func (o *denyingOwners) RequestRoom(_ gateway.TargetRef, _ targetload.HostLoad, r roomgrant.Request) (gateway.RoomReply, bool) {
	if r.Move {
		o.moves.Add(1)
	}
	return gateway.RoomReply{Decided: true, Granted: o.grants.Load()}, true
}

func (o *denyingOwners) SendCount(gateway.TargetRef, targetload.HostLoad) {}

// sized returns a request for a generation of 2,600 expected tokens.
func (gw *fixture) sized(id, path string) *http.Request {
	req := gw.requestWithID(id, "POST", path)
	req.Header.Set(standin.HeaderTokenUsage, "1000,4000")
	return req
}

// start sends a request and returns where its answer arrives.
func (gw *fixture) start(req *http.Request) chan result {
	done := make(chan result, 1)
	go func() { done <- gw.do(req) }()
	return done
}

// fill reserves the memory of engines until the reservations are released.
func (gw *fixture) fill(engines ...*fakeEngine) (full []*gateway.Reservation) {
	for _, e := range engines {
		full = append(full, gw.loads.Reserve(e.id, call.Prompt{Tokens: 9500}))
	}
	return full
}

func (gw *fixture) counter(name string) int64 {
	return gw.metrics.Get(name).(gometrics.Counter).Count()
}

// entryOf returns an engine's directory entry.
func entryOf(e *fakeEngine) *directory.ObservedTarget { return e.directoryEntry("llm", "dc-1") }

// newRuns returns the number of requests for runs that are no continuation of another one.
func newRuns(engines ...*fakeEngine) (count int) {
	for _, e := range engines {
		for _, r := range e.requests() {
			runs := strings.HasPrefix(r.URL.Path, "/report/") || strings.HasPrefix(r.URL.Path, "/brief/")
			if runs && r.Header.Get(standin.HeaderKVFrom) == "" {
				count++
			}
		}
	}
	return count
}

// expectWhole expects the whole stream of a generation within a time.
func expectWhole(events int, done chan result, within time.Duration) {
	GinkgoHelper()
	var got result
	Eventually(done, within).Should(Receive(&got))
	Expect(got.err).NotTo(HaveOccurred())
	Expect(got.body).To(Equal(eventStream(events)))
}

var _ = Describe("moves that reserve room", func() {
	const events = 120
	var first, second, third *fakeEngine
	BeforeEach(func() {
		first = startEngine("i-1", events, 20*time.Millisecond)
		second, third = startEngine("i-2", events, time.Millisecond), startEngine("i-3", events, time.Millisecond)
		first.leavesIn.Store(60_000)
	})
	// begin starts a generation at the first engine, which has sent some events.
	begin := func(gw *fixture) chan result {
		done := gw.start(gw.sized("r-1", "/report/"))
		Eventually(first.eventsSent.Load).Should(BeNumerically(">", 2))
		return done
	}

	// Guards against copies that are asked for by trial and refused by full engines.
	It("ask for no copy while the other engines are full", func() {
		gw := startContendedGateway(unchanged, entryOf(first))
		done := begin(gw)
		full := gw.fill(second, third)
		gw.publish(asLeaving(entryOf(first)), entryOf(second), entryOf(third))
		Eventually(func() int64 { return gw.counter("gateway.moves_waiting") }).Should(Equal(int64(1)))
		Consistently(first.moveRequests.Load, "300ms").Should(BeZero())
		full[1].Release()
		expectWhole(events, done, 10*time.Second)
		Expect(first.moveRequests.Load()).To(Equal(int64(1)))
		Expect(second.requests()).To(BeEmpty())
	})

	// Guards against copies to engines whose room other hosts have taken, which this host
	// does not know of.
	It("ask for no copy while the owners of the engines' counts deny the room", func() {
		gw := startContendedGateway(unchanged, entryOf(first))
		done := begin(gw)
		owners := &denyingOwners{}
		gw.loads.SetHostCount(func() int { return 100 })
		gw.loads.SetOwnerQuery(func(gateway.TargetRef, []targetload.HostLoad) ([]targetload.HostLoad, bool) { return nil, true })
		gw.loads.SetRoomOwners(owners)
		gw.publish(asLeaving(entryOf(first)), entryOf(second))
		Eventually(owners.moves.Load).Should(BeNumerically(">", 2))
		Expect(first.moveRequests.Load()).To(BeZero())
		owners.grants.Store(true)
		expectWhole(events, done, 10*time.Second)
		Expect(first.moveRequests.Load()).To(Equal(int64(1)))
	})

	// Guards against a generation that waits for room until its engine has stopped.
	It("take a full engine shortly before theirs stops", func() {
		gw := startContendedGateway(unchanged, entryOf(first))
		done := begin(gw)
		gw.fill(second)
		first.leavesIn.Store(800)
		begun := time.Now()
		var asked atomic.Int64
		first.onMove = func(int64) { asked.Store(int64(time.Since(begun))) }
		gw.publish(asLeaving(entryOf(first)), entryOf(second))
		expectWhole(events, done, 10*time.Second)
		Expect(first.moveRequests.Load()).To(Equal(int64(1)))
		Expect(time.Duration(asked.Load())).To(And(BeNumerically(">", 300*time.Millisecond), BeNumerically("<", 800*time.Millisecond)))
	})

	// Guards against a process that was held up for a moment and assumes a time until its
	// engine stops from then on.
	It("stay at an engine that says too late for once that it outlives them", func() {
		first.leavesIn.Store(600_000)
		first.lateReports.Store(1)
		first.reportDelay = 200 * time.Millisecond
		gw := startContendedGateway(unchanged, entryOf(first))
		done := begin(gw)
		gw.publish(asLeaving(entryOf(first)), entryOf(second))
		expectWhole(events, done, 10*time.Second)
		Expect(first.moveRequests.Load()).To(BeZero())
		Expect(second.requests()).To(BeEmpty())
	})

	// Guards against a generation that is lost because the counts of one engine were out of
	// date, and against a reservation that stays there.
	It("go to the next engine if one refuses although it has room by its counts", func() {
		first.refusedAddresses = []string{second.address}
		gw := startContendedGateway(unchanged, entryOf(first))
		done := begin(gw)
		full := gw.fill(third)
		first.onMove = func(int64) { full[0].Release() }
		gw.publish(asLeaving(entryOf(first)), entryOf(second), entryOf(third))
		expectWhole(events, done, 10*time.Second)
		Expect(first.moveRequests.Load()).To(Equal(int64(2)))
		Eventually(func() int { return gw.loads.HostsUsing("i-2") }).Should(BeZero())
	})

	// Guards against engines that are offered a generation again and again.
	It("ask for two copies at most", func() {
		first.refuseMoves.Store(true)
		gw := startContendedGateway(unchanged, entryOf(first))
		done := begin(gw)
		gw.publish(asLeaving(entryOf(first)), entryOf(second), entryOf(third))
		expectWhole(events, done, 10*time.Second)
		Expect(first.moveRequests.Load()).To(Equal(int64(2)))
		Expect(newRuns(first, second, third)).To(Equal(1))
	})

	// Guards against a generation that is lost because the engines it was to go to left as
	// well.
	It("ask for another copy if a destination disappears", func() {
		fourth := startEngine("i-4", events, time.Millisecond)
		first.refusedAddresses = []string{second.address, third.address}
		gw := startContendedGateway(unchanged, entryOf(first))
		done := begin(gw)
		full := gw.fill(third, fourth)
		first.onMove = func(n int64) {
			switch n {
			case 1:
				gw.publish(asLeaving(entryOf(first)), asLeaving(entryOf(second)), entryOf(third), entryOf(fourth))
				full[0].Release()
			case 2:
				full[1].Release()
			}
		}
		gw.publish(asLeaving(entryOf(first)), entryOf(second), entryOf(third), entryOf(fourth))
		expectWhole(events, done, 10*time.Second)
		Expect(first.moveRequests.Load()).To(Equal(int64(3)))
	})

	// Guards against a caller that waits for a move which waits for room, after the stream
	// that was to be moved has broken off.
	It("end when their engine dies while they wait", func() {
		first.breakAfter = 40
		gw := startContendedGateway(unchanged, entryOf(first))
		done := begin(gw)
		gw.fill(second)
		gw.publish(asLeaving(entryOf(first)), entryOf(second))
		var got result
		Eventually(done, "2s").Should(Receive(&got))
		Expect(got.err).To(HaveOccurred())
		Expect(first.moveRequests.Load()).To(BeZero())
		Eventually(gw.gateway.MovesInProgress).Should(BeZero())
	})

	// Guards against a caller that waits for the end of a copy whose source is gone, and
	// against a second run.
	It("end when their engine dies while it copies", func() {
		first.breakAfter, first.copyDelay = 10, 300*time.Millisecond
		gw := startContendedGateway(unchanged, entryOf(first))
		done := begin(gw)
		first.onMove = func(int64) { first.refuseMoves.Store(true); first.refusalDelay = 300 * time.Millisecond }
		gw.publish(asLeaving(entryOf(first)), entryOf(second))
		var got result
		Eventually(done, "2s").Should(Receive(&got))
		Expect(got.err).To(HaveOccurred())
		Expect(newRuns(first, second)).To(Equal(1))
		Eventually(func() int { return gw.loads.HostsUsing("i-2") }).Should(BeZero())
	})

	// Guards against moves of callers who left, which keep others waiting for their turn.
	It("end when their caller leaves", func() {
		gw := startContendedGateway(unchanged, entryOf(first))
		ctx, leave := context.WithCancel(context.Background())
		defer leave()
		gw.start(gw.sized("r-1", "/report/").WithContext(ctx))
		Eventually(first.eventsSent.Load).Should(BeNumerically(">", 2))
		gw.fill(second)
		gw.publish(asLeaving(entryOf(first)), entryOf(second))
		Eventually(gw.gateway.MovesInProgress).Should(Equal(1))
		leave()
		Eventually(gw.gateway.MovesInProgress).Should(BeZero())
		Expect(first.moveRequests.Load()).To(BeZero())
	})

	// Guards against a generation that is lost because one with more time took the room.
	It("let the generation go first whose engine stops first", func() {
		last := startEngine("i-0", events, 20*time.Millisecond)
		last.leavesIn.Store(30_000)
		gw := startContendedGateway(unchanged, entryOf(first))
		done := begin(gw)
		gw.publish(entryOf(first), entryOf(last))
		elsewhere := gw.fill(first)
		other := gw.start(gw.sized("r-2", "/report/"))
		Eventually(last.eventsSent.Load).Should(BeNumerically(">", 2))
		elsewhere[0].Release()
		full := gw.fill(second)
		gw.publish(asLeaving(entryOf(first)), asLeaving(entryOf(last)), entryOf(second))
		Eventually(func() int64 { return gw.counter("gateway.moves_waiting") }).Should(Equal(int64(2)))
		// Room for one of them.
		full = append(full, gw.loads.Reserve(second.id, call.Prompt{Tokens: 5000}))
		full[0].Release()
		Eventually(last.moveRequests.Load).Should(Equal(int64(1)))
		Expect(first.moveRequests.Load()).To(BeZero())
		full[1].Release()
		expectWhole(events, done, 10*time.Second)
		expectWhole(events, other, 10*time.Second)
	})
})

var _ = Describe("generations without an event whose engine leaves", func() {
	const events = 10
	var first, second *fakeEngine
	BeforeEach(func() {
		first, second = startEngine("i-1", events, time.Millisecond), startEngine("i-2", events, time.Millisecond)
		first.firstEventDelay = 1500 * time.Millisecond
		first.leavesIn.Store(700)
	})
	// leave starts a generation at the first engine, which then leaves.
	leave := func(gw *fixture, path string) chan result {
		done := gw.start(gw.sized("r-1", path))
		Eventually(func() int { return newRuns(first) }).Should(Equal(1))
		gw.publish(asLeaving(entryOf(first)), entryOf(second))
		return done
	}

	// Guards against a generation that waits at a leaving engine until it is gone.
	DescribeTable("start at another one if they may run again", func(header, event time.Duration) {
		first.firstEventDelay, first.eventInterval = header, event
		gw := startContendedGateway(unchanged, entryOf(first))
		expectWhole(events, leave(gw, "/brief/"), 5*time.Second)
		Expect(newRuns(second)).To(Equal(1))
		Expect(gw.counter("gateway.withdrawn")).To(Equal(int64(1)))
		Expect(gw.counter("gateway.sent_again")).To(Equal(int64(1)))
		Expect(first.eventsSent.Load()).To(BeZero())
		Eventually(func() int { return gw.loads.HostsUsing("i-1") + gw.loads.HostsUsing("i-2") }).Should(BeZero())
		Expect(gw.crashCount()).To(BeZero())
	},
		Entry("before the header of the answer", 1500*time.Millisecond, time.Millisecond),
		Entry("after it", time.Duration(0), 1500*time.Millisecond),
	)

	DescribeTable("stay",
		func(attempts int, path string) {
			gw := startContendedGateway(unchanged)
			for i := range gw.cfg.Routes {
				gw.cfg.Routes[i].MaxAttempts = attempts
			}
			gw.publish(entryOf(first))
			expectWhole(events, leave(gw, path), 5*time.Second)
			Expect(newRuns(first, second)).To(Equal(1))
			Expect(gw.counter("gateway.withdrawn")).To(BeZero())
		},
		// Guards against a second run of a generation that may run once: a closed stream does
		// not prove that the engine has not run it.
		Entry("if they may run only once", 2, "/report/"),
		// Guards against more runs than the route allows.
		Entry("if their attempts are used up", 1, "/brief/"),
	)

	// Guards against withdrawals that add load beyond the retries that a service may cause.
	It("stay if the retry budget is used up", func() {
		gw := startContendedGateway(func(cfg *gateway.Config) {
			cfg.RetryBudget = retrybudget.New(retrybudget.Config{RetryRatio: 1e-9, Burst: 1e-9, ServiceBurst: 1e-9, RefillPerSecond: 1e-9, Draw: func() float64 { return 0.5 }})
		}, entryOf(first))
		expectWhole(events, leave(gw, "/brief/"), 5*time.Second)
		Expect(newRuns(first, second)).To(Equal(1))
		Expect(gw.counter("gateway.withdrawn")).To(BeZero())
	})

	// Guards against a prompt that is read again elsewhere although its engine would have
	// run it in time.
	It("stay if their engine is expected to run them in time", func() {
		first.firstEventDelay = 200 * time.Millisecond
		first.leavesIn.Store(10_000)
		gw := startContendedGateway(unchanged, entryOf(first))
		expectWhole(events, leave(gw, "/brief/"), 5*time.Second)
		Expect(newRuns(second)).To(BeZero())
	})

	// Guards against prompts that are moved to engines whose memory is full, and against a
	// wait that lasts until their engine stops.
	It("wait for room, and take a full engine shortly before theirs stops", func() {
		gw := startContendedGateway(unchanged, entryOf(first))
		gw.fill(second)
		first.leavesIn.Store(900)
		first.firstEventDelay = 2 * time.Second
		done := leave(gw, "/brief/")
		left := time.Now()
		Eventually(func() int { return newRuns(second) }, "3s").Should(Equal(1))
		Expect(time.Since(left)).To(BeNumerically(">", 300*time.Millisecond))
		expectWhole(events, done, 5*time.Second)
	})

	// The new engine turns the generation away, and another one cannot be tried. Guards
	// against an answer that says that the request has not run, although the first engine
	// may have run it.
	It("are not refused as not run after they were withdrawn", func() {
		refusing := startTarget("i-2", respondNotExecuted)
		gw := startContendedGateway(unchanged, entryOf(first))
		done := gw.start(gw.sized("r-1", "/brief/"))
		Eventually(func() int { return newRuns(first) }).Should(Equal(1))
		gw.publish(asLeaving(entryOf(first)), refusing.directoryEntry("llm", "dc-1"))
		var got result
		Eventually(done, "5s").Should(Receive(&got))
		Expect(len(refusing.requestsToRun())).To(Equal(1))
		Expect(got.status).To(Equal(http.StatusBadGateway))
	})

	// The first event arrives while the generation is withdrawn, many times in a row.
	// Guards against an event that is lost, delivered twice or out of order, and against
	// reservations that stay counted.
	It("get each event once if the first one arrives as they are withdrawn", func() {
		gw := startContendedGateway(func(cfg *gateway.Config) {
			cfg.RetryBudget = retrybudget.New(retrybudget.Config{Burst: 1000})
		})
		var delay atomic.Int64
		first = &fakeEngine{events: events, eventInterval: time.Millisecond}
		first.fakeTarget = startTarget("i-1", func(conn net.Conn, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, "/brief/") {
				time.Sleep(time.Duration(delay.Load()))
			}
			first.serve(conn, r)
		})
		first.leavesIn.Store(1)
		for i := range 60 {
			delay.Store(int64(i%12) * int64(500*time.Microsecond))
			gw.publish(entryOf(first))
			done := gw.start(gw.sized("r-1", "/brief/"))
			Eventually(func() int { return newRuns(first) }, "1s", "1ms").Should(Equal(i + 1))
			gw.publish(asLeaving(entryOf(first)), entryOf(second))
			expectWhole(events, done, 5*time.Second)
		}
		withdrawn := int(gw.counter("gateway.withdrawn"))
		AddReportEntry("withdrawn of 60", withdrawn)
		Expect(withdrawn).To(BeNumerically(">", 0))
		Expect(newRuns(second)).To(Equal(withdrawn))
		for _, id := range []string{"i-1", "i-2"} {
			Eventually(func() int { return gw.loads.HostsUsing(id) }, "5s").Should(BeZero())
		}
	})
})
