package quota_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"filbertdeck/internal/table"
)

func TestQuota(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "account limits between control processes")
}

// ownerSettleTime is when the first owner starts to lease: until then it waits
// for the leases of possible predecessors to expire.
const ownerSettleTime = 9 * time.Second

var parkAccount = table.Account{Name: "park", MaxRunning: 3}

func (s *simulation) poolStarts() (all []int) {
	for _, n := range s.nodes[1:] {
		all = append(all, n.pool.startCounts["park"])
	}
	return all
}

var _ = Describe("a limit over several pools", func() {
	DescribeTable("is never exceeded, and is used again after the fault", func(injectFault func(sim *simulation)) {
		for seed := range uint64(3) {
			sim := newSimulation(seed, 5, parkAccount)
			sim.run(ownerSettleTime)
			Expect(sim.poolStarts()).To(HaveEach(BeNumerically("<=", 3)))
			Expect(sim.nodes[1].pool.startCounts["free"]).To(BeNumerically(">", 2), "an account without a limit does not wait")
			injectFault(sim)
			before := sim.poolStarts()
			sim.run(75 * time.Second)
			Expect(sim.maxRunning).To(Equal(3), fmt.Sprint("seed ", seed))
			starts := 0
			for i, n := range sim.poolStarts() {
				starts += n - before[i]
			}
			// Three places for 75 s and requests of 3 s on average give 75 starts;
			// the part of a silent process is missing for a minute.
			Expect(starts).To(BeNumerically(">", 15), fmt.Sprint("seed ", seed))
		}
	},
		// Four pools want three places. If a fair part were rounded down to none,
		// the account's callers would wait below their limit forever.
		Entry("without a fault", func(sim *simulation) {
			sim.run(time.Minute)
			Expect(sim.poolStarts()).To(HaveEach(BeNumerically(">", 4)))
		}),
		// The owner's host crashes, and the list names it for half a minute more.
		// Callers of the account wait in that time; they are not refused.
		Entry("when the owner crashes", func(sim *simulation) {
			sim.run(20 * time.Second)
			sim.nodes[0].crashed = true
			sim.run(4 * time.Second)
			before := sim.poolStarts()
			sim.run(20 * time.Second)
			Expect(sim.poolStarts()).To(Equal(before), "no process leases")
			sim.publishHosts(sim.nodes[1:])
		}),
		// The network is partitioned for a minute. The side without the owner
		// starts no requests of the account: its part may be in use on the other
		// side.
		Entry("when the network is partitioned", func(sim *simulation) {
			sim.run(20 * time.Second)
			sim.nodes[3].partitioned, sim.nodes[4].partitioned = true, true
			sim.run(4 * time.Second)
			before := sim.poolStarts()
			sim.run(time.Minute)
			Expect(sim.poolStarts()[2:]).To(Equal(before[2:]))
			Expect(sim.poolStarts()[0]).To(BeNumerically(">", before[0]))
			sim.nodes[3].partitioned, sim.nodes[4].partitioned = false, false
		}),
		// The owner changes repeatedly, each time before the previous one has
		// finished waiting for its predecessor's leases. No pool's requests may be
		// missing from the sum.
		Entry("when the owner changes", func(sim *simulation) {
			for i := range 4 {
				sim.publishHosts(sim.nodes[(i+1)%2:])
				sim.run(15 * time.Second)
			}
			sim.publishHosts(sim.nodes)
		}),
		// A control process is paused until its part has been given to others.
		// When it resumes, requests have queued up, and its allocator decides
		// before it is told that the lease has expired.
		Entry("when a holder is paused", func(sim *simulation) {
			sim.run(20 * time.Second)
			sim.nodes[2].paused = true
			sim.run(80 * time.Second)
			sim.nodes[2].resume()
		}),
		// The owner is paused for eight seconds and then finds demands in its
		// connections' buffers that report less than the pools run by then.
		Entry("when the owner is paused", func(sim *simulation) {
			sim.run(20 * time.Second)
			sim.nodes[0].paused = true
			sim.run(8 * time.Second)
			sim.nodes[0].resume()
			late := metrics.GetOrRegisterCounter("quota.demands_late", sim.nodes[0].registry)
			Expect(late.Count()).To(BeNumerically(">", 0))
		}),
		// A control process is replaced at the same address. The new one knows of
		// no running requests until the entries have renewed their leases.
		Entry("when a holder is replaced", func(sim *simulation) {
			for _, n := range sim.nodes[2:] {
				n.pool.demand = 0
				n.pool.withdrawAll("park")
			}
			sim.run(20 * time.Second)
			n, old := sim.nodes[1], sim.nodes[1].pool
			Expect(old.running("park")).To(Equal(3))
			n.pool = newSimulatedPool(sim, 99)
			n.pool.requests, n.pool.startCounts, n.pool.renewAfter = old.requests, old.startCounts, sim.now+2*time.Second
			sim.publishRow(sim.accountRow)
		}),
	)

	// An operator lowers a limit while the account uses all of it. Running
	// requests continue; new ones wait until the account is below the new limit.
	It("follows a limit that is lowered and then removed", func() {
		sim := newSimulation(7, 4, table.Account{Name: "park", MaxRunning: 9})
		sim.run(ownerSettleTime + 20*time.Second)
		Expect(sim.running()).To(Equal(9))
		sim.publishRow(parkAccount)
		sim.run(10 * time.Second)
		sim.maxRunning = 0
		sim.run(20 * time.Second)
		Expect(sim.maxRunning).To(Equal(3))
		sim.publishRow(table.Account{Name: "park"})
		sim.run(2 * time.Second)
		Expect(sim.running()).To(Equal(60))
	})

	// The requests of an account move from one pool to another. The first pool
	// holds a lease that it no longer uses; without a release it would count for
	// a minute.
	It("moves with the demand within seconds", func() {
		sim := newSimulation(8, 3, parkAccount)
		sim.nodes[2].pool.demand = 0
		sim.run(ownerSettleTime + 20*time.Second)
		Expect(sim.nodes[1].pool.running("park")).To(Equal(3))
		sim.nodes[1].pool.demand, sim.nodes[2].pool.demand = 0, 20
		sim.nodes[1].pool.withdrawAll("park")
		sim.run(14 * time.Second)
		Expect(sim.nodes[2].pool.running("park")).To(Equal(3))
		Expect(sim.maxRunning).To(Equal(3))
	})

	// The host list assigns a pool to another process, which is routine. The
	// entries follow with the running requests. If these were counted at both
	// processes, the account could start nothing for a minute each time.
	It("follows a pool that moves to another process", func() {
		sim := newSimulation(10, 4, parkAccount)
		sim.nodes[2].pool.demand, sim.nodes[3].pool.demand = 0, 0
		sim.run(ownerSettleTime + 20*time.Second)
		old := sim.nodes[1].pool
		// One request may have ended in the last tick.
		Expect(old.running("park")).To(BeNumerically(">=", 2))
		sim.nodes[1].pool = nil
		next := newSimulatedPool(sim, 98)
		next.requests, next.renewAfter = old.requests, sim.now+time.Second
		sim.nodes[2].pool = next
		sim.publishRow(sim.accountRow)
		sim.nodes[3].pool.demand = 20
		sim.run(20 * time.Second)
		Expect(sim.running()).To(BeNumerically(">=", 2))
		Expect(sim.nodes[3].pool.startCounts["park"]).To(BeNumerically(">", 0))
		Expect(sim.maxRunning).To(Equal(3), "even while other pools ask for the released part")
	})

	// A rate limit cannot cut off a running generation, so starts are held back
	// until the rate has covered the tokens that were produced.
	It("bounds the tokens per second", func() {
		sim := newSimulation(9, 4, table.Account{Name: "park", TokensPerSecond: 200})
		sim.run(ownerSettleTime)
		sim.producedTokens = 0
		sim.run(5 * time.Minute)
		perSecond := float64(sim.producedTokens) / 300
		AddReportEntry("tokens per second, limit 200", perSecond)
		Expect(perSecond).To(BeNumerically("~", 200, 40))
	})
})
