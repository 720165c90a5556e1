// Package gateway_test runs the gateway as real processes before a stand-in of
// the platform's store and targets, and does to them from outside what the
// platform does: signals, refusals, changes.
package gateway_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/fleet"
	"filbertdeck/platform"
	"filbertdeck/platform/standin"
)

func TestGateway(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "the gateway as real processes")
}

var bin string

var _ = BeforeSuite(func() {
	bin = GinkgoT().TempDir()
	Expect(fleet.BuildPrograms(bin)).To(Succeed())
})

// long is more than any step needs on a busy machine; nothing waits for it.
const long = "20s"

// world is a store with one plain service and one target.
type world struct {
	store  *standin.Store
	target *httptest.Server
	// hold lets held calls end when it is closed.
	hold chan struct{}
	held chan struct{}
}

func newWorld() *world {
	w := &world{store: standin.New(), hold: make(chan struct{}), held: make(chan struct{}, 16)}
	w.target = httptest.NewServer(http.HandlerFunc(w.answer))
	w.configure(1, "key-1")
	w.store.PutServer("i-1", "app", address(w.target), "ready")
	DeferCleanup(func() { w.store.Close(); w.target.CloseClientConnections(); w.target.Close() })
	return w
}

func address(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

func (w *world) answer(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set(standin.HeaderRequestID, r.Header.Get(standin.HeaderRequestID))
	rw.Header().Set(standin.HeaderSeal, "s-1")
	if strings.HasSuffix(r.URL.Path, "/held") {
		w.held <- struct{}{}
		<-w.hold
	}
	_, _ = io.WriteString(rw, "done")
}

// configure publishes a version with the given keys.
func (w *world) configure(version int, keys ...string) { w.store.PutConfig(version, "app", keys...) }

// host is one gateway process.
type host struct {
	callers, ready, peers, metrics string

	cmd    *exec.Cmd
	out    string
	exited chan error
}

// startHost runs a gateway that reads the store at an address and knows some
// peers.
func startHost(store string, seeds ...string) *host {
	h := &host{exited: make(chan error, 1)}
	for _, a := range []*string{&h.callers, &h.ready, &h.peers, &h.metrics} {
		var err error
		*a, err = fleet.FreeAddress()
		Expect(err).NotTo(HaveOccurred())
	}
	dir := GinkgoT().TempDir()
	settings := filepath.Join(dir, "boot.conf")
	text := standin.SettingsFile(standin.ProcessSettings{
		Host: h.callers, IP: "127.0.0.1", ListenCallers: h.callers, ListenReady: h.ready, ListenPeers: h.peers, StoreAddress: store,
		Seeds: append([]string{h.peers}, seeds...),
	})
	Expect(os.WriteFile(settings, []byte(text), 0o600)).To(Succeed())
	h.out = filepath.Join(dir, "log")
	log, err := os.Create(h.out)
	Expect(err).NotTo(HaveOccurred())
	h.cmd = exec.Command(filepath.Join(bin, "filbert-gateway"), "--metrics-listen", h.metrics, "--log-format", "json")
	h.cmd.Env = append(os.Environ(), platform.SettingsPathVariable+"="+settings)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	Expect(h.cmd.Start()).To(Succeed())
	go func() { h.exited <- h.cmd.Wait(); close(h.exited) }()
	DeferCleanup(func() { _ = h.cmd.Process.Kill(); <-h.exited; _ = log.Close() })
	return h
}

// log gives what the process wrote so far.
func (h *host) log() string {
	text, err := os.ReadFile(h.out)
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}

func (h *host) isReady() bool {
	resp, err := http.Get("http://" + h.ready + standin.PathReady)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// metricsText gives what the process serves of its metrics.
func (h *host) metricsText() string {
	resp, err := http.Get("http://" + h.metrics + "/metrics")
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}

// call sends a booking and gives the status, 0 when there was no answer.
func (h *host) call(path, key string) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+h.callers+path, strings.NewReader("x"))
	Expect(err).NotTo(HaveOccurred())
	req.Host, req.Close = "a.example", true
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set(standin.HeaderRequestID, "r-1")
	req.Header.Set(standin.HeaderDeadline, "20000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

var _ = Describe("a gateway process", func() {
	It("serves by what the store holds, and follows its changes", func() {
		w := newWorld()
		h := startHost(serve(w.store))
		Eventually(h.isReady, long).Should(BeTrue())
		Expect(h.call("/b/x", "key-1")).To(Equal(http.StatusOK))
		Expect(h.call("/b/x", "key-2")).To(Equal(http.StatusUnauthorized))
		Expect(h.call("/c/x", "key-1")).To(Equal(http.StatusNotFound))
		w.configure(4, "key-2")
		Eventually(func() int { return h.call("/b/x", "key-2") }, long).Should(Equal(http.StatusOK))
		Expect(h.call("/b/x", "key-1")).To(Equal(http.StatusUnauthorized))
	})

	// The store forgets its history while a process waits for changes. A
	// process that went on waiting would serve an old configuration for good.
	It("reads everything anew when the store has forgotten its history", func() {
		w := newWorld()
		h := startHost(serve(w.store))
		Eventually(h.isReady, long).Should(BeTrue())
		w.store.SetMode(standin.Resetting)
		w.configure(4, "key-2")
		w.store.DiscardHistory()
		w.store.SetMode(standin.Serving)
		Eventually(func() int { return h.call("/b/x", "key-2") }, long).Should(Equal(http.StatusOK))
	})

	// The platform says that the settings may have changed. The signal's usual
	// effect is the process's end, with every call in progress.
	It("reads its settings again on the hang-up signal and goes on", func() {
		w := newWorld()
		h := startHost(serve(w.store))
		Eventually(h.isReady, long).Should(BeTrue())
		status := make(chan int, 1)
		go func() { status <- h.call("/b/held", "key-1") }()
		Eventually(w.held, long).Should(Receive())
		Expect(h.cmd.Process.Signal(syscall.SIGHUP)).To(Succeed())
		Eventually(h.log, long).Should(ContainSubstring("settings reloaded"))
		close(w.hold)
		Eventually(status, long).Should(Receive(Equal(http.StatusOK)))
		Expect(h.isReady()).To(BeTrue())
	})

	// The platform replaces the process by plan. The balancer has to hear of it
	// at once, and a booking that is being made must get its answer.
	It("is not ready at once when told to stop, and finishes what it has", func() {
		w := newWorld()
		h := startHost(serve(w.store))
		Eventually(h.isReady, long).Should(BeTrue())
		status := make(chan int, 1)
		go func() { status <- h.call("/b/held", "key-1") }()
		Eventually(w.held, long).Should(Receive())
		Expect(h.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Eventually(h.isReady, long).Should(BeFalse())
		close(w.hold)
		Eventually(status, long).Should(Receive(Equal(http.StatusOK)))
		Eventually(h.exited, long).Should(Receive(BeNil()))
	})

	// The store turns one host away and serves the others; keys change
	// meanwhile. That host's callers would be refused, or served with a key
	// that was taken back, until the store relents.
	It("learns from its peers what the store doesn't tell it", func() {
		w := newWorld()
		first := startHost(serve(w.store))
		Eventually(first.isReady, long).Should(BeTrue())
		turnedAway := standin.New()
		turnedAway.SetMode(standin.Busy)
		second := startHost(serve(turnedAway), first.peers)
		Eventually(second.isReady, long).Should(BeTrue())
		Expect(second.call("/b/x", "key-1")).To(Equal(http.StatusOK))
		w.configure(5, "key-3")
		Eventually(func() int { return second.call("/b/x", "key-3") }, long).Should(Equal(http.StatusOK))
		Expect(second.call("/b/x", "key-1")).To(Equal(http.StatusUnauthorized))
	})

	// A process is replaced while nobody can tell it anything. It must not
	// guess that there are no routes or keys.
	It("is not ready and denies nothing while it knows no configuration", func() {
		store := standin.New()
		store.SetMode(standin.Unresponsive)
		DeferCleanup(store.Close)
		h := startHost(serve(store))
		Eventually(func() int { return h.call("/b/x", "key-1") }, long).Should(Equal(http.StatusServiceUnavailable))
		Expect(h.isReady()).To(BeFalse())
	})
})

// serve gives the address of a store.
func serve(store *standin.Store) string {
	s := httptest.NewServer(store)
	DeferCleanup(func() { s.CloseClientConnections(); s.Close() })
	return address(s)
}
