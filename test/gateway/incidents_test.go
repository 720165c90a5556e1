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

// countedTarget is a target of the plain service that counts its requests and may
// name the rate it takes.
type countedTarget struct {
	*httptest.Server
	got atomic.Int64
}

func startCounted(rate string) *countedTarget {
	t := &countedTarget{}
	t.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t.got.Add(1)
		w.Header().Set(standin.HeaderRequestID, r.Header.Get(standin.HeaderRequestID))
		w.Header().Set(standin.HeaderSeal, "s-1")
		if rate != "" {
			w.Header().Set(standin.HeaderServerLimit, rate)
		}
		_, _ = io.WriteString(w, "done")
	}))
	DeferCleanup(func() { t.CloseClientConnections(); t.Close() })
	return t
}

// cutStore gives the address of a store as one host reaches it, and cuts it off.
func cutStore(store *standin.Store) (address string, cut func()) {
	var off atomic.Bool
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if off.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		store.ServeHTTP(w, r)
	}))
	DeferCleanup(func() { s.CloseClientConnections(); s.Close() })
	return s.Listener.Addr().String(), func() { off.Store(true); s.CloseClientConnections() }
}

var _ = Describe("hosts that tell each other", func() {
	// Guards against a host that goes on sending to a target which was removed
	// before the process that told it of the newest revision had started.
	It("send nothing to a target that left before one of them started", func() {
		w := newWorld()
		left := startCounted("")
		w.store.PutServer("i-2", "app", address(left.Server), "ready")
		store, cut := cutStore(w.store)
		old := startHost(store)
		Eventually(old.isReady, long).Should(BeTrue())
		Eventually(func() int64 { old.call("/b/x", "key-1"); return left.got.Load() }, long).Should(BeNumerically(">", 0))
		cut()
		w.store.RemoveServer("i-2")
		w.configure(4, "key-2")
		fresh := startHost(serve(w.store), old.peers)
		Eventually(fresh.isReady, long).Should(BeTrue())
		Eventually(func() int { return old.call("/b/x", "key-2") }, long).Should(Equal(http.StatusOK))
		got := left.got.Load()
		for range 40 {
			Expect(old.call("/b/x", "key-2")).To(Equal(http.StatusOK))
		}
		Expect(left.got.Load()).To(Equal(got))
	})

	// Guards against hosts that together send more than a target says it takes.
	It("keep to a target's rate together, and refuse the rest", func() {
		const rate, calls = 1.0, 60
		w := newWorld()
		w.store.RemoveServer("i-1")
		limited := startCounted("1.0")
		w.store.PutServer("i-2", "app", address(limited.Server), "ready")
		store := serve(w.store)
		hosts := []*host{startHost(store)}
		for range 2 {
			hosts = append(hosts, startHost(store, hosts[0].peers))
		}
		for _, h := range hosts {
			Eventually(h.isReady, long).Should(BeTrue())
		}
		Eventually(func() int { return hosts[0].call("/b/x", "key-1") }, long).Should(Equal(http.StatusOK))
		for _, h := range hosts {
			Eventually(h.metricsText, long).Should(MatchRegexp(`"gateway.targets_limited":\s*\{\s*"value":\s*1`))
		}
		before, begun := limited.got.Load(), time.Now()
		served := 0
		for i := range calls {
			switch status := hosts[i%len(hosts)].call("/b/x", "key-1"); status {
			case http.StatusOK:
				served++
			default:
				Expect(status).To(Equal(http.StatusServiceUnavailable))
			}
		}
		span := max(time.Since(begun).Seconds(), 4)
		Expect(limited.got.Load() - before).To(Equal(int64(served)))
		Expect(served).To(BeNumerically("<=", 1.5*rate*span+5))
	})
})
