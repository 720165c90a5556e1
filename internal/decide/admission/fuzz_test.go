package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// randomSchedule applies operations drawn from a seed to an allocator and
// checks its invariants after each.
type randomSchedule struct {
	t            *testing.T
	rng          *rand.Rand
	allocator    *Allocator
	now          time.Duration
	lastRequest  uint64
	pending      map[uint64]time.Duration // deadline of each ask without a decision
	leaseTargets map[LeaseID]string
	usedIDs      map[LeaseID]bool
}

func newRandomSchedule(t *testing.T, seed uint64) *randomSchedule {
	s := &randomSchedule{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: sec,
		allocator: New(Config{Owner: true, Seed: seed, QueueLimit: 32}),
		pending:   map[uint64]time.Duration{}, leaseTargets: map[LeaseID]string{}, usedIDs: map[LeaseID]bool{},
	}
	s.setRandomTargets()
	return s
}

func (s *randomSchedule) setRandomTargets() {
	var targets []Target
	for i := range 4 {
		if s.rng.IntN(5) > 0 {
			targets = append(targets, Target{Address: fmt.Sprint("t", i), Leaving: s.rng.IntN(6) == 0})
		}
	}
	s.allocator.SetTargets(s.now, targets)
}

func (s *randomSchedule) reportRandomLoads() {
	s.allocator.SetConfirmedOwner(s.now, s.rng.IntN(8) > 0)
	for i := range 4 {
		s.allocator.Report(s.now, Report{
			Target: fmt.Sprint("t", i), Age: time.Duration(s.rng.IntN(600)) * ms,
			Incarnation: uint64(1 + s.now/(40*sec)), Capacity: []int{0, 1, 3, 20, 64}[s.rng.IntN(5)],
			KVCapacityTokens: 4000 * s.rng.IntN(2), KVUsedTokens: s.rng.IntN(4000), Running: s.rng.IntN(10),
			StepTime: time.Duration(s.rng.IntN(50)) * ms,
		})
	}
}

func (s *randomSchedule) askRandom() {
	s.lastRequest++
	wait := time.Duration(s.rng.IntN(5000)) * ms
	ask := Ask{
		Holder: testHolder, RequestID: s.lastRequest, Account: fmt.Sprint("a", s.rng.IntN(5)),
		PromptTokens: s.rng.IntN(1500), MaxTokens: 1 + s.rng.IntN(3000), MaxWait: wait,
		Fingerprint: uint64(s.rng.IntN(50)), Prefix: []uint64{uint64(s.rng.IntN(3)), uint64(s.rng.IntN(9))},
	}
	switch s.rng.IntN(12) {
	case 0:
		ask.AdoptTarget, ask.AdoptTokens = fmt.Sprint("t", s.rng.IntN(4)), s.rng.IntN(500)
	case 1:
		ask.Avoid = []string{fmt.Sprint("t", s.rng.IntN(4))}
	}
	s.pending[s.lastRequest] = s.now + wait
	s.allocator.Ask(s.now, ask)
	if _, queued := s.allocator.waiting[askKey{testHolder, s.lastRequest}]; queued && s.rng.IntN(10) == 0 {
		s.allocator.Ask(s.now, ask)
	}
}

func (s *randomSchedule) anyLease() (LeaseID, bool) {
	for id := range s.leaseTargets {
		return id, true
	}
	return 0, false
}

func (s *randomSchedule) step() {
	switch s.rng.IntN(12) {
	case 0, 1, 2, 3:
		s.askRandom()
	case 4, 5:
		if id, ok := s.anyLease(); ok {
			s.allocator.Settle(s.now, Settlement{Lease: id, Outcome: Outcome(1 + s.rng.IntN(5)), ProducedTokens: s.rng.IntN(3000)})
			delete(s.leaseTargets, id)
		}
	case 6:
		if id, ok := s.anyLease(); ok {
			s.allocator.Renew(s.now, testHolder, []Renewal{{Lease: id, Target: s.leaseTargets[id], Account: "a1", ProducedTokens: s.rng.IntN(2000)}})
		}
	case 7:
		s.reportRandomLoads()
	case 8:
		if id := uint64(s.rng.Int64N(int64(s.lastRequest + 1))); s.rng.IntN(4) == 0 {
			s.allocator.Withdraw(s.now, testHolder, id)
			if _, queued := s.allocator.waiting[askKey{testHolder, id}]; queued {
				s.t.Fatal("a withdrawn ask is still waiting")
			}
			s.forgetWithdrawn(id)
		}
	case 9:
		if s.rng.IntN(10) == 0 {
			s.setRandomTargets()
		}
		s.allocator.SetShare(s.now, Share{Account: fmt.Sprint("a", s.rng.IntN(5)), Weight: 4 * s.rng.Float64(), MaxRunning: s.rng.IntN(4)})
	default:
		s.now += time.Duration(s.rng.IntN(300)) * ms
	}
	s.decide()
	s.check()
}

// forgetWithdrawn removes an ask unless its refusal is already pending.
func (s *randomSchedule) forgetWithdrawn(id uint64) {
	for _, d := range s.allocator.pendingDecisions {
		if d.RequestID == id {
			return
		}
	}
	delete(s.pending, id)
}

// decide processes the decisions: one for each ask, each lease with a unique
// ID, each refusal with a reason and, where it applies, a retry delay.
func (s *randomSchedule) decide() {
	for _, d := range s.allocator.Decide(s.now) {
		if _, asked := s.pending[d.RequestID]; !asked {
			s.t.Fatalf("a second decision, or one for an unknown ask: %+v", d)
		}
		delete(s.pending, d.RequestID)
		if !d.Granted() {
			if d.RetryAfter == 0 && d.Reason != RefusedTooLarge && d.Reason != RefusedNoTarget {
				s.t.Fatalf("refused without a retry delay: %+v", d)
			}
			continue
		}
		if s.usedIDs[d.Lease] {
			s.t.Fatalf("lease ID %d was used before", d.Lease)
		}
		s.usedIDs[d.Lease], s.leaseTargets[d.Lease] = true, d.Target
	}
}

// check compares the allocator's counters with values computed from its tables.
func (s *randomSchedule) check() {
	s.t.Helper()
	for id, deadline := range s.pending {
		if deadline <= s.now {
			s.t.Fatalf("ask %d got no decision by its deadline", id)
		}
		if _, queued := s.allocator.waiting[askKey{testHolder, id}]; !queued {
			s.t.Fatalf("ask %d is neither waiting nor decided", id)
		}
	}
	if len(s.pending) != s.allocator.queue.Len() || len(s.pending) != len(s.allocator.waiting) {
		s.t.Fatalf("%d asks pending, %d queued, %d indexed", len(s.pending), s.allocator.queue.Len(), len(s.allocator.waiting))
	}
	running, listed := map[string]int{}, 0
	for _, l := range s.allocator.leases.byID {
		running[l.account.Name]++
		if s.allocator.queue.Lookup(l.account.Name) != l.account || l.target.leases[l.index] != l {
			s.t.Fatalf("lease %d has the wrong account or target index", l.id)
		}
	}
	for l := s.allocator.leases.first; l != nil; l = l.next {
		if listed++; l.expiresAt <= s.now || l.next != nil && l.next.expiresAt < l.expiresAt {
			s.t.Fatal("leases are not in order of expiry")
		}
	}
	for name, n := range running {
		if s.allocator.queue.Lookup(name).Running() != n {
			s.t.Fatalf("account %s has %d leases, but the queue counts %d", name, n, s.allocator.queue.Lookup(name).Running())
		}
	}
	s.checkTargets(listed)
}

func (s *randomSchedule) checkTargets(listed int) {
	total := 0
	for _, t := range s.allocator.targets {
		total += len(t.leases)
		sum, suspects, unconfirmed := 0.0, 0, 0
		for _, l := range t.leases {
			sum += l.forecast.InUse()
			if l.suspect {
				suspects++
			}
			if t.isUnconfirmed(l) {
				unconfirmed++
			}
		}
		if sum > t.load.InUse()+1e-3 || suspects != t.suspectLeases || unconfirmed != t.unconfirmed {
			s.t.Fatalf("%s: memory %g of %g, suspects %d/%d, unconfirmed %d/%d",
				t.address, sum, t.load.InUse(), suspects, t.suspectLeases, unconfirmed, t.unconfirmed)
		}
	}
	if total != listed || total != len(s.allocator.leases.byID) {
		s.t.Fatalf("leases: %d at targets, %d in expiry order, %d by ID", total, listed, len(s.allocator.leases.byID))
	}
}

// FuzzAllocator runs random schedules of asks, renewals, settlements,
// inaccurate reports, changes of targets and changes of shares.
func FuzzAllocator(f *testing.F) {
	for seed := range uint64(20) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		s := newRandomSchedule(t, seed)
		for range 400 {
			s.step()
		}
	})
}

// reportAllTargets sends the report of an idle engine for every target, as
// engines do every half second.
func reportAllTargets(r *harness) {
	for _, t := range r.targetOrder {
		r.report(t.address, Report{Capacity: 64, KVCapacityTokens: 10_000})
	}
}

// BenchmarkDecision measures one decision with a backlog: a slot becomes free
// and the next request takes it. The preceding ask, settlement and refresh are
// not in its decision-ns/op; BenchmarkRequest measures everything.
func BenchmarkDecision(b *testing.B) { benchmark(b, true) }

// BenchmarkRequest measures the whole path of a request through the allocator:
// ask, decide and settle, at 500 requests per second, with the refresh every
// 100 ms.
func BenchmarkRequest(b *testing.B) { benchmark(b, false) }

func benchmark(b *testing.B, decisionOnly bool) {
	for _, accounts := range []int{100, 11_000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			r := newHarness(4, Config{QueueLimit: 4 * accounts})
			names := make([]string, accounts)
			for i := range names {
				names[i] = fmt.Sprint("a", i)
				r.askMany(2, names[i], func(a *Ask) { a.MaxWait = time.Hour })
			}
			running := make([]LeaseID, 0, b.N+1000)
			decided := time.Duration(0)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				if r.now += 2 * ms; i%250 == 0 {
					b.StopTimer()
					reportAllTargets(r)
					b.StartTimer()
				}
				if i > 40 {
					r.Settle(r.now, Settlement{Lease: running[i-40], Outcome: OutcomeDone, ProducedTokens: 20})
				}
				r.Ask(r.now, Ask{Holder: testHolder, RequestID: r.lastRequest + uint64(i) + 1, Account: names[i%accounts],
					PromptTokens: 100, MaxTokens: 100, MaxWait: time.Hour})
				r.refresh(r.now)
				startedAt := time.Now()
				decisions := r.Decide(r.now)
				decided += time.Since(startedAt)
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
