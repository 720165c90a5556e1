package gateway_test

import (
	"encoding/json"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// counters gives some of a process's counters added up.
func (h *host) counters(names ...string) int {
	resp, err := http.Get("http://" + h.metrics + "/metrics")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	all := map[string]map[string]any{}
	Expect(json.NewDecoder(resp.Body).Decode(&all)).To(Succeed())
	sum := 0
	for _, name := range names {
		if n, ok := all[name]["count"].(float64); ok {
			sum += int(n)
		}
	}
	return sum
}

var _ = Describe("several gateway processes", func() {
	// Operators add 880 routes at once. Each host has it from one other, or from
	// the store; sent by every neighbour, again and again until an answer comes,
	// it would fill the links of small hosts and take their processors, and
	// evacuations and revoked keys would come seconds late.
	It("hand a large configuration to each other about once", func() {
		const hosts, routes = 8, 880
		// routeBytes is what one route takes at least as it is published.
		const routeBytes = 150
		w := newWorld()
		store := serve(w.store)
		fleet := []*host{startHost(store)}
		for len(fleet) < hosts {
			fleet = append(fleet, startHost(store, fleet[0].peers))
		}
		for _, h := range fleet {
			Eventually(h.isReady, long).Should(BeTrue())
		}
		w.store.PutRoutes(2, "app", routes, "key-1")
		for _, h := range fleet {
			Eventually(func() int { return h.call("/b879/x", "key-1") }, long).Should(Equal(http.StatusOK))
		}
		w.store.PutRoutes(3, "app", routes, "key-2")
		sent := 0
		for _, h := range fleet {
			Eventually(func() int { return h.call("/b879/x", "key-2") }, long).Should(Equal(http.StatusOK))
			Expect(strings.Count(h.log(), `"msg":"configuration in force"`)).To(Equal(3))
			sent += h.counters("gossip.bytes_sent", "gossip.fetch_bytes_sent")
		}
		Expect(sent).To(BeNumerically("<", hosts*routes*routeBytes))
	})
})
