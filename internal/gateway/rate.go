package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"filbertdeck/internal/call"
	"filbertdeck/internal/decide/targetload"
	"filbertdeck/internal/decide/targetrate"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/wake"
)

// BorrowRate asks a host that shares a target's rate for one request of it. Of
// the hosts ranked for the target the first ones share it, so many as holders
// says; false when none lends.
type BorrowRate func(target string, holders int) bool

// SetRateBorrower sets how requests are borrowed; none are until then.
func (l *TargetLoads) SetRateBorrower(borrow BorrowRate) { l.borrow = borrow }

// ObserveRate takes what a target said of the rate it takes in an answer to this
// host; nil is that it named none. It tells whether that is new here.
func (l *TargetLoads) ObserveRate(target string, perSecond *float64) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := targetrate.Advertisement{At: l.now()}
	if perSecond != nil {
		w.Limited, w.PerSecond = true, *perSecond
	}
	before, _ := l.rates.Limit(target)
	if l.rates.Observe(target, w) {
		l.alerts.SetRate(l.now(), target, w)
		wake.Signal(l.alerted)
	}
	return w.Limited != before.Limited || w.PerSecond != before.PerSecond
}

// mergeRates takes what targets said to other hosts.
func (l *TargetLoads) mergeRates(counts []targetload.HostLoad) {
	for _, c := range counts {
		if c.AdvertisedRate != nil && c.Host != l.self {
			l.rates.Merge(c.Target, *c.AdvertisedRate)
		}
	}
}

// limitedCount is the number of targets that name a rate.
func (l *TargetLoads) limitedCount() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(l.rates.Limited())
}

// LendRate gives another host one request of a target's rate; false when this host
// has none to give.
func (l *TargetLoads) LendRate(target string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	rank, hosts := l.rank(target)
	return l.rates.Lend(l.now(), target, rank, hosts)
}

// rank gives this host's rank for a target among the hosts.
func (l *TargetLoads) rank(target string) (rank, hosts int) {
	if l.cold.Rank == nil {
		return 0, 1
	}
	return l.cold.Rank(target)
}

// withinRate tells whether this host may send one more to a target by the rate
// that the target named.
func (l *TargetLoads) withinRate(target string) bool {
	if _, limited := l.rates.Limit(target); !limited {
		return true
	}
	rank, hosts := l.rank(target)
	return l.rates.Allows(l.now(), target, rank, hosts)
}

// HoldWithinRate is Hold for a target that may have named a rate; false when no
// request of it is to be had.
func (l *TargetLoads) HoldWithinRate(target string, p call.Prompt) (*Place, bool) {
	place, ok := l.holdWithinOwn(target, p)
	if !ok && l.borrowFor(target) {
		return l.holdWithinOwn(target, p)
	}
	return place, ok
}

// holdWithinOwn is HoldWithinRate by what this host has of the rate.
func (l *TargetLoads) holdWithinOwn(target string, p call.Prompt) (*Place, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.withinRate(target) {
		return nil, false
	}
	return l.place(target, p), true
}

// borrowFor borrows one request to a target; false when nobody lends.
func (l *TargetLoads) borrowFor(target string) bool {
	l.mu.Lock()
	w, limited := l.rates.Limit(target)
	_, hosts := l.rank(target)
	l.mu.Unlock()
	if !limited || l.borrow == nil || !l.borrow(target, targetrate.HolderCount(w.PerSecond, hosts)) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rates.AddBorrowed(target)
	return true
}

// borrowAny borrows one request to a target of a service that is at its rate and
// takes work else, and gives the target; false when nobody lends.
func (l *TargetLoads) borrowAny(view *directory.View, w Wanted, which func(target string) bool) bool {
	limited := l.limited(view, w, which)
	rand.Shuffle(len(limited), func(i, j int) { limited[i], limited[j] = limited[j], limited[i] })
	return slices.ContainsFunc(limited[:min(len(limited), borrowTries)], l.borrowFor)
}

// borrowTries bounds the targets for which a request is borrowed in vain: each
// costs a round trip.
const borrowTries = 2

// limited gives the targets of a service that take work but for their rate.
func (l *TargetLoads) limited(view *directory.View, w Wanted, which func(target string) bool) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rates.Limited() == 0 {
		return nil
	}
	var out []string
	for _, t := range view.ServiceTargets(w.Service) {
		_, limited := l.rates.Limit(t.ID)
		if limited && l.mayGet(view, w, t) && !l.withinRate(t.ID) && which(t.ID) {
			out = append(out, t.ID)
		}
	}
	return out
}

// always is for targets however old their advertisement is.
func always(string) bool { return true }

// stale tells whether a target named its rate so long ago that it may take more.
func (l *TargetLoads) stale(target string) bool { return l.rates.Stale(l.now(), target) }

// RoomIn is the time until this host may send to a target of a service that is at
// its rate; false when none of them is.
func (l *TargetLoads) RoomIn(view *directory.View, w Wanted) (time.Duration, bool) {
	limited := l.limited(view, w, always)
	l.mu.Lock()
	defer l.mu.Unlock()
	var least time.Duration
	for _, id := range limited {
		rank, hosts := l.rank(id)
		if wait := l.rates.Wait(l.now(), id, rank, hosts); least == 0 || wait < least {
			least = wait
		}
	}
	return least, len(limited) > 0
}
