package gateway_test

import (
	"encoding/json"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// sumCounters returns the sum of the named counters of the process; a counter
// that it does not publish counts as 0.
func (h *host) sumCounters(names ...string) int {
	resp, err := http.Get("http://" + h.metricsAddress + "/metrics")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	metrics := map[string]map[string]any{}
	Expect(json.NewDecoder(resp.Body).Decode(&metrics)).To(Succeed())
	sum := 0
	for _, name := range names {
		if n, ok := metrics[name]["count"].(float64); ok {
			sum += int(n)
		}
	}
	return sum
}

var _ = Describe("several gateway processes", func() {
	// Operators add 880 routes at once. Each host should fetch them once, from
	// one peer or from the store. If every peer sent them repeatedly until it got
	// a response, the links and processors of small hosts would be saturated, and
	// evacuations and revoked keys would arrive seconds late.
	It("transfer a large configuration to each host about once", func() {
		const hosts, routes = 8, 880
		// routeBytes is the minimum size of one published route.
		const routeBytes = 150
		env := newEnvironment()
		store := serveStore(env.store)
		gateways := []*host{startHost(store)}
		for len(gateways) < hosts {
			gateways = append(gateways, startHost(store, gateways[0].peerAddress))
		}
		for _, h := range gateways {
			Eventually(h.isReady, stepTimeout).Should(BeTrue())
		}
		env.store.PutRoutes(2, "app", routes, "key-1")
		for _, h := range gateways {
			Eventually(func() int { return h.post("/b879/x", "key-1") }, stepTimeout).Should(Equal(http.StatusOK))
		}
		env.store.PutRoutes(3, "app", routes, "key-2")
		sent := 0
		for _, h := range gateways {
			Eventually(func() int { return h.post("/b879/x", "key-2") }, stepTimeout).Should(Equal(http.StatusOK))
			Expect(strings.Count(h.logText(), `"msg":"configuration in force"`)).To(Equal(3))
			sent += h.sumCounters("gossip.bytes_sent", "gossip.fetch_bytes_sent")
		}
		Expect(sent).To(BeNumerically("<", hosts*routes*routeBytes))
	})
})
