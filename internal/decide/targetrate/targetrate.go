// Package targetrate limits what all hosts together send to a target that has
// advertised a rate limit.
//
// An overloaded target states in its answers how many requests per second it
// takes from all hosts together. Other targets of its service have free capacity
// or, at worst, all of them are overloaded. If each host ignored the limit, or
// kept to it only by itself, all hosts together would send many times the limit,
// and the target would run out of capacity and fail.
//
// A few hosts, selected by their rank for the target, share its rate, each with a
// token bucket. The shares add up to the rate, and the bucket sizes to a fraction
// of the burst that a target allows, whenever each host sends and without
// messages. A host that has neither a token nor another target may borrow a token
// from a host with a share; the total number of tokens stays the same. An
// advertisement applies until the target's next one, and hosts pass it on with
// its age.
//
// Types in this package are not safe for concurrent use. Times are on the
// monotonic clock.
package targetrate

import (
	"math"
	"time"
)

// By the published contract, a target accepts slackFactor times its rate plus
// slackRequests in any window.
const (
	window        = 4 * time.Second
	slackFactor   = 1.5
	slackRequests = 5
)

const (
	// slackFraction is the fraction of the slack that token buckets may use. The
	// rest covers hosts that know different sets of hosts.
	slackFraction = 0.5
	// maxHolders limits the number of holders, the hosts that have a share of a
	// target's rate. With fewer holders the shares are larger, with more a share
	// is lost less often.
	maxHolders = 5
	// minRate is the rate, in requests per second, assumed for targets that
	// advertise less. Without any request no host would learn that a target takes
	// more again. It stays within slackRequests.
	minRate = 0.25
	// staleAfter is the age of an advertisement from which hosts without a share
	// try to get a newer one even though other targets have free capacity.
	staleAfter = 3 * time.Second
	// announceInterval is the interval at which an unchanged advertisement is
	// passed on.
	announceInterval = time.Second
)

// Advertisement is a target's statement of its rate limit.
type Advertisement struct {
	// Limited is set if the target stated a limit, which is PerSecond.
	Limited   bool
	PerSecond float64
	// At is the time of the statement.
	At time.Duration
}

// HolderCount returns how many of the hosts have a share of a rate: at most
// maxHolders, and no more than there are tokens in the total burst.
func HolderCount(perSecond float64, hosts int) int {
	return max(min(hosts, maxHolders, int(totalBurst(perSecond))), 1)
}

// totalBurst returns how many tokens all hosts together may accumulate.
func totalBurst(perSecond float64) float64 {
	return slackFraction * ((slackFactor-1)*max(perSecond, minRate)*window.Seconds() + slackRequests)
}

// share is one host's part of a target's rate.
type share struct {
	perSecond float64
	// burst is the size of the host's token bucket.
	burst float64
}

// shareOf returns the share of the host with the given rank, which is zero for
// most hosts.
func shareOf(perSecond float64, rank, hosts int) share {
	holders := HolderCount(perSecond, hosts)
	if rank < 0 || rank >= holders {
		return share{}
	}
	n := float64(holders)
	return share{perSecond: max(perSecond, minRate) / n, burst: math.Floor(totalBurst(perSecond) / n)}
}

// Limiter holds the rate limits that targets advertised and this host's tokens.
type Limiter struct{ targets map[string]*target }

// target is the state of a target that advertised a limit.
type target struct {
	latest      Advertisement
	announcedAt time.Duration
	tokens      float64
	// refilledAt is the time of the last refill; refilled is false before the
	// first.
	refilledAt time.Duration
	refilled   bool
}

// New returns a limiter without advertisements.
func New() *Limiter { return &Limiter{targets: map[string]*target{}} }

// Observe records what a target advertised in an answer to this host. It reports
// whether the advertisement should be passed on to other hosts.
func (l *Limiter) Observe(id string, a Advertisement) (announce bool) {
	t := l.targets[id]
	if t == nil && !a.Limited {
		return false
	}
	changed := t == nil || t.latest.Limited != a.Limited || t.latest.PerSecond != a.PerSecond
	t = l.set(id, a)
	if !changed && (!a.Limited || a.At-t.announcedAt < announceInterval) {
		return false
	}
	t.announcedAt = a.At
	return true
}

// Merge records what a target advertised to another host. Older advertisements
// are ignored.
func (l *Limiter) Merge(id string, a Advertisement) {
	t := l.targets[id]
	if t == nil && !a.Limited || t != nil && a.At <= t.latest.At {
		return
	}
	l.set(id, a).announcedAt = a.At
}

// set stores a target's last advertisement.
func (l *Limiter) set(id string, a Advertisement) *target {
	t := l.targets[id]
	if t == nil {
		t = &target{}
		l.targets[id] = t
	}
	t.latest = a
	return t
}

// LimitedCount returns the number of targets that advertise a limit.
func (l *Limiter) LimitedCount() int {
	n := 0
	for _, t := range l.targets {
		if t.latest.Limited {
			n++
		}
	}
	return n
}

// Limit returns a target's last advertisement; false if it has no limit.
func (l *Limiter) Limit(id string) (Advertisement, bool) {
	t := l.targets[id]
	if t == nil || !t.latest.Limited {
		return Advertisement{}, false
	}
	return t.latest, true
}

// Stale reports whether a target's limit is so old that the target may take more
// by now.
func (l *Limiter) Stale(now time.Duration, id string) bool {
	a, limited := l.Limit(id)
	return limited && now-a.At >= staleAfter
}

// Allows reports whether this host, with its rank among the given number of hosts,
// may send a request to a target now.
func (l *Limiter) Allows(now time.Duration, id string, rank, hosts int) bool {
	t := l.targets[id]
	if t == nil || !t.latest.Limited {
		return true
	}
	t.refill(now, shareOf(t.latest.PerSecond, rank, hosts))
	return t.tokens >= 1
}

// Wait returns the time until this host may send a request to a target. A host
// without a share waits for the mean interval between requests to the target.
func (l *Limiter) Wait(now time.Duration, id string, rank, hosts int) time.Duration {
	if l.Allows(now, id, rank, hosts) {
		return 0
	}
	t := l.targets[id]
	own := shareOf(t.latest.PerSecond, rank, hosts)
	if own.perSecond == 0 {
		return seconds(1 / max(t.latest.PerSecond, minRate))
	}
	return seconds((1 - t.tokens) / own.perSecond)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// TakeToken takes a token for a request sent to a target.
func (l *Limiter) TakeToken(id string) {
	if t := l.targets[id]; t != nil && t.latest.Limited {
		t.tokens--
	}
}

// ReturnToken returns a token that was taken for a request that was not sent after all.
func (l *Limiter) ReturnToken(id string) { l.AddBorrowed(id) }

// AddBorrowed adds a token that another host lent.
func (l *Limiter) AddBorrowed(id string) {
	if t := l.targets[id]; t != nil && t.latest.Limited {
		t.tokens++
	}
}

// Lend takes a token for another host. It reports whether there was one and the
// target's limit is known.
func (l *Limiter) Lend(now time.Duration, id string, rank, hosts int) bool {
	if _, limited := l.Limit(id); !limited || !l.Allows(now, id, rank, hosts) {
		return false
	}
	l.TakeToken(id)
	return true
}

// Retain removes the targets for which known returns false.
func (l *Limiter) Retain(known func(id string) bool) {
	for id := range l.targets {
		if !known(id) {
			delete(l.targets, id)
		}
	}
}

// refill adds the tokens earned since the last refill, up to the size of the
// bucket. A host with a share starts with one token.
func (t *target) refill(now time.Duration, own share) {
	earned := own.perSecond * (now - t.refilledAt).Seconds()
	if !t.refilled && own.perSecond > 0 {
		earned = 1
	}
	t.refilled, t.refilledAt = true, now
	if t.tokens < own.burst {
		t.tokens = min(t.tokens+earned, own.burst)
	}
}
