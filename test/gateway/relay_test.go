package gateway_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	gometrics "github.com/rcrowley/go-metrics"

	"filbertdeck/internal/call"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/relay"
	"filbertdeck/platform"
)

// startedTarget is the start of the stand-in's targets, in Unix milliseconds.
const startedTarget = 1779813826589

var _ = Describe("a gateway process that other hosts send requests through", func() {
	var h *host
	var env *environment
	var client *relay.Client
	BeforeEach(func() {
		env = newEnvironment()
		h = startHost(serveStore(env.store))
		Eventually(h.isReady, stepTimeout).Should(BeTrue())
		start := time.Now()
		hosts := []string{h.peerAddress}
		client = relay.NewClient(relay.ClientConfig{
			Hosts: func() (near, all []string) { return hosts, hosts },
			Log:   slog.New(slog.NewTextHandler(GinkgoWriter, &slog.HandlerOptions{Level: slog.LevelDebug})), Metrics: gometrics.NewRegistry(), Now: func() time.Duration { return time.Since(start) },
		})
		DeferCleanup(client.Close)
	})

	// send sends a request to a target through the process, and returns the body of the
	// answer.
	send := func(target, path string) (string, error) {
		attempt := &call.Attempt{
			Request: &call.Request{ID: "r-1", Method: http.MethodPost, Host: "a.example", URI: path, Header: http.Header{}, Body: []byte("x")},
			Target:  directory.Target{ID: target, Service: "app", Address: "127.0.0.1:1", StartedUnixMilli: startedTarget}, TimeRemaining: time.Minute, Priority: -1,
		}
		req, err := platform.Dialect{}.BuildRequest(context.Background(), attempt)
		Expect(err).NotTo(HaveOccurred())
		resp, err := client.Do(req, attempt, func() error { return nil })
		if err != nil {
			return "", err
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		return string(body), err
	}

	// awaitMembership waits until the process knows its own host as one.
	awaitMembership := func() {
		Eventually(func() error { _, err := send("i-1", "/b/x"); return err }, stepTimeout).Should(Succeed())
	}

	// Guards against a process that does not offer the way to others, or sends to
	// addresses that they name.
	It("sends to the targets that it knows, at their published addresses", func() {
		awaitMembership()
		Expect(send("i-1", "/b/x")).To(Equal("done"))
		Eventually(h.metricsText, stepTimeout).Should(MatchRegexp(`"relay.for_peers":\s*\{\s*"count":\s*2\s*\}`))
		_, err := send("i-9", "/b/x")
		Expect(failure.KindOf(err)).To(Equal(failure.KindTargetLeft))
	})

	// Guards against a planned stop that cuts the requests of other hosts' callers.
	It("finishes the requests of other hosts when it is stopped, and takes no further ones", func() {
		awaitMembership()
		type outcome struct {
			body string
			err  error
		}
		done := make(chan outcome, 1)
		go func() {
			body, err := send("i-1", "/b/held")
			done <- outcome{body, err}
		}()
		Eventually(env.heldCalls, stepTimeout).Should(Receive())
		Expect(h.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Eventually(h.isReady, stepTimeout).Should(BeFalse())
		_, err := send("i-1", "/b/x")
		Expect(failure.KindOf(err)).To(Equal(failure.KindNoTarget))
		close(env.release)
		Eventually(done, stepTimeout).Should(Receive(Equal(outcome{"done", nil})))
		Eventually(h.exited, stepTimeout).Should(Receive(BeNil()))
		Expect(strings.Count(h.logText(), "request sent for another host")).To(Equal(2))
	})
})
