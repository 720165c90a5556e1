package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/platform/standin"
)

const (
	crowdHosts, crowdTargets = 4, 3
	// evenTime is the time in which callers spread over all hosts, crowdTime that in which
	// all of them open their connections at one host, of which the first crowdWindow does not
	// count.
	evenTime, crowdTime, crowdWindow = 3 * time.Second, 6 * time.Second, 3 * time.Second
	crowdPeriod                      = 25 * time.Millisecond
	// crowdShare is the share of the requests served before that must be served while all
	// go to one host.
	crowdShare = 0.75
)

// share counts requests and those that were served.
type share struct{ sent, served atomic.Int64 }

func (s *share) value() float64 { return float64(s.served.Load()) / float64(max(s.sent.Load(), 1)) }

var _ = Describe("gateway processes of which one gets all new connections", func() {
	// Guards against limits that take every host for one of several with the same traffic.
	DescribeTable("serve as many requests as before", func(rate string) {
		env := newEnvironment()
		env.store.RemoveServer("i-1")
		for i := range crowdTargets {
			t := startCountingTarget(rate)
			env.store.PutServer(fmt.Sprintf("t-%d", i), "app", hostPort(t.Server), "ready")
		}
		store := serveStore(env.store)
		var hosts []*host
		for range crowdHosts {
			var peers []string
			for _, h := range hosts {
				peers = append(peers, h.peerAddress)
			}
			hosts = append(hosts, startHost(store, peers...))
		}
		for _, h := range hosts {
			Eventually(h.isReady, stepTimeout).Should(BeTrue())
			Eventually(h.metricsText, stepTimeout).Should(MatchRegexp(`"gossip.hosts":\s*\{\s*"value":\s*%d\s*\}`, len(hosts)))
		}
		time.Sleep(settleTime)
		var before, crowded share
		var calls sync.WaitGroup
		start := time.Now()
		for n := 0; time.Since(start) < evenTime+crowdTime; n++ {
			h, counted := hosts[n%len(hosts)], &before
			if time.Since(start) > evenTime {
				h, counted = hosts[0], &crowded
			}
			counts := counted == &before || time.Since(start) > evenTime+crowdWindow
			calls.Go(func() {
				ok := h.post("/b/x", "key-1") == http.StatusOK
				if counts {
					counted.sent.Add(1)
				}
				if counts && ok {
					counted.served.Add(1)
				}
			})
			time.Sleep(crowdPeriod)
		}
		calls.Wait()
		AddReportEntry("served", fmt.Sprintf("before %.2f of %d, at one host %.2f of %d", before.value(), before.sent.Load(), crowded.value(), crowded.sent.Load()))
		Expect(before.value()).To(BeNumerically(">", 0.9))
		Expect(crowded.value()).To(BeNumerically(">=", crowdShare*before.value()))
	},
		Entry("by targets without a limit", ""),
		Entry("by targets that name a rate", "20"),
	)

	// Guards against streams that the host which gets all connections does not read or serve.
	It("begin streams as before", func() {
		store := standin.New()
		DeferCleanup(store.Close)
		store.PutStreamConfig(1, "llm", "key-1")
		for i := range crowdTargets {
			startVersionedEngine(store, fmt.Sprintf("e-%d", i), "v1", nil)
		}
		address := serveStore(store)
		first := startHost(address)
		hosts := []*host{first, startHost(address, first.peerAddress)}
		for _, h := range hosts {
			Eventually(h.isReady, stepTimeout).Should(BeTrue())
		}
		var crowded share
		var calls sync.WaitGroup
		for n := range 200 {
			calls.Go(func() {
				crowded.sent.Add(1)
				if got := hosts[0].openStream(fmt.Sprintf("first-%d", n), "", "", nil); len(got.versions) > 0 {
					crowded.served.Add(1)
				}
			})
			time.Sleep(5 * time.Millisecond)
		}
		calls.Wait()
		AddReportEntry("served", crowded.value())
		Expect(crowded.value()).To(BeNumerically(">=", crowdShare))
	})
})
