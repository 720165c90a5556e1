package gateway_test

import (
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	gometrics "github.com/rcrowley/go-metrics"

	"filbertdeck/internal/directory"
)

var _ = Describe("a process that shuts down", func() {
	// Guards against starting a generation during shutdown because its length
	// was underestimated: the process exits first, and the caller is left with
	// part of a generation that may not run again.
	It("starts no generation after the last start time, and none that would outlast it", func() {
		e := startEngine("i-1", 3, time.Millisecond)
		gw := startGateway(e.directoryEntry("llm", "dc-1"))
		gw.gateway.AnnounceShutdown(time.Now().Add(time.Hour), time.Now().Add(time.Hour))
		Expect(gw.do(gw.request("POST", "/report/")).status).To(Equal(http.StatusOK))

		gw.gateway.AnnounceShutdown(time.Now().Add(-time.Second), time.Now().Add(time.Hour))
		late := gw.do(gw.request("POST", "/report/"))
		Expect(late.status).To(Equal(http.StatusServiceUnavailable))
		Expect(late.header.Get("Retry-After")).NotTo(BeEmpty())

		gw.gateway.AnnounceShutdown(time.Now().Add(time.Hour), time.Now().Add(100*time.Millisecond))
		Expect(gw.do(gw.request("POST", "/report/")).status).To(Equal(http.StatusServiceUnavailable))
		Expect(e.requests()).To(HaveLen(1))
	})

	It("still serves plain requests that end before it exits", func() {
		t := startTarget("i-1", respond(completeAnswer))
		gw := startGateway(t.directoryEntry("app", "dc-1"))
		gw.gateway.AnnounceShutdown(time.Now().Add(-time.Second), time.Now().Add(time.Hour))
		Expect(gw.do(gw.request("POST", "/book/")).status).To(Equal(http.StatusOK))
	})

	// Guards against a booking, or a stream of a service without engines, that is accepted
	// although it may last longer than the process, which then cuts it off.
	It("refuses what may outlast it, once load balancers have removed it", func() {
		t := startTarget("i-1", respond(completeAnswer))
		gw := startGateway(t.directoryEntry("app", "dc-1"))
		gw.cfg.Routes = append(gw.cfg.Routes, directory.Route{
			Name: "/feed/", Host: "a.example", Prefix: "/feed/", Kind: directory.Generation, Timeout: 5 * time.Second, MaxAttempts: 1,
			Backends: []directory.Backend{{Service: "app", Weight: 1}},
		})
		gw.publish(t.directoryEntry("app", "dc-1"))
		gw.gateway.AnnounceShutdown(time.Now().Add(-time.Second), time.Now().Add(4*time.Second))
		for _, path := range []string{"/book/", "/look/", "/feed/"} {
			got := gw.do(gw.request("POST", path))
			Expect(got.status).To(Equal(http.StatusServiceUnavailable), path)
			Expect(got.body).To(ContainSubstring("stopping"))
			Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		}
		Expect(t.requests()).To(BeEmpty())
	})

	// Guards against refusals in vain while load balancers still send most callers here.
	It("starts what its route's requests are known to take, until load balancers have removed it", func() {
		t := startTarget("i-1", respond(completeAnswer))
		gw := startGateway(t.directoryEntry("app", "dc-1"))
		announce := func() { gw.gateway.AnnounceShutdown(time.Now().Add(time.Hour), time.Now().Add(4*time.Second)) }
		announce()
		Expect(gw.do(gw.request("POST", "/book/")).status).To(Equal(http.StatusServiceUnavailable), "nothing is known of the route")
		gw.gateway.AnnounceShutdown(time.Now().Add(time.Hour), time.Now().Add(time.Hour))
		Expect(gw.do(gw.request("POST", "/book/")).status).To(Equal(http.StatusOK))
		announce()
		Expect(gw.do(gw.request("POST", "/book/")).status).To(Equal(http.StatusOK))
	})

	// Guards against a request that is accepted in time and sent too late: it waited for a
	// connection or was sent before, and the exit cuts it off.
	It("does not send what may outlast it by now, and says whether it may have run", func() {
		for path, want := range map[string]struct {
			answer connHandler
			status int
		}{
			"/book/": {respond(notExecuted), http.StatusServiceUnavailable},
			"/look/": {func(net.Conn, *http.Request) {}, http.StatusBadGateway},
		} {
			var gw *fixture
			received := make(chan string, 2)
			answer := func(conn net.Conn, r *http.Request) {
				received <- r.URL.Path
				gw.gateway.AnnounceShutdown(time.Now().Add(-time.Second), time.Now().Add(time.Second))
				want.answer(conn, r)
			}
			first, second := startTarget("i-1", answer), startTarget("i-2", answer)
			gw = startGateway(first.directoryEntry("app", "dc-1"), second.directoryEntry("app", "dc-1"))
			Expect(gw.do(gw.request("POST", path)).status).To(Equal(want.status), path)
			Expect(received).To(HaveLen(1), path)
		}
	})

	// Guards against an exit that closes the connections of requests that may run: their
	// callers would not learn that the outcome is unknown.
	It("tells the callers of requests in progress at its exit that they may have run", func() {
		sent := make(chan struct{}, 4)
		hold := make(chan struct{})
		DeferCleanup(func() { close(hold) })
		held := func(text string) connHandler {
			return func(conn net.Conn, r *http.Request) {
				respond(text)(conn, r)
				sent <- struct{}{}
				<-hold
			}
		}
		plain, engine := startTarget("i-1", held("")), startTarget("i-2", held(""))
		gw := startGateway(plain.directoryEntry("app", "dc-1"), engine.directoryEntry("llm", "dc-1"))
		gw.gateway.AnnounceShutdown(time.Now().Add(time.Hour), time.Now().Add(time.Hour))
		paths := []string{"/book/", "/look/", "/report/"}
		results := make(chan result, len(paths))
		for _, path := range paths {
			req := gw.request("POST", path)
			go func() { results <- gw.do(req) }()
		}
		for range paths {
			Eventually(sent, "10s").Should(Receive())
		}
		gw.gateway.EndRequests()
		for range paths {
			var got result
			Eventually(results, "10s").Should(Receive(&got))
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.status).To(Equal(http.StatusBadGateway))
			Expect(got.body).To(ContainSubstring("unknown"))
		}
		Expect(gw.metrics.Get("gateway.requests_cut_off").(gometrics.Counter).Count()).To(BeEquivalentTo(len(paths)))
	})

	// Guards against an answer that looks complete although the exit cut it off.
	It("breaks off a stream that has begun", func() {
		hold := make(chan struct{})
		DeferCleanup(func() { close(hold) })
		engine := startTarget("i-1", func(conn net.Conn, r *http.Request) {
			respond("HTTP/1.1 200 OK\n"+requestID+": ID\n"+seal+": s1\nContent-Type: text/event-stream\n\nid: 1\ndata: a\n\n")(conn, r)
			<-hold
		})
		gw := startGateway(engine.directoryEntry("llm", "dc-1"))
		gw.gateway.AnnounceShutdown(time.Now().Add(time.Hour), time.Now().Add(time.Hour))
		resp, err := gw.client.Do(gw.request("POST", "/report/"))
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = resp.Body.Close() }()
		Expect(io.ReadAtLeast(resp.Body, make([]byte, 64), len("id: 1"))).To(BeNumerically(">", 0))
		gw.gateway.EndRequests()
		_, err = io.ReadAll(resp.Body)
		Expect(err).To(HaveOccurred())
	})
})
