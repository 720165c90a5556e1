package gateway_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/call"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/gateway"
)

var _ = Describe("cold targets", func() {
	view := func(coldUntil time.Duration) *directory.View {
		cfg := testConfig()
		cfg.Services[1].ColdRequestsPerSecond = 4
		targets := map[string]*directory.ObservedTarget{}
		for _, id := range []string{"cold", "warm"} {
			targets[id] = &directory.ObservedTarget{Published: true, Target: directory.Target{ID: id, Service: "llm", DataCentre: "dc-1", Slots: 24}}
		}
		targets["cold"].WarmAt = coldUntil
		return directory.NewView(1, cfg, targets, nil)
	}

	// An engine joins cold and empty beside one that is half full. Guards
	// against all hosts sending it what they have, which makes it fail and join
	// again.
	It("get this host's share of their cold rate, however empty they are", func() {
		now := time.Duration(0)
		loads := gateway.NewTargetLoads("host-1", "dc-1", func() time.Duration { return now })
		loads.SetColdRateLimit(gateway.ColdRateLimit{Factor: 1.5, Extra: 2, Rank: func(string) (int, int) { return 0, 4 }})
		for range 10 {
			loads.Reserve("warm", call.Prompt{Tokens: 600})
		}
		sent := map[string]int{}
		for range 20 {
			t, _, ok := loads.Acquire(view(time.Minute), gateway.PlacementRequest{Service: "llm", Prompt: call.Prompt{Tokens: 10}, Locality: gateway.PreferLocal})
			Expect(ok).To(BeTrue())
			sent[t.ID]++
		}
		Expect(sent["cold"]).To(Equal(2))
		now = 2 * time.Second
		t, _, _ := loads.Acquire(view(time.Minute), gateway.PlacementRequest{Service: "llm", Prompt: call.Prompt{Tokens: 10}, Locality: gateway.PreferLocal})
		Expect(t.ID).To(Equal("cold"))
		t, _, _ = loads.Acquire(view(time.Second), gateway.PlacementRequest{Service: "llm", Prompt: call.Prompt{Tokens: 10}, Locality: gateway.PreferLocal})
		Expect(t.ID).To(Equal("cold"))
	})

	// Guards against a target that turned cold again and is sent what a warm one takes
	// until the store says so.
	It("get this host's share also when only a health check says that they are cold", func() {
		loads := gateway.NewTargetLoads("host-1", "dc-1", func() time.Duration { return time.Second })
		loads.SetColdRateLimit(gateway.ColdRateLimit{Factor: 1.5, Extra: 2, Rank: func(string) (int, int) { return 0, 4 }})
		loads.RecordCold("cold", time.Minute)
		sent := map[string]int{}
		for range 20 {
			t, _, _ := loads.Acquire(view(0), gateway.PlacementRequest{Service: "llm", Prompt: call.Prompt{Tokens: 10}, Locality: gateway.PreferLocal})
			sent[t.ID]++
		}
		Expect(sent["cold"]).To(BeNumerically("<=", 2))
	})

	It("are avoided while others are about as empty", func() {
		loads := gateway.NewTargetLoads("host-1", "dc-1", func() time.Duration { return 0 })
		loads.SetColdRateLimit(gateway.ColdRateLimit{Factor: 1.5, Extra: 2, Rank: func(string) (int, int) { return 0, 4 }})
		loads.Reserve("warm", call.Prompt{Tokens: 100}).MarkPromptRead()
		for range 10 {
			t, reservation, _ := loads.Acquire(view(time.Minute), gateway.PlacementRequest{Service: "llm", Prompt: call.Prompt{Tokens: 10}, Locality: gateway.PreferLocal})
			Expect(t.ID).To(Equal("warm"))
			reservation.Release()
		}
	})
})
