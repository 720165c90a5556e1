package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/quota"
)

func TestQuota(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quota")
}

var row = quota.Limits{Running: 100}

// soleOwner is an owner that has waited out its predecessor by ten seconds.
func soleOwner() *quota.Owner {
	o := quota.NewOwner(quota.Config{})
	o.SetOwner(0, 1, true)
	o.Confirm(10 * time.Second)
	return o
}

func demand(holder string, running, waiting int) quota.Demand {
	return quota.Demand{Account: "park", Holder: holder, Running: running, Waiting: waiting}
}

var _ = Describe("an owner", func() {
	const now = 10 * time.Second

	It("gives by demand, and makes room for a late comer as leases end", func() {
		o := soleOwner()
		Expect(o.Ask(now, row, demand("a", 0, 500)).Running).To(Equal(100))
		Expect(o.Ask(now, row, demand("b", 0, 10)).Running).To(BeZero())
		Expect(o.Ask(now+time.Second, row, demand("a", 40, 500)).Running).To(Equal(90), "b wants ten")
		Expect(o.Ask(now+time.Second, row, demand("b", 0, 10)).Running).To(BeZero(), "a may not know yet")
		o.Confirm(now + 4*time.Second)
		Expect(o.Ask(now+4*time.Second, row, demand("b", 0, 10)).Running).To(Equal(10))
		Expect(o.Leased(now+4*time.Second, "park").Running).To(Equal(100))
	})

	// A pool falls silent with generations in progress. They run on, so giving
	// its part to another pool at once would exceed the row.
	It("counts a silent holder for a minute, unless it is released", func() {
		o := soleOwner()
		o.Ask(now, row, demand("a", 0, 80))
		o.Confirm(now + 20*time.Second)
		Expect(o.Ask(now+20*time.Second, row, demand("b", 0, 80)).Running).To(Equal(20))
		o.Release("park", "a")
		Expect(o.Ask(now+20*time.Second, row, demand("b", 0, 80)).Running).To(Equal(80))
	})

	It("leases nothing while it is new or unconfirmed", func() {
		o := soleOwner()
		Expect(o.Ask(5*time.Second, row, demand("a", 0, 1)).LeaseFor).To(BeZero())
		Expect(o.Ask(13*time.Second, row, demand("a", 0, 1)).LeaseFor).To(BeZero())
		Expect(o.Ask(5*time.Second, row, demand("a", 0, 1)).RetryAfter).To(BeNumerically(">", 0))
	})

	It("leases rates, which a holder can't overdraw for long", func() {
		rate := quota.Limits{TokensPerSecond: 90}
		o, h := soleOwner(), quota.NewHolder(quota.Config{})
		g := o.Ask(now, rate, quota.Demand{Account: "park", Holder: "a", TokensPerSecond: 60})
		Expect(g.TokensPerSecond).To(Equal(60.0))
		Expect(h.MayStart(now, "park", rate, 0)).To(BeFalse())
		h.Granted(now, g)
		Expect(h.MayStart(now, "park", rate, 0)).To(BeTrue())
		h.Charge(now+time.Second, "park", 150)
		Expect(h.MayStart(now+2*time.Second, "park", rate, 0)).To(BeFalse(), "30 tokens of debt")
		Expect(h.MayStart(now+2600*time.Millisecond, "park", rate, 0)).To(BeTrue())
		Expect(h.MayStart(now+3*time.Second, "park", rate, 0)).To(BeFalse(), "the lease is over")
		Expect(h.MayStart(now, "other", quota.Limits{}, 1000)).To(BeTrue(), "no limits")
	})

	It("never leases more than the row, in any seed, unlike counting by gossip", func() {
		used := 0
		for seed := range uint64(100) {
			r := simulate(seed, false)
			Expect(r.leased).To(BeNumerically("<=", row.Running), fmt.Sprint("seed ", seed))
			used += r.used
		}
		Expect(used/100).To(BeNumerically(">", 30), "the quota is used at all")
		Expect(simulate(1, true).running).To(BeNumerically(">", row.Running))
	})
})

type figures struct{ leased, running, used int }

// simulate lets eight pools with a demand that moves share one account for two
// minutes. Messages take up to 400 ms and one in ten is lost; in odd seeds the
// owner changes (read late by either), in all of them pools are cut off for a
// while. Naive pools count by the others' last news.
func simulate(seed uint64, naive bool) (f figures) {
	const pools, tick = 8, 50 * time.Millisecond
	rnd := rand.New(rand.NewPCG(seed, 4))
	owners := []*quota.Owner{quota.NewOwner(quota.Config{}), quota.NewOwner(quota.Config{})}
	owners[0].SetOwner(0, 0, true)
	lists, published := [2]uint64{}, uint64(0)
	var holders [pools]*quota.Holder
	var running, want [pools]int
	var cut [pools]time.Duration
	var news [pools][pools]int
	for i := range holders {
		holders[i] = quota.NewHolder(quota.Config{})
	}
	events := map[int][]func(){}
	later := func(step int, call func()) {
		at := step + 1 + rnd.IntN(8)
		if rnd.IntN(10) > 0 {
			events[at] = append(events[at], call)
		}
	}
	var now time.Duration
	for step := range 2400 {
		now = time.Duration(step) * tick
		for _, call := range events[step] {
			call()
		}
		if seed%2 == 1 && rnd.IntN(400) == 0 {
			published++
		}
		for i, o := range owners {
			if rnd.IntN(40) == 0 {
				lists[i] = published
				o.SetOwner(now, published, int(published%2) == i)
			}
			if lists[i] == published && rnd.IntN(10) == 0 {
				o.Confirm(now)
			}
		}
		leased, all := 0, 0
		for i, h := range holders {
			if rnd.IntN(100) == 0 {
				want[i] = rnd.IntN(80)
			}
			if rnd.IntN(1000) == 0 {
				cut[i] = now + 10*time.Second
			}
			if now >= cut[i] && now >= h.RenewAt("park") && rnd.IntN(4) == 0 {
				d := demand(fmt.Sprint(i), running[i], max(0, want[i]-running[i]))
				o, asked := owners[published%2], now
				later(step, func() {
					g := o.Ask(now, row, d)
					later(int(now/tick), func() { h.Granted(asked, g) })
				})
			}
			room := h.Running(now, "park")
			if naive {
				room = row.Running
				for j := range pools {
					if j != i {
						room -= news[i][j]
					}
				}
			}
			if running[i] < min(want[i], room) {
				running[i]++
			} else if running[i] > 0 && rnd.IntN(20) == 0 {
				running[i]--
			}
			if rnd.IntN(20) == 0 && now >= cut[i] {
				to, r := rnd.IntN(pools), running[i]
				later(step, func() { news[to][i] = r })
			}
			leased += h.Running(now, "park")
			all += running[i]
		}
		f.leased, f.running = max(f.leased, leased), max(f.running, all)
		f.used += all
	}
	f.used /= 2400
	return f
}

func FuzzSumNeverExceeded(f *testing.F) {
	f.Add(uint64(1))
	f.Fuzz(func(t *testing.T, seed uint64) {
		r := simulate(seed, false)
		if r.leased > row.Running || (seed%2 == 0 && r.running > row.Running) {
			t.Fatalf("seed %d: %d leased, %d running of %d", seed, r.leased, r.running, row.Running)
		}
	})
}

func BenchmarkMeasure(b *testing.B) {
	for _, naive := range []bool{false, true} {
		b.Run(fmt.Sprint("naive=", naive), func(b *testing.B) {
			var most, used float64
			for range b.N {
				for seed := range uint64(20) {
					r := simulate(2*seed, naive)
					most = max(most, float64(r.running))
					used += float64(r.used) / 20
				}
			}
			b.ReportMetric(most, "most-running-of-100")
			b.ReportMetric(used/float64(b.N), "mean-running")
		})
	}
}

func BenchmarkMayStart(b *testing.B) {
	h := quota.NewHolder(quota.Config{})
	h.Granted(0, quota.Grant{Account: "park", Running: 5, LeaseFor: time.Hour})
	b.ReportAllocs()
	for range b.N {
		h.MayStart(time.Second, "park", row, 3)
	}
}
