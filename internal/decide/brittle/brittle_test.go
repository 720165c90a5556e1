package brittle_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/brittle"
	"filbertdeck/internal/decide/membership"
	"filbertdeck/internal/directory"
)

func TestBrittle(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "brittle targets")
}

var _ = Describe("a brittle target", func() {
	const slots = 6
	lifetime := directory.Lifetime{TargetID: "i-1", StartedUnixMilli: 10}
	said := func(at time.Duration) brittle.Statement {
		return brittle.Statement{Brittle: true, StartedUnixMilli: 10, Slots: slots, At: at}
	}
	alone := func(inUse int) brittle.Host { return brittle.Host{Hosts: 1, InUse: inUse} }
	var t *brittle.Tracker
	BeforeEach(func() {
		t = brittle.New()
		Expect(t.Observe("i-1", said(0))).To(BeTrue())
	})

	It("is sent as many requests as it has slots", func() {
		Expect(t.Allows(0, lifetime, alone(slots-1))).To(BeTrue())
		Expect(t.Allows(0, lifetime, alone(slots))).To(BeFalse())
		Expect(brittle.New().Allows(0, lifetime, alone(slots))).To(BeTrue(), "others are not limited")
	})

	// Guards against a fleet that sends more than the target has places for.
	DescribeTable("has no more places on all hosts together than slots", func(hosts int) {
		total := 0
		for rank := range hosts {
			for inUse := 0; t.Allows(0, lifetime, brittle.Host{Rank: rank, Hosts: hosts, InUse: inUse}); inUse++ {
				total++
			}
		}
		Expect(total).To(Equal(slots))
	}, Entry("1 host", 1), Entry("6 hosts", 6), Entry("8 hosts", 8), Entry("84 hosts", 84), Entry("3,300 hosts", 3300))

	It("has places lent for one request each, which are used once at a time", func() {
		host := brittle.Host{Rank: 0, Hosts: 84, InUse: 1}
		Expect(t.Lend(0, "i-1", host)).To(BeTrue())
		Expect(t.Allows(0, lifetime, host)).To(BeFalse())
		Expect(t.Lend(0, "i-1", host)).To(BeFalse())
		t.RecordReturned("i-1")
		Expect(t.Allows(0, lifetime, host)).To(BeTrue())

		borrower := brittle.Host{Rank: 50, Hosts: 84}
		Expect(t.Allows(0, lifetime, borrower)).To(BeFalse())
		t.AddBorrowed(0, "i-1", "host-9")
		Expect(t.Allows(0, lifetime, borrower)).To(BeTrue())
		Expect(t.TakePlace(0, "i-1", borrower)).To(Equal("host-9"))
		borrower.InUse = 1
		Expect(t.Allows(0, lifetime, borrower)).To(BeFalse())
		t.EndBorrowed("i-1")
		borrower.InUse = 0
		Expect(t.Allows(0, lifetime, borrower)).To(BeFalse(), "the place is the lender's again")
	})

	// Guards against places that are lost with the message that returns them, or with the
	// host that borrowed them.
	It("has lent places back after a time", func() {
		host := brittle.Host{Rank: 0, Hosts: 84, InUse: 1}
		Expect(t.Lend(0, "i-1", host)).To(BeTrue())
		Expect(t.Allows(time.Second-1, lifetime, host)).To(BeFalse())
		Expect(t.Allows(time.Second, lifetime, host)).To(BeTrue())
		t.AddBorrowed(0, "i-1", "host-9")
		Expect(t.Allows(250*time.Millisecond, lifetime, brittle.Host{Rank: 50, Hosts: 84})).To(BeFalse(), "a place that was not used in time")
	})

	It("takes a place of the host's own before a borrowed one", func() {
		t.AddBorrowed(0, "i-1", "host-9")
		Expect(t.TakePlace(0, "i-1", alone(0))).To(BeEmpty())
	})

	// Guards against a host that sends on to a target that has less room than it says.
	It("gets nothing for a second from a host whose request it turned away", func() {
		t.RecordTurnedAway(0, lifetime)
		Expect(t.Allows(999*time.Millisecond, lifetime, alone(0))).To(BeFalse())
		Expect(t.IsPaused(999*time.Millisecond, lifetime)).To(BeTrue())
		Expect(t.Wait(0, "i-1")).To(Equal(time.Second))
		Expect(t.Allows(time.Second, lifetime, alone(0))).To(BeTrue())
	})

	It("is brittle until it no longer says so, restarts, or is not heard of for long", func() {
		Expect(t.IsBrittle(2*time.Minute-1, lifetime)).To(BeTrue())
		Expect(t.IsBrittle(2*time.Minute, lifetime)).To(BeFalse())
		Expect(t.IsBrittle(0, directory.Lifetime{TargetID: "i-1", StartedUnixMilli: 11})).To(BeFalse())
		Expect(t.Count(0)).To(Equal(1))
		Expect(t.Observe("i-1", brittle.Statement{StartedUnixMilli: 10, At: 1})).To(BeTrue(), "other hosts are told")
		Expect(t.IsBrittle(1, lifetime)).To(BeFalse())
	})

	It("is known from other hosts, by the newest statement", func() {
		other := brittle.New()
		other.Merge("i-1", said(5))
		Expect(other.IsBrittle(5, lifetime)).To(BeTrue())
		other.Merge("i-1", brittle.Statement{StartedUnixMilli: 10, At: 4})
		Expect(other.IsBrittle(5, lifetime)).To(BeTrue())
		other.Merge("i-1", brittle.Statement{StartedUnixMilli: 10, At: 6})
		Expect(other.IsBrittle(6, lifetime)).To(BeFalse())
	})

	// Guards against news of all brittle targets that every host sends to every other
	// again and again.
	It("is announced by one host in the time for which the statement holds, twice at most", func() {
		other := brittle.New()
		other.Merge("i-1", said(0))
		announced := 0
		for at := time.Second; at < 2*time.Minute; at += time.Second {
			for _, host := range []*brittle.Tracker{t, other} {
				if host.Observe("i-1", said(at)) {
					announced++
					t.Merge("i-1", said(at+1))
					other.Merge("i-1", said(at+1))
				}
			}
		}
		Expect(announced).To(Equal(1))
	})

	It("is forgotten with the target", func() {
		t.Retain(func(string) bool { return false })
		Expect(t.Count(0)).To(BeZero())
	})

	// Guards against targets that fall over because many hosts send to them at once, and
	// against callers that are refused although there is room.
	DescribeTable("turns away next to nothing in a play of a fleet", func(hosts int) {
		limited, unlimited := play(hosts, true), play(hosts, false)
		AddReportEntry("most turned away in a second, share served", fmt.Sprintf("limited %d, %.3f; unlimited %d, %.3f",
			limited.mostTurnedAway, limited.servedShare, unlimited.mostTurnedAway, unlimited.servedShare))
		Expect(limited.mostTurnedAway).To(BeNumerically("<=", 2))
		Expect(limited.servedShare).To(BeNumerically(">", 0.85))
		Expect(unlimited.mostTurnedAway).To(BeNumerically(">", 2))
	}, Entry("8 hosts", 8), Entry("84 hosts", 84), Entry("300 hosts", 300))
})

type playResult struct {
	mostTurnedAway int
	servedShare    float64
}

// play sends 300 requests a second, of 30 ms each, to three targets with six slots at
// which none waits, from hosts drawn at random. Requests take two thirds longer at one
// time in ten.
func play(hosts int, limited bool) playResult {
	const slots, targets, perSecond, seconds, borrowAttempts = 6, 3, 300, 20, 2
	rng := rand.New(rand.NewPCG(7, uint64(hosts)))
	names := make([]string, hosts)
	trackers := make([]*brittle.Tracker, hosts)
	for h := range names {
		names[h], trackers[h] = fmt.Sprintf("10.0.%d.%d:1", h/250, h%250), brittle.New()
		for n := range targets {
			trackers[h].Observe(fmt.Sprint("i-", n), brittle.Statement{Brittle: true, Slots: slots})
		}
	}
	// rankOf holds the rank of each host for each target, holders the hosts by rank.
	rankOf, holders := map[[2]int]int{}, map[int][]int{}
	for n := range targets {
		for rank, name := range membership.Rank(fmt.Sprint("i-", n), names) {
			h := slices.Index(names, name)
			rankOf[[2]int{h, n}] = rank
			holders[n] = append(holders[n], h)
		}
	}
	type request struct {
		end time.Duration
		// lender is the host whose place the request has, negative for none.
		lender int
	}
	requests := map[[2]int][]request{}
	running := func(now time.Duration, h, n int) int {
		kept := slices.DeleteFunc(requests[[2]int{h, n}], func(r request) bool {
			if r.end <= now && r.lender >= 0 {
				trackers[h].EndBorrowed(fmt.Sprint("i-", n))
				trackers[r.lender].RecordReturned(fmt.Sprint("i-", n))
			}
			return r.end <= now
		})
		requests[[2]int{h, n}] = kept
		return len(kept)
	}
	var turnedAway [seconds]int
	served, total := 0, 0
	for now := time.Duration(0); now < seconds*time.Second; now += time.Duration(rng.ExpFloat64() * float64(time.Second) / perSecond) {
		h := rng.IntN(hosts)
		place := func(h, n int) brittle.Host {
			return brittle.Host{Rank: rankOf[[2]int{h, n}], Hosts: hosts, InUse: running(now, h, n)}
		}
		at := func(n int) directory.Lifetime { return directory.Lifetime{TargetID: fmt.Sprint("i-", n)} }
		order := rng.Perm(targets)
		choice := order[0]
		all := [targets]int{}
		for n := range targets {
			for other := range hosts {
				all[n] += running(now, other, n)
			}
		}
		if limited {
			choice = slices.IndexFunc(order, func(n int) bool { return trackers[h].Allows(now, at(n), place(h, n)) })
			if choice >= 0 {
				choice = order[choice]
			}
			for try := 0; choice < 0 && try < borrowAttempts; try++ {
				n := order[try]
				lender := holders[n][rng.IntN(brittle.HolderCount(slots, hosts))]
				if lender != h && trackers[lender].Lend(now, at(n).TargetID, place(lender, n)) {
					trackers[h].AddBorrowed(now, at(n).TargetID, fmt.Sprint(lender))
					choice = n
				}
			}
		}
		total++
		if choice < 0 {
			continue
		}
		if all[choice] >= slots {
			turnedAway[now/time.Second]++
			trackers[h].RecordTurnedAway(now, at(choice))
			continue
		}
		work := 30 * time.Millisecond
		if rng.IntN(10) == 0 {
			work = 50 * time.Millisecond
		}
		r := request{now + work, -1}
		if lender := trackers[h].TakePlace(now, at(choice).TargetID, place(h, choice)); limited && lender != "" {
			r.lender, _ = strconv.Atoi(lender)
		}
		requests[[2]int{h, choice}] = append(requests[[2]int{h, choice}], r)
		served++
	}
	return playResult{slices.Max(turnedAway[:]), float64(served) / float64(total)}
}
