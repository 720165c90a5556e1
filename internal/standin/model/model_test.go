package model_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/promptprefix"
	"filbertdeck/internal/standin/model"
)

func TestModel(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine model")
}

const ms = time.Millisecond

// newTestEngine returns a small, warm engine with step durations that are easy to
// add up: 10 ms per step, plus 1 ms per decoding sequence and 1 ms per prompt
// token. The overrides change its configuration.
func newTestEngine(overrides ...func(*model.Config)) *model.Engine {
	cfg := model.Config{
		MemoryTokens: 100, MaxBatch: 8, MaxWaiting: 8, BaseStep: 10 * ms, PerSequence: ms, PerPromptToken: ms,
		PrefillChunk: 20, WarmCapacity: 8, ReportLag: 100 * ms, CacheBlocks: 4,
	}
	for _, override := range overrides {
		override(&cfg)
	}
	return model.New(cfg)
}

func newJob(id model.JobID, priority, prompt, length int) model.Job {
	return model.Job{ID: id, Priority: priority, PromptTokens: prompt, OutputTokens: length}
}

func submitAll(e *model.Engine, now time.Duration, jobs ...model.Job) {
	for _, j := range jobs {
		ExpectWithOffset(1, e.Submit(now, j)).To(Succeed())
	}
}

// traceEvents steps until no event is pending and lists the events of the given
// kinds as "time:job", with the time in milliseconds.
func traceEvents(e *model.Engine, kinds ...model.EventKind) string {
	var trace []string
	for {
		_, events, ok := e.Step()
		if !ok {
			return strings.Join(trace, " ")
		}
		for _, event := range events {
			for _, wantedKind := range kinds {
				if wantedKind == event.Kind {
					trace = append(trace, fmt.Sprintf("%d:%d", event.At/ms, event.ID))
				}
			}
		}
	}
}

var _ = Describe("the batch", func() {
	It("takes longer with more decoding sequences and prompt tokens", func() {
		e := newTestEngine()
		submitAll(e, 0, newJob(1, 0, 5, 2), newJob(2, 0, 30, 1))
		// The first step computes the prompt of job 1 and ends at 15 ms. The second
		// decodes job 1 and computes 20 of the 30 prompt tokens of job 2 (10+1+20
		// ms), the third computes the other 10.
		Expect(traceEvents(e, model.EventToken)).To(Equal("15:1 46:1 66:2"))
	})

	DescribeTable("admits by priority, then by arrival",
		func(a, b, c int, want string) {
			e := newTestEngine(func(c *model.Config) { c.MaxBatch = 1 })
			submitAll(e, 0, newJob(9, 5, 0, 1), newJob(1, a, 0, 1), newJob(2, b, 0, 1), newJob(3, c, 0, 1))
			Expect(traceEvents(e, model.EventFinished)).To(Equal(want))
		},
		Entry("equal", 0, 0, 0, "11:9 22:1 33:2 44:3"),
		Entry("higher first", 0, 2, 1, "11:9 22:2 33:3 44:1"),
	)

	// Several long generations share the memory, and each grows. When the memory
	// is full during decoding, one of them is preempted and recomputed: its caller
	// sees a stall as long as the recomputation.
	It("preempts the most recently started sequence of the lowest priority when memory is full", func() {
		e := newTestEngine()
		submitAll(e, 0, newJob(1, 0, 20, 20), newJob(2, 1, 20, 20), newJob(3, 0, 20, 20))
		var victims []model.JobID
		for {
			_, events, ok := e.Step()
			if !ok {
				break
			}
			Expect(e.UsedTokens()).To(BeNumerically("<=", 100))
			for _, event := range events {
				if event.Kind == model.EventPreempted {
					victims = append(victims, event.ID)
				}
			}
		}
		Expect(victims).To(Equal([]model.JobID{3}))
		Expect(e.Stats().Finished).To(BeEquivalentTo(3))
		Expect(e.Stats().Tokens).To(BeEquivalentTo(60))
		Expect(e.Stats().Recomputed).To(BeNumerically(">", 20))
	})

	It("preempts lower priorities for a higher one only if that frees enough memory", func() {
		e := newTestEngine()
		submitAll(e, 0, newJob(1, 0, 60, 5), newJob(2, 5, 30, 5))
		e.Advance(30 * ms)
		submitAll(e, 30*ms, newJob(3, 4, 80, 1))
		Expect(traceEvents(e, model.EventPreempted)).To(BeEmpty())
		submitAll(e, e.Now(), newJob(4, 0, 60, 5))
		submitAll(e, e.Now(), newJob(5, 1, 60, 5))
		Expect(traceEvents(e, model.EventPreempted)).To(ContainSubstring(":4"))
		Expect(e.Stats().Finished).To(BeEquivalentTo(5))
	})

	DescribeTable("rejects jobs that it can't run", func(j model.Job, kind failure.Kind) {
		e := newTestEngine(func(c *model.Config) { c.MaxWaiting = 1 })
		submitAll(e, 0, newJob(1, 0, 50, 5), newJob(2, 0, 60, 5))
		Expect(failure.KindOf(e.Submit(0, j))).To(Equal(kind))
	},
		Entry("never fits", newJob(3, 0, 99, 2), failure.KindTooLarge),
		Entry("known id", newJob(1, 0, 1, 1), failure.KindInProgress),
		Entry("no length", newJob(3, 0, 1, 0), failure.KindBadRequest),
		Entry("full queue", newJob(3, 0, 1, 1), failure.KindOverloaded),
	)

	It("frees the memory and the batch slot of a cancelled job", func() {
		e := newTestEngine()
		submitAll(e, 0, newJob(1, 0, 60, 30), newJob(2, 0, 60, 30))
		Expect(e.Cancel(ms, 1)).To(BeTrue())
		Expect(e.Cancel(ms, 1)).To(BeFalse())
		Expect(traceEvents(e, model.EventFinished)).To(HaveSuffix(":2"))
		Expect(e.UsedTokens()).To(BeZero())
	})
})

var _ = Describe("the prefix cache", func() {
	// Engine and entry compute the hash chain independently by the published rule.
	// If the results differed, no request would be routed to its cached prefix.
	It("computes the same block hashes as the entries", func() {
		for n := range 400 {
			prompt := strings.Repeat("0123456789 ", 40)[:n]
			Expect(model.PrefixChain(prompt)).To(Equal(promptprefix.BlockHashes(prompt)))
		}
	})

	It("skips the prefill of cached blocks and evicts the least recently used", func() {
		e := newTestEngine(func(c *model.Config) { c.CacheLag = 50 * ms })
		chain := model.PrefixChain(strings.Repeat("a", 3*64+5))
		other := model.PrefixChain(strings.Repeat("b", 2*64))
		Expect(chain).To(HaveLen(3))
		submitAll(e, 0, model.Job{ID: 1, PromptTokens: 50, OutputTokens: 1, Prefix: chain})
		traceEvents(e)
		submitAll(e, e.Now(), model.Job{ID: 2, PromptTokens: 50, OutputTokens: 1, Prefix: chain})
		started := e.Now()
		traceEvents(e)
		Expect(e.Now() - started).To(Equal(12 * ms))
		Expect(e.CacheEvents(e.Now(), 0).Sequence).To(BeZero(), "the event is not visible yet")
		changes := e.CacheEvents(e.Now()+50*ms, 0)
		Expect(changes).To(Equal(model.CacheChanges{Sequence: 1, Cached: chain}))
		submitAll(e, e.Now(), model.Job{ID: 3, PromptTokens: 32, OutputTokens: 1, Prefix: other})
		traceEvents(e)
		Expect(e.CacheEvents(e.Now()+time.Second, 1).Evicted).To(HaveLen(1))
		Expect(e.CacheEvents(e.Now(), 99).Gap).To(BeTrue(), "a sequence number of another incarnation")
	})

	It("shows lost events as a gap", func() {
		e := newTestEngine(func(c *model.Config) { c.CacheLossRate = 1 })
		submitAll(e, 0, model.Job{ID: 1, PromptTokens: 20, OutputTokens: 1, Prefix: []uint64{7}})
		traceEvents(e)
		Expect(e.CacheEvents(time.Second, 0)).To(Equal(model.CacheChanges{Sequence: 1, Gap: true}))
	})
})

// coldConfig makes an engine start cold, with a warm-up of one second of serving.
func coldConfig(c *model.Config) {
	c.WarmUpTime, c.OverloadStallTime, c.ColdGracePeriod = time.Second, 500*ms, 200*ms
}

var _ = Describe("a cold engine", func() {
	It("has a capacity of one job, which grows while it serves", func() {
		e := newTestEngine(coldConfig)
		Expect(e.Capacity()).To(Equal(1))
		e.Advance(10 * time.Second)
		Expect(e.Capacity()).To(Equal(1), "idle time does not count as warm-up")
		submitAll(e, e.Now(), newJob(1, 0, 0, 50))
		e.Advance(e.Now() + 500*ms)
		Expect(e.Capacity()).To(BeNumerically("~", 4, 1))
		traceEvents(e)
		submitAll(e, e.Now(), newJob(2, 0, 0, 50))
		traceEvents(e)
		Expect(e.Capacity()).To(Equal(8))
		Expect(e.Stats().OverBears).To(BeZero())
	})

	// A restarted engine that receives the load of a warm one produces no tokens
	// for seconds, not even for the one request within its capacity.
	It("stalls or crashes when it gets more jobs than its capacity", func() {
		e := newTestEngine(coldConfig)
		submitAll(e, 0, newJob(1, 0, 0, 2), newJob(2, 0, 0, 2))
		Expect(e.Stats().FellOver).To(BeEquivalentTo(1))
		Expect(traceEvents(e, model.EventToken)).To(HavePrefix("51"))
		Expect(e.Stats().MaxOverCapacity).To(Equal(1))
		e = newTestEngine(coldConfig, func(c *model.Config) { c.OverloadEffect = model.OverloadCrash })
		submitAll(e, 0, newJob(1, 0, 0, 2), newJob(2, 0, 0, 2))
		Expect(e.Crashed()).To(BeTrue())
	})

	// An engine can lose its warm-up under load. Running jobs continue slowly. New
	// jobs are accepted during the grace period, before reports can show the loss;
	// after that they overload the engine.
	It("stalls at new jobs only after a grace period when it loses its warm-up", func() {
		e := newTestEngine(func(c *model.Config) { coldConfig(c); c.ReportLag, c.MemoryTokens = ms, 1000 })
		submitAll(e, 0, newJob(1, 0, 0, 200))
		e.Advance(2 * time.Second)
		submitAll(e, e.Now(), newJob(2, 0, 0, 200))
		Expect(e.Report(e.Now() + ms).Bears).To(Equal(8))
		e.ResetWarmUp(e.Now())
		Expect(e.Report(e.Now() + ms).Bears).To(Equal(1))
		submitAll(e, e.Now()+100*ms, newJob(3, 0, 0, 200))
		Expect(e.Stats().FellOver).To(BeZero())
		submitAll(e, e.Now()+100*ms, newJob(4, 0, 0, 200))
		Expect(e.Stats()).To(HaveField("FellOver", BeEquivalentTo(1)))
		Expect(e.Stats()).To(And(HaveField("OverBears", BeEquivalentTo(2)), HaveField("OverInGrace", BeEquivalentTo(1))))
	})
})

var _ = Describe("a load report", func() {
	It("shows the state as it was one lag earlier", func() {
		e := newTestEngine()
		submitAll(e, 0, newJob(1, 0, 20, 80))
		for i := range 40 {
			at := time.Duration(i) * 20 * ms
			e.Advance(at)
			report := e.Report(at + 100*ms)
			Expect(report.Age).To(Equal(100 * ms))
			Expect(report.UsedTokens).To(BeNumerically("~", 20+at/(11*ms), 3), "at %v", at)
		}
	})
})

var _ = Describe("an injected fault", func() {
	DescribeTable("changes when tokens are produced", func(inject func(*model.Engine), want string) {
		e := newTestEngine()
		submitAll(e, 0, newJob(1, 0, 0, 2))
		inject(e)
		Expect(traceEvents(e, model.EventToken, model.EventCrashed)).To(Equal(want))
	},
		Entry("none", func(*model.Engine) {}, "11:1 22:1"),
		Entry("freeze", func(e *model.Engine) { e.Freeze(5*ms, 100*ms) }, "111:1 122:1"),
		Entry("freeze twice", func(e *model.Engine) { e.Freeze(5*ms, 100*ms); e.Freeze(6*ms, 20*ms) }, "111:1 122:1"),
		Entry("freeze, ended early", func(e *model.Engine) { e.Freeze(5*ms, 100*ms); e.Unfreeze(55 * ms); e.Unfreeze(56 * ms) }, "61:1 72:1"),
		Entry("slow", func(e *model.Engine) { e.SetSlowFactor(5*ms, 3) }, "11:1 44:1"),
		Entry("crash", func(e *model.Engine) { e.Crash(15 * ms) }, ""),
		Entry("reclaim", func(e *model.Engine) { e.Reclaim(5*ms, 10*ms) }, "11:1 15:0"),
		Entry("poison", func(e *model.Engine) { _ = e.Submit(0, model.Job{ID: 6, OutputTokens: 1, Crash: true}) }, "11:1 23:1 23:6"),
	)

	It("leaves a crashed engine stopped until a restart, which is cold and has a new incarnation", func() {
		e := newTestEngine(coldConfig)
		submitAll(e, 0, newJob(1, 0, 0, 2))
		e.Crash(5 * ms)
		Expect(failure.KindOf(e.Submit(6*ms, newJob(2, 0, 0, 2)))).To(Equal(failure.KindNotReady))
		e.Restart(7 * ms)
		Expect(e.Report(7 * ms)).To(And(HaveField("Incarnation", BeEquivalentTo(2)), HaveField("Running", 0)))
		submitAll(e, 7*ms, newJob(1, 0, 0, 2))
		Expect(traceEvents(e, model.EventFinished)).NotTo(BeEmpty())
	})
})
