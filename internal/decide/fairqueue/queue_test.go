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

// simulatedRequest is a running request of simulatedPool.
type simulatedRequest struct {
	account   string
	remaining int
	produced  int
}

// simulatedPool runs at most poolSlots requests; each produces a token per
// step.
type simulatedPool struct {
	queue   *Queue[int]
	running []simulatedRequest
	served  map[string]float64
}

const poolSlots = 48

// step produces one token for each running request and refills free slots. The
// queue is charged every tenth token, as it is at renewals.
func (p *simulatedPool) step(nextRequest func() (simulatedRequest, bool)) {
	kept := p.running[:0]
	for _, request := range p.running {
		request.remaining--
		request.produced++
		p.served[request.account]++
		a := p.queue.Lookup(request.account)
		if request.produced%10 == 0 {
			p.queue.Charge(a, 10)
		}
		if request.remaining > 0 {
			kept = append(kept, request)
			continue
		}
		p.queue.Charge(a, float64(request.produced%10))
		p.queue.Finish(a, float64(request.produced))
	}
	p.running = kept
	for len(p.running) < poolSlots {
		request, ok := nextRequest()
		if !ok {
			return
		}
		p.running = append(p.running, request)
	}
}

// maxDeviation runs accounts that are always backlogged, each with its own mean
// length and weight, and returns the maximum relative deviation of service over
// weight from the mean, over windows of 1200 steps (30 s at 25 tokens per
// second).
func maxDeviation(weights []float64, lengths []int, lookAhead float64, fifo bool) float64 {
	const window, windows = 1200, 12
	r := rand.New(rand.NewPCG(7, 7))
	p := &simulatedPool{queue: New[int](10_000, lookAhead), served: map[string]float64{}}
	arrivals := 0
	nextRequest := func() (simulatedRequest, bool) {
		for i := range weights {
			name := fmt.Sprint("a", i)
			a := p.queue.UpsertAccount(name, weights[i], 0)
			for a.Waiting() < 5 {
				length := 1 + r.IntN(2*lengths[i])
				p.queue.Push(a, 0, time.Hour, length)
			}
		}
		head := p.queue.Head()
		if fifo {
			arrivals++
			head = p.queue.Lookup(fmt.Sprint("a", arrivals%len(weights))).first
		}
		request := simulatedRequest{account: head.Account.Name, remaining: head.Value}
		p.queue.Start(head, 0)
		p.queue.Recycle(head)
		return request, true
	}
	deviation := 0.0
	for w := range windows {
		clear(p.served)
		for range window {
			p.step(nextRequest)
		}
		if w < 2 {
			continue
		}
		deviation = max(deviation, maxRelativeDeviation(p.served, weights))
	}
	return deviation
}

func maxRelativeDeviation(served map[string]float64, weights []float64) float64 {
	mean, largest := 0.0, 0.0
	for i, w := range weights {
		mean += served[fmt.Sprint("a", i)] / w / float64(len(weights))
	}
	for i, w := range weights {
		largest = max(largest, math.Abs(served[fmt.Sprint("a", i)]/w/mean-1))
	}
	return largest
}

var _ = Describe("service over weight", func() {
	DescribeTable("stays within 5% over 30 seconds", func(weights []float64, lengths []int) {
		Expect(maxDeviation(weights, lengths, DefaultLookAheadTokens, false)).To(BeNumerically("<", 0.05))
	},
		Entry("equal lengths", []float64{1, 1, 1, 1}, []int{200, 200, 200, 200}),
		Entry("long and short outputs", []float64{1, 1, 1}, []int{20, 300, 900}),
		Entry("different weights", []float64{4, 2, 1, 1}, []int{100, 400, 300, 100}),
	)

	// In order of arrival, an account with long outputs gets most of the pool
	// and the other accounts wait behind its requests.
	It("is unequal in order of arrival", func() {
		Expect(maxDeviation([]float64{1, 1, 1}, []int{20, 300, 900}, DefaultLookAheadTokens, true)).To(BeNumerically(">", 0.5))
	})

	// Scheduled by past service alone, an account that is behind takes every
	// free slot, and holds too many for as long as its long outputs last.
	It("oscillates without the look-ahead term", func() {
		damped := maxDeviation([]float64{1, 1, 1}, []int{20, 300, 900}, DefaultLookAheadTokens, false)
		Expect(maxDeviation([]float64{1, 1, 1}, []int{20, 300, 900}, 0, false)).To(BeNumerically(">", 2*damped))
	})
})

var _ = Describe("the queue", func() {
	// An account that was idle for an hour sends thousands of requests. With
	// credit for the idle time it would hold the pool until the credit is used
	// up, and the other accounts would get no service.
	It("gives no credit for idle time", func() {
		q := New[int](1000, 0)
		busy, returning := q.UpsertAccount("busy", 1, 0), q.UpsertAccount("returning", 1, 0)
		q.Push(returning, 0, time.Hour, 0)
		q.Start(q.Head(), 1)
		q.Finish(returning, 1)
		for range 100 {
			q.Push(busy, 0, time.Hour, 0)
			q.Start(q.Head(), 100)
		}
		returning = q.UpsertAccount("returning", 1, 0)
		picked := map[string]int{}
		for range 40 {
			q.Push(busy, 0, time.Hour, 0)
			q.Push(returning, 0, time.Hour, 0)
		}
		for range 40 {
			picked[q.Head().Account.Name]++
			q.Start(q.Head(), 100)
		}
		Expect(picked["busy"]).To(BeNumerically(">=", 19))
	})

	// A burst of one account fills the queue. Refusing whichever request comes
	// next would affect small accounts, which did not cause the overload.
	It("drops from the account with the longest backlog for its weight", func() {
		q := New[int](10, 0)
		big, small := q.UpsertAccount("big", 1, 0), q.UpsertAccount("small", 1, 0)
		for i := range 10 {
			q.Push(big, 0, time.Hour, i)
		}
		victim, full := q.OverflowVictim(small)
		Expect(full).To(BeTrue())
		Expect(victim.Value).To(Equal(9))
		victim, full = q.OverflowVictim(big)
		Expect(full).To(BeTrue())
		Expect(victim).To(BeNil())
	})

	It("blocks an account at its limit and serves others", func() {
		q := New[int](10, 0)
		a, b := q.UpsertAccount("a", 1, 1), q.UpsertAccount("b", 1, 0)
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

	It("estimates the wait from the account's share of the measured rate", func() {
		q := New[int](100, 0)
		var d DrainRate
		a, b := q.UpsertAccount("a", 3, 0), q.UpsertAccount("b", 1, 0)
		for range 12 {
			q.Push(a, 0, time.Hour, 0)
			q.Push(b, 0, time.Hour, 0)
		}
		Expect(q.EstimateWait(&d, a, 11, 100)).To(BeZero())
		for t := drainSampleInterval; t <= 10*time.Second; t += drainSampleInterval {
			d.Add(40)
			d.Update(t, true)
		}
		Expect(q.EstimateWait(&d, a, 11, 100)).To(BeNumerically("~", 4*time.Second, 100*time.Millisecond))
		Expect(q.EstimateWait(&d, b, 11, 100)).To(BeNumerically("~", 12*time.Second, 300*time.Millisecond))
	})

	// An account that pauses for a moment keeps its debt, but memory must not
	// keep all of the thousands of accounts that come and go in a day.
	It("evicts idle accounts, and those with debt after a minute", func() {
		q := New[int](100, 0)
		for i := range 1000 {
			now := time.Duration(i) * time.Second
			q.Push(q.UpsertAccount(fmt.Sprint(i), 1, 0), now, time.Hour, 0)
			if i == 50 {
				Expect(q.AccountCount()).To(BeNumerically(">", 45))
			}
			r := q.Head()
			a := r.Account
			q.Start(r, float64(i%100))
			q.Finish(a, 1)
			q.Recycle(r)
		}
		Expect(q.AccountCount()).To(BeNumerically("<", 200))
	})
})

// FuzzQueue applies random operations to the queue and checks its sums after
// each.
func FuzzQueue(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 8, 9, 1, 1, 2, 4, 4, 5, 6, 7, 0, 0, 3})
	f.Fuzz(func(t *testing.T, ops []byte) {
		q := New[int](16, 64)
		var waiting, running []*Request[int]
		for i, op := range ops {
			a := q.UpsertAccount(fmt.Sprint(op>>3&3), float64(op>>5)+0.5, int(op>>6)*2)
			switch op & 7 {
			case 0, 1, 2:
				if _, full := q.OverflowVictim(a); !full {
					waiting = append(waiting, q.Push(a, 0, time.Duration(op), i))
				}
			case 3, 4:
				if r := q.Head(); r != nil {
					for _, w := range waiting {
						if !w.Account.AtLimit() && w.Account.schedulingKey(64) < r.Account.schedulingKey(64) {
							t.Fatalf("account %s was selected before %s, which has a lower key", r.Account.Name, w.Account.Name)
						}
					}
					q.Start(r, float64(op))
					running = append(running, r)
					waiting = removeRequest(waiting, r)
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
					waiting = removeRequest(waiting, r)
				}
			}
			checkInvariants(t, q, len(waiting), len(running))
		}
	})
}

func removeRequest(rs []*Request[int], r *Request[int]) []*Request[int] {
	for i := range rs {
		if rs[i] == r {
			return append(rs[:i:i], rs[i+1:]...)
		}
	}
	return rs
}

func checkInvariants(t *testing.T, q *Queue[int], waiting, running int) {
	t.Helper()
	backloggedWeight, totalWaiting, totalRunning := 0.0, 0, 0
	for _, a := range q.accounts {
		totalWaiting += a.waiting
		totalRunning += a.running
		if a.waiting > 0 {
			backloggedWeight += a.weight
		}
		if ready := a.waiting > 0 && !a.AtLimit(); ready != (a.readyIndex >= 0) {
			t.Fatalf("account %s: ready %v, heap index %d", a.Name, ready, a.readyIndex)
		}
	}
	if totalWaiting != waiting || totalRunning != running || q.Len() != waiting || math.Abs(backloggedWeight-q.backloggedWeight) > 1e-9 {
		t.Fatalf("waiting %d/%d/%d running %d/%d weights %g/%g", totalWaiting, q.Len(), waiting, totalRunning, running, backloggedWeight, q.backloggedWeight)
	}
}

// BenchmarkQueue measures a request's whole path through a queue with a backlog
// of two requests per account.
func BenchmarkQueue(b *testing.B) {
	for _, accounts := range []int{100, 11_000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			q := New[int](4*accounts, DefaultLookAheadTokens)
			handles := make([]*Account[int], accounts)
			for i := range handles {
				handles[i] = q.UpsertAccount(fmt.Sprint(i), 1+float64(i%7), 0)
				q.Push(handles[i], 0, time.Hour, 0)
				q.Push(handles[i], 0, time.Hour, 0)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				r := q.Head()
				a := r.Account
				q.Start(r, 400)
				q.Recycle(r)
				q.Charge(a, 300)
				q.Finish(a, 700)
				q.Push(a, 0, time.Hour, 0)
			}
		})
	}
}
