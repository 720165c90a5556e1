package gateway_test

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	gometrics "github.com/rcrowley/go-metrics"

	"filbertdeck/internal/call"
	"filbertdeck/internal/decide/contention"
	"filbertdeck/internal/decide/prefill"
	"filbertdeck/internal/decide/targetload"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/gateway"
	"filbertdeck/platform"
	"filbertdeck/platform/standin"
)

var _ = Describe("the choice of an engine with a limit on unread prompts", func() {
	limit := func() *prefill.Limit {
		return prefill.For(prefill.Urgent{Objective: 1500 * time.Millisecond, PromptTokens: 2200}, 3000)
	}
	request := func() gateway.PlacementRequest {
		return gateway.PlacementRequest{Service: "llm", Prompt: call.Prompt{Tokens: 3000, MaxOutputTokens: 1000}, FirstEventObjective: 4 * time.Second, Locality: gateway.PreferLocal, MemoryShare: 1}
	}
	// fleet returns a host and a view with the given loads of another host at engines
	// with memory for 27,000 tokens.
	fleet := func(loads map[string]targetload.Load) (*gateway.TargetLoads, *directory.View) {
		l := gateway.NewTargetLoads("host-1", "dc-1", func() time.Duration { return time.Second })
		cfg := testConfig()
		cfg.Services[1].Engine.MemoryTokens = playMemoryTokens
		targets := map[string]*directory.ObservedTarget{}
		for id, load := range loads {
			targets[id] = &directory.ObservedTarget{Published: true, Target: directory.Target{ID: id, Service: "llm", DataCentre: "dc-1", Slots: 24}}
			l.MergeLoads("host-9", []targetload.HostLoad{{Host: "host-9", Target: id, Version: 1, Load: load}})
		}
		return l, directory.NewView(1, cfg, targets, nil)
	}
	unread := targetload.Load{Running: 3, ReservedTokens: 9000, UnreadTokens: 6000}
	read := targetload.Load{Running: 5, ReservedTokens: 20_000}
	full := targetload.Load{Running: 6, ReservedTokens: 26_000}

	// Guards against a generation that waits, or goes behind unread prompts, while an
	// engine with room that is not the best by delay has none.
	It("is made among all with room whose unread prompts are within it", func() {
		l, view := fleet(map[string]targetload.Load{"unread": unread, "read": read, "full": full})
		req := request()
		target, r, outcome := l.AcquireWithRoom(view, req)
		Expect(outcome).To(Equal(gateway.Placed))
		Expect(target.ID).To(Equal("unread"))
		r.Release()
		req.AnyRoom, req.PromptLimit = true, limit()
		target, _, outcome = l.AcquireWithRoom(view, req)
		Expect(outcome).To(Equal(gateway.Placed))
		Expect(target.ID).To(Equal("read"))
	})

	// Guards against counts of a held prompt, which would outlast a host that dies.
	It("finds no room and counts nothing where all are beyond it", func() {
		l, view := fleet(map[string]targetload.Load{"unread": unread, "full": full})
		req := request()
		req.AnyRoom, req.PromptLimit = true, limit()
		_, r, outcome := l.AcquireWithRoom(view, req)
		Expect(outcome).To(Equal(gateway.NoRoom))
		Expect(r).To(BeNil())
		Expect(req.PromptLimit.Exceeded).To(BeTrue())
		Expect(l.PendingOwnLoads()).To(BeEmpty())
	})

	// Guards against waits for memory that are reported as waits for unread prompts.
	It("tells a want of memory from unread prompts", func() {
		l, view := fleet(map[string]targetload.Load{"full": full})
		req := request()
		req.AnyRoom, req.PromptLimit = true, limit()
		_, _, outcome := l.AcquireWithRoom(view, req)
		Expect(outcome).To(Equal(gateway.NoRoom))
		Expect(req.PromptLimit.Exceeded).To(BeFalse())
	})
})

var _ = Describe("the search of an urgent generation in a large fleet", func() {
	// Engines with memory for 27,000 tokens run what the owners know, and those of silent
	// owners nothing that the host has heard of.
	var (
		loads  map[string]targetload.Load
		silent map[string]bool
	)
	reading := targetload.Load{Running: 1, ReservedTokens: 9400, UnreadTokens: 9000}
	read := targetload.Load{Running: 2, ReservedTokens: 18_800}
	search := func(change ...func(*gateway.PlacementRequest)) (string, gateway.Outcome) {
		l := gateway.NewTargetLoads("host-1", "dc-1", func() time.Duration { return time.Second })
		l.SetHostCount(func() int { return 18 })
		l.SetOwnerQuery(func(target gateway.TargetRef, own []targetload.HostLoad) ([]targetload.HostLoad, bool) {
			if silent[target.ID] {
				return nil, false
			}
			return append(own, targetload.HostLoad{Host: "host-9", Target: target.ID, Version: 1, Load: loads[target.ID]}), true
		})
		cfg := testConfig()
		cfg.Services[1].Engine.MemoryTokens = playMemoryTokens
		targets := map[string]*directory.ObservedTarget{}
		for id := range loads {
			targets[id] = &directory.ObservedTarget{Published: true, Target: directory.Target{ID: id, Service: "llm", DataCentre: "dc-1", Slots: 24}}
		}
		req := gateway.PlacementRequest{Service: "llm", Prompt: call.Prompt{Tokens: 200, MaxOutputTokens: 28}, FirstEventObjective: 500 * time.Millisecond, Locality: gateway.PreferLocal, MemoryShare: 1.1, PrefillBudget: 250 * time.Millisecond}
		for _, c := range change {
			c(&req)
		}
		target, _, outcome := l.AcquireWithRoom(directory.NewView(1, cfg, targets, nil), req)
		if outcome != gateway.Placed {
			return "", outcome
		}
		return target.ID, outcome
	}
	BeforeEach(func() {
		loads = map[string]targetload.Load{"i-0": reading, "i-1": read, "i-2": reading}
		silent = map[string]bool{}
	})

	// Guards against urgent generations behind a long prompt that is not known here because
	// the engine's owner did not answer.
	It("passes over an engine whose owner is silent while another is in time", func() {
		silent["i-0"] = true
		target, outcome := search()
		Expect(outcome).To(Equal(gateway.Placed))
		Expect(target).To(Equal("i-1"))
		// Without the setting the least loaded by what is known is taken, as before.
		target, _ = search(func(req *gateway.PlacementRequest) { req.PrefillBudget = 0 })
		Expect(target).To(Equal("i-0"))
	})

	// Guards against an urgent generation that is sent behind a long prompt although an
	// engine may be done with its one before the objective ends.
	It("ends without room while all engines prefill long prompts", func() {
		loads["i-1"] = reading
		_, outcome := search()
		Expect(outcome).To(Equal(gateway.NoRoom))
	})

	It("takes any engine once the generation must not wait", func() {
		loads["i-1"] = reading
		_, outcome := search(func(req *gateway.PlacementRequest) { req.MemoryShare = 0 })
		Expect(outcome).To(Equal(gateway.Placed))
	})

	// Guards against waits of a host that is cut off from the owners: it places by what it
	// knows.
	It("takes an engine at once where owners don't answer", func() {
		silent = map[string]bool{"i-0": true, "i-1": true, "i-2": true}
		_, outcome := search()
		Expect(outcome).To(Equal(gateway.Placed))
	})
})

var _ = Describe("a generation beside unread prompts", func() {
	var (
		engine *fakeTarget
		gw     *fixture
		logs   *lockedBuffer
	)
	// start starts a gateway whose only engine has unread prompts of another host for half
	// a second. Generations on /brief/ are the most urgent ones.
	start := func(mode contention.Mode, reportObjective time.Duration) {
		logs = &lockedBuffer{}
		engine = startTarget("i-1", respond(completeStream))
		gw = startScheduling(gateway.SchedulingModes{PromptLimits: mode}, platform.Dialect{}, slog.NewTextHandler(logs, nil), nil)
		gw.cfg = testConfig()
		gw.cfg.Routes[2].Priority, gw.cfg.Routes[2].LatencyObjective = 2, reportObjective
		gw.cfg.Routes[3].LatencyObjective = 300 * time.Millisecond
		gw.publish(engine.directoryEntry("llm", "dc-1"))
		gw.loads.MergeLoads("host-9", []targetload.HostLoad{{Host: "host-9", Target: "i-1", Version: 1, Load: targetload.Load{Running: 1, ReservedTokens: 3000, UnreadTokens: 3000}}})
	}
	request := func(path string) *http.Request {
		req := gw.request(http.MethodPost, path)
		req.Header.Set(standin.HeaderTokenUsage, "1000,100")
		return req
	}
	held := func() int64 { return gw.metrics.Get("gateway.prompts_held").(gometrics.Counter).Count() }

	// Guards against a long kind that starves where one engine is left, and against a hold
	// that operators can't see.
	It("is held for half of its caller's time at most", func() {
		start(contention.Auto, 800*time.Millisecond)
		gw.cfg.Routes[2].Timeout = 2 * time.Second
		gw.publish(engine.directoryEntry("llm", "dc-1"))
		Expect(gw.do(request("/report/")).status).To(Equal(http.StatusOK))
		Expect(held()).To(BeEquivalentTo(1))
		hold := time.Duration(gw.metrics.Get("gateway.prompt_hold_us").(gometrics.Histogram).Max()) * time.Microsecond
		Expect(hold).To(And(BeNumerically(">=", 200*time.Millisecond), BeNumerically("<", 1500*time.Millisecond)))
		Expect(logs.String()).To(ContainSubstring("prompt held"))
	})

	// Guards against a generation that an engine is sent for a caller that has left.
	It("is sent to no engine once its caller has left", func() {
		start(contention.Auto, 20*time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), 150*time.Millisecond)
		defer cancel()
		Expect(gw.do(request("/report/").WithContext(ctx)).err).To(HaveOccurred())
		Eventually(held).Should(BeEquivalentTo(1))
		Expect(engine.requestsToRun()).To(BeEmpty())
		Expect(gw.loads.PendingOwnLoads()).To(BeEmpty())
	})

	// Guards against a limit that applies to the most urgent kind, or where the
	// configuration doesn't call for it.
	DescribeTable("is not held", func(mode contention.Mode, reportObjective time.Duration, path string) {
		start(mode, reportObjective)
		Expect(gw.do(request(path)).status).To(Equal(http.StatusOK))
		Expect(held()).To(BeZero())
	},
		Entry("if it is of the most urgent kind", contention.Auto, 800*time.Millisecond, "/brief/"),
		Entry("with the setting off", contention.Never, 800*time.Millisecond, "/report/"),
		Entry("if its objective is about that of the urgent ones", contention.Auto, 500*time.Millisecond, "/report/"),
		Entry("without an objective of its own", contention.Always, time.Duration(0), "/report/"),
	)

	It("is held with the setting on also if its objective is about that of the urgent ones", func() {
		start(contention.Always, 599*time.Millisecond)
		Expect(gw.do(request("/report/")).status).To(Equal(http.StatusOK))
		Expect(held()).To(BeEquivalentTo(1))
	})

	// Guards against accounts of a less urgent priority whose prompts are not limited on the
	// most urgent routes.
	It("is held on the most urgent route if its account is less urgent", func() {
		start(contention.Always, 800*time.Millisecond)
		priority := 3
		gw.cfg.Accounts[0].Priority = &priority
		gw.cfg.Routes[3].LatencyObjective = time.Second
		gw.publish(engine.directoryEntry("llm", "dc-1"))
		Expect(gw.do(request("/brief/")).status).To(Equal(http.StatusOK))
		Expect(held()).To(BeEquivalentTo(1))
	})
})
