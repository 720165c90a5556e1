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

// harness is an allocator with a clock and a record of its decisions.
type harness struct {
	*Allocator
	now         time.Duration
	granted     map[uint64]Decision
	refused     map[uint64]Decision
	decisions   int
	lastRequest uint64
}

var testHolder = Holder{EntryAddress: "10.0.0.1:80", Incarnation: 1}

// newHarness returns an allocator with engines e0, e1, ... that have 10,000
// tokens of memory and can run 64 requests.
func newHarness(engines int, cfg Config) *harness {
	h := &harness{Allocator: New(cfg), now: 10 * sec, granted: map[uint64]Decision{}, refused: map[uint64]Decision{}}
	h.SetConfirmedOwner(0, true)
	targets := make([]Target, engines)
	for i := range targets {
		targets[i].Address = fmt.Sprint("e", i)
	}
	h.SetTargets(h.now, targets)
	for _, t := range targets {
		h.report(t.Address, Report{Capacity: 64, KVCapacityTokens: 10_000})
	}
	return h
}

func (h *harness) report(target string, rep Report) {
	rep.Target = target
	if rep.Incarnation == 0 {
		rep.Incarnation = 1
	}
	h.Report(h.now, rep)
}

// ask queues a request and returns its number.
func (h *harness) ask(account string, change func(*Ask)) uint64 {
	h.lastRequest++
	ask := Ask{Holder: testHolder, RequestID: h.lastRequest, Account: account, PromptTokens: 100, MaxTokens: 100, MaxWait: time.Minute}
	if change != nil {
		change(&ask)
	}
	h.Ask(h.now, ask)
	return h.lastRequest
}

func (h *harness) askMany(n int, account string, change func(*Ask)) (ids []uint64) {
	for range n {
		ids = append(ids, h.ask(account, change))
	}
	return ids
}

func (h *harness) decide() {
	for _, d := range h.Decide(h.now) {
		h.decisions++
		if d.Granted() {
			h.granted[d.RequestID] = d
		} else {
			h.refused[d.RequestID] = d
		}
	}
}

func (h *harness) advance(d time.Duration) {
	h.now += d
	h.decide()
}

func (h *harness) settle(id uint64, o Outcome, produced int) {
	h.Settle(h.now, Settlement{Lease: h.granted[id].Lease, Outcome: o, ProducedTokens: produced})
}

var _ = Describe("the allocator", func() {
	It("grants no more than fits, and resumes when a request ends", func() {
		r := newHarness(1, Config{})
		ids := r.askMany(64, "a", func(a *Ask) { a.PromptTokens = 600 })
		r.decide()
		first := len(r.granted)
		Expect(first).To(And(BeNumerically(">", 10), BeNumerically("<", 64)))
		r.advance(ms)
		Expect(r.granted).To(HaveLen(first))
		r.settle(ids[0], OutcomeDone, 20)
		r.advance(ms)
		Expect(r.granted).To(HaveLen(first + 1))
	})

	It("distributes by free capacity and prefers a cached prefix", func() {
		r := newHarness(2, Config{})
		r.askMany(10, "a", nil)
		r.decide()
		grantsByTarget := map[string]int{}
		for _, d := range r.granted {
			grantsByTarget[d.Target]++
		}
		Expect(grantsByTarget["e0"]).To(Equal(5))
		prefix := []uint64{1, 2, 3, 4}
		r.report("e1", Report{Capacity: 64, KVCapacityTokens: 10_000, CachedPrefixes: prefix})
		for _, id := range r.askMany(3, "a", func(a *Ask) { a.PromptTokens, a.Prefix = 500, prefix }) {
			r.decide()
			Expect(r.granted[id].Target).To(Equal("e1"))
		}
	})

	DescribeTable("refuses requests that cannot run", func(reason RefusalReason, setup func(r *harness) uint64) {
		r := newHarness(2, Config{QueueLimit: 8})
		id := setup(r)
		r.decide()
		Expect(r.refused).To(HaveKey(id))
		Expect(r.refused[id].Reason).To(Equal(reason))
		if reason != RefusedTooLarge {
			Expect(r.refused[id].RetryAfter).To(BeNumerically(">=", minRetryAfter))
		}
	},
		Entry("a prompt that fits no target", RefusedTooLarge, func(r *harness) uint64 {
			return r.ask("a", func(a *Ask) { a.PromptTokens = 9_900 })
		}),
		Entry("no target", RefusedNoTarget, func(r *harness) uint64 {
			r.SetTargets(r.now, []Target{{Address: "e0", Leaving: true}})
			return r.ask("a", nil)
		}),
		Entry("targets removed while it waits", RefusedNoTarget, func(r *harness) uint64 {
			r.askMany(100, "a", nil)
			r.SetTargets(r.now, nil)
			return 1
		}),
		Entry("stopping", RefusedStopping, func(r *harness) uint64 {
			r.Stop(r.now)
			return r.ask("a", nil)
		}),
		Entry("the account that fills the queue", RefusedOverloaded, func(r *harness) uint64 {
			r.askMany(9, "hot", nil)
			return 9
		}),
		Entry("an account at its limit", RefusedAccountLimit, func(r *harness) uint64 {
			r.SetShares(r.now, []Share{{Account: "a", Weight: 1, MaxRunning: 1}})
			r.askMany(2, "a", func(a *Ask) { a.MaxWait = 0 })
			return 2
		}),
		Entry("a maximum wait that has passed", RefusedDeadline, func(r *harness) uint64 {
			r.report("e0", Report{Capacity: 64, KVCapacityTokens: 10_000, KVUsedTokens: 10_000, Running: 1})
			r.report("e1", Report{Capacity: 64, KVCapacityTokens: 10_000, KVUsedTokens: 10_000, Running: 1})
			id := r.ask("a", func(a *Ask) { a.MaxWait = sec })
			r.advance(sec)
			return id
		}),
	)

	// A hot account has filled the queue. The request of a small account that
	// arrives then must not be the one that is refused.
	It("drops the hot account's newest request for a small account", func() {
		r := newHarness(1, Config{QueueLimit: 50})
		r.askMany(200, "hot", func(a *Ask) { a.PromptTokens = 2000 })
		small := r.ask("small", func(a *Ask) { a.PromptTokens = 2000 })
		r.decide()
		Expect(r.refused).NotTo(HaveKey(small))
		Expect(r.refused).To(HaveLen(151))
	})

	// The pool serves ten requests per second and receives a burst of 300.
	// Requests that cannot be served in time must be refused at once with a
	// retry delay, and not at their deadlines.
	It("refuses at once what cannot be served in time, with a retry delay", func() {
		r := newHarness(1, Config{})
		runningIDs := []uint64{}
		for range 100 {
			runningIDs = append(runningIDs, r.askMany(2, "a", func(a *Ask) { a.MaxWait = 5 * sec })...)
			r.advance(100 * ms)
			r.report("e0", Report{Capacity: 64, KVCapacityTokens: 10_000})
			for _, id := range runningIDs[:1] {
				r.settle(id, OutcomeDone, 100)
			}
			runningIDs = runningIDs[1:]
		}
		before := len(r.refused)
		r.askMany(300, "a", func(a *Ask) { a.MaxWait = 5 * sec })
		r.decide()
		Expect(len(r.refused) - before).To(BeNumerically(">", 200))
		lastRefusal := r.refused[r.lastRequest]
		Expect(lastRefusal.Reason).To(Equal(RefusedDeadline))
		Expect(lastRefusal.RetryAfter).To(BeNumerically("<", 30*sec))
	})

	It("avoids the listed targets unless no other is left", func() {
		r := newHarness(2, Config{})
		ids := append(r.askMany(3, "a", func(a *Ask) { a.Avoid = []string{"e0"} }),
			r.ask("a", func(a *Ask) { a.Avoid = []string{"e0", "e1"} }))
		r.decide()
		for _, id := range ids[:3] {
			Expect(r.granted[id].Target).To(Equal("e1"))
		}
		Expect(r.granted).To(HaveKey(ids[3]))
	})

	It("defers a head that is blocked by its own constraints", func() {
		r := newHarness(2, Config{})
		r.report("e1", Report{Capacity: 64, KVCapacityTokens: 10_000, KVUsedTokens: 9_990, Running: 3})
		r.ask("a", func(a *Ask) { a.Avoid = []string{"e0"} })
		other := r.ask("b", nil)
		r.decide()
		Expect(r.granted).To(HaveLen(1))
		Expect(r.granted).To(HaveKey(other))
	})

	// After a target crash its requests are restricted as suspects. Several
	// restricted requests of one account must not use up the scheduling pass in
	// which other accounts' requests could start.
	It("serves other accounts behind several constrained heads", func() {
		r := newHarness(2, Config{})
		r.report("e1", Report{Capacity: 64, KVCapacityTokens: 10_000, KVUsedTokens: 9_990, Running: 3})
		r.askMany(3, "a", func(a *Ask) { a.Avoid = []string{"e0"} })
		r.askMany(3, "b", func(a *Ask) { a.Avoid = []string{"e0"} })
		others := r.askMany(3, "c", nil)
		r.decide()
		Expect(r.granted).To(HaveLen(3))
		Expect(r.granted).To(HaveKey(others[2]))
	})

	It("grants nothing on a leaving target and keeps its leases", func() {
		r := newHarness(2, Config{})
		r.askMany(4, "a", nil)
		r.decide()
		r.SetTargets(r.now, []Target{{Address: "e0", Leaving: true}, {Address: "e1"}})
		for _, id := range r.askMany(4, "a", nil) {
			r.decide()
			Expect(r.granted[id].Target).To(Equal("e1"))
		}
		Expect(r.Snapshot(r.now).Running).To(Equal(8))
	})

	It("refunds the charge of a request that did not run", func() {
		r := newHarness(1, Config{})
		id := r.ask("a", nil)
		r.decide()
		r.settle(id, OutcomeNotRun, 0)
		Expect(r.queue.Lookup("a").NormalizedService()).To(BeZero())
	})

	It("ranks an adopted long generation below new ones of its account", func() {
		r := newHarness(1, Config{})
		fresh := r.ask("a", nil)
		long := r.ask("a", func(a *Ask) { a.AdoptTarget, a.AdoptTokens = "e0", 4000 })
		r.decide()
		Expect(r.granted[long].Priority).To(BeNumerically("<", r.granted[fresh].Priority))
		Expect(priority(1, 1<<30)).To(BeNumerically(">", priority(0, 0)))
	})
})

var _ = Describe("leases", func() {
	// An entry host fails. Its requests may end at the targets at any time;
	// without expiry their slots would be lost until a restart.
	It("expire unless they are renewed", func() {
		r := newHarness(1, Config{})
		ids := r.askMany(2, "a", nil)
		r.decide()
		for range 5 {
			r.advance(sec)
			r.Renew(r.now, testHolder, []Renewal{{Lease: r.granted[ids[0]].Lease, Target: "e0", Account: "a"}})
		}
		Expect(r.Snapshot(r.now).Running).To(Equal(1))
		r.RemoveHolder(r.now, testHolder)
		Expect(r.Snapshot(r.now).Running).To(BeZero())
	})

	// A control host is replaced. The new owner does not know the running
	// requests; if it filled the engines again, all of them would preempt at
	// once.
	It("are rebuilt from renewals and reports by a new owner", func() {
		predecessor, successor := newHarness(1, Config{Seed: 1}), newHarness(1, Config{Seed: 2})
		predecessor.askMany(64, "a", nil)
		predecessor.decide()
		successor.report("e0", Report{Capacity: 64, KVCapacityTokens: 10_000, KVUsedTokens: 9_000, Running: len(predecessor.granted)})
		successor.askMany(10, "b", nil)
		successor.decide()
		Expect(successor.granted).To(BeEmpty())
		for _, d := range predecessor.granted {
			successor.Renew(successor.now, testHolder, []Renewal{{Lease: d.Lease, Target: d.Target, Account: "a", PromptTokens: 100, ProducedTokens: 50}})
		}
		successor.advance(100 * ms)
		Expect(successor.granted).To(BeEmpty())
		Expect(successor.Snapshot(successor.now).Running).To(Equal(len(predecessor.granted)))
	})

	It("have unique IDs, also across restarts with neighbouring seeds", func() {
		seen := map[LeaseID]bool{}
		for seed := range uint64(50) {
			r := newHarness(2, Config{Seed: seed})
			r.askMany(20, "a", nil)
			r.decide()
			for _, d := range r.granted {
				Expect(seen).NotTo(HaveKey(d.Lease))
				seen[d.Lease] = true
			}
		}
	})
})

var _ = Describe("targets that have just started", func() {
	// A cold engine appears to have the most free capacity. An allocator that
	// is not certain to be its only one must not use it, or two queues together
	// overload it.
	It("get work only from the published owner, and only up to their capacity", func() {
		for _, owner := range []bool{true, false} {
			r := newHarness(0, Config{})
			r.SetConfirmedOwner(0, owner)
			r.SetTargets(r.now, []Target{{Address: "cold"}})
			running := 0
			r.askMany(20, "a", nil)
			for range 20 {
				r.ConfirmOwnership(r.now)
				r.report("cold", Report{Capacity: 3, KVCapacityTokens: 10_000, Running: running})
				r.advance(500 * ms)
				running = len(r.granted)
				for _, d := range r.granted {
					r.Renew(r.now, testHolder, []Renewal{{Lease: d.Lease, Target: "cold", ProducedTokens: 1}})
				}
				Expect(running).To(BeNumerically("<=", 3))
			}
			Expect(running > 0).To(Equal(owner))
		}
	})
})

func (h *harness) renewAll() {
	for _, d := range h.granted {
		if h.leases.byID[d.Lease] != nil {
			h.Renew(h.now, testHolder, []Renewal{{Lease: d.Lease, Target: d.Target, Account: "a"}})
		}
	}
}

// crashTarget settles everything that runs on a target as lost in a crash, and
// restarts the target.
func (h *harness) crashTarget(target string) {
	crashed := 0
	for id, d := range h.granted {
		if d.Target == target {
			h.settle(id, OutcomeTargetCrashed, 0)
			delete(h.granted, id)
			crashed++
		}
	}
	h.targets[target].report.Incarnation++
	h.now += 500 * ms
	h.report(target, Report{Capacity: 64, KVCapacityTokens: 10_000, Incarnation: h.targets[target].report.Incarnation})
}

var _ = Describe("a request that crashes its targets", func() {
	// A prompt triggers a fault in the engine, and its caller retries it each
	// time. Without crash evidence it would crash every target in turn,
	// together with the innocent requests in the same batches.
	It("is refused after three crashes, and innocent requests complete", func() {
		r := newHarness(3, Config{})
		askInnocent := func() uint64 { return r.ask("b", func(a *Ask) { a.Fingerprint = 7 }) }
		crashes, last := 0, uint64(0)
		for range 40 {
			id := r.ask("a", func(a *Ask) { a.Fingerprint = 666 })
			last = askInnocent()
			for range 10 {
				r.advance(500 * ms)
				r.renewAll()
				for i := range 3 {
					address := fmt.Sprint("e", i)
					r.report(address, Report{Capacity: 64, KVCapacityTokens: 10_000, Incarnation: r.targets[address].report.Incarnation})
				}
			}
			if d, ran := r.granted[id]; ran {
				crashes++
				r.crashTarget(d.Target)
			}
			if d, ran := r.granted[last]; ran && d.Lease != 0 {
				r.settle(last, OutcomeDone, 10)
			}
		}
		Expect(crashes).To(BeNumerically("<=", 3))
		Expect(r.refused[r.lastRequest-1].Reason).To(Equal(RefusedPoison))
		Expect(r.granted).To(HaveKey(last))
		successor := newHarness(1, Config{})
		Expect(successor.MergePoisonEvidence(successor.now, r.PoisonEvidence(r.now, 10))).To(BeTrue())
		id := successor.ask("a", func(a *Ask) { a.Fingerprint = 666 })
		successor.decide()
		Expect(successor.refused[id].Reason).To(Equal(RefusedPoison))
	})
})

var _ = Describe("judging a target's speed", func() {
	// One engine has just been refilled and takes four times as long per step
	// as one that has just been drained, and its first tokens are late behind
	// many prompts. If it is classified as slow or cold, it gets no work while
	// callers wait, which cost a sixth of the throughput.
	It("ignores the batch size and the wait behind prompts", func() {
		r := newHarness(2, Config{})
		for i := range 80 {
			r.now += 500 * ms
			full, idle := []string{"e0", "e1"}[i/40%2], []string{"e1", "e0"}[i/40%2]
			r.report(full, Report{Capacity: 64, KVCapacityTokens: 10_000, Running: 100, StepTime: 40 * ms})
			r.report(idle, Report{Capacity: 64, KVCapacityTokens: 10_000, Running: 4, StepTime: 11 * ms})
			id := r.ask("a", nil)
			r.decide()
			r.Settle(r.now, Settlement{Lease: r.granted[id].Lease, Outcome: OutcomeDone, ProducedTokens: 9, TimeToFirstToken: time.Duration(i) * 50 * ms})
			for _, t := range r.targetOrder {
				Expect(r.health.Status(r.now, t.address)).To(Equal(health.Healthy))
				Expect(t.slowStart.State(r.now)).To(Equal(slowstart.Warm))
			}
		}
	})
})

var _ = Describe("identical suspects", func() {
	// A target crashes with a dozen requests. Each must run separately from the
	// others, which takes longer than most of their callers wait.
	It("are refused at once when too many are ahead", func() {
		r := newHarness(2, Config{})
		r.leases.recordFinished(10*sec, 100)
		askWithFingerprint := func(fingerprint uint64) {
			r.ask("a", func(a *Ask) { a.Fingerprint, a.MaxWait = fingerprint, 20*sec })
			r.advance(10 * ms)
		}
		for fingerprint := range uint64(12) {
			askWithFingerprint(fingerprint + 1)
		}
		r.crashTarget("e0")
		r.crashTarget("e1")
		for fingerprint := range uint64(12) {
			askWithFingerprint(fingerprint + 1)
		}
		r.advance(150 * ms)
		Expect(len(r.refused)).To(BeNumerically(">", 3))
		for _, d := range r.refused {
			Expect(d.RetryAfter).To(BeNumerically(">=", 10*sec))
		}
		Expect(r.quarantined).NotTo(BeEmpty())
	})

	// A caller sends its poison request through two entries. Run at the same
	// time, the two copies crash two targets before the first crash is known.
	It("run one at a time", func() {
		r := newHarness(4, Config{})
		poisonAsk := func(a *Ask) { a.Fingerprint = 666 }
		id := r.ask("a", poisonAsk)
		r.decide()
		r.crashTarget(r.granted[id].Target)
		r.askMany(4, "a", poisonAsk)
		before := len(r.granted)
		for range 30 {
			r.now += 500 * ms
			for _, t := range r.targetOrder {
				r.report(t.address, Report{Capacity: 64, KVCapacityTokens: 10_000, Incarnation: t.report.Incarnation})
			}
			r.renewAll()
			r.decide()
		}
		Expect(len(r.granted) - before).To(Equal(1))
		Expect(r.refused).To(BeEmpty(), "targets are idle: no request may be refused as overload")
	})
})

var _ = Describe("a target that fails immediately", func() {
	// A failing target answers quickly because its answers are errors, and so
	// it always appears free. Without a circuit breaker it receives most of the
	// pool's requests and fails them all.
	It("gets trial requests only", func() {
		r := newHarness(3, Config{})
		failed := 0
		for range 200 {
			id := r.ask("a", nil)
			r.advance(10 * ms)
			if r.granted[id].Target == "e0" {
				failed++
				r.settle(id, OutcomeTargetFailed, 0)
			} else if r.lastRequest > 20 {
				r.settle(id-10, OutcomeDone, 10)
			}
			if r.lastRequest%50 == 0 {
				reportAllTargets(r)
			}
		}
		Expect(failed).To(BeNumerically("<", 12))
	})
})

var _ = Describe("plain services", func() {
	// Hundreds of calls of a few milliseconds pass between two reports. If they
	// are counted until a report covers them, they look like unknown requests
	// or like unconfirmed grants, and calls wait for the next report.
	It("run short calls at full capacity between reports", func() {
		r := newHarness(0, Config{})
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

	It("are bounded by their capacity and by the account's limit", func() {
		r := newHarness(0, Config{})
		r.SetTargets(r.now, []Target{{Address: "app"}})
		r.SetShares(r.now, []Share{{Account: "b", Weight: 1, MaxRunning: 2}})
		plainCall := func(a *Ask) { a.PromptTokens, a.MaxTokens = 0, 0 }
		for i := range 30 {
			r.report("app", Report{Capacity: 20})
			r.askMany(1, []string{"a", "b"}[i%2], plainCall)
			r.advance(50 * ms)
		}
		Expect(r.queue.Lookup("b").Running()).To(Equal(2))
		for range 10 {
			r.askMany(3, "a", plainCall)
			r.advance(50 * ms)
			r.report("app", Report{Capacity: 20, Running: len(r.granted)})
		}
		Expect(r.granted).To(HaveLen(20))
	})
})
