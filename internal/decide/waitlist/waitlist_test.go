package waitlist_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/waitlist"
)

func TestWaitlist(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "waitlist")
}

const objective = 4 * time.Second

// fixture is a list with generations that report every 100 ms.
type fixture struct {
	*waitlist.List
	now     time.Duration
	entries map[uint64]waitlist.Entry
	arrived map[uint64]time.Duration
}

func newFixture() *fixture {
	return &fixture{List: waitlist.New(), now: time.Minute, entries: map[uint64]waitlist.Entry{}, arrived: map[uint64]time.Duration{}}
}

// wait adds a generation that has waited for some time.
func (f *fixture) wait(e waitlist.Entry, waited time.Duration) {
	e.Objective, e.FirstToken, e.Tokens = objective, 250*time.Millisecond, 3000
	f.entries[e.ID], f.arrived[e.ID] = e, f.now-waited
	f.report(e.ID)
}

func (f *fixture) report(id uint64) waitlist.Answer {
	e := f.entries[id]
	e.Waited = f.now - f.arrived[id]
	return f.Report(f.now, e)
}

func (f *fixture) done(id uint64, placed bool) {
	f.Done(f.now, f.entries[id], placed)
	delete(f.entries, id)
}

// pass lets time pass in which all generations report but the silent ones.
func (f *fixture) pass(d time.Duration, silent ...uint64) {
	for end := f.now + d; f.now < end; {
		f.now += min(waitlist.ReportInterval, end-f.now)
		for id := range f.entries {
			if len(silent) == 0 || id != silent[0] {
				f.report(id)
			}
		}
	}
}

// order returns the ids of the waiting generations, the first to search in front.
func (f *fixture) order() []uint64 {
	// The order is computed at most every 10 ms.
	f.pass(20 * time.Millisecond)
	ids := make([]uint64, len(f.entries))
	for id := range f.entries {
		ids[f.report(id).Ahead] = id
	}
	return ids
}

var _ = Describe("the list of waiting generations", func() {
	var f *fixture
	BeforeEach(func() { f = newFixture() })

	It("has the most urgent first, then those that can be in time, then the earliest", func() {
		f.wait(waitlist.Entry{ID: 1, Priority: 2}, 5*time.Second)
		f.wait(waitlist.Entry{ID: 2, Priority: 2}, time.Second)
		f.wait(waitlist.Entry{ID: 3, Priority: 2}, 2*time.Second)
		f.wait(waitlist.Entry{ID: 4, Priority: 0}, 100*time.Millisecond)
		Expect(f.order()).To(Equal([]uint64{4, 3, 2, 1}))
		priority, waits := f.MostUrgent(f.now)
		Expect(waits).To(BeTrue())
		Expect(priority).To(Equal(0))
	})

	// Guards against late generations that never have a turn while others arrive.
	It("lets late ones gain rank until they go before those that can be in time", func() {
		f.wait(waitlist.Entry{ID: 1}, 4*time.Second)
		f.wait(waitlist.Entry{ID: 2}, 7*time.Second)
		f.wait(waitlist.Entry{ID: 3}, 0)
		Expect(f.order()).To(Equal([]uint64{3, 2, 1}))
		f.pass(9 * time.Second)
		f.wait(waitlist.Entry{ID: 4}, 0)
		Expect(f.order()).To(Equal([]uint64{2, 4, 1, 3}))
	})

	// Guards against a burst of one account that holds up the others.
	It("has an account that was admitted more wait longer, within a bound", func() {
		for id := range uint64(20) {
			f.wait(waitlist.Entry{ID: id + 1, Account: "large"}, time.Second)
		}
		for id := range uint64(10) {
			f.pass(10 * time.Millisecond)
			f.done(id+1, true)
		}
		f.wait(waitlist.Entry{ID: 21, Account: "small"}, 500*time.Millisecond)
		f.wait(waitlist.Entry{ID: 22, Account: "small"}, 0)
		order := f.order()
		Expect(order[:4]).To(ContainElement(uint64(21)), "it arrived after ten of the large account")
		Expect(order[len(order)-1]).To(Equal(uint64(22)), "the large account is delayed by 0.8 s at most")
	})

	// Guards against a new generation that goes before earlier ones of its account until the
	// list is sorted again.
	It("delays a new generation as much as the others of its account", func() {
		f.wait(waitlist.Entry{ID: 1, Account: "large"}, 700*time.Millisecond)
		f.wait(waitlist.Entry{ID: 2, Account: "large"}, 600*time.Millisecond)
		f.wait(waitlist.Entry{ID: 3, Account: "large"}, 500*time.Millisecond)
		f.done(1, true)
		f.pass(20 * time.Millisecond)
		f.wait(waitlist.Entry{ID: 4, Account: "large"}, 0)
		Expect(f.report(4).Ahead).To(Equal(2))
	})

	// Guards against dead hosts whose generations keep turns.
	It("drops what is not reported for 400 ms, and keeps it while one report is lost", func() {
		f.wait(waitlist.Entry{ID: 1}, time.Second)
		f.wait(waitlist.Entry{ID: 2}, 0)
		f.pass(200*time.Millisecond, 1)
		Expect(f.order()).To(Equal([]uint64{1, 2}))
		f.pass(500*time.Millisecond, 1)
		Expect(f.Len()).To(Equal(1))
		f.pass(100*time.Millisecond, 1)
		Expect(f.report(2).Ahead).To(BeZero())
	})

	// Guards against a takeover after which later generations go first.
	It("is rebuilt in its order at another holder", func() {
		f.wait(waitlist.Entry{ID: 1}, 300*time.Millisecond)
		f.wait(waitlist.Entry{ID: 2}, 200*time.Millisecond)
		f.wait(waitlist.Entry{ID: 3}, 100*time.Millisecond)
		f.List = waitlist.New()
		for _, id := range []uint64{3, 1, 2} {
			f.report(id)
		}
		Expect(f.order()).To(Equal([]uint64{1, 2, 3}))
		// One that ended its wait at this holder is not on its list.
		f.Done(f.now, waitlist.Entry{ID: 9, Tokens: 3000}, true)
		Expect(f.order()).To(Equal([]uint64{1, 2, 3}))
	})

	// Guards against room that stays idle as too few generations search.
	It("gives turns to four, and to twice as many as were placed in the last interval", func() {
		for id := range uint64(40) {
			f.wait(waitlist.Entry{ID: id + 1}, time.Duration(40-id)*time.Millisecond)
		}
		turns := func() (n int) {
			for id := range f.entries {
				if f.report(id).Search {
					n++
				}
			}
			return n
		}
		Expect(turns()).To(Equal(4))
		for id := range uint64(5) {
			f.done(id+1, true)
		}
		Expect(turns()).To(Equal(10))
		f.pass(150 * time.Millisecond)
		Expect(turns()).To(Equal(4))
	})

	// Guards against generations that find no room wherever they search, as those of a host
	// that is cut off from engines, and stop the list.
	It("gives turns to others when those at the front found no room for two seconds", func() {
		for id := range uint64(5) {
			f.wait(waitlist.Entry{ID: id + 1}, time.Duration(5-id)*time.Millisecond)
		}
		f.pass(1500 * time.Millisecond)
		Expect(f.report(5).Search).To(BeFalse())
		f.pass(500 * time.Millisecond)
		Expect(f.report(5).Search).To(BeTrue())
		Expect(f.report(1).Search).To(BeTrue())
	})

	// Guards against callers that are refused without evidence, or told to come back at
	// the same time.
	It("knows the expected wait from eight placements on", func() {
		for id := range uint64(60) {
			f.wait(waitlist.Entry{ID: id + 1}, time.Duration(60-id)*time.Millisecond)
		}
		for id := range uint64(7) {
			f.done(id+1, true)
		}
		f.done(8, false)
		Expect(f.report(60).ExpectedWaitKnown).To(BeFalse())
		f.done(9, true)
		last := f.report(60)
		Expect(last.Ahead).To(Equal(50))
		Expect(last.ExpectedWait).To(Equal(12500 * time.Millisecond))
		Expect(last.Hopeless(12*time.Second, 0)).To(BeTrue())
		Expect(last.Hopeless(13*time.Second, 0)).To(BeFalse())
		Expect(last.Hopeless(13*time.Second, time.Second)).To(BeTrue())
		Expect(f.report(10).Hopeless(0, 0)).To(BeFalse(), "it has a turn")
		Expect(last.RetryAfter(0)).To(Equal(6250 * time.Millisecond))
		Expect(last.RetryAfter(0.999)).To(BeNumerically("~", 18750*time.Millisecond, 20*time.Millisecond))
		f.pass(3 * time.Second)
		Expect(f.report(60).ExpectedWaitKnown).To(BeFalse())
	})

	// Guards against memory that grows with what is reported.
	It("keeps a bounded number of entries", func() {
		for id := range uint64(9000) {
			f.Report(f.now, waitlist.Entry{ID: id + 1, Account: fmt.Sprint(id % 50)})
			f.now += 10 * time.Microsecond
		}
		Expect(f.Len()).To(Equal(8192))
		Expect(f.Report(f.now, waitlist.Entry{ID: 9001}).Search).To(BeFalse())
	})

	// Guards against a faulty host that ends waits which the list does not know, each of
	// another account.
	It("keeps a bounded number of accounts and placements", func() {
		for id := range uint64(9_000) {
			f.Done(f.now, waitlist.Entry{ID: id + 1, Account: fmt.Sprint(id), Tokens: 1}, true)
		}
		Expect(f.AccountCount()).To(BeNumerically("<=", 8193))
		Expect(f.PlacementCount()).To(Equal(8192))
		// Those that were admitted before, by reports as well, are kept with their debt.
		for id := range uint64(9_000) {
			e := waitlist.Entry{ID: id + 1, Account: fmt.Sprint("r-", id), Tokens: 1}
			f.Report(f.now, e)
			f.Done(f.now, e, true)
		}
		Expect(f.AccountCount()).To(BeNumerically("<=", 8193))
		f.wait(waitlist.Entry{ID: 1, Account: "one of too many"}, time.Second)
		Expect(f.report(1).Search).To(BeTrue())
	})
})

// BenchmarkReport measures a report to a list of a thousand entries, as a partition of 128
// hosts has in a heavy overload.
func BenchmarkReport(b *testing.B) {
	const entries = 1000
	l, now := waitlist.New(), time.Minute
	for i := range b.N {
		now += 100 * time.Millisecond / entries
		l.Report(now, waitlist.Entry{ID: uint64(i % entries), Account: fmt.Sprint(i % 24), Objective: objective, Tokens: 3000})
	}
}
