package gateway_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/platform/standin"
)

var _ = Describe("a gateway process that stops", func() {
	// Guards against a closed connection without an answer, which does not tell the
	// caller that its booking may have run.
	It("answers a request that outlasts its grace period with an unknown outcome", func() {
		env := newEnvironment()
		DeferCleanup(func() { close(env.release) })
		h := startHostWith(standin.ProcessSettings{StoreAddress: serveStore(env.store), StopGrace: 2 * time.Second})
		Eventually(h.isReady, stepTimeout).Should(BeTrue())
		status := make(chan int, 1)
		go func() { status <- h.post("/b/held", "key-1") }()
		Eventually(env.heldCalls, stepTimeout).Should(Receive())
		Expect(h.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Eventually(status, stepTimeout).Should(Receive(Equal(http.StatusBadGateway)))
		Eventually(h.exited, stepTimeout).Should(BeClosed())
		Expect(h.logText()).To(ContainSubstring("request cut off by the exit of the process"))
	})

	// Guards against requests that a stopping process accepts, passes on and cuts off at its
	// exit: load balancers that lack other hosts go on sending to it.
	It("cuts off nothing that it accepts once it should have been removed, and serves what ends in time", func() {
		store := standin.New()
		DeferCleanup(store.Close)
		target := httptest.NewServer(http.HandlerFunc(serveSlowly))
		DeferCleanup(func() { target.CloseClientConnections(); target.Close() })
		store.PutPlainConfig(1, "app", "key-1")
		store.PutServer("i-1", "app", hostPort(target), "ready")
		h := startHostWith(standin.ProcessSettings{StoreAddress: serveStore(store), StopGrace: 6 * time.Second})
		Eventually(h.isReady, stepTimeout).Should(BeTrue())
		Expect(h.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
		late := h.sendThroughStop()
		Expect(late.cut).To(BeEmpty())
		Expect(late.served["quick"]).To(BeNumerically(">", 0))
		Expect(late.refused["stream"]).To(BeNumerically(">", 0))
		Eventually(h.exited, stepTimeout).Should(BeClosed())
	})
})

// Times that requests to the target of serveSlowly take, and the timeouts of their callers.
const (
	orderTime, orderTimeout = 1600 * time.Millisecond, 2500 * time.Millisecond
	feedTime, feedTimeout   = 2 * time.Second, 30 * time.Second
	quickTimeout            = time.Second
	// feedEvents is the number of events of a stream.
	feedEvents = 10
	// stopRequestInterval is the time between two requests of a kind.
	stopRequestInterval = 150 * time.Millisecond
	// fairAttemptTime is the time after a stop in which requests are a fair attempt: the
	// load balancer still sends them.
	fairAttemptTime = 3 * time.Second
	// secondSignalAfter is the time after which the process is signalled again.
	secondSignalAfter = time.Second
)

// serveSlowly serves bookings, lookups and streams as a plain service.
func serveSlowly(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(standin.HeaderRequestID, r.Header.Get(standin.HeaderRequestID))
	w.Header().Set(standin.HeaderSeal, "s-1")
	switch {
	case strings.HasPrefix(r.URL.Path, "/b/"):
		time.Sleep(orderTime)
	case strings.HasPrefix(r.URL.Path, "/s/"):
		for n := range feedEvents {
			time.Sleep(feedTime / feedEvents)
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", n+1)
			w.(http.Flusher).Flush()
		}
		return
	}
	_, _ = io.WriteString(w, "done")
}

// lateRequests tells what became of the requests that were sent later than
// fairAttemptTime after a stop.
type lateRequests struct {
	mu              sync.Mutex
	served, refused map[string]int
	// cut lists the requests that were passed on and have no answer of the target.
	cut []string
}

// sendThroughStop sends quick requests, bookings and streams until the process accepts no
// connections, and signals it again meanwhile.
func (h *host) sendThroughStop() *lateRequests {
	late := &lateRequests{served: map[string]int{}, refused: map[string]int{}}
	stoppedAt := time.Now()
	var callers sync.WaitGroup
	timer := time.AfterFunc(secondSignalAfter, func() {
		_ = h.cmd.Process.Signal(syscall.SIGTERM)
		_ = h.cmd.Process.Signal(syscall.SIGHUP)
	})
	defer timer.Stop()
	for h.acceptsConnections() {
		isLate := time.Since(stoppedAt) > fairAttemptTime
		for kind, timeout := range map[string]time.Duration{"quick": quickTimeout, "order": orderTimeout, "stream": feedTimeout} {
			callers.Add(1)
			go func() {
				defer callers.Done()
				outcome := h.sendOnce(kind, timeout)
				if isLate {
					late.record(kind, outcome)
				}
			}()
		}
		time.Sleep(stopRequestInterval)
	}
	callers.Wait()
	return late
}

func (h *host) acceptsConnections() bool {
	conn, err := net.Dial("tcp", h.clientAddress)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// outcomes of a request: the status of a complete answer, or one of these.
const (
	notConnected = -1
	brokenOff    = 0
)

func (l *lateRequests) record(kind string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch status {
	case http.StatusOK:
		l.served[kind]++
	case http.StatusServiceUnavailable:
		l.refused[kind]++
	case notConnected, http.StatusGatewayTimeout:
		// Not passed on, or its own timeout passed.
	default:
		l.cut = append(l.cut, fmt.Sprint(kind, " ", status))
	}
}

// sendOnce sends a request on a connection of its own and returns its outcome.
func (h *host) sendOnce(kind string, timeout time.Duration) int {
	path := map[string]string{"quick": "/q/x", "order": "/b/x", "stream": "/s/x"}[kind]
	req, err := http.NewRequest(http.MethodPost, "http://"+h.clientAddress+path, strings.NewReader("x"))
	if err != nil {
		return notConnected
	}
	req.Host, req.Close = "a.example", true
	req.Header.Set("Authorization", "Bearer key-1")
	req.Header.Set(standin.HeaderRequestID, "r-1")
	req.Header.Set(standin.HeaderDeadline, strconv.FormatInt(timeout.Milliseconds(), 10))
	resp, err := http.DefaultClient.Do(req)
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return notConnected
	}
	if err != nil {
		return brokenOff
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return brokenOff
	}
	return resp.StatusCode
}
