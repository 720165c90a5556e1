package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/gateway"
	"filbertdeck/platform/standin"
)

// brittleLimit is the number of requests that the target turns away in a second
// without falling over (it says so as "2"), brittleSlots the number that it runs at once; it lets none
// wait.
const (
	brittleLimit = 2
	brittleSlots = 6
)

// brittleTarget is a target that says that it is brittle and turns away what it has
// no slot for.
type brittleTarget struct {
	running, turnedAway atomic.Int32
}

func (t *brittleTarget) handle(conn net.Conn, r *http.Request) {
	defer t.running.Add(-1)
	header := requestID + ": " + r.Header.Get(requestID) + "\r\n" + standin.HeaderServerBrittle + ": 2\r\n"
	if t.running.Add(1) > brittleSlots {
		t.turnedAway.Add(1)
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\n"+header+standin.HeaderNotExecuted+": 1\r\nContent-Length: 0\r\n\r\n")
		return
	}
	time.Sleep(50 * time.Millisecond)
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+header+seal+": s-1\r\nContent-Length: 4\r\n\r\ndone")
}

var _ = Describe("a target that says that it is brittle", func() {
	// Guards against a target that falls over because it has to turn away more requests
	// in a second than it bears.
	It("is not sent more than it has room for", func() {
		target := &brittleTarget{}
		gw := startGateway(startTarget("app-1", target.handle).directoryEntry("app", "dc-1"))
		Expect(gw.do(gw.request(http.MethodPost, "/book/0")).status).To(Equal(http.StatusOK))

		var wg sync.WaitGroup
		var served, refused atomic.Int32
		for range 40 {
			wg.Go(func() {
				defer GinkgoRecover()
				res := gw.do(gw.request(http.MethodPost, "/book/1"))
				if res.status == http.StatusOK {
					served.Add(1)
					return
				}
				refused.Add(1)
				Expect(res.status).To(Equal(http.StatusServiceUnavailable))
				Expect(strings.TrimSpace(res.header.Get("Retry-After"))).NotTo(BeEmpty())
			})
		}
		wg.Wait()
		Expect(target.turnedAway.Load()).To(BeNumerically("<=", brittleLimit))
		Expect(served.Load()).To(BeNumerically(">=", brittleSlots))
		Expect(served.Load() + refused.Load()).To(BeEquivalentTo(40))
	})

	// Guards against hosts that each keep to the limit and together exceed it, and
	// against a host that does not know what another was told.
	It("is not sent more than it has room for by all hosts together", func() {
		const hosts, perHost = 8, 12
		target := &brittleTarget{}
		entry := startTarget("app-1", target.handle).directoryEntry("app", "dc-1")
		var gateways []*fixture
		for rank := range hosts {
			gw := startGateway(entry)
			gw.loads.SetColdRateLimit(gateway.ColdRateLimit{Rank: func(string) (int, int) { return rank, hosts }})
			gateways = append(gateways, gw)
		}
		Expect(gateways[0].do(gateways[0].request(http.MethodPost, "/book/0")).status).To(Equal(http.StatusOK))
		for _, gw := range gateways[1:] {
			alerts := gateways[0].loads.PendingAlerts(gw.url)
			for i := range alerts {
				// All gateways of these specs have the same address.
				alerts[i].Host = "host-0"
			}
			gw.loads.MergeAlerts("host-0", alerts)
		}
		var wg sync.WaitGroup
		var served atomic.Int32
		for _, gw := range gateways {
			for range perHost {
				wg.Go(func() {
					if gw.do(gw.request(http.MethodPost, "/book/1")).status == http.StatusOK {
						served.Add(1)
					}
				})
			}
		}
		wg.Wait()
		Expect(target.turnedAway.Load()).To(BeNumerically("<=", brittleLimit))
		Expect(served.Load()).To(BeNumerically(">=", brittleSlots))
	})
})
