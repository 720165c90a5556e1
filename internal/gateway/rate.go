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

// BorrowRateFunc borrows one request of a target's rate from another host. The
// hosts ranked first for the target, as many as holders says, share the rate;
// false when none of them lends.
type BorrowRateFunc func(target string, holders int) bool

// SetRateBorrower sets the function that borrows requests. Without it none are
// borrowed.
func (l *TargetLoads) SetRateBorrower(borrow BorrowRateFunc) { l.borrowRate = borrow }

// ObserveRate records the rate limit that a target advertised in an answer to
// this host; nil when it advertised none. It reports whether the limit is new
// to this host.
func (l *TargetLoads) ObserveRate(target string, perSecond *float64) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	advertisement := targetrate.Advertisement{At: l.now()}
	if perSecond != nil {
		advertisement.Limited, advertisement.PerSecond = true, *perSecond
	}
	before, _ := l.rates.Limit(target)
	if l.rates.Observe(target, advertisement) {
		l.alerts.SetRate(l.now(), target, advertisement)
		wake.Signal(l.alertsChanged)
	}
	return advertisement.Limited != before.Limited || advertisement.PerSecond != before.PerSecond
}

// mergeRates merges rates that targets advertised to other hosts.
func (l *TargetLoads) mergeRates(alerts []targetload.HostLoad) {
	for _, c := range alerts {
		if c.AdvertisedRate != nil && c.Host != l.address {
			l.rates.Merge(c.Target, *c.AdvertisedRate)
		}
	}
}

// rateLimitedCount returns the number of targets that advertise a rate.
func (l *TargetLoads) rateLimitedCount() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(l.rates.LimitedCount())
}

// LendRate lends another host one request of a target's rate; false when this
// host has none left.
func (l *TargetLoads) LendRate(target string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	rank, hosts := l.rank(target)
	return l.rates.Lend(l.now(), target, rank, hosts)
}

// rank returns this host's rank for a target among the hosts, and the number of
// hosts.
func (l *TargetLoads) rank(target string) (rank, hosts int) {
	if l.coldRateLimit.Rank == nil {
		return 0, 1
	}
	return l.coldRateLimit.Rank(target)
}

// withinRate reports whether this host may send one more request within the
// target's advertised rate.
func (l *TargetLoads) withinRate(target string) bool {
	if _, limited := l.rates.Limit(target); !limited {
		return true
	}
	rank, hosts := l.rank(target)
	return l.rates.Allows(l.now(), target, rank, hosts)
}

// ReserveWithinRate counts a request at a target that was chosen before and may
// have advertised a rate; false when this host's share is used up and no
// request can be borrowed.
func (l *TargetLoads) ReserveWithinRate(target string, p call.Prompt) (*Reservation, bool) {
	reservation, ok := l.reserveWithinOwnShare(target, p)
	if !ok && l.borrow(target) {
		return l.reserveWithinOwnShare(target, p)
	}
	return reservation, ok
}

// reserveWithinOwnShare is ReserveWithinRate without borrowing.
func (l *TargetLoads) reserveWithinOwnShare(target string, p call.Prompt) (*Reservation, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.withinRate(target) {
		return nil, false
	}
	return l.reserve(target, p), true
}

// borrow borrows one request to a target; false when no host lends one.
func (l *TargetLoads) borrow(target string) bool {
	l.mu.Lock()
	advertisement, limited := l.rates.Limit(target)
	_, hosts := l.rank(target)
	l.mu.Unlock()
	if !limited || l.borrowRate == nil || !l.borrowRate(target, targetrate.HolderCount(advertisement.PerSecond, hosts)) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rates.AddBorrowed(target)
	return true
}

// borrowForService borrows one request to any target of a service that would
// accept it but for its rate; false when no host lends one.
func (l *TargetLoads) borrowForService(view *directory.View, req PlacementRequest, filter func(target string) bool) bool {
	limited := l.rateLimitedTargets(view, req, filter)
	rand.Shuffle(len(limited), func(i, j int) { limited[i], limited[j] = limited[j], limited[i] })
	return slices.ContainsFunc(limited[:min(len(limited), maxBorrowAttempts)], l.borrow)
}

// maxBorrowAttempts limits the targets for which borrowing is attempted: each
// attempt costs a round trip.
const maxBorrowAttempts = 2

// rateLimitedTargets returns the ids of a service's targets that would accept a
// request but for their rate.
func (l *TargetLoads) rateLimitedTargets(view *directory.View, req PlacementRequest, filter func(target string) bool) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rates.LimitedCount() == 0 {
		return nil
	}
	var out []string
	for _, t := range view.ServiceTargets(req.Service) {
		_, limited := l.rates.Limit(t.ID)
		if limited && l.acceptsIgnoringRate(view, req, t) && !l.withinRate(t.ID) && filter(t.ID) {
			out = append(out, t.ID)
		}
	}
	return out
}

// anyAge accepts targets whatever the age of their advertisement.
func anyAge(string) bool { return true }

// isStale reports whether a target's advertisement is so old that the target
// may accept more by now.
func (l *TargetLoads) isStale(target string) bool { return l.rates.Stale(l.now(), target) }

// TimeToRoom returns the time until one of a service's targets that rest or are
// at their rate accepts a request from this host; false when there are none.
func (l *TargetLoads) TimeToRoom(view *directory.View, req PlacementRequest) (time.Duration, bool) {
	rateWait, limited := l.RateWait(view, req)
	restWait, resting := l.shortestRest(view, req)
	switch {
	case !limited:
		return restWait, resting
	case !resting:
		return rateWait, limited
	}
	return min(rateWait, restWait), true
}

// HasRoom reports whether a target accepts a request now.
func (l *TargetLoads) HasRoom(view *directory.View, req PlacementRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.draw(view, req, view.ServiceTargets(req.Service), 1)) > 0
}

// RateWait returns the time until this host may send to one of a service's
// targets that are at their rate; false when none of them is.
func (l *TargetLoads) RateWait(view *directory.View, req PlacementRequest) (time.Duration, bool) {
	limited := l.rateLimitedTargets(view, req, anyAge)
	l.mu.Lock()
	defer l.mu.Unlock()
	var shortest time.Duration
	for _, id := range limited {
		rank, hosts := l.rank(id)
		if wait := l.rates.Wait(l.now(), id, rank, hosts); shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest, len(limited) > 0
}
