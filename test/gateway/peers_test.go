package gateway_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/platform/standin"
)

// countingTarget is a target of the plain service that counts its requests and
// optionally announces the rate that it accepts.
type countingTarget struct {
	*httptest.Server
	requests atomic.Int64
	// leaving makes it say in its answers that it leaves, resting makes it turn
	// requests away and ask for a rest.
	leaving, resting atomic.Bool
}

func startCountingTarget(rate string) *countingTarget {
	target := &countingTarget{}
	target.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		target.requests.Add(1)
		w.Header().Set(standin.HeaderRequestID, r.Header.Get(standin.HeaderRequestID))
		w.Header().Set(standin.HeaderSeal, "s-1")
		if rate != "" {
			w.Header().Set(standin.HeaderServerLimit, rate)
		}
		if target.leaving.Load() {
			w.Header().Set(standin.HeaderServerLeaving, "1")
		}
		if target.resting.Load() {
			w.Header().Set(standin.HeaderNotExecuted, "1")
			w.Header().Set(standin.HeaderRetryAfter, "600")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "done")
	}))
	DeferCleanup(func() { target.CloseClientConnections(); target.Close() })
	return target
}

// startDisconnectableStore serves a store on its own address for one host.
// disconnect closes the connections and makes it answer 503 from then on.
func startDisconnectableStore(store *standin.Store) (address string, disconnect func()) {
	var disconnected atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if disconnected.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		store.ServeHTTP(w, r)
	}))
	DeferCleanup(func() { server.CloseClientConnections(); server.Close() })
	return server.Listener.Addr().String(), func() { disconnected.Store(true); server.CloseClientConnections() }
}

var _ = Describe("hosts that exchange state", func() {
	// Guards against a host that keeps sending to a target which was removed
	// before the peer that announced the newest revision had started.
	It("send nothing to a target that was removed before one of them started", func() {
		env := newEnvironment()
		removed := startCountingTarget("")
		env.store.PutServer("i-2", "app", hostPort(removed.Server), "ready")
		store, disconnect := startDisconnectableStore(env.store)
		existing := startHost(store)
		Eventually(existing.isReady, stepTimeout).Should(BeTrue())
		Eventually(func() int64 { existing.post("/b/x", "key-1"); return removed.requests.Load() }, stepTimeout).Should(BeNumerically(">", 0))
		disconnect()
		env.store.RemoveServer("i-2")
		env.publishKeys(4, "key-2")
		started := startHost(serveStore(env.store), existing.peerAddress)
		Eventually(started.isReady, stepTimeout).Should(BeTrue())
		Eventually(func() int { return existing.post("/b/x", "key-2") }, stepTimeout).Should(Equal(http.StatusOK))
		requests := removed.requests.Load()
		for range 40 {
			Expect(existing.post("/b/x", "key-2")).To(Equal(http.StatusOK))
		}
		Expect(removed.requests.Load()).To(Equal(requests))
	})

	// Guards against hosts that together exceed the rate that a target announces.
	It("together keep to a target's announced rate, and refuse the excess", func() {
		const rate, calls = 1.0, 60
		env := newEnvironment()
		env.store.RemoveServer("i-1")
		limited := startCountingTarget("1.0")
		env.store.PutServer("i-2", "app", hostPort(limited.Server), "ready")
		store := serveStore(env.store)
		hosts := []*host{startHost(store)}
		for range 2 {
			hosts = append(hosts, startHost(store, hosts[0].peerAddress))
		}
		for _, h := range hosts {
			Eventually(h.isReady, stepTimeout).Should(BeTrue())
		}
		Eventually(func() int { return hosts[0].post("/b/x", "key-1") }, stepTimeout).Should(Equal(http.StatusOK))
		for _, h := range hosts {
			Eventually(h.metricsText, stepTimeout).Should(MatchRegexp(`"gateway.targets_limited":\s*\{\s*"value":\s*1`))
		}
		before, start := limited.requests.Load(), time.Now()
		served := 0
		for i := range calls {
			switch status := hosts[i%len(hosts)].post("/b/x", "key-1"); status {
			case http.StatusOK:
				served++
			default:
				Expect(status).To(Equal(http.StatusServiceUnavailable))
			}
		}
		seconds := max(time.Since(start).Seconds(), 4)
		Expect(limited.requests.Load() - before).To(Equal(int64(served)))
		Expect(served).To(BeNumerically("<=", 1.5*rate*seconds+5))
	})

	// Guards against hosts that forget what a target told them: when the store is
	// silent, when they were told by another host, on SIGHUP, and when the store
	// is back with the target's old entry.
	It("send nothing to a target that said in an answer to one of them that it leaves", func() {
		env := newEnvironment()
		leaving := startCountingTarget("")
		env.store.PutServer("i-2", "app", hostPort(leaving.Server), "ready")
		store := serveStore(env.store)
		first := startHost(store)
		second := startHost(store, first.peerAddress)
		hosts := []*host{first, second}
		for _, h := range hosts {
			Eventually(h.isReady, stepTimeout).Should(BeTrue())
			Eventually(func() int { return h.post("/b/x", "key-1") }, stepTimeout).Should(Equal(http.StatusOK))
		}
		env.store.SetMode(standin.Unresponsive)
		leaving.leaving.Store(true)
		before := leaving.requests.Load()
		Eventually(func() int64 { first.post("/b/x", "key-1"); return leaving.requests.Load() - before }, stepTimeout).Should(Equal(int64(1)))
		sendsNothing := func() {
			for i := range 40 {
				Expect(hosts[i%len(hosts)].post("/b/x", "key-1")).To(Equal(http.StatusOK))
			}
			Expect(leaving.requests.Load() - before).To(Equal(int64(1)))
		}
		for _, h := range hosts {
			Eventually(h.metricsText, stepTimeout).Should(MatchRegexp(`"gateway.targets_departing":\s*\{\s*"value":\s*1`))
		}
		sendsNothing()
		Expect(first.cmd.Process.Signal(syscall.SIGHUP)).To(Succeed())
		Eventually(first.logText, stepTimeout).Should(ContainSubstring("settings reloaded"))
		sendsNothing()
		env.store.RemoveServer("i-2")
		env.store.PutServer("i-2", "app", hostPort(leaving.Server), "ready")
		env.store.SetMode(standin.Serving)
		env.publishKeys(7, "key-1", "key-2")
		for _, h := range hosts {
			Eventually(func() int { return h.post("/b/x", "key-2") }, stepTimeout).Should(Equal(http.StatusOK))
		}
		sendsNothing()
	})

	// Guards against hosts that go back to a target in the rest that it asked
	// them for.
	It("send a target one request each when it asks them for a rest", func() {
		env := newEnvironment()
		resting := startCountingTarget("")
		env.store.PutServer("i-2", "app", hostPort(resting.Server), "ready")
		store := serveStore(env.store)
		first := startHost(store)
		hosts := []*host{first, startHost(store, first.peerAddress)}
		for _, h := range hosts {
			Eventually(h.isReady, stepTimeout).Should(BeTrue())
			Eventually(func() int { return h.post("/b/x", "key-1") }, stepTimeout).Should(Equal(http.StatusOK))
		}
		resting.resting.Store(true)
		before := resting.requests.Load()
		for _, h := range hosts {
			Eventually(func() int { h.post("/b/x", "key-1"); return strings.Count(h.logText(), "target asks for a rest") }, stepTimeout).Should(Equal(1))
		}
		for i := range 60 {
			Expect(hosts[i%len(hosts)].post("/b/x", "key-1")).To(Equal(http.StatusOK))
		}
		Expect(resting.requests.Load() - before).To(Equal(int64(len(hosts))))
	})
})
