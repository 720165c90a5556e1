package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"filbertdeck/internal/call"
	"filbertdeck/internal/decide/brittle"
	"filbertdeck/internal/decide/targetload"
	"filbertdeck/internal/decide/targetrate"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/wake"
)

// BorrowFunc borrows one request of a target's rate, and one of its places, from
// another host. The hosts ranked first for the target, as many as holders says, share
// them. It returns the lender; false when none of them lends.
type BorrowFunc func(target string, holders int) (lender string, ok bool)

// ReturnFunc returns a target's place to the host that lent it.
type ReturnFunc func(target, lender string)

// SetLenders sets the functions that borrow requests and return places. Without them
// none are borrowed.
func (l *TargetLoads) SetLenders(borrow BorrowFunc, returnPlace ReturnFunc) {
	l.borrowShare, l.returnPlace = borrow, returnPlace
}

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

// LendShare lends another host one request of a target's rate, and one of its places;
// false when this host has none left, or when neither is shared.
func (l *TargetLoads) LendShare(target string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, limited := l.rates.Limit(target)
	_, isBrittle := l.brittle.Slots(l.now(), target)
	if isBrittle {
		return l.withinRate(target) && l.brittle.Lend(l.now(), target, l.placesAt(target)) && (!limited || l.lendRate(target))
	}
	return limited && l.lendRate(target)
}

// lendRate lends one request of a target's rate.
func (l *TargetLoads) lendRate(target string) bool {
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

// withinShare reports whether this host may send one more request to a target within
// its shares of the target's advertised rate and of its places.
func (l *TargetLoads) withinShare(view *directory.View, t *directory.ObservedTarget) bool {
	return l.withinRate(t.ID) && l.hasPlace(view, t.Target)
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
	holders := l.shareHolders(target)
	if holders == 0 || l.borrowShare == nil {
		return false
	}
	lender, ok := l.borrowShare(target, holders)
	if !ok {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rates.AddBorrowed(target)
	l.brittle.AddBorrowed(l.now(), target, lender)
	return true
}

// shareHolders returns the number of hosts that share a target's rate and its places; 0
// if neither is shared.
func (l *TargetLoads) shareHolders(target string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, hosts := l.rank(target)
	advertisement, limited := l.rates.Limit(target)
	slots, isBrittle := l.brittle.Slots(l.now(), target)
	switch {
	case limited && isBrittle:
		return min(targetrate.HolderCount(advertisement.PerSecond, hosts), brittle.HolderCount(slots, hosts))
	case limited:
		return targetrate.HolderCount(advertisement.PerSecond, hosts)
	case isBrittle:
		return brittle.HolderCount(slots, hosts)
	}
	return 0
}

// borrowForService borrows one request to any target of a service that would
// accept it but for its rate; false when no host lends one.
func (l *TargetLoads) borrowForService(view *directory.View, req PlacementRequest, filter func(target string) bool) bool {
	limited := l.sharedTargets(view, req, filter)
	rand.Shuffle(len(limited), func(i, j int) { limited[i], limited[j] = limited[j], limited[i] })
	return slices.ContainsFunc(limited[:min(len(limited), maxBorrowAttempts)], l.borrow)
}

// maxBorrowAttempts limits the targets for which borrowing is attempted: each
// attempt costs a round trip.
const maxBorrowAttempts = 2

// sharedTargets returns the ids of a service's targets that would accept a request but
// for this host's share of their rate or of their places.
func (l *TargetLoads) sharedTargets(view *directory.View, req PlacementRequest, filter func(target string) bool) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rates.LimitedCount() == 0 && l.brittle.Count(l.now()) == 0 {
		return nil
	}
	var out []string
	for _, t := range view.ServiceTargets(req.Service) {
		if l.isShared(t) && l.acceptsIgnoringShare(view, req, t) && !l.withinShare(view, t) && filter(t.ID) {
			out = append(out, t.ID)
		}
	}
	return out
}

// isShared reports whether hosts share a target's rate or its places.
func (l *TargetLoads) isShared(t *directory.ObservedTarget) bool {
	_, limited := l.rates.Limit(t.ID)
	return limited || l.brittle.IsBrittle(l.now(), t.Lifetime())
}

// anyAge accepts targets whatever the age of their advertisement.
func anyAge(string) bool { return true }

// isStale reports whether a target's advertisement is so old that the target
// may accept more by now.
func (l *TargetLoads) isStale(target string) bool { return l.rates.Stale(l.now(), target) }

// TimeToRoom returns the time until one of a service's targets that rest, are at their
// rate or have no place left accepts a request from this host; false when there are none.
func (l *TargetLoads) TimeToRoom(view *directory.View, req PlacementRequest) (time.Duration, bool) {
	shareWait, limited := l.shareWait(view, req)
	restWait, resting := l.shortestRest(view, req)
	switch {
	case !limited:
		return restWait, resting
	case !resting:
		return shareWait, limited
	}
	return min(shareWait, restWait), true
}

// HasRoom reports whether a target accepts a request now.
func (l *TargetLoads) HasRoom(view *directory.View, req PlacementRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.draw(view, req, view.ServiceTargets(req.Service), 1)) > 0
}

// shareWait returns the time until this host may send to one of a service's targets
// that are at their rate or have no place left; false when none of them is.
func (l *TargetLoads) shareWait(view *directory.View, req PlacementRequest) (time.Duration, bool) {
	shared := l.sharedTargets(view, req, anyAge)
	l.mu.Lock()
	defer l.mu.Unlock()
	var shortest time.Duration
	for _, id := range shared {
		rank, hosts := l.rank(id)
		wait := max(l.rates.Wait(l.now(), id, rank, hosts), l.brittle.Wait(l.now(), id))
		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest, len(shared) > 0
}
