package admission

import (
	"time"

	. "github.com/onsi/gomega"
)

var _ = Describe("a part of leased limits", func() {
	start := func(running, maxRunning int) *rig {
		r := newRig(1, Config{})
		r.SetShares(r.now, []Share{{Account: "park", MaxRunning: maxRunning, SharedLimits: true}})
		r.asks(5, "park", nil)
		r.decide()
		Expect(r.decisions).To(BeZero(), "no part, no start, no refusal")
		r.SetQuotaGrant(r.now, QuotaGrant{Account: "park", MayStart: true, MaxRunning: running, ExpiresAt: r.now + 3*sec})
		r.decide()
		return r
	}

	DescribeTable("bounds what runs, with the row", func(part, row, runs int) {
		r := start(part, row)
		Expect(r.granted).To(HaveLen(runs))
		Expect(r.refused).To(BeEmpty())
	},
		Entry("the part is smaller", 2, 3, 2),
		Entry("the row was lowered meanwhile", 3, 1, 1),
		Entry("only the rate is limited", 0, 0, 5),
		Entry("a row that has just got a bound", 0, 3, 0),
	)

	// A control process is paused for longer than a lease and wakes up. Others
	// have its part by then; by the old one it would start what they started.
	It("ends by the allocator's clock, before anything is decided", func() {
		r := start(2, 3)
		for _, d := range r.granted {
			r.Settle(r.now, Settlement{Lease: d.Lease, Outcome: OutcomeDone, ProducedTokens: 10})
		}
		r.now += 3 * sec
		r.report("e0", Report{Capacity: 64, MemoryTokens: 10_000})
		r.decide()
		Expect(r.granted).To(HaveLen(2))
		r.SetQuotaGrant(r.now, QuotaGrant{Account: "park", MayStart: true, MaxRunning: 1, ExpiresAt: r.now})
		r.decide()
		Expect(r.granted).To(HaveLen(2), "an answer that was late itself")
		r.SetShares(r.now, []Share{{Account: "park"}})
		r.decide()
		Expect(r.granted).To(HaveLen(5), "the row's limit was taken out")
	})

	It("tells what each account does, once a token", func() {
		r := start(2, 3)
		for _, d := range r.granted {
			r.Renew(r.now, home, []Renewal{{Lease: d.Lease, Target: "e0", Account: "park", ProducedTokens: 20}})
		}
		Expect(r.TakeQuotaUsage(r.now)).To(Equal([]QuotaUsage{{Account: "park", Running: 2, Waiting: 3, ProducedTokens: 40}}))
		Expect(r.TakeQuotaUsage(r.now)).To(Equal([]QuotaUsage{{Account: "park", Running: 2, Waiting: 3}}))
		r.DropHolder(r.now, home)
		Expect(r.TakeQuotaUsage(r.now + 3*sec)).To(BeEmpty())
		Expect(r.parts.byAccount).To(BeEmpty())
	})

	// Requests of a limited account wait at an engine that is nearly idle. Were
	// its pace then taken for all that it can serve, a clerk of another account
	// would be told to come back in a minute.
	It("doesn't make an idle pool look slow", func() {
		r := newRig(1, Config{})
		r.SetShares(r.now, []Share{{Account: "park", MaxRunning: 3, SharedLimits: true}})
		r.asks(5, "park", nil)
		first := r.ask("clinic", nil)
		r.decide()
		for i := range 50 {
			r.now += 100 * ms
			r.report("e0", Report{Capacity: 64, MemoryTokens: 10_000})
			r.Renew(r.now, home, []Renewal{{Lease: r.granted[first].Lease, Target: "e0", Account: "clinic", ProducedTokens: i}})
			r.decide()
		}
		next := r.ask("clinic", func(a *Ask) { a.MaxWait = time.Second })
		r.decide()
		Expect(r.granted).To(HaveKey(next))
	})
})
