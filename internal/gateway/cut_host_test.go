package gateway_test

import (
	"context"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/targetclient"
	"filbertdeck/platform/standin"
)

// cutMode is what happens to the new connections of a host to targets.
type cutMode int32

const (
	connected cutMode = iota
	refused
	unanswered
)

// cut is a partition between one host and the targets.
type cut struct{ mode atomic.Int32 }

func (c *cut) set(mode cutMode) { c.mode.Store(int32(mode)) }

// connect is targetclient.Dial across the partition.
func (c *cut) connect(ctx context.Context, network, address string, timeout time.Duration) (net.Conn, error) {
	switch cutMode(c.mode.Load()) {
	case refused:
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	case unanswered:
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	conn, err := targetclient.Dial(ctx, network, address, timeout)
	if err != nil {
		return nil, err
	}
	return &hangingConn{conn, c}, nil
}

// hangingConn is a connection on which nothing arrives while new ones are not
// answered.
type hangingConn struct {
	net.Conn
	cut *cut
}

// Read implements io.Reader.
func (c *hangingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for cutMode(c.cut.mode.Load()) == unanswered && err == nil {
		time.Sleep(10 * time.Millisecond)
		// Notices that this side has closed the connection.
		if deadlineErr := c.SetReadDeadline(time.Now().Add(time.Minute)); deadlineErr != nil {
			return 0, deadlineErr
		}
	}
	return n, err
}

// transport returns a transport for calls of engines' own interface across the
// partition.
func (c *cut) transport() *http.Transport {
	return &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		return c.connect(ctx, network, address, 500*time.Millisecond)
	}}
}

// cutTimeout is the time that callers of a host that is cut off give a request, in
// milliseconds. Connecting to one target that does not answer takes most of it.
const cutTimeout = "1000"

var _ = Describe("a host that is partitioned from all targets", func() {
	var host, peer *fixture
	var app1, app2, app3, llm *fakeTarget

	BeforeEach(func() {
		answer := respond("HTTP/1.1 200 OK\n" + requestID + ": ID\n" + seal + ": s-1\nContent-Length: 4\n\ndone")
		app1, app2, app3 = startTarget("app-1", answer), startTarget("app-2", answer), startTarget("app-3", answer)
		llm = startTarget("llm-1", respond("HTTP/1.1 200 OK\n"+requestID+": ID\n"+seal+": s-1\nContent-Type: text/event-stream\nContent-Length: 36\n\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
		host, peer = startPeers(app1.directoryEntry("app", "dc-1"), app2.directoryEntry("app", "dc-1"), app3.directoryEntry("app", "dc-1"), llm.directoryEntry("llm", "dc-1"))
	})

	ask := func(path string) result {
		req := host.request(http.MethodPost, path)
		req.Header.Set(standin.HeaderDeadline, cutTimeout)
		return host.do(req)
	}
	runs := func() int { return len(app1.requests()) + len(app2.requests()) + len(app3.requests()) }

	// Guards against callers that are refused although other hosts reach the targets.
	DescribeTable("has its callers served", func(mode cutMode, path string) {
		host.cut.set(mode)
		for range 5 {
			Expect(ask(path).status).To(Equal(http.StatusOK))
		}
		Expect(runs()).To(Equal(5), "each request runs once")
	},
		Entry("a booking while connections are refused", refused, "/book/1"),
		Entry("a booking while connections hang", unanswered, "/book/1"),
		Entry("a lookup while connections are refused", refused, "/look/1"),
		Entry("a lookup while connections hang", unanswered, "/look/1"),
	)

	// Guards against generations that are refused, cut off or reordered on their way
	// through another host.
	DescribeTable("has its generations served whole", func(mode cutMode) {
		host.cut.set(mode)
		res := ask("/report/1")
		Expect(res.err).NotTo(HaveOccurred())
		Expect(res.status).To(Equal(http.StatusOK))
		Expect(strings.Count(res.body, "data:")).To(Equal(2))
		Expect(llm.requestsToRun()).To(HaveLen(1))
	},
		Entry("while connections are refused", refused),
		Entry("while connections hang", unanswered),
	)

	// Guards against sound targets that other hosts avoid because of the failures of a
	// partitioned one.
	It("does not have the other hosts avoid the targets", func() {
		host.cut.set(refused)
		for range 5 {
			ask("/book/1")
		}
		Consistently(func() int { return len(host.loads.PendingAlerts("peer")) }, "300ms", "20ms").Should(BeZero())
	})

	// Guards against targets that are taken for cold after a partition, so that callers
	// are refused once it is over.
	It("sends to the targets itself once it reaches them", func() {
		host.limitColdTargets()
		host.cut.set(refused)
		for range 3 {
			ask("/book/1")
		}
		host.cut.set(connected)
		Eventually(func() int { return host.countLost() }, "5s", "20ms").Should(BeZero())
		relayed := peer.relayedCount()
		for range 5 {
			Expect(ask("/book/1").status).To(Equal(http.StatusOK))
		}
		Expect(peer.relayedCount()).To(Equal(relayed))
	})
})
