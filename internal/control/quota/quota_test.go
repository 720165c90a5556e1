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

// settled is when the first owner leases: it waits out its predecessors.
const settled = 9 * time.Second

var park = table.Account{Name: "park", MaxRunning: 3}

func (w *world) started() (all []int) {
	for _, n := range w.nodes[1:] {
		all = append(all, n.pool.starts["park"])
	}
	return all
}

var _ = Describe("a limit over several pools", func() {
	DescribeTable("is never exceeded, and is used again after the fault", func(fault func(w *world)) {
		for seed := range uint64(3) {
			w := newWorld(seed, 5, park)
			w.run(settled)
			Expect(w.started()).To(HaveEach(BeNumerically("<=", 3)))
			Expect(w.nodes[1].pool.starts["free"]).To(BeNumerically(">", 2), "no limit, no wait")
			fault(w)
			before := w.started()
			w.run(75 * time.Second)
			Expect(w.most).To(Equal(3), fmt.Sprint("seed ", seed))
			sum := 0
			for i, n := range w.started() {
				sum += n - before[i]
			}
			// Three places for 75 s and requests of 3 s on average give 75 starts;
			// what was counted for a silent process is missing for a minute.
			Expect(sum).To(BeNumerically(">", 15), fmt.Sprint("seed ", seed))
		}
	},
		// Four pools want three places. Rounded down, a fair part is none, and
		// the account's callers would wait below their limit for ever.
		Entry("without a fault", func(w *world) {
			w.run(time.Minute)
			Expect(w.started()).To(HaveEach(BeNumerically(">", 4)))
		}),
		// The owner's host dies and the list names it for half a minute more.
		// Callers of the account wait meanwhile; they are not refused.
		Entry("when the owner dies", func(w *world) {
			w.run(20 * time.Second)
			w.nodes[0].dead = true
			w.run(4 * time.Second)
			before := w.started()
			w.run(20 * time.Second)
			Expect(w.started()).To(Equal(before), "nobody leases")
			w.publishHosts(w.nodes[1:])
		}),
		// The fleet is split for a minute. The side without the owner starts
		// nothing of the account: its part may be in use on the other side.
		Entry("when the fleet is split", func(w *world) {
			w.run(20 * time.Second)
			w.nodes[3].cut, w.nodes[4].cut = true, true
			w.run(4 * time.Second)
			before := w.started()
			w.run(time.Minute)
			Expect(w.started()[2:]).To(Equal(before[2:]))
			Expect(w.started()[0]).To(BeNumerically(">", before[0]))
			w.nodes[3].cut, w.nodes[4].cut = false, false
		}),
		// Hosts come and go, and with them the owner, each time before the one
		// before has waited out its time. No pool may lose its place in the sum.
		Entry("when the owner changes", func(w *world) {
			for i := range 4 {
				w.publishHosts(w.nodes[(i+1)%2:])
				w.run(15 * time.Second)
			}
			w.publishHosts(w.nodes)
		}),
		// A control process is paused until its part has been given to others.
		// When it wakes up, callers' requests have gathered and its allocator
		// decides before anybody has told it that the lease is over.
		Entry("when a holder is paused", func(w *world) {
			w.run(20 * time.Second)
			w.nodes[2].paused = true
			w.run(80 * time.Second)
			w.nodes[2].wake()
		}),
		// The owner is paused for eight seconds and finds demands in its
		// connections' buffers by which the pools run less than they do.
		Entry("when the owner is paused", func(w *world) {
			w.run(20 * time.Second)
			w.nodes[0].paused = true
			w.run(8 * time.Second)
			w.nodes[0].wake()
			late := metrics.GetOrRegisterCounter("quota.demands_late", w.nodes[0].counts)
			Expect(late.Count()).To(BeNumerically(">", 0))
		}),
		// A control process is replaced at the same address. It knows of nothing
		// that runs until the entries have renewed their leases.
		Entry("when a holder is replaced", func(w *world) {
			for _, n := range w.nodes[2:] {
				n.pool.want = 0
				n.pool.empty("park")
			}
			w.run(20 * time.Second)
			n, old := w.nodes[1], w.nodes[1].pool
			Expect(old.running("park")).To(Equal(3))
			n.pool = newMemoryPool(w, 99)
			n.pool.jobs, n.pool.starts, n.pool.renewsFrom = old.jobs, old.starts, w.now+2*time.Second
			w.publishRow(w.row)
		}),
	)

	// An operator lowers a row while the account runs at its limit. What runs
	// goes on; new requests wait until it is below the new limit.
	It("follows a row that is lowered, raised and taken out", func() {
		w := newWorld(7, 4, table.Account{Name: "park", MaxRunning: 9})
		w.run(settled + 20*time.Second)
		Expect(w.running()).To(Equal(9))
		w.publishRow(park)
		w.run(10 * time.Second)
		w.most = 0
		w.run(20 * time.Second)
		Expect(w.most).To(Equal(3))
		w.publishRow(table.Account{Name: "park"})
		w.run(2 * time.Second)
		Expect(w.running()).To(Equal(60))
	})

	// An account that used one pool moves to another. The first holds a lease
	// of which it uses nothing; without a release it would count for a minute.
	It("moves with the demand within seconds", func() {
		w := newWorld(8, 3, park)
		w.nodes[2].pool.want = 0
		w.run(settled + 20*time.Second)
		Expect(w.nodes[1].pool.running("park")).To(Equal(3))
		w.nodes[1].pool.want, w.nodes[2].pool.want = 0, 20
		w.nodes[1].pool.empty("park")
		w.run(14 * time.Second)
		Expect(w.nodes[2].pool.running("park")).To(Equal(3))
		Expect(w.most).To(Equal(3))
	})

	// The host list gives a pool to another process, as it does all day. The
	// entries follow with what runs. Counted at both, it would keep the account
	// from starting anything for a minute each time.
	It("follows a pool that moves to another process", func() {
		w := newWorld(10, 4, park)
		w.nodes[2].pool.want, w.nodes[3].pool.want = 0, 0
		w.run(settled + 20*time.Second)
		old := w.nodes[1].pool
		// One may have ended in the last tick.
		Expect(old.running("park")).To(BeNumerically(">=", 2))
		w.nodes[1].pool = nil
		next := newMemoryPool(w, 98)
		next.jobs, next.renewsFrom = old.jobs, w.now+time.Second
		w.nodes[2].pool = next
		w.publishRow(w.row)
		w.nodes[3].pool.want = 20
		w.run(20 * time.Second)
		Expect(w.running()).To(BeNumerically(">=", 2))
		Expect(w.nodes[3].pool.starts["park"]).To(BeNumerically(">", 0))
		Expect(w.most).To(Equal(3), "also while other pools want what it gives up")
	})

	// A rate can't cut a generation, so starts are held back until what was
	// produced is paid for.
	It("bounds the tokens of a second", func() {
		w := newWorld(9, 4, table.Account{Name: "park", TokensPerSecond: 200})
		w.run(settled)
		w.produced = 0
		w.run(5 * time.Minute)
		perSecond := float64(w.produced) / 300
		AddReportEntry("tokens a second, limit 200", perSecond)
		Expect(perSecond).To(BeNumerically("~", 200, 40))
	})
})
