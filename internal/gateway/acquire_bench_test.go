package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/call"
	"filbertdeck/internal/decide/targetload"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/gateway"
)

// choosingHost is a host of a large fleet that knows some load of other hosts and the
// speed of each engine.
type choosingHost struct {
	loads *gateway.TargetLoads
	view  *directory.View
}

func newChoosingHost(hosts, engines int) *choosingHost {
	cfg := testConfig()
	cfg.Services[1].Engine.MemoryTokens = 30_000
	targets := map[string]*directory.ObservedTarget{}
	for i := range engines {
		id := fmt.Sprintf("i-%d", i)
		targets[id] = &directory.ObservedTarget{Published: true, Target: directory.Target{ID: id, Service: "llm", DataCentre: fmt.Sprintf("dc-%d", i%5), Slots: 24}}
	}
	l := gateway.NewTargetLoads("host-0", "dc-0", func() time.Duration { return time.Second })
	l.SetHostCount(func() int { return hosts })
	l.SetRand(rand.New(rand.NewPCG(1, 2)))
	l.SetOwnerQuery(func(target gateway.TargetRef, _ []targetload.HostLoad) ([]targetload.HostLoad, bool) {
		return []targetload.HostLoad{{Host: "host-9", Target: target.ID, Version: 1, TimePerToken: 8 * time.Millisecond, Load: targetload.Load{Running: 2, ReservedTokens: 7000}}}, true
	})
	for id := range targets {
		l.RecordStep(id, 8*time.Millisecond)
	}
	return &choosingHost{l, directory.NewView(1, cfg, targets, nil)}
}

func (h *choosingHost) choose() {
	_, reservation, ok := h.loads.Acquire(h.view, gateway.PlacementRequest{Service: "llm", Prompt: call.Prompt{Tokens: 3000, MaxOutputTokens: 1500}, Locality: gateway.PreferLocal})
	if !ok {
		panic("no engine was chosen")
	}
	reservation.Release()
}

// bytesPerChoice returns the mean number of bytes that a choice allocates.
func (h *choosingHost) bytesPerChoice() uint64 {
	const choices = 1000
	for range choices {
		h.choose()
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range choices {
		h.choose()
	}
	runtime.ReadMemStats(&after)
	return (after.TotalAlloc - before.TotalAlloc) / choices
}

func BenchmarkAcquire(b *testing.B) {
	for _, size := range []struct{ hosts, engines int }{{90, 60}, {585, 5463}, {3300, 10000}} {
		b.Run(fmt.Sprintf("%d hosts, %d engines", size.hosts, size.engines), func(b *testing.B) {
			h := newChoosingHost(size.hosts, size.engines)
			b.ReportAllocs()
			for b.Loop() {
				h.choose()
			}
		})
	}
}

var _ = Describe("the choice of an engine", func() {
	// Guards against a choice that costs more with each engine of the service: at
	// thousands of engines a small host has no time left to relay.
	DescribeTable("takes memory for the engines that it looks at only",
		func(hosts, engines int) {
			const maxBytes = 20_000
			Expect(newChoosingHost(hosts, engines).bytesPerChoice()).To(BeNumerically("<", maxBytes))
		},
		Entry("90 hosts, 60 engines", 90, 60), Entry("585 hosts, 5,463 engines", 585, 5463), Entry("3,300 hosts, 10,000 engines", 3300, 10_000),
	)
})
