package gateway_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/directory"
	"filbertdeck/internal/gateway"
	"filbertdeck/internal/targetclient"
	"filbertdeck/platform/standin"
)

// startDyingEngine runs an engine that breaks each stream off after its first event.
func startDyingEngine(id string) *fakeTarget {
	return startTarget(id, func(conn net.Conn, r *http.Request) {
		respondStreamHeader(conn, r)
		_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event(1)), event(1))
		time.Sleep(50 * time.Millisecond)
	})
}

// moveStartTime is longer than a move takes to begin once its engine is known to leave.
const moveStartTime = 200 * time.Millisecond

var _ = Describe("a generation whose engine is published as leaving when its stream has broken off", func() {
	const events = 40

	// Guards against an answer that is broken off since a move that begins meanwhile takes its
	// backup.
	It("goes on at its backup, and no move takes that", func() {
		second := startResumingEngine("i-2", events, nil)
		second.resume = second.serve
		dying := startDyingEngine("i-1")
		var gw *fixture
		var selections atomic.Int64
		// The first selection is for the start, the second one for the backup after the end of
		// the stream.
		publishDuringSecond := func() time.Duration {
			if selections.Add(1) == 2 {
				gw.publish(asLeaving(dying.directoryEntry("llm", "dc-1")), second.directoryEntry("llm", "dc-2"))
				time.Sleep(moveStartTime)
			}
			return 0
		}
		gw = startGatewayConfigured(func(cfg *gateway.Config) { cfg.ViewAge = publishDuringSecond }, slog.DiscardHandler)
		gw.loads.RecordFailure("i-2")
		gw.publish(dying.directoryEntry("llm", "dc-1"), second.directoryEntry("llm", "dc-2"))
		got := gw.do(gw.request("POST", "/report/"))
		Expect(dying.requestsToRun()[0].Header.Get(standin.HeaderBackup)).To(Equal(second.address))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(eventStream(events)))
		Expect(second.resumes.Load()).To(Equal(int64(1)))
	})
})

var _ = Describe("an engine that is published as leaving, then as ready, then as leaving", func() {
	// Guards against generations that stay at a stopping engine since an earlier move of them
	// has ended.
	DescribeTable("has its generations moved", func(withdrawn func(*directory.ObservedTarget) []*directory.ObservedTarget) {
		const events = 200
		first, second := startEngine("i-1", events, 10*time.Millisecond), startEngine("i-2", events, time.Millisecond)
		first.leavesIn.Store(60_000)
		logs := &lockedBuffer{}
		// checks counts the rounds in which the host looks for engines that leave.
		var checks atomic.Int64
		countChecks := func() bool { checks.Add(1); return false }
		gw := startGatewayConfigured(func(cfg *gateway.Config) { cfg.Disconnected = countChecks }, slog.NewJSONHandler(logs, nil), first.directoryEntry("llm", "dc-1"))
		req := gw.request("POST", "/report/")
		req.Header.Set(standin.HeaderTokenUsage, fmt.Sprintf("100,%d", events))
		done := make(chan result, 1)
		go func() { done <- gw.do(req) }()
		Eventually(first.eventsSent.Load).Should(BeNumerically(">", 5))
		gw.publish(withdrawn(first.directoryEntry("llm", "dc-1"))...)
		Eventually(func() int { return len(logged(logs, "generation stays")) }).Should(Equal(1))
		gw.publish(first.directoryEntry("llm", "dc-1"), second.directoryEntry("llm", "dc-1"))
		before := checks.Load()
		Eventually(checks.Load).Should(BeNumerically(">=", before+2))
		first.leavesIn.Store(500)
		gw.publish(append(withdrawn(first.directoryEntry("llm", "dc-1")), second.directoryEntry("llm", "dc-1"))...)
		var got result
		Eventually(done, "10s").Should(Receive(&got))
		Expect(got.body).To(Equal(eventStream(events)))
		Expect(second.generationRequests()).To(HaveLen(1))
	},
		Entry("when it drains", func(t *directory.ObservedTarget) []*directory.ObservedTarget {
			return []*directory.ObservedTarget{asLeaving(t)}
		}),
		Entry("when its record expires", func(*directory.ObservedTarget) []*directory.ObservedTarget { return nil }),
	)
})

// startGatewayConnecting is startGateway with an engine, and with a wrapper of the connections on
// which it runs generations.
func startGatewayConnecting(e *fakeEngine, wrap func(net.Conn) net.Conn) *fixture {
	connect := func(ctx context.Context, network, address string, timeout time.Duration) (net.Conn, error) {
		conn, err := targetclient.Dial(ctx, network, address, timeout)
		if err == nil && address == e.address {
			conn = wrap(conn)
		}
		return conn, err
	}
	return startGatewayConfigured(func(cfg *gateway.Config) {
		cfg.Client = targetclient.NewAtMostOnceClient(targetclient.Settings{ResponseHeaderTimeout: time.Minute, ReadIdleTimeout: time.Minute, DialTimeout: time.Second, Connect: connect})
	}, slog.DiscardHandler, e.directoryEntry("llm", "dc-1"))
}

// slowlyClosed is a connection that takes until a channel is closed to close.
type slowlyClosed struct {
	net.Conn
	allowed <-chan struct{}
}

// Close implements io.Closer.
func (c slowlyClosed) Close() error {
	err := c.Conn.Close()
	<-c.allowed
	return err
}

var _ = Describe("a generation that switches to an engine that begins to leave at that moment", func() {
	const events = 60

	// Guards against reservations that stay counted at an engine that a generation left before
	// its stream was relayed.
	It("is answered whole and leaves no reservation", func() {
		first, second, third := startEngine("i-1", events, 10*time.Millisecond), startEngine("i-2", events, 10*time.Millisecond), startEngine("i-3", events, 10*time.Millisecond)
		mayClose := make(chan struct{})
		allowClose := sync.OnceFunc(func() { close(mayClose) })
		DeferCleanup(allowClose)
		gw := startGatewayConnecting(first, func(conn net.Conn) net.Conn { return slowlyClosed{conn, mayClose} })
		done := make(chan result, 1)
		go func() { done <- gw.do(gw.request("POST", "/report/")) }()
		Eventually(first.eventsSent.Load).Should(BeNumerically(">", 5))
		gw.publish(asLeaving(first.directoryEntry("llm", "dc-1")), second.directoryEntry("llm", "dc-1"))
		Eventually(second.eventsSent.Load, "5s").Should(BeNumerically(">", 0))
		gw.publish(asLeaving(first.directoryEntry("llm", "dc-1")), asLeaving(second.directoryEntry("llm", "dc-1")), third.directoryEntry("llm", "dc-1"))
		Eventually(third.eventsSent.Load, "5s").Should(BeNumerically(">", 0))
		Eventually(second.connClosed.Load, "5s").Should(BeTrue())
		allowClose()
		var got result
		Eventually(done, "5s").Should(Receive(&got))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(eventStream(events)))
		for _, id := range []string{"i-1", "i-2", "i-3"} {
			Eventually(func() int { return gw.loads.HostsUsing(id) }, "2s").Should(BeZero(), id)
		}
	})
})

// delayedConn is a connection that returns what it has read, once it is set to delay, only
// after a channel is closed.
type delayedConn struct {
	net.Conn
	delays  *atomic.Bool
	allowed <-chan struct{}
}

// Read implements io.Reader.
func (c delayedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.delays.Load() {
		<-c.allowed
	}
	return n, err
}

var _ = Describe("a generation that has switched and switches again in vain", func() {
	// Guards against events of the first engine that are passed on after the switch, and come
	// twice.
	It("gets no further event from the first engine", func() {
		const events = 40
		first, second := startEngine("i-1", events, 10*time.Millisecond), startEngine("i-2", events, 10*time.Millisecond)
		var delays atomic.Bool
		mayRead := make(chan struct{})
		allowRead := sync.OnceFunc(func() { close(mayRead) })
		DeferCleanup(allowRead)
		third := startResumingEngine("i-3", events, func(conn net.Conn, r *http.Request) {
			respondStreamHeader(conn, r)
			allowRead()
			time.Sleep(50 * time.Millisecond)
		})
		gw := startGatewayConnecting(first, func(conn net.Conn) net.Conn { return delayedConn{conn, &delays, mayRead} })
		done := make(chan result, 1)
		go func() { done <- gw.do(gw.request("POST", "/report/")) }()
		Eventually(first.eventsSent.Load).Should(BeNumerically(">", 5))
		delays.Store(true)
		gw.publish(asLeaving(first.directoryEntry("llm", "dc-1")), second.directoryEntry("llm", "dc-1"))
		Eventually(first.connClosed.Load, "5s").Should(BeTrue())
		gw.publish(asLeaving(first.directoryEntry("llm", "dc-1")), asLeaving(second.directoryEntry("llm", "dc-1")), third.directoryEntry("llm", "dc-1"))
		var got result
		Eventually(done, "5s").Should(Receive(&got))
		Expect(third.resumes.Load()).To(BeNumerically(">", 0))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(eventStream(events)))
	})
})

var _ = Describe("a generation whose engines leave while it is continued at its backup", func() {
	// Guards against two switches at a time, and two engines that are asked to go on.
	It("is not switched before it goes on there", func() {
		const events = 40
		// dying breaks the stream off, but still copies the generation.
		dying := startEngine("i-1", events, time.Millisecond)
		dying.breakAfter = 1
		second := startEngine("i-2", events, 20*time.Millisecond)
		fourth := startEngine("i-4", events, time.Millisecond)
		third := startResumingEngine("i-3", events, func(conn net.Conn, r *http.Request) {
			time.Sleep(gateway.SwitchTimeout)
		})
		var gw *fixture
		publish := func(first *directory.ObservedTarget, others ...*fakeEngine) {
			entries := []*directory.ObservedTarget{first}
			for _, e := range others {
				entries = append(entries, e.directoryEntry("llm", "dc-2"))
			}
			gw.publish(entries...)
		}
		var selections atomic.Int64
		leaveDuringSecond := func() time.Duration {
			if selections.Add(1) == 2 {
				gw.loads.SetLeaving("i-2")
				publish(asLeaving(dying.directoryEntry("llm", "dc-1")), second, third.fakeEngine)
				time.Sleep(moveStartTime)
				publish(asLeaving(dying.directoryEntry("llm", "dc-1")), second, fourth)
			}
			return 0
		}
		gw = startGatewayConfigured(func(cfg *gateway.Config) { cfg.ViewAge = leaveDuringSecond }, slog.DiscardHandler)
		gw.loads.RecordFailure("i-2")
		publish(dying.directoryEntry("llm", "dc-1"), second)
		got := gw.do(gw.request("POST", "/report/"))
		Expect(third.resumes.Load()).To(BeZero())
		Expect(second.generationRequests()).To(HaveLen(1))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(eventStream(events)))
	})
})
