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

// small is an engine whose figures are easy to add up: a step takes 10 ms, 1
// ms a decoding sequence and 1 ms a prompt token. It is warm unless changed.
func small(change ...func(*model.Config)) *model.Engine {
	cfg := model.Config{
		MemoryTokens: 100, MaxBatch: 8, MaxWaiting: 8, BaseStep: 10 * ms, PerSequence: ms, PerPromptToken: ms,
		PrefillChunk: 20, WarmCapacity: 8, ReportLag: 100 * ms, CacheBlocks: 4,
	}
	for _, c := range change {
		c(&cfg)
	}
	return model.New(cfg)
}

func job(id model.JobID, priority, prompt, length int) model.Job {
	return model.Job{ID: id, Priority: priority, PromptTokens: prompt, OutputTokens: length}
}

func submit(e *model.Engine, now time.Duration, jobs ...model.Job) {
	for _, j := range jobs {
		ExpectWithOffset(1, e.Submit(now, j)).To(Succeed())
	}
}

// trace steps until nothing is due and writes the events of the wanted kinds
// as "time:job".
func trace(e *model.Engine, kinds ...model.EventKind) string {
	var out []string
	for {
		_, events, ok := e.Step()
		if !ok {
			return strings.Join(out, " ")
		}
		for _, event := range events {
			for _, k := range kinds {
				if k == event.Kind {
					out = append(out, fmt.Sprintf("%d:%d", event.At/ms, event.ID))
				}
			}
		}
	}
}

var _ = Describe("the batch", func() {
	It("takes a time that grows with decoding sequences and prompt tokens", func() {
		e := small()
		submit(e, 0, job(1, 0, 5, 2), job(2, 0, 30, 1))
		// 15 computes the first prompt. The next step decodes job 1 and computes
		// 20 of the 30 tokens of job 2 (10+1+20), the last one the other 10.
		Expect(trace(e, model.EventToken)).To(Equal("15:1 46:1 66:2"))
	})

	DescribeTable("admits by priority, then by arrival",
		func(a, b, c int, want string) {
			e := small(func(c *model.Config) { c.MaxBatch = 1 })
			submit(e, 0, job(9, 5, 0, 1), job(1, a, 0, 1), job(2, b, 0, 1), job(3, c, 0, 1))
			Expect(trace(e, model.EventFinished)).To(Equal(want))
		},
		Entry("equal", 0, 0, 0, "11:9 22:1 33:2 44:3"),
		Entry("higher first", 0, 2, 1, "11:9 22:2 33:3 44:1"),
	)

	// Several long answers share the memory and each grows. When it is full in
	// mid-decode one of them must give way and start over: its caller sees a
	// stall of the length of everything it had computed.
	It("preempts the lowest priority, the latest started of these, when memory is full", func() {
		e := small()
		submit(e, 0, job(1, 0, 20, 20), job(2, 1, 20, 20), job(3, 0, 20, 20))
		var victims []model.JobID
		for {
			_, events, ok := e.Step()
			if !ok {
				break
			}
			Expect(e.Used()).To(BeNumerically("<=", 100))
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

	It("lets a higher priority take the memory of lower ones, and only when that is enough", func() {
		e := small()
		submit(e, 0, job(1, 0, 60, 5), job(2, 5, 30, 5))
		e.Advance(30 * ms)
		submit(e, 30*ms, job(3, 4, 80, 1))
		Expect(trace(e, model.EventPreempted)).To(BeEmpty())
		submit(e, e.Now(), job(4, 0, 60, 5))
		submit(e, e.Now(), job(5, 1, 60, 5))
		Expect(trace(e, model.EventPreempted)).To(ContainSubstring(":4"))
		Expect(e.Stats().Finished).To(BeEquivalentTo(5))
	})

	DescribeTable("refuses what it can't run", func(j model.Job, kind failure.Kind) {
		e := small(func(c *model.Config) { c.MaxWaiting = 1 })
		submit(e, 0, job(1, 0, 50, 5), job(2, 0, 60, 5))
		Expect(failure.KindOf(e.Submit(0, j))).To(Equal(kind))
	},
		Entry("never fits", job(3, 0, 99, 2), failure.KindTooLarge),
		Entry("known id", job(1, 0, 1, 1), failure.KindInProgress),
		Entry("no length", job(3, 0, 1, 0), failure.KindBadRequest),
		Entry("full queue", job(3, 0, 1, 1), failure.KindOverloaded),
	)

	It("frees memory and place of a cancelled job", func() {
		e := small()
		submit(e, 0, job(1, 0, 60, 30), job(2, 0, 60, 30))
		Expect(e.Cancel(ms, 1)).To(BeTrue())
		Expect(e.Cancel(ms, 1)).To(BeFalse())
		Expect(trace(e, model.EventFinished)).To(HaveSuffix(":2"))
		Expect(e.Used()).To(BeZero())
	})
})

var _ = Describe("the prefix cache", func() {
	// Engine and entry each compute the chain by the published rule. Were they
	// to differ, no request would ever find its prefix cached.
	It("names blocks as the entries do", func() {
		for n := range 400 {
			prompt := strings.Repeat("0123456789 ", 40)[:n]
			Expect(model.PrefixChain(prompt)).To(Equal(promptprefix.BlockHashes(prompt)))
		}
	})

	It("saves the prefill of known blocks and evicts the least recently used", func() {
		e := small(func(c *model.Config) { c.CacheLag = 50 * ms })
		chain := model.PrefixChain(strings.Repeat("a", 3*64+5))
		other := model.PrefixChain(strings.Repeat("b", 2*64))
		Expect(chain).To(HaveLen(3))
		submit(e, 0, model.Job{ID: 1, PromptTokens: 50, OutputTokens: 1, Prefix: chain})
		trace(e)
		submit(e, e.Now(), model.Job{ID: 2, PromptTokens: 50, OutputTokens: 1, Prefix: chain})
		before := e.Now()
		trace(e)
		Expect(e.Now() - before).To(Equal(12 * ms))
		Expect(e.CacheEvents(e.Now(), 0).Sequence).To(BeZero(), "the news is late")
		news := e.CacheEvents(e.Now()+50*ms, 0)
		Expect(news).To(Equal(model.CacheNews{Sequence: 1, Cached: chain}))
		submit(e, e.Now(), model.Job{ID: 3, PromptTokens: 32, OutputTokens: 1, Prefix: other})
		trace(e)
		Expect(e.CacheEvents(e.Now()+time.Second, 1).Evicted).To(HaveLen(1))
		Expect(e.CacheEvents(e.Now(), 99).Gap).To(BeTrue(), "a number of another incarnation")
	})

	It("shows lost events as a gap", func() {
		e := small(func(c *model.Config) { c.CacheLoss = 1 })
		submit(e, 0, model.Job{ID: 1, PromptTokens: 20, OutputTokens: 1, Prefix: []uint64{7}})
		trace(e)
		Expect(e.CacheEvents(time.Second, 0)).To(Equal(model.CacheNews{Sequence: 1, Gap: true}))
	})
})

// cold has a ramp of one second of serving.
func cold(c *model.Config) { c.WarmUpTime, c.StallTime, c.ColdGrace = time.Second, 500*ms, 200*ms }

var _ = Describe("a cold engine", func() {
	It("bears one job and, as it serves, more", func() {
		e := small(cold)
		Expect(e.Bears()).To(Equal(1))
		e.Advance(10 * time.Second)
		Expect(e.Bears()).To(Equal(1), "idle time does not warm")
		submit(e, e.Now(), job(1, 0, 0, 50))
		e.Advance(e.Now() + 500*ms)
		Expect(e.Bears()).To(BeNumerically("~", 4, 1))
		trace(e)
		submit(e, e.Now(), job(2, 0, 0, 50))
		trace(e)
		Expect(e.Bears()).To(Equal(8))
		Expect(e.Stats().OverBears).To(BeZero())
	})

	// A restarted engine gets the load of a warm one. Nothing comes out of it
	// for seconds, also for the one request that it would have borne.
	It("falls over when it gets more than it bears", func() {
		e := small(cold)
		submit(e, 0, job(1, 0, 0, 2), job(2, 0, 0, 2))
		Expect(e.Stats().FellOver).To(BeEquivalentTo(1))
		Expect(trace(e, model.EventToken)).To(HavePrefix("51"))
		Expect(e.Stats().MaxOver).To(Equal(1))
		e = small(cold, func(c *model.Config) { c.FallOver = model.FallOverCrash })
		submit(e, 0, job(1, 0, 0, 2), job(2, 0, 0, 2))
		Expect(e.Crashed()).To(BeTrue())
	})

	// A warm engine loses its warmth under load. What runs goes on, slowly; new
	// work is borne for the short time in which nobody can know, then it falls.
	It("turns cold without a sign, and falls over by new work after a grace", func() {
		e := small(func(c *model.Config) { cold(c); c.ReportLag, c.MemoryTokens = ms, 1000 })
		submit(e, 0, job(1, 0, 0, 200))
		e.Advance(2 * time.Second)
		submit(e, e.Now(), job(2, 0, 0, 200))
		Expect(e.Report(e.Now() + ms).Bears).To(Equal(8))
		e.ResetWarmUp(e.Now())
		Expect(e.Report(e.Now() + ms).Bears).To(Equal(1))
		submit(e, e.Now()+100*ms, job(3, 0, 0, 200))
		Expect(e.Stats().FellOver).To(BeZero())
		submit(e, e.Now()+100*ms, job(4, 0, 0, 200))
		Expect(e.Stats()).To(HaveField("FellOver", BeEquivalentTo(1)))
		Expect(e.Stats()).To(And(HaveField("OverBears", BeEquivalentTo(2)), HaveField("OverInGrace", BeEquivalentTo(1))))
	})
})

var _ = Describe("a load report", func() {
	It("tells the state of the lag before, whatever happened since", func() {
		e := small()
		submit(e, 0, job(1, 0, 20, 80))
		for i := range 40 {
			at := time.Duration(i) * 20 * ms
			e.Advance(at)
			now := e.Report(at + 100*ms)
			Expect(now.Age).To(Equal(100 * ms))
			Expect(now.UsedTokens).To(BeNumerically("~", 20+at/(11*ms), 3), "at %v", at)
		}
	})
})

var _ = Describe("a scripted fault", func() {
	DescribeTable("changes when the tokens come", func(act func(*model.Engine), want string) {
		e := small()
		submit(e, 0, job(1, 0, 0, 2))
		act(e)
		Expect(trace(e, model.EventToken, model.EventCrashed)).To(Equal(want))
	},
		Entry("none", func(*model.Engine) {}, "11:1 22:1"),
		Entry("freeze", func(e *model.Engine) { e.Freeze(5*ms, 100*ms) }, "111:1 122:1"),
		Entry("freeze twice", func(e *model.Engine) { e.Freeze(5*ms, 100*ms); e.Freeze(6*ms, 20*ms) }, "111:1 122:1"),
		Entry("freeze, ended early", func(e *model.Engine) { e.Freeze(5*ms, 100*ms); e.Thaw(55 * ms); e.Thaw(56 * ms) }, "61:1 72:1"),
		Entry("slow", func(e *model.Engine) { e.SetSlowFactor(5*ms, 3) }, "11:1 44:1"),
		Entry("crash", func(e *model.Engine) { e.Crash(15 * ms) }, ""),
		Entry("reclaim", func(e *model.Engine) { e.Reclaim(5*ms, 10*ms) }, "11:1 15:0"),
		Entry("poison", func(e *model.Engine) { _ = e.Submit(0, model.Job{ID: 6, OutputTokens: 1, Crash: true}) }, "11:1 23:1 23:6"),
	)

	It("leaves a dead engine dead until it starts again, cold and of a new incarnation", func() {
		e := small(cold)
		submit(e, 0, job(1, 0, 0, 2))
		e.Crash(5 * ms)
		Expect(failure.KindOf(e.Submit(6*ms, job(2, 0, 0, 2)))).To(Equal(failure.KindNotReady))
		e.Restart(7 * ms)
		Expect(e.Report(7 * ms)).To(And(HaveField("Incarnation", BeEquivalentTo(2)), HaveField("Running", 0)))
		submit(e, 7*ms, job(1, 0, 0, 2))
		Expect(trace(e, model.EventFinished)).NotTo(BeEmpty())
	})
})
