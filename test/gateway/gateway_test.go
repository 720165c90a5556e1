// Package gateway_test runs the gateway as real processes against stand-ins of
// the platform's store and targets, and exercises them from outside as the
// platform does: with signals, refusals and configuration changes.
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
	"time"

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

var binDir string

var _ = BeforeSuite(func() {
	binDir = GinkgoT().TempDir()
	Expect(fleet.BuildPrograms(binDir)).To(Succeed())
})

// stepTimeout is longer than any step takes on a busy machine. A passing test
// never waits for it.
const stepTimeout = "20s"

// environment is a platform store that lists one plain service with one target.
type environment struct {
	store  *standin.Store
	target *httptest.Server
	// release ends the calls to /held when it is closed.
	release   chan struct{}
	heldCalls chan struct{}
}

func newEnvironment() *environment {
	env := &environment{store: standin.New(), release: make(chan struct{}), heldCalls: make(chan struct{}, 16)}
	env.target = httptest.NewServer(http.HandlerFunc(env.serveTarget))
	env.publishKeys(1, "key-1")
	env.store.PutServer("i-1", "app", hostPort(env.target), "ready")
	DeferCleanup(func() { env.store.Close(); env.target.CloseClientConnections(); env.target.Close() })
	return env
}

func hostPort(server *httptest.Server) string { return strings.TrimPrefix(server.URL, "http://") }

func (env *environment) serveTarget(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set(standin.HeaderRequestID, r.Header.Get(standin.HeaderRequestID))
	rw.Header().Set(standin.HeaderSeal, "s-1")
	if strings.HasSuffix(r.URL.Path, "/held") {
		env.heldCalls <- struct{}{}
		<-env.release
	}
	_, _ = io.WriteString(rw, "done")
}

// publishKeys publishes a configuration version with the given API keys.
func (env *environment) publishKeys(version int, keys ...string) {
	env.store.PutConfig(version, "app", keys...)
}

// host is one gateway process with its listen addresses.
type host struct {
	clientAddress, readyAddress, peerAddress, metricsAddress string

	cmd       *exec.Cmd
	startedAt time.Time
	logPath   string
	exited    chan error
}

// startHost runs a gateway process that reads the store at an address and
// starts with the given peers and itself as seeds.
func startHost(store string, peers ...string) *host {
	return startHostWith(standin.ProcessSettings{StoreAddress: store}, peers...)
}

// startReplacement runs a gateway process like startHost, on a host that starts
// after the whole system has.
func startReplacement(store string, peers ...string) *host {
	return startHostWith(standin.ProcessSettings{StoreAddress: store, Replaced: true}, peers...)
}

// startOutput is the standard output of the processes that start; nil for their log file.
var startOutput *os.File

// startHostWith runs a gateway process with settings that lack the addresses of the
// host and the seeds.
func startHostWith(values standin.ProcessSettings, peers ...string) *host {
	h := &host{exited: make(chan error, 1), startedAt: time.Now()}
	for _, listenAddress := range []*string{&h.clientAddress, &h.readyAddress, &h.peerAddress, &h.metricsAddress} {
		var err error
		*listenAddress, err = fleet.FreeLoopbackAddress()
		Expect(err).NotTo(HaveOccurred())
	}
	dir := GinkgoT().TempDir()
	settings := filepath.Join(dir, "boot.conf")
	values.Host, values.IP, values.ListenCallers, values.ListenReady, values.ListenPeers = h.clientAddress, "127.0.0.1", h.clientAddress, h.readyAddress, h.peerAddress
	values.Seeds = append([]string{h.peerAddress}, peers...)
	Expect(os.WriteFile(settings, []byte(standin.SettingsFile(values)), 0o600)).To(Succeed())
	h.logPath = filepath.Join(dir, "log")
	logFile, err := os.Create(h.logPath)
	Expect(err).NotTo(HaveOccurred())
	h.cmd = exec.Command(filepath.Join(binDir, "filbert-gateway"), "--metrics-listen", h.metricsAddress, "--log-format", "json")
	h.cmd.Env = append(os.Environ(), platform.SettingsPathVariable+"="+settings)
	h.cmd.Stdout, h.cmd.Stderr = logFile, logFile
	if startOutput != nil {
		h.cmd.Stdout = startOutput
	}
	Expect(h.cmd.Start()).To(Succeed())
	go func() { h.exited <- h.cmd.Wait(); close(h.exited) }()
	DeferCleanup(func() { _ = h.cmd.Process.Kill(); <-h.exited; _ = logFile.Close() })
	return h
}

// logText returns what the process has logged so far.
func (h *host) logText() string {
	text, err := os.ReadFile(h.logPath)
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}

func (h *host) isReady() bool {
	resp, err := http.Get("http://" + h.readyAddress + standin.PathReady)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// metricsText returns the body of the process's /metrics, or the error text if
// it does not answer.
func (h *host) metricsText() string {
	resp, err := http.Get("http://" + h.metricsAddress + "/metrics")
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}

// post sends a booking and returns the status, or 0 if there was no complete
// response.
func (h *host) post(path, key string) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+h.clientAddress+path, strings.NewReader("x"))
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
	It("serves according to the store's configuration, and applies its changes", func() {
		env := newEnvironment()
		h := startHost(serveStore(env.store))
		Eventually(h.isReady, stepTimeout).Should(BeTrue())
		Expect(h.post("/b/x", "key-1")).To(Equal(http.StatusOK))
		Expect(h.post("/b/x", "key-2")).To(Equal(http.StatusUnauthorized))
		Expect(h.post("/c/x", "key-1")).To(Equal(http.StatusNotFound))
		env.publishKeys(4, "key-2")
		Eventually(func() int { return h.post("/b/x", "key-2") }, stepTimeout).Should(Equal(http.StatusOK))
		Expect(h.post("/b/x", "key-1")).To(Equal(http.StatusUnauthorized))
	})

	// The store discards its change history while a process waits for changes.
	// Guards against a process that keeps waiting and serves the old
	// configuration indefinitely.
	It("reads the whole configuration again when the store has discarded its history", func() {
		env := newEnvironment()
		h := startHost(serveStore(env.store))
		Eventually(h.isReady, stepTimeout).Should(BeTrue())
		env.store.SetMode(standin.Resetting)
		env.publishKeys(4, "key-2")
		env.store.DiscardHistory()
		env.store.SetMode(standin.Serving)
		Eventually(func() int { return h.post("/b/x", "key-2") }, stepTimeout).Should(Equal(http.StatusOK))
	})

	// The platform sends SIGHUP when the settings may have changed. The default
	// action of the signal would end the process and abort every call in
	// progress.
	It("reloads its settings on SIGHUP and keeps serving", func() {
		env := newEnvironment()
		h := startHost(serveStore(env.store))
		Eventually(h.isReady, stepTimeout).Should(BeTrue())
		status := make(chan int, 1)
		go func() { status <- h.post("/b/held", "key-1") }()
		Eventually(env.heldCalls, stepTimeout).Should(Receive())
		Expect(h.cmd.Process.Signal(syscall.SIGHUP)).To(Succeed())
		Eventually(h.logText, stepTimeout).Should(ContainSubstring("settings reloaded"))
		close(env.release)
		Eventually(status, stepTimeout).Should(Receive(Equal(http.StatusOK)))
		Expect(h.isReady()).To(BeTrue())
	})

	// The platform stops the process for a planned replacement. The load balancer
	// must see it as not ready at once, and a booking in progress must get its
	// response.
	It("reports not ready at once on SIGTERM, and finishes the calls in progress", func() {
		env := newEnvironment()
		h := startHost(serveStore(env.store))
		Eventually(h.isReady, stepTimeout).Should(BeTrue())
		status := make(chan int, 1)
		go func() { status <- h.post("/b/held", "key-1") }()
		Eventually(env.heldCalls, stepTimeout).Should(Receive())
		Expect(h.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Eventually(h.isReady, stepTimeout).Should(BeFalse())
		close(env.release)
		Eventually(status, stepTimeout).Should(Receive(Equal(http.StatusOK)))
		Eventually(h.exited, stepTimeout).Should(Receive(BeNil()))
	})

	// The store refuses one host and serves the others while API keys change.
	// Without its peers, that host would refuse valid keys and accept revoked
	// ones until the store serves it again.
	It("gets from its peers the configuration that the store refuses to serve", func() {
		env := newEnvironment()
		first := startHost(serveStore(env.store))
		Eventually(first.isReady, stepTimeout).Should(BeTrue())
		busyStore := standin.New()
		busyStore.SetMode(standin.Busy)
		second := startHost(serveStore(busyStore), first.peerAddress)
		Eventually(second.isReady, stepTimeout).Should(BeTrue())
		Expect(second.post("/b/x", "key-1")).To(Equal(http.StatusOK))
		env.publishKeys(5, "key-3")
		Eventually(func() int { return second.post("/b/x", "key-3") }, stepTimeout).Should(Equal(http.StatusOK))
		Expect(second.post("/b/x", "key-1")).To(Equal(http.StatusUnauthorized))
	})

	// A process starts while the store is silent and it has no other peers. It
	// must answer 503 and not treat all routes and keys as unknown.
	It("is not ready and rejects no route or key while it has no configuration", func() {
		store := standin.New()
		store.SetMode(standin.Unresponsive)
		DeferCleanup(store.Close)
		h := startHost(serveStore(store))
		Eventually(func() int { return h.post("/b/x", "key-1") }, stepTimeout).Should(Equal(http.StatusServiceUnavailable))
		Expect(h.isReady()).To(BeFalse())
	})
})

// serveStore serves the store over HTTP and returns its address.
func serveStore(store *standin.Store) string {
	server := httptest.NewServer(store)
	DeferCleanup(func() { server.CloseClientConnections(); server.Close() })
	return hostPort(server)
}
