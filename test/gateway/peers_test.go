package gateway_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
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
})
