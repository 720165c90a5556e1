package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// schedule drives an allocator with operations drawn from a seed and checks
// its invariants after each.
type schedule struct {
	t       *testing.T
	r       *rand.Rand
	a       *Allocator
	now     time.Duration
	next    uint64
	open    map[uint64]time.Duration // asked, no decision yet: its deadline
	running map[LeaseID]string
	ids     map[LeaseID]bool
}

func newSchedule(t *testing.T, seed uint64) *schedule {
	s := &schedule{
		t: t, r: rand.New(rand.NewPCG(seed, 1)), now: sec,
		a:    New(Config{Owner: true, Seed: seed, QueueLimit: 32}),
		open: map[uint64]time.Duration{}, running: map[LeaseID]string{}, ids: map[LeaseID]bool{},
	}
	s.targets()
	return s
}

func (s *schedule) targets() {
	var targets []Target
	for i := range 4 {
		if s.r.IntN(5) > 0 {
			targets = append(targets, Target{Address: fmt.Sprint("t", i), Leaving: s.r.IntN(6) == 0})
		}
	}
	s.a.SetTargets(s.now, targets)
}

func (s *schedule) report() {
	s.a.SetConfirmedOwner(s.now, s.r.IntN(8) > 0)
	for i := range 4 {
		s.a.Report(s.now, Report{
			Target: fmt.Sprint("t", i), Age: time.Duration(s.r.IntN(600)) * ms,
			Incarnation: uint64(1 + s.now/(40*sec)), Capacity: []int{0, 1, 3, 20, 64}[s.r.IntN(5)],
			MemoryTokens: 4000 * s.r.IntN(2), UsedTokens: s.r.IntN(4000), Running: s.r.IntN(10),
			StepTime: time.Duration(s.r.IntN(50)) * ms,
		})
	}
}

func (s *schedule) ask() {
	s.next++
	wait := time.Duration(s.r.IntN(5000)) * ms
	ask := Ask{
		Holder: home, Request: s.next, Account: fmt.Sprint("a", s.r.IntN(5)),
		PromptTokens: s.r.IntN(1500), MaxTokens: 1 + s.r.IntN(3000), MaxWait: wait,
		Fingerprint: uint64(s.r.IntN(50)), Prefix: []uint64{uint64(s.r.IntN(3)), uint64(s.r.IntN(9))},
	}
	switch s.r.IntN(12) {
	case 0:
		ask.AdoptTarget, ask.AdoptTokens = fmt.Sprint("t", s.r.IntN(4)), s.r.IntN(500)
	case 1:
		ask.Avoid = []string{fmt.Sprint("t", s.r.IntN(4))}
	}
	s.open[s.next] = s.now + wait
	s.a.Ask(s.now, ask)
	if _, queued := s.a.waiting[askKey{home, s.next}]; queued && s.r.IntN(10) == 0 {
		s.a.Ask(s.now, ask)
	}
}

func (s *schedule) any() (LeaseID, bool) {
	for id := range s.running {
		return id, true
	}
	return 0, false
}

func (s *schedule) step() {
	switch s.r.IntN(12) {
	case 0, 1, 2, 3:
		s.ask()
	case 4, 5:
		if id, ok := s.any(); ok {
			s.a.Settle(s.now, Settlement{Lease: id, Outcome: Outcome(1 + s.r.IntN(5)), ProducedTokens: s.r.IntN(3000)})
			delete(s.running, id)
		}
	case 6:
		if id, ok := s.any(); ok {
			s.a.Renew(s.now, home, []Renewal{{Lease: id, Target: s.running[id], Account: "a1", ProducedTokens: s.r.IntN(2000)}})
		}
	case 7:
		s.report()
	case 8:
		if id := uint64(s.r.Int64N(int64(s.next + 1))); s.r.IntN(4) == 0 {
			s.a.Withdraw(s.now, home, id)
			if _, queued := s.a.waiting[askKey{home, id}]; queued {
				s.t.Fatal("a withdrawn ask still waits")
			}
			s.withdrawn(id)
		}
	case 9:
		if s.r.IntN(10) == 0 {
			s.targets()
		}
		s.a.SetShare(s.now, Share{Account: fmt.Sprint("a", s.r.IntN(5)), Weight: 4 * s.r.Float64(), MaxRunning: s.r.IntN(4)})
	default:
		s.now += time.Duration(s.r.IntN(300)) * ms
	}
	s.decide()
	s.check()
}

// withdrawn forgets an ask unless its refusal is on its way already.
func (s *schedule) withdrawn(id uint64) {
	for _, d := range s.a.out {
		if d.Request == id {
			return
		}
	}
	delete(s.open, id)
}

// decide takes the decisions: one for each ask, each lease with an id of its
// own, each refusal with a reason and a time to come back where that helps.
func (s *schedule) decide() {
	for _, d := range s.a.Decide(s.now) {
		if _, asked := s.open[d.Request]; !asked {
			s.t.Fatalf("a second decision, or one for nobody: %+v", d)
		}
		delete(s.open, d.Request)
		if !d.Granted() {
			if d.RetryAfter == 0 && d.Reason != RefusedTooLarge && d.Reason != RefusedNoTarget {
				s.t.Fatalf("refused without a time to come back: %+v", d)
			}
			continue
		}
		if s.ids[d.Lease] {
			s.t.Fatalf("lease %d was drawn before", d.Lease)
		}
		s.ids[d.Lease], s.running[d.Lease] = true, d.Target
	}
}

// check compares the allocator's sums with what they are sums of.
func (s *schedule) check() {
	s.t.Helper()
	for id, deadline := range s.open {
		if deadline <= s.now {
			s.t.Fatalf("ask %d got no decision by its deadline", id)
		}
		if _, queued := s.a.waiting[askKey{home, id}]; !queued {
			s.t.Fatalf("ask %d is lost", id)
		}
	}
	if len(s.open) != s.a.queue.Len() || len(s.open) != len(s.a.waiting) {
		s.t.Fatalf("%d asks open, %d queued, %d indexed", len(s.open), s.a.queue.Len(), len(s.a.waiting))
	}
	running, listed := map[string]int{}, 0
	for _, l := range s.a.leases.byID {
		running[l.account.Name]++
		if s.a.queue.Known(l.account.Name) != l.account || l.target.leases[l.place] != l {
			s.t.Fatalf("lease %d is booked at the wrong place", l.id)
		}
	}
	for l := s.a.leases.first; l != nil; l = l.next {
		if listed++; l.expires <= s.now || l.next != nil && l.next.expires < l.expires {
			s.t.Fatal("leases aren't in the order of their expiry")
		}
	}
	for name, n := range running {
		if s.a.queue.Known(name).Running() != n {
			s.t.Fatalf("account %s runs %d, counted %d", name, n, s.a.queue.Known(name).Running())
		}
	}
	s.checkTargets(listed)
}

func (s *schedule) checkTargets(listed int) {
	total := 0
	for _, t := range s.a.targets {
		total += len(t.leases)
		sum, suspects, unconfirmed := 0.0, 0, 0
		for _, l := range t.leases {
			sum += l.growth.InUse()
			if l.suspect {
				suspects++
			}
			if t.isUnconfirmed(l) {
				unconfirmed++
			}
		}
		if sum > t.load.InUse()+1e-3 || suspects != t.suspects || unconfirmed != t.unconfirmed {
			s.t.Fatalf("%s: memory %g of %g, suspects %d/%d, unconfirmed %d/%d",
				t.address, sum, t.load.InUse(), suspects, t.suspects, unconfirmed, t.unconfirmed)
		}
	}
	if total != listed || total != len(s.a.leases.byID) {
		s.t.Fatalf("leases: %d at targets, %d in order, %d by id", total, listed, len(s.a.leases.byID))
	}
}

// FuzzAllocator runs random schedules: asks, renewals, settlements, reports
// that lie, targets that come and go, edits of shares.
func FuzzAllocator(f *testing.F) {
	for seed := range uint64(20) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		s := newSchedule(t, seed)
		for range 400 {
			s.step()
		}
	})
}

// reports gives the allocator what the engines say every half second.
func reports(r *rig) {
	for _, t := range r.order {
		r.report(t.address, Report{Capacity: 64, MemoryTokens: 10_000})
	}
}

// BenchmarkDecision measures one decision with a backlog: a place has become
// free and the next request takes it. What comes before it (ask, settle) and
// the refresh are outside the timer; BenchmarkRequest holds everything.
func BenchmarkDecision(b *testing.B) { benchmark(b, true) }

// BenchmarkRequest measures a request's whole way through the allocator: ask,
// decide, settle, at 500 requests a second, with the refresh every 100 ms.
func BenchmarkRequest(b *testing.B) { benchmark(b, false) }

func benchmark(b *testing.B, decisionOnly bool) {
	for _, accounts := range []int{100, 11_000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			r := newRig(4, Config{QueueLimit: 4 * accounts})
			names := make([]string, accounts)
			for i := range names {
				names[i] = fmt.Sprint("a", i)
				r.asks(2, names[i], func(a *Ask) { a.MaxWait = time.Hour })
			}
			running := make([]LeaseID, 0, b.N+1000)
			decided := time.Duration(0)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				if r.now += 2 * ms; i%250 == 0 {
					b.StopTimer()
					reports(r)
					b.StartTimer()
				}
				if i > 40 {
					r.Settle(r.now, Settlement{Lease: running[i-40], Outcome: OutcomeDone, ProducedTokens: 20})
				}
				r.Ask(r.now, Ask{Holder: home, Request: r.next + uint64(i) + 1, Account: names[i%accounts],
					PromptTokens: 100, MaxTokens: 100, MaxWait: time.Hour})
				r.refresh(r.now)
				began := time.Now()
				decisions := r.Decide(r.now)
				decided += time.Since(began)
				for _, d := range decisions {
					running = append(running, d.Lease)
				}
				for len(running) <= i {
					running = append(running, 0)
				}
			}
			if decisionOnly {
				b.ReportMetric(float64(decided.Nanoseconds())/float64(b.N), "decision-ns/op")
			}
		})
	}
}
