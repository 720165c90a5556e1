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

	// An engine joins cold and empty beside one that is half full. All hosts
	// send it what they have, it falls over and joins again.
	It("get this host's part of what they bear in a second, however empty they are", func() {
		now := time.Duration(0)
		loads := gateway.NewTargetLoads("host-1", "dc-1", func() time.Duration { return now })
		loads.SetColdRateLimit(gateway.ColdRateLimit{Factor: 1.5, Extra: 2, Rank: func(string) (int, int) { return 0, 4 }})
		for range 10 {
			loads.Reserve("warm", call.Prompt{Tokens: 600})
		}
		sent := map[string]int{}
		for range 20 {
			t, _, ok := loads.Acquire(view(time.Minute), gateway.Wanted{Service: "llm", Prompt: call.Prompt{Tokens: 10}, Near: gateway.Anywhere})
			Expect(ok).To(BeTrue())
			sent[t.ID]++
		}
		Expect(sent["cold"]).To(Equal(2))
		now = 2 * time.Second
		t, _, _ := loads.Acquire(view(time.Minute), gateway.Wanted{Service: "llm", Prompt: call.Prompt{Tokens: 10}, Near: gateway.Anywhere})
		Expect(t.ID).To(Equal("cold"))
		t, _, _ = loads.Acquire(view(time.Second), gateway.Wanted{Service: "llm", Prompt: call.Prompt{Tokens: 10}, Near: gateway.Anywhere})
		Expect(t.ID).To(Equal("cold"))
	})

	It("are passed over while others are about as empty", func() {
		loads := gateway.NewTargetLoads("host-1", "dc-1", func() time.Duration { return 0 })
		loads.SetColdRateLimit(gateway.ColdRateLimit{Factor: 1.5, Extra: 2, Rank: func(string) (int, int) { return 0, 4 }})
		loads.Reserve("warm", call.Prompt{Tokens: 100}).Started()
		for range 10 {
			t, place, _ := loads.Acquire(view(time.Minute), gateway.Wanted{Service: "llm", Prompt: call.Prompt{Tokens: 10}, Near: gateway.Anywhere})
			Expect(t.ID).To(Equal("warm"))
			place.Release()
		}
	})
})
