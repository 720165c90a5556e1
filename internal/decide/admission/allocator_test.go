package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/health"
	"filbertdeck/internal/decide/slowstart"
)

// Ginkgo isn't imported with a dot because it has a Report of its own.
var (
	Describe      = ginkgo.Describe
	DescribeTable = ginkgo.DescribeTable
	Entry         = ginkgo.Entry
	It            = ginkgo.It

	AddReportEntry = ginkgo.AddReportEntry
)

func TestAdmission(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "admission")
}

const (
	ms  = time.Millisecond
	sec = time.Second
)

// rig is an allocator with a clock and what it decided.
type rig struct {
	*Allocator
	now       time.Duration
	granted   map[uint64]Decision
	refused   map[uint64]Decision
	decisions int
	next      uint64
}

var home = Holder{Entry: "10.0.0.1:80", Incarnation: 1}

// newRig has engines of 10,000 tokens that bear 64 requests: e0, e1, ...
func newRig(engines int, cfg Config) *rig {
	r := &rig{Allocator: New(cfg), now: 10 * sec, granted: map[uint64]Decision{}, refused: map[uint64]Decision{}}
	r.SetConfirmedOwner(0, true)
	targets := make([]Target, engines)
	for i := range targets {
		targets[i].Address = fmt.Sprint("e", i)
	}
	r.SetTargets(r.now, targets)
	for _, t := range targets {
		r.report(t.Address, Report{Capacity: 64, MemoryTokens: 10_000})
	}
	return r
}

func (r *rig) report(target string, rep Report) {
	rep.Target = target
	if rep.Incarnation == 0 {
		rep.Incarnation = 1
	}
	r.Report(r.now, rep)
}

// ask queues a request and returns its number.
func (r *rig) ask(account string, change func(*Ask)) uint64 {
	r.next++
	ask := Ask{Holder: home, Request: r.next, Account: account, PromptTokens: 100, MaxTokens: 100, MaxWait: time.Minute}
	if change != nil {
		change(&ask)
	}
	r.Ask(r.now, ask)
	return r.next
}

func (r *rig) asks(n int, account string, change func(*Ask)) (ids []uint64) {
	for range n {
		ids = append(ids, r.ask(account, change))
	}
	return ids
}

func (r *rig) decide() {
	for _, d := range r.Decide(r.now) {
		r.decisions++
		if d.Granted() {
			r.granted[d.Request] = d
		} else {
			r.refused[d.Request] = d
		}
	}
}

func (r *rig) after(d time.Duration) {
	r.now += d
	r.decide()
}

func (r *rig) settle(id uint64, o Outcome, produced int) {
	r.Settle(r.now, Settlement{Lease: r.granted[id].Lease, Outcome: o, ProducedTokens: produced})
}

var _ = Describe("the allocator", func() {
	It("grants what fits, no more, and goes on when something ends", func() {
		r := newRig(1, Config{})
		ids := r.asks(64, "a", func(a *Ask) { a.PromptTokens = 600 })
		r.decide()
		first := len(r.granted)
		Expect(first).To(And(BeNumerically(">", 10), BeNumerically("<", 64)))
		r.after(ms)
		Expect(r.granted).To(HaveLen(first))
		r.settle(ids[0], OutcomeDone, 20)
		r.after(ms)
		Expect(r.granted).To(HaveLen(first + 1))
	})

	It("spreads over targets by room and prefers a cached prefix", func() {
		r := newRig(2, Config{})
		r.asks(10, "a", nil)
		r.decide()
		on := map[string]int{}
		for _, d := range r.granted {
			on[d.Target]++
		}
		Expect(on["e0"]).To(Equal(5))
		prefix := []uint64{1, 2, 3, 4}
		r.report("e1", Report{Capacity: 64, MemoryTokens: 10_000, CachedPrefixes: prefix})
		for _, id := range r.asks(3, "a", func(a *Ask) { a.PromptTokens, a.Prefix = 500, prefix }) {
			r.decide()
			Expect(r.granted[id].Target).To(Equal("e1"))
		}
	})

	DescribeTable("answers at once what can't run", func(reason RefusalReason, setup func(r *rig) uint64) {
		r := newRig(2, Config{QueueLimit: 8})
		id := setup(r)
		r.decide()
		Expect(r.refused).To(HaveKey(id))
		Expect(r.refused[id].Reason).To(Equal(reason))
		if reason != RefusedTooLarge {
			Expect(r.refused[id].RetryAfter).To(BeNumerically(">=", retryFloor))
		}
	},
		Entry("a prompt that fits no target", RefusedTooLarge, func(r *rig) uint64 {
			return r.ask("a", func(a *Ask) { a.PromptTokens = 9_900 })
		}),
		Entry("no target", RefusedNoTarget, func(r *rig) uint64 {
			r.SetTargets(r.now, []Target{{Address: "e0", Leaving: true}})
			return r.ask("a", nil)
		}),
		Entry("targets gone while it waits", RefusedNoTarget, func(r *rig) uint64 {
			r.asks(100, "a", nil)
			r.SetTargets(r.now, nil)
			return 1
		}),
		Entry("stopping", RefusedStopping, func(r *rig) uint64 {
			r.Stop(r.now)
			return r.ask("a", nil)
		}),
		Entry("the account that fills the queue", RefusedOverloaded, func(r *rig) uint64 {
			r.asks(9, "hot", nil)
			return 9
		}),
		Entry("an account at its limit", RefusedAccountLimit, func(r *rig) uint64 {
			r.SetShares(r.now, []Share{{Account: "a", Weight: 1, MaxRunning: 1}})
			r.asks(2, "a", func(a *Ask) { a.MaxWait = 0 })
			return 2
		}),
		Entry("a wait that is over", RefusedDeadline, func(r *rig) uint64 {
			r.report("e0", Report{Capacity: 64, MemoryTokens: 10_000, UsedTokens: 10_000, Running: 1})
			r.report("e1", Report{Capacity: 64, MemoryTokens: 10_000, UsedTokens: 10_000, Running: 1})
			id := r.ask("a", func(a *Ask) { a.MaxWait = sec })
			r.after(sec)
			return id
		}),
	)

	// A hot account fills the queue. A request of a small account that comes
	// then must not be the one that is turned away.
	It("drops the hot account's newest for a small account", func() {
		r := newRig(1, Config{QueueLimit: 50})
		r.asks(200, "hot", func(a *Ask) { a.PromptTokens = 2000 })
		small := r.ask("small", func(a *Ask) { a.PromptTokens = 2000 })
		r.decide()
		Expect(r.refused).NotTo(HaveKey(small))
		Expect(r.refused).To(HaveLen(151))
	})

	// The pool serves ten requests a second and a thousand more come. Those
	// that can't make it must hear so now, with the time to come back, and not
	// when their time is over.
	It("tells at once who can't make it, and when to come back", func() {
		r := newRig(1, Config{})
		active := []uint64{}
		for range 100 {
			active = append(active, r.asks(2, "a", func(a *Ask) { a.MaxWait = 5 * sec })...)
			r.after(100 * ms)
			r.report("e0", Report{Capacity: 64, MemoryTokens: 10_000})
			for _, id := range active[:1] {
				r.settle(id, OutcomeDone, 100)
			}
			active = active[1:]
		}
		before := len(r.refused)
		r.asks(300, "a", func(a *Ask) { a.MaxWait = 5 * sec })
		r.decide()
		Expect(len(r.refused) - before).To(BeNumerically(">", 200))
		late := r.refused[r.next]
		Expect(late.Reason).To(Equal(RefusedDeadline))
		Expect(late.RetryAfter).To(BeNumerically("<", 30*sec))
	})

	It("avoids targets unless that leaves none", func() {
		r := newRig(2, Config{})
		ids := append(r.asks(3, "a", func(a *Ask) { a.Avoid = []string{"e0"} }),
			r.ask("a", func(a *Ask) { a.Avoid = []string{"e0", "e1"} }))
		r.decide()
		for _, id := range ids[:3] {
			Expect(r.granted[id].Target).To(Equal("e1"))
		}
		Expect(r.granted).To(HaveKey(ids[3]))
	})

	It("passes over a head whose own constraints block it", func() {
		r := newRig(2, Config{})
		r.report("e1", Report{Capacity: 64, MemoryTokens: 10_000, UsedTokens: 9_990, Running: 3})
		r.ask("a", func(a *Ask) { a.Avoid = []string{"e0"} })
		other := r.ask("b", nil)
		r.decide()
		Expect(r.granted).To(HaveLen(1))
		Expect(r.granted).To(HaveKey(other))
	})

	// A target died, and the requests it ran are held apart as suspects. Several
	// of one account must not use up the turn in which others could start.
	It("lets other accounts pass several constrained heads", func() {
		r := newRig(2, Config{})
		r.report("e1", Report{Capacity: 64, MemoryTokens: 10_000, UsedTokens: 9_990, Running: 3})
		r.asks(3, "a", func(a *Ask) { a.Avoid = []string{"e0"} })
		r.asks(3, "b", func(a *Ask) { a.Avoid = []string{"e0"} })
		others := r.asks(3, "c", nil)
		r.decide()
		Expect(r.granted).To(HaveLen(3))
		Expect(r.granted).To(HaveKey(others[2]))
	})

	It("gives a leaving target nothing new and keeps its leases", func() {
		r := newRig(2, Config{})
		r.asks(4, "a", nil)
		r.decide()
		r.SetTargets(r.now, []Target{{Address: "e0", Leaving: true}, {Address: "e1"}})
		for _, id := range r.asks(4, "a", nil) {
			r.decide()
			Expect(r.granted[id].Target).To(Equal("e1"))
		}
		Expect(r.Snapshot(r.now).Running).To(Equal(8))
	})

	It("gives back the charge of a request that did not run", func() {
		r := newRig(1, Config{})
		id := r.ask("a", nil)
		r.decide()
		r.settle(id, OutcomeNotRun, 0)
		Expect(r.queue.Known("a").Served()).To(BeZero())
	})

	It("ranks an adopted long generation behind fresh ones of its account", func() {
		r := newRig(1, Config{})
		fresh := r.ask("a", nil)
		long := r.ask("a", func(a *Ask) { a.AdoptTarget, a.AdoptTokens = "e0", 4000 })
		r.decide()
		Expect(r.granted[long].Priority).To(BeNumerically("<", r.granted[fresh].Priority))
		Expect(priority(1, 1<<30)).To(BeNumerically(">", priority(0, 0)))
	})
})

var _ = Describe("leases", func() {
	// An entry host dies. Its requests may end at the targets any time, and
	// without expiry their places would be lost until a restart.
	It("expire without renewal, and not with it", func() {
		r := newRig(1, Config{})
		ids := r.asks(2, "a", nil)
		r.decide()
		for range 5 {
			r.after(sec)
			r.Renew(r.now, home, []Renewal{{Lease: r.granted[ids[0]].Lease, Target: "e0", Account: "a"}})
		}
		Expect(r.Snapshot(r.now).Running).To(Equal(1))
		r.DropHolder(r.now, home)
		Expect(r.Snapshot(r.now).Running).To(BeZero())
	})

	// A control host is replaced. The new owner knows nothing of what runs; if
	// it filled the engines again, all would preempt at once.
	It("are rebuilt from renewals and reports by a new owner", func() {
		old, heir := newRig(1, Config{Seed: 1}), newRig(1, Config{Seed: 2})
		old.asks(64, "a", nil)
		old.decide()
		heir.report("e0", Report{Capacity: 64, MemoryTokens: 10_000, UsedTokens: 9_000, Running: len(old.granted)})
		heir.asks(10, "b", nil)
		heir.decide()
		Expect(heir.granted).To(BeEmpty())
		for _, d := range old.granted {
			heir.Renew(heir.now, home, []Renewal{{Lease: d.Lease, Target: d.Target, Account: "a", PromptTokens: 100, ProducedTokens: 50}})
		}
		heir.after(100 * ms)
		Expect(heir.granted).To(BeEmpty())
		Expect(heir.Snapshot(heir.now).Running).To(Equal(len(old.granted)))
	})

	It("never share an id, also over restarts with neighbouring seeds", func() {
		seen := map[LeaseID]bool{}
		for seed := range uint64(50) {
			r := newRig(2, Config{Seed: seed})
			r.asks(20, "a", nil)
			r.decide()
			for _, d := range r.granted {
				Expect(seen).NotTo(HaveKey(d.Lease))
				seen[d.Lease] = true
			}
		}
	})
})

var _ = Describe("targets that have just started", func() {
	// A cold engine looks emptiest of all. Whoever is not sure to be its only
	// allocator must leave it alone, or it falls over under two queues.
	It("get work from the published owner alone, never above what they bear", func() {
		for _, owner := range []bool{true, false} {
			r := newRig(0, Config{})
			r.SetConfirmedOwner(0, owner)
			r.SetTargets(r.now, []Target{{Address: "cold"}})
			running := 0
			r.asks(20, "a", nil)
			for range 20 {
				r.ConfirmOwnership(r.now)
				r.report("cold", Report{Capacity: 3, MemoryTokens: 10_000, Running: running})
				r.after(500 * ms)
				running = len(r.granted)
				for _, d := range r.granted {
					r.Renew(r.now, home, []Renewal{{Lease: d.Lease, Target: "cold", ProducedTokens: 1}})
				}
				Expect(running).To(BeNumerically("<=", 3))
			}
			Expect(running > 0).To(Equal(owner))
		}
	})
})

func (r *rig) renewAll() {
	for _, d := range r.granted {
		if r.leases.byID[d.Lease] != nil {
			r.Renew(r.now, home, []Renewal{{Lease: d.Lease, Target: d.Target, Account: "a"}})
		}
	}
}

// crash settles everything that runs on a target as died with it, and starts
// the target anew.
func (r *rig) crash(target string) {
	died := 0
	for id, d := range r.granted {
		if d.Target == target {
			r.settle(id, OutcomeTargetCrashed, 0)
			delete(r.granted, id)
			died++
		}
	}
	r.targets[target].report.Incarnation++
	r.now += 500 * ms
	r.report(target, Report{Capacity: 64, MemoryTokens: 10_000, Incarnation: r.targets[target].report.Incarnation})
}

var _ = Describe("a request that kills its targets", func() {
	// One prompt trips a fault in the engine, and its caller sends it again
	// each time. Without evidence it would take every target down in turn, and
	// the innocent requests in the same batches with them.
	It("is refused after three crashes, and the innocent get through", func() {
		r := newRig(3, Config{})
		innocent := func() uint64 { return r.ask("b", func(a *Ask) { a.Fingerprint = 7 }) }
		crashes, last := 0, uint64(0)
		for range 40 {
			id := r.ask("a", func(a *Ask) { a.Fingerprint = 666 })
			last = innocent()
			for range 10 {
				r.after(500 * ms)
				r.renewAll()
				for i := range 3 {
					address := fmt.Sprint("e", i)
					r.report(address, Report{Capacity: 64, MemoryTokens: 10_000, Incarnation: r.targets[address].report.Incarnation})
				}
			}
			if d, ran := r.granted[id]; ran {
				crashes++
				r.crash(d.Target)
			}
			if d, ran := r.granted[last]; ran && d.Lease != 0 {
				r.settle(last, OutcomeDone, 10)
			}
		}
		Expect(crashes).To(BeNumerically("<=", 3))
		Expect(r.refused[r.next-1].Reason).To(Equal(RefusedPoison))
		Expect(r.granted).To(HaveKey(last))
		heir := newRig(1, Config{})
		Expect(heir.MergePoisonEvidence(heir.now, r.PoisonEvidence(r.now, 10))).To(BeTrue())
		id := heir.ask("a", func(a *Ask) { a.Fingerprint = 666 })
		heir.decide()
		Expect(heir.refused[id].Reason).To(Equal(RefusedPoison))
	})
})

var _ = Describe("judging a target's speed", func() {
	// One engine has just been refilled and takes four times as long for a step
	// as the one that has just been emptied, and its first tokens come late
	// behind many prompts. Taken for slow or cold, it would get nothing while
	// callers wait: a sixth of the throughput was lost so.
	It("leaves out the batch's size and the wait behind prompts", func() {
		r := newRig(2, Config{})
		for i := range 80 {
			r.now += 500 * ms
			full, idle := []string{"e0", "e1"}[i/40%2], []string{"e1", "e0"}[i/40%2]
			r.report(full, Report{Capacity: 64, MemoryTokens: 10_000, Running: 100, StepTime: 40 * ms})
			r.report(idle, Report{Capacity: 64, MemoryTokens: 10_000, Running: 4, StepTime: 11 * ms})
			id := r.ask("a", nil)
			r.decide()
			r.Settle(r.now, Settlement{Lease: r.granted[id].Lease, Outcome: OutcomeDone, ProducedTokens: 9, FirstToken: time.Duration(i) * 50 * ms})
			for _, t := range r.order {
				Expect(r.health.Status(r.now, t.address)).To(Equal(health.Healthy))
				Expect(t.gate.State(r.now)).To(Equal(slowstart.Warm))
			}
		}
	})
})

var _ = Describe("equal suspects", func() {
	// A caller sends its poison request through two entries. Run at the same
	// time, it takes two targets down before anyone knows of the first.
	// A target dies with a dozen requests. Each must run apart from the others,
	// which takes longer than most of their callers wait.
	It("hear at once when too many wait before them", func() {
		r := newRig(2, Config{})
		r.leases.settled(10*sec, 100)
		innocent := func(print uint64) {
			r.ask("a", func(a *Ask) { a.Fingerprint, a.MaxWait = print, 20*sec })
			r.after(10 * ms)
		}
		for print := range uint64(12) {
			innocent(print + 1)
		}
		r.crash("e0")
		r.crash("e1")
		for print := range uint64(12) {
			innocent(print + 1)
		}
		r.after(150 * ms)
		Expect(len(r.refused)).To(BeNumerically(">", 3))
		for _, d := range r.refused {
			Expect(d.RetryAfter).To(BeNumerically(">=", 10*sec))
		}
		Expect(r.held).NotTo(BeEmpty())
	})

	It("run one at a time", func() {
		r := newRig(4, Config{})
		poisonous := func(a *Ask) { a.Fingerprint = 666 }
		id := r.ask("a", poisonous)
		r.decide()
		r.crash(r.granted[id].Target)
		r.asks(4, "a", poisonous)
		before := len(r.granted)
		for range 30 {
			r.now += 500 * ms
			for _, t := range r.order {
				r.report(t.address, Report{Capacity: 64, MemoryTokens: 10_000, Incarnation: t.report.Incarnation})
			}
			r.renewAll()
			r.decide()
		}
		Expect(len(r.granted) - before).To(Equal(1))
		Expect(r.refused).To(BeEmpty(), "targets are idle: nobody may hear that they are full")
	})
})

var _ = Describe("a target that fails at once", func() {
	// Its answers come quickly because they are errors, and so it always looks
	// free. Without a breaker it draws most of the pool's requests and loses
	// them all.
	It("gets trial requests only", func() {
		r := newRig(3, Config{})
		lost := 0
		for range 200 {
			id := r.ask("a", nil)
			r.after(10 * ms)
			if r.granted[id].Target == "e0" {
				lost++
				r.settle(id, OutcomeTargetFailed, 0)
			} else if r.next > 20 {
				r.settle(id-10, OutcomeDone, 10)
			}
			if r.next%50 == 0 {
				reports(r)
			}
		}
		Expect(lost).To(BeNumerically("<", 12))
	})
})

var _ = Describe("plain services", func() {
	// Calls of a few milliseconds come and go by the hundred between two
	// reports. Counted until a report covers them, they look like strangers or
	// like an unproven burst, and gate lookups wait for the next report.
	It("serve short calls at full width between reports", func() {
		r := newRig(0, Config{})
		r.SetTargets(r.now, []Target{{Address: "app"}})
		served := 0
		for i := range 1000 {
			if i%50 == 0 {
				r.report("app", Report{Capacity: 20, Running: min(20, i), Age: 400 * ms})
			}
			for len(r.waiting) < 40 {
				r.ask("a", func(a *Ask) { a.PromptTokens, a.MaxTokens = 0, 0 })
			}
			r.now += 10 * ms
			for id := range r.granted {
				served++
				r.settle(id, OutcomeDone, 0)
			}
			clear(r.granted)
			r.decide()
		}
		Expect(served).To(BeNumerically(">", 1000*20*8/10))
	})

	It("are bounded by what they bear, and by the account's limit", func() {
		r := newRig(0, Config{})
		r.SetTargets(r.now, []Target{{Address: "app"}})
		r.SetShares(r.now, []Share{{Account: "b", Weight: 1, MaxRunning: 2}})
		plain := func(a *Ask) { a.PromptTokens, a.MaxTokens = 0, 0 }
		for i := range 30 {
			r.report("app", Report{Capacity: 20})
			r.asks(1, []string{"a", "b"}[i%2], plain)
			r.after(50 * ms)
		}
		Expect(r.queue.Known("b").Running()).To(Equal(2))
		for range 10 {
			r.asks(3, "a", plain)
			r.after(50 * ms)
			r.report("app", Report{Capacity: 20, Running: len(r.granted)})
		}
		Expect(r.granted).To(HaveLen(20))
	})
})
