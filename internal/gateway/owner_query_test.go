package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/call"
	"filbertdeck/internal/decide/targetload"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/gateway"
)

var _ = Describe("simultaneous placements by many hosts", func() {
	const hosts, engines = 40, 12
	prompt := call.Prompt{Tokens: 2500, MaxOutputTokens: 1000}

	view := func() *directory.View {
		cfg := testConfig()
		cfg.Services[1].Engine.MemoryTokens = 30_000
		targets := map[string]*directory.ObservedTarget{}
		for i := range engines {
			id := fmt.Sprintf("i-%d", i)
			targets[id] = &directory.ObservedTarget{Published: true, Target: directory.Target{ID: id, Service: "llm", DataCentre: "dc-1", Slots: 24}}
		}
		return directory.NewView(1, cfg, targets, nil)
	}
	fleet := func(seed uint64) []*gateway.TargetLoads {
		all := make([]*gateway.TargetLoads, hosts)
		for i := range all {
			all[i] = gateway.NewTargetLoads(fmt.Sprintf("host-%d", i), "dc-1", func() time.Duration { return time.Second })
			all[i].SetHostCount(func() int { return hosts })
			all[i].SetRand(rand.New(rand.NewPCG(seed, uint64(i))))
		}
		return all
	}
	// maxOnOneEngine has each host place one generation before the loads of any
	// reach another, and returns the largest number of generations at one
	// engine.
	maxOnOneEngine := func(all []*gateway.TargetLoads) int {
		perEngine, highest := map[string]int{}, 0
		for _, l := range all {
			t, _, ok := l.Acquire(view(), gateway.PlacementRequest{Service: "llm", Prompt: prompt, Locality: gateway.PreferLocal})
			Expect(ok).To(BeTrue())
			perEngine[t.ID]++
			highest = max(highest, perEngine[t.ID])
		}
		return highest
	}

	// Many hosts place prompts in the tenth of a second that load updates take
	// to spread. Guards against several choosing the engine that looks idle to
	// each: its prompts wait for seconds and its memory runs out while other
	// engines have room.
	It("are spread when each host queries the owner of the engine it chose", func() {
		const rounds = 200
		const maxAllowed = 2 * hosts / engines
		withQueries, withoutQueries := 0, 0
		for seed := range uint64(rounds) {
			all := fleet(seed)
			owner := all[0]
			for _, l := range all[1:] {
				l.SetOwnerQuery(func(_ gateway.TargetRef, own []targetload.HostLoad) ([]targetload.HostLoad, bool) {
					return owner.AnswerOwnerQuery(own), true
				})
			}
			if maxOnOneEngine(all) > maxAllowed {
				withQueries++
			}
			if maxOnOneEngine(fleet(seed)) > maxAllowed {
				withoutQueries++
			}
		}
		AddReportEntry("rounds with an engine at over twice the mean, of 200", fmt.Sprintf("with owner queries %d, without %d", withQueries, withoutQueries))
		Expect(withQueries).To(BeNumerically("<", withoutQueries/3))
	})

	// The owner's host has just died. A generation is placed by the loads known
	// locally and does not wait for another owner.
	It("succeed without an owner's answer", func() {
		l := fleet(1)[0]
		var mu sync.Mutex
		queries := map[string]int{}
		l.SetOwnerQuery(func(target gateway.TargetRef, _ []targetload.HostLoad) ([]targetload.HostLoad, bool) {
			mu.Lock()
			defer mu.Unlock()
			queries[target.ID]++
			return nil, false
		})
		_, reservation, ok := l.Acquire(view(), gateway.PlacementRequest{Service: "llm", Prompt: prompt, Locality: gateway.PreferLocal})
		Expect(ok).To(BeTrue())
		// All owners are queried in parallel, so the wait is that of a single
		// query.
		Expect(queries).NotTo(BeEmpty())
		for target, count := range queries {
			Expect(count).To(Equal(1), target)
		}
		reservation.Release()
	})

	It("cause no owner queries in a small fleet or for plain services", func() {
		l := fleet(1)[0]
		queries := 0
		l.SetOwnerQuery(func(gateway.TargetRef, []targetload.HostLoad) ([]targetload.HostLoad, bool) {
			queries++
			return nil, true
		})
		_, _, ok := l.Acquire(view(), gateway.PlacementRequest{Service: "llm", Locality: gateway.PreferLocal})
		Expect(ok).To(BeTrue())
		l.SetHostCount(func() int { return 6 })
		_, _, ok = l.Acquire(view(), gateway.PlacementRequest{Service: "llm", Prompt: prompt, Locality: gateway.PreferLocal})
		Expect(ok).To(BeTrue())
		Expect(queries).To(BeZero())
	})

	// An engine joins cold and takes a few requests a second from all hosts
	// together. While a host waits for an owner's answer, another of its
	// requests takes the host's share. Guards against a second one there, which
	// would bring the engine down.
	It("avoid a cold engine once this host's share of it is used up", func() {
		cfg := testConfig()
		cfg.Services[1].ColdRequestsPerSecond, cfg.Services[1].Engine.MemoryTokens = 4, 30_000
		targets := map[string]*directory.ObservedTarget{}
		for _, id := range []string{"cold", "warm-1", "warm-2"} {
			targets[id] = &directory.ObservedTarget{Published: true, Target: directory.Target{ID: id, Service: "llm", DataCentre: "dc-1", Slots: 24}}
		}
		targets["cold"].WarmAt = time.Minute
		v := directory.NewView(1, cfg, targets, nil)
		l := fleet(1)[0]
		l.SetColdRateLimit(gateway.ColdRateLimit{Factor: 1.5, Extra: 2, Rank: func(string) (int, int) { return 0, 8 }})
		loaded := func(target string) targetload.HostLoad {
			return targetload.HostLoad{Host: "host-9", Target: target, Version: 1, Load: targetload.Load{Running: 9, ReservedTokens: 40_000, UnreadTokens: 9000}}
		}
		l.SetOwnerQuery(func(target gateway.TargetRef, _ []targetload.HostLoad) ([]targetload.HostLoad, bool) {
			if target.ID == "cold" {
				return nil, true
			}
			l.Reserve("cold", call.Prompt{Tokens: 10})
			return []targetload.HostLoad{loaded("warm-1"), loaded("warm-2")}, true
		})
		t, _, ok := l.Acquire(v, gateway.PlacementRequest{Service: "llm", Prompt: prompt, Locality: gateway.PreferLocal})
		Expect(ok).To(BeTrue())
		Expect(t.ID).NotTo(Equal("cold"))
	})
})
