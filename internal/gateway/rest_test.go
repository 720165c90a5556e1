package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/gateway"
	"filbertdeck/platform/standin"
)

// restSeconds is the rest that the targets of these specs ask for.
const restSeconds = 3

// askingForRest adds to an answer that the target wants a rest.
func askingForRest(answer string) string {
	status, rest, _ := strings.Cut(answer, "\n")
	return status + "\n" + standin.HeaderRetryAfter + ": " + strconv.Itoa(restSeconds) + "\n" + rest
}

// ownUnavailable is a target's own failure with status 503, which does not say
// that the request was not run.
const ownUnavailable = "HTTP/1.1 503 Service Unavailable\n" + requestID + ": ID\n" + seal + ": s1\nContent-Length: 4\n\noops"

var _ = Describe("a target that asks for a rest", func() {
	// Guards against load that goes back to a target at rest because it looks
	// idle.
	DescribeTable("gets no request from that host until the rest is over",
		func(answer string) {
			var resting atomic.Bool
			resting.Store(true)
			target := startTarget("i-1", func(conn net.Conn, r *http.Request) {
				if resting.Load() {
					respond(askingForRest(answer))(conn, r)
					return
				}
				respond(completeAnswer)(conn, r)
			})
			busy := startTarget("i-2", func(conn net.Conn, r *http.Request) {
				time.Sleep(100 * time.Millisecond)
				respond(completeAnswer)(conn, r)
			})
			gw := startGateway(target.directoryEntry("app", "dc-1"))
			gw.do(gw.request("POST", "/book/"))
			resting.Store(false)
			gw.publish(target.directoryEntry("app", "dc-1"), busy.directoryEntry("app", "dc-1"))
			burst := func() {
				var wg sync.WaitGroup
				for range 12 {
					wg.Go(func() { gw.do(gw.request("POST", "/book/")) })
				}
				wg.Wait()
			}
			burst()
			gw.skip(restSeconds * time.Second / 2)
			burst()
			Expect(target.requests()).To(HaveLen(1))
			gw.skip(restSeconds * time.Second)
			burst()
			Expect(len(target.requests())).To(BeNumerically(">", 1))
		},
		Entry("after a request that it did not run", notExecuted),
		Entry("after a failure of its own", ownUnavailable),
	)

	// Guards against requests that are sent, or wait, when all targets of a
	// service rest.
	It("causes immediate refusals with Retry-After when the service has no other", func() {
		target := startTarget("i-1", respond(askingForRest(notExecuted)))
		gw := startGateway(target.directoryEntry("app", "dc-1"))
		for range 10 {
			got := gw.do(gw.request("POST", "/book/"))
			Expect(got.status).To(Equal(http.StatusServiceUnavailable))
			after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			Expect(err).NotTo(HaveOccurred())
			Expect(after).To(BeNumerically("~", restSeconds, 1))
		}
		Expect(target.requests()).To(HaveLen(1))
	})

	// Guards against a request that was given the target before the answer
	// arrived and is sent after it.
	It("gets no request that was placed there before", func() {
		target := startTarget("i-1", respond(askingForRest(notExecuted)))
		Expect(doWhileAnotherIsAnswered(target).status).To(Equal(http.StatusServiceUnavailable))
		Expect(target.requests()).To(HaveLen(1))
		Expect(target.requests()[0].Header.Get(requestID)).To(Equal("r-2"))
	})

	// Guards against health checks, which take a slot at the target.
	It("gets no health check", func() {
		engine := &fakeEngine{events: 1000, eventInterval: 10 * time.Millisecond}
		engine.fakeTarget = startTarget("i-1", func(conn net.Conn, r *http.Request) {
			if r.Header.Get(requestID) == "r-2" {
				respond(askingForRest(notExecuted))(conn, r)
				return
			}
			engine.serve(conn, r)
		})
		gw := startGateway(engine.directoryEntry("llm", "dc-1"))
		go gw.do(gw.requestWithID("r-1", "POST", "/report/"))
		Eventually(engine.eventsSent.Load).Should(BeNumerically(">", 1))
		gw.do(gw.requestWithID("r-2", "POST", "/report/"))
		gw.disconnected.Store(true)
		Consistently(engine.healthChecks.Load, "300ms").Should(BeZero())
		gw.skip(2 * restSeconds * time.Second)
		Eventually(engine.healthChecks.Load, "5s").Should(BeNumerically(">", 0))
	})

	// Guards against losing every generation whose only copy is at a target at
	// rest, and against sending it more requests than it tolerates.
	It("gets one generation back that can continue nowhere else", func() {
		end := make(chan struct{})
		dying := startTarget("i-1", func(conn net.Conn, r *http.Request) {
			if r.Header.Get(requestID) == "r-shed" {
				respond(notExecuted)(conn, r)
				return
			}
			respond("HTTP/1.1 200 OK\n"+requestID+": ID\n"+seal+": s1\nTransfer-Encoding: chunked\n\n")(conn, r)
			_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event(1)), event(1))
			<-end
		})
		resting := startEngine("i-2", 5, time.Millisecond)
		restingTarget := startTarget("i-2", func(conn net.Conn, r *http.Request) {
			if r.Header.Get(standin.HeaderKVFrom) == "" {
				respond(askingForRest(notExecuted))(conn, r)
				return
			}
			resting.generate(conn, r)
		})
		roomy := dying.directoryEntry("llm", "dc-1")
		roomy.Slots = 1000
		gw := startGateway(roomy, restingTarget.directoryEntry("llm", "dc-2"))
		done := make(chan result, 3)
		for n := range cap(done) {
			go func() { done <- gw.do(gw.requestWithID(fmt.Sprint("r-", n), "POST", "/report/")) }()
			Eventually(dying.requests).Should(HaveLen(n + 1))
		}
		gw.do(gw.requestWithID("r-shed", "POST", "/brief/"))
		Expect(restingTarget.requests()).To(HaveLen(1))
		close(end)
		complete := 0
		for range cap(done) {
			var got result
			Eventually(done, "5s").Should(Receive(&got))
			if got.err == nil && got.body == eventStream(5) {
				complete++
			}
		}
		Expect(complete).To(Equal(1))
		Expect(restingTarget.requests()).To(HaveLen(2))
	})

	// Guards against a burst of all hosts at a target whose rest ends for all of
	// them at once.
	DescribeTable("gets no more than it can run when its rest ends",
		func(hosts int) {
			const perSecond, window, work = 300, 50 * time.Millisecond, 30 * time.Millisecond
			var now time.Duration
			view, fleet := appTargets(3), startFleet(hosts, func() time.Duration { return now })
			resting, _ := view.Target("i-1")
			for _, l := range fleet {
				l.RecordRest(resting.Target, restSeconds*time.Second)
			}
			rng := rand.New(rand.NewPCG(1, 2))
			var reservations []*gateway.Reservation
			const running = int(perSecond * work / time.Second)
			during, after := 0, 0
			for now < restSeconds*time.Second+window {
				target, reservation, ok := fleet[rng.IntN(hosts)].Acquire(view, gateway.PlacementRequest{Service: "app", Locality: gateway.PreferLocal})
				Expect(ok).To(BeTrue())
				if reservations = append(reservations, reservation); len(reservations) > running {
					reservations[0].Release()
					reservations = reservations[1:]
				}
				switch {
				case target.ID != "i-1":
				case now < restSeconds*time.Second:
					during++
				default:
					after++
				}
				now += time.Second / perSecond
			}
			Expect(during).To(BeZero())
			Expect(after).To(BeNumerically(">", 0))
			Expect(after).To(BeNumerically("<=", resting.Slots*int(window/work+1)))
		},
		Entry("from 8 hosts", 8), Entry("from 195 hosts", 195),
	)
})
