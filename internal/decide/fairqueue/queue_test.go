package fairqueue

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFairQueue(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fairqueue")
}

// job is a running request of the little pool below.
type job struct {
	account string
	left    int
	made    int
}

// pool runs at most slots requests; each makes a token a step.
type pool struct {
	queue   *Queue[int]
	running []job
	served  map[string]float64
}

const slots = 48

// step makes one token for each running request and refills free slots. Charge
// reaches the queue every tenth token, as renewals do.
func (p *pool) step(fill func() (job, bool)) {
	kept := p.running[:0]
	for _, j := range p.running {
		j.left--
		j.made++
		p.served[j.account]++
		a := p.queue.Known(j.account)
		if j.made%10 == 0 {
			p.queue.Charge(a, 10)
		}
		if j.left > 0 {
			kept = append(kept, j)
			continue
		}
		p.queue.Charge(a, float64(j.made%10))
		p.queue.Finish(a, float64(j.made))
	}
	p.running = kept
	for len(p.running) < slots {
		j, ok := fill()
		if !ok {
			return
		}
		p.running = append(p.running, j)
	}
}

// worst runs accounts that are always backlogged, each with its own lengths
// and weight, and returns the worst deviation of service over weight from the
// mean, over windows of 1200 steps (30 s at 25 tokens a second).
func worst(weights []float64, lengths []int, lookAhead float64, fifo bool) float64 {
	const window, windows = 1200, 12
	r := rand.New(rand.NewPCG(7, 7))
	p := &pool{queue: New[int](10_000, lookAhead), served: map[string]float64{}}
	arrivals := 0
	fill := func() (job, bool) {
		for i := range weights {
			name := fmt.Sprint("a", i)
			a := p.queue.Account(name, weights[i], 0)
			for a.Waiting() < 5 {
				length := 1 + r.IntN(2*lengths[i])
				p.queue.Push(a, 0, time.Hour, length)
			}
		}
		head := p.queue.Head()
		if fifo {
			arrivals++
			head = p.queue.Known(fmt.Sprint("a", arrivals%len(weights))).first
		}
		j := job{account: head.Account.Name, left: head.Value}
		p.queue.Start(head, 0)
		p.queue.Release(head)
		return j, true
	}
	deviation := 0.0
	for w := range windows {
		clear(p.served)
		for range window {
			p.step(fill)
		}
		if w < 2 {
			continue
		}
		deviation = max(deviation, spread(p.served, weights))
	}
	return deviation
}

func spread(served map[string]float64, weights []float64) float64 {
	mean, out := 0.0, 0.0
	for i, w := range weights {
		mean += served[fmt.Sprint("a", i)] / w / float64(len(weights))
	}
	for i, w := range weights {
		out = max(out, math.Abs(served[fmt.Sprint("a", i)]/w/mean-1))
	}
	return out
}

var _ = Describe("service over weight", func() {
	DescribeTable("stays within 5% over 30 seconds", func(weights []float64, lengths []int) {
		Expect(worst(weights, lengths, DefaultLookAhead, false)).To(BeNumerically("<", 0.05))
	},
		Entry("like lengths", []float64{1, 1, 1, 1}, []int{200, 200, 200, 200}),
		Entry("long against short", []float64{1, 1, 1}, []int{20, 300, 900}),
		Entry("unlike weights", []float64{4, 2, 1, 1}, []int{100, 400, 300, 100}),
	)

	// Served in the order of arrival, an account whose outputs are long gets
	// most of the pool: the others' callers wait behind its reports.
	It("fails without the counters", func() {
		Expect(worst([]float64{1, 1, 1}, []int{20, 300, 900}, DefaultLookAhead, true)).To(BeNumerically(">", 0.5))
	})

	// Steered by past service alone, an account that is behind takes every free
	// place, and holds too many for as long as its long outputs last.
	It("swings without the look ahead", func() {
		damped := worst([]float64{1, 1, 1}, []int{20, 300, 900}, DefaultLookAhead, false)
		Expect(worst([]float64{1, 1, 1}, []int{20, 300, 900}, 0, false)).To(BeNumerically(">", 2*damped))
	})
})

var _ = Describe("the queue", func() {
	// An account that slept for an hour wakes up with thousands of requests.
	// With credit for the idle hour it would hold the pool until that is used
	// up, and everybody else's callers would see a dead service.
	It("gives no credit for idle time", func() {
		q := New[int](1000, 0)
		busy, sleeper := q.Account("busy", 1, 0), q.Account("sleeper", 1, 0)
		q.Push(sleeper, 0, time.Hour, 0)
		q.Start(q.Head(), 1)
		q.Finish(sleeper, 1)
		for range 100 {
			q.Push(busy, 0, time.Hour, 0)
			q.Start(q.Head(), 100)
		}
		sleeper = q.Account("sleeper", 1, 0)
		picked := map[string]int{}
		for range 40 {
			q.Push(busy, 0, time.Hour, 0)
			q.Push(sleeper, 0, time.Hour, 0)
		}
		for range 40 {
			picked[q.Head().Account.Name]++
			q.Start(q.Head(), 100)
		}
		Expect(picked["busy"]).To(BeNumerically(">=", 19))
	})

	// A burst of one account fills the queue. Turning away whoever comes next
	// would hit the small accounts, whose callers did nothing unusual.
	It("drops from the account that takes most of the queue", func() {
		q := New[int](10, 0)
		big, small := q.Account("big", 1, 0), q.Account("small", 1, 0)
		for i := range 10 {
			q.Push(big, 0, time.Hour, i)
		}
		victim, full := q.Crowded(small)
		Expect(full).To(BeTrue())
		Expect(victim.Value).To(Equal(9))
		victim, full = q.Crowded(big)
		Expect(full).To(BeTrue())
		Expect(victim).To(BeNil())
	})

	It("holds an account at its limit and lets others pass", func() {
		q := New[int](10, 0)
		a, b := q.Account("a", 1, 1), q.Account("b", 1, 0)
		q.Push(a, 0, time.Hour, 1)
		q.Push(a, 0, time.Hour, 2)
		q.Push(b, 0, time.Hour, 3)
		q.Start(q.Head(), 1)
		Expect(q.Head().Value).To(Equal(3))
		q.Start(q.Head(), 1)
		Expect(q.Head()).To(BeNil())
		q.Finish(a, 1)
		Expect(q.Head().Value).To(Equal(2))
	})

	It("estimates the wait from the share of a measured rate", func() {
		q := New[int](100, 0)
		var d Drain
		a, b := q.Account("a", 3, 0), q.Account("b", 1, 0)
		for range 12 {
			q.Push(a, 0, time.Hour, 0)
			q.Push(b, 0, time.Hour, 0)
		}
		Expect(q.Wait(&d, a, 11, 100)).To(BeZero())
		for t := drainTick; t <= 10*time.Second; t += drainTick {
			d.Charge(40)
			d.Tick(t, true)
		}
		Expect(q.Wait(&d, a, 11, 100)).To(BeNumerically("~", 4*time.Second, 100*time.Millisecond))
		Expect(q.Wait(&d, b, 11, 100)).To(BeNumerically("~", 12*time.Second, 300*time.Millisecond))
	})

	// An account that pauses for a moment still owes what it used; over a day
	// thousands of accounts come and go, and memory must not keep them all.
	It("forgets idle accounts, a minute later also those that owe", func() {
		q := New[int](100, 0)
		for i := range 1000 {
			now := time.Duration(i) * time.Second
			q.Push(q.Account(fmt.Sprint(i), 1, 0), now, time.Hour, 0)
			if i == 50 {
				Expect(q.Accounts()).To(BeNumerically(">", 45))
			}
			r := q.Head()
			a := r.Account
			q.Start(r, float64(i%100))
			q.Finish(a, 1)
			q.Release(r)
		}
		Expect(q.Accounts()).To(BeNumerically("<", 200))
	})
})

// FuzzQueue drives the queue with random operations and checks its sums.
func FuzzQueue(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 8, 9, 1, 1, 2, 4, 4, 5, 6, 7, 0, 0, 3})
	f.Fuzz(func(t *testing.T, ops []byte) {
		q := New[int](16, 64)
		var waiting, running []*Request[int]
		for i, op := range ops {
			a := q.Account(fmt.Sprint(op>>3&3), float64(op>>5)+0.5, int(op>>6)*2)
			switch op & 7 {
			case 0, 1, 2:
				if _, full := q.Crowded(a); !full {
					waiting = append(waiting, q.Push(a, 0, time.Duration(op), i))
				}
			case 3, 4:
				if r := q.Head(); r != nil {
					for _, w := range waiting {
						if !w.Account.Limited() && w.Account.key(64) < r.Account.key(64) {
							t.Fatalf("%s goes before %s", r.Account.Name, w.Account.Name)
						}
					}
					q.Start(r, float64(op))
					running = append(running, r)
					waiting = without(waiting, r)
				}
			case 5:
				if len(running) > 0 {
					q.Finish(running[0].Account, float64(op))
					running = running[1:]
				}
			case 6:
				q.Charge(a, float64(op))
			case 7:
				if r := q.Expired(time.Duration(op)); r != nil {
					q.Remove(r)
					waiting = without(waiting, r)
				}
			}
			check(t, q, len(waiting), len(running))
		}
	})
}

func without(rs []*Request[int], r *Request[int]) []*Request[int] {
	for i := range rs {
		if rs[i] == r {
			return append(rs[:i:i], rs[i+1:]...)
		}
	}
	return rs
}

func check(t *testing.T, q *Queue[int], waiting, running int) {
	t.Helper()
	weights, w, r := 0.0, 0, 0
	for _, a := range q.accounts {
		w += a.waiting
		r += a.running
		if a.waiting > 0 {
			weights += a.weight
		}
		if ready := a.waiting > 0 && !a.Limited(); ready != (a.readyAt >= 0) {
			t.Fatalf("account %s: ready %v, placed at %d", a.Name, ready, a.readyAt)
		}
	}
	if w != waiting || r != running || q.Len() != waiting || math.Abs(weights-q.backlogged) > 1e-9 {
		t.Fatalf("waiting %d/%d/%d running %d/%d weights %g/%g", w, q.Len(), waiting, r, running, weights, q.backlogged)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, accounts := range []int{100, 11_000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			q := New[int](4*accounts, DefaultLookAhead)
			all := make([]*Account[int], accounts)
			for i := range all {
				all[i] = q.Account(fmt.Sprint(i), 1+float64(i%7), 0)
				q.Push(all[i], 0, time.Hour, 0)
				q.Push(all[i], 0, time.Hour, 0)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				r := q.Head()
				a := r.Account
				q.Start(r, 400)
				q.Release(r)
				q.Charge(a, 300)
				q.Finish(a, 700)
				q.Push(a, 0, time.Hour, 0)
			}
		})
	}
}
