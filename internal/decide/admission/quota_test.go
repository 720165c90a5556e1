package admission

import (
	"time"

	. "github.com/onsi/gomega"
)

var _ = Describe("a quota grant of shared limits", func() {
	startWithQuota := func(running, maxRunning int) *harness {
		r := newHarness(1, Config{})
		r.SetShares(r.now, []Share{{Account: "park", MaxRunning: maxRunning, SharedLimits: true}})
		r.askMany(5, "park", nil)
		r.decide()
		Expect(r.decisions).To(BeZero(), "without a quota grant nothing starts and nothing is refused")
		r.SetQuotaGrant(r.now, QuotaGrant{Account: "park", MayStart: true, MaxRunning: running, ExpiresAt: r.now + 3*sec})
		r.decide()
		return r
	}

	DescribeTable("bounds running requests together with the account's limit", func(quotaLimit, accountLimit, expectedRunning int) {
		r := startWithQuota(quotaLimit, accountLimit)
		Expect(r.granted).To(HaveLen(expectedRunning))
		Expect(r.refused).To(BeEmpty())
	},
		Entry("the quota grant is smaller", 2, 3, 2),
		Entry("the account's limit was lowered meanwhile", 3, 1, 1),
		Entry("only the rate is limited", 0, 0, 5),
		Entry("the account's limit has just been set", 0, 3, 0),
	)

	// A control process is paused for longer than its quota grant is valid.
	// The quota has been granted to other pools by then; if the old grant were
	// still used, the account would run more requests than its limit.
	It("expires by the allocator's clock, before the next decision", func() {
		r := startWithQuota(2, 3)
		for _, d := range r.granted {
			r.Settle(r.now, Settlement{Lease: d.Lease, Outcome: OutcomeDone, ProducedTokens: 10})
		}
		r.now += 3 * sec
		r.report("e0", Report{Capacity: 64, KVCapacityTokens: 10_000})
		r.decide()
		Expect(r.granted).To(HaveLen(2))
		r.SetQuotaGrant(r.now, QuotaGrant{Account: "park", MayStart: true, MaxRunning: 1, ExpiresAt: r.now})
		r.decide()
		Expect(r.granted).To(HaveLen(2), "the quota grant had already expired when it arrived")
		r.SetShares(r.now, []Share{{Account: "park"}})
		r.decide()
		Expect(r.granted).To(HaveLen(5), "the account's limit was removed")
	})

	It("reports each account's use, each token once", func() {
		r := startWithQuota(2, 3)
		for _, d := range r.granted {
			r.Renew(r.now, testHolder, []Renewal{{Lease: d.Lease, Target: "e0", Account: "park", ProducedTokens: 20}})
		}
		Expect(r.TakeQuotaUsage(r.now)).To(Equal([]QuotaUsage{{Account: "park", Running: 2, Waiting: 3, ProducedTokens: 40}}))
		Expect(r.TakeQuotaUsage(r.now)).To(Equal([]QuotaUsage{{Account: "park", Running: 2, Waiting: 3}}))
		r.RemoveHolder(r.now, testHolder)
		Expect(r.TakeQuotaUsage(r.now + 3*sec)).To(BeEmpty())
		Expect(r.quotas.byAccount).To(BeEmpty())
	})

	// Requests of a limited account wait at an engine that is nearly idle. If
	// its rate were mistaken for its capacity, a request of another account would
	// be refused with a retry delay of a minute.
	It("does not make an idle pool appear slow", func() {
		r := newHarness(1, Config{})
		r.SetShares(r.now, []Share{{Account: "park", MaxRunning: 3, SharedLimits: true}})
		r.askMany(5, "park", nil)
		first := r.ask("clinic", nil)
		r.decide()
		for i := range 50 {
			r.now += 100 * ms
			r.report("e0", Report{Capacity: 64, KVCapacityTokens: 10_000})
			r.Renew(r.now, testHolder, []Renewal{{Lease: r.granted[first].Lease, Target: "e0", Account: "clinic", ProducedTokens: i}})
			r.decide()
		}
		next := r.ask("clinic", func(a *Ask) { a.MaxWait = time.Second })
		r.decide()
		Expect(r.granted).To(HaveKey(next))
	})
})
