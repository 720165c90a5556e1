// Package targetrate bounds what all hosts together send to a target that has
// named the rate it takes.
//
// Load pattern: a target in need says in its answers how many requests a second
// it takes from all hosts together, while other targets of its service have room
// or, at worst, all of them are in need.
//
// What happens without it: each host goes on as before, or keeps to the rate by
// itself and all of them together send many times as much. The target gets more
// than it has room for and falls over.
//
// How it works: a few hosts, by their rank for the target, share its rate; each
// has a token bucket. The shares add up to the rate, and the buckets to a part of
// the slack that a target allows, whoever sends when and without a message. A host that has no token and no other target may borrow one
// from a host that has a share: borrowed or used, it is the same token. What a
// target says last holds; hosts pass it on with its age.
//
// It is not safe for concurrent use; times are on the steady clock.
package targetrate

import (
	"math"
	"time"
)

// A target takes, in any window, slackFactor times its rate and slackRequests
// besides, as published.
const (
	window        = 4 * time.Second
	slackFactor   = 1.5
	slackRequests = 5
)

const (
	// slackUsed is the part of the slack that buckets may fill up. The rest is
	// for hosts that differ in which hosts they know.
	slackUsed = 0.5
	// mostHolders bounds the hosts that share a rate: fewer shares are larger, and
	// more are lost less often.
	mostHolders = 5
	// leastRate is the rate taken for targets that name less: without any request
	// nobody would hear that a target takes more again. It stays within
	// slackRequests.
	leastRate = 0.25
	// staleAfter is the age of an advertisement from which hosts without a share
	// look for a newer one, though other targets have room.
	staleAfter = 3 * time.Second
	// announceEvery is how often an advertisement that says nothing new is passed on.
	announceEvery = time.Second
)

// Advertisement is what a target said of the rate it takes.
type Advertisement struct {
	// Limited says that the target named a rate; PerSecond is that rate.
	Limited   bool
	PerSecond float64
	// At is when it said so.
	At time.Duration
}

// HolderCount is the number of hosts, of so many, that share a rate.
func HolderCount(perSecond float64, hosts int) int {
	return max(min(hosts, mostHolders, int(buckets(perSecond))), 1)
}

// buckets is the number of tokens that all hosts together may save up.
func buckets(perSecond float64) float64 {
	return slackUsed * ((slackFactor-1)*max(perSecond, leastRate)*window.Seconds() + slackRequests)
}

// share is one host's part of a target's rate.
type share struct {
	perSecond float64
	// bucket is the number of tokens that it may save up.
	bucket float64
}

// shareOf gives the share of the host with a rank, none for most.
func shareOf(perSecond float64, rank, hosts int) share {
	holders := HolderCount(perSecond, hosts)
	if rank < 0 || rank >= holders {
		return share{}
	}
	n := float64(holders)
	return share{perSecond: max(perSecond, leastRate) / n, bucket: math.Floor(buckets(perSecond) / n)}
}

// Limiter holds what targets said of their rates, and this host's tokens.
type Limiter struct{ targets map[string]*target }

// target is one that named a rate.
type target struct {
	last      Advertisement
	announced time.Duration
	tokens    float64
	// filledAt is when the tokens were last worked out, if they ever were.
	filledAt time.Duration
	filled   bool
}

// New returns an empty board.
func New() *Limiter { return &Limiter{targets: map[string]*target{}} }

// Observe takes what a target said in an answer to this host. It tells whether
// other hosts are to hear of it.
func (b *Limiter) Observe(id string, a Advertisement) (tell bool) {
	t := b.targets[id]
	if t == nil && !a.Limited {
		return false
	}
	changed := t == nil || t.last.Limited != a.Limited || t.last.PerSecond != a.PerSecond
	t = b.take(id, a)
	if !changed && (!a.Limited || a.At-t.announced < announceEvery) {
		return false
	}
	t.announced = a.At
	return true
}

// Merge takes what a target said to another host.
func (b *Limiter) Merge(id string, a Advertisement) {
	t := b.targets[id]
	if t == nil && !a.Limited || t != nil && a.At <= t.last.At {
		return
	}
	b.take(id, a).announced = a.At
}

func (b *Limiter) take(id string, a Advertisement) *target {
	t := b.targets[id]
	if t == nil {
		t = &target{}
		b.targets[id] = t
	}
	t.last = a
	return t
}

// Limited is the number of targets that name a rate.
func (b *Limiter) Limited() int {
	n := 0
	for _, t := range b.targets {
		if t.last.Limited {
			n++
		}
	}
	return n
}

// Limit gives what a target said last; false when it names no rate.
func (b *Limiter) Limit(id string) (Advertisement, bool) {
	t := b.targets[id]
	if t == nil || !t.last.Limited {
		return Advertisement{}, false
	}
	return t.last, true
}

// Stale tells whether a target named a rate so long ago that it may take more by
// now.
func (b *Limiter) Stale(now time.Duration, id string) bool {
	a, limited := b.Limit(id)
	return limited && now-a.At >= staleAfter
}

// Allows tells whether this host, with a rank among so many, may send one more to a
// target now.
func (b *Limiter) Allows(now time.Duration, id string, rank, hosts int) bool {
	t := b.targets[id]
	if t == nil || !t.last.Limited {
		return true
	}
	t.fill(now, shareOf(t.last.PerSecond, rank, hosts))
	return t.tokens >= 1
}

// Wait is the time until this host may send one more to a target. A host without a
// share waits for the mean time between two requests there.
func (b *Limiter) Wait(now time.Duration, id string, rank, hosts int) time.Duration {
	if b.Allows(now, id, rank, hosts) {
		return 0
	}
	t := b.targets[id]
	own := shareOf(t.last.PerSecond, rank, hosts)
	if own.perSecond == 0 {
		return seconds(1 / max(t.last.PerSecond, leastRate))
	}
	return seconds((1 - t.tokens) / own.perSecond)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// TakeToken takes a token for a request that goes to a target.
func (b *Limiter) TakeToken(id string) {
	if t := b.targets[id]; t != nil && t.last.Limited {
		t.tokens--
	}
}

// AddBorrowed adds a token that another host lent.
func (b *Limiter) AddBorrowed(id string) {
	if t := b.targets[id]; t != nil && t.last.Limited {
		t.tokens++
	}
}

// Lend gives a token away, if this host knows the target's rate and has one.
func (b *Limiter) Lend(now time.Duration, id string, rank, hosts int) bool {
	if _, limited := b.Limit(id); !limited || !b.Allows(now, id, rank, hosts) {
		return false
	}
	b.TakeToken(id)
	return true
}

// Retain forgets targets that are gone.
func (b *Limiter) Retain(known func(id string) bool) {
	for id := range b.targets {
		if !known(id) {
			delete(b.targets, id)
		}
	}
}

// fill adds the tokens of a share that came since the last time, up to a full
// bucket. A host with a share begins with one.
func (t *target) fill(now time.Duration, own share) {
	gained := own.perSecond * (now - t.filledAt).Seconds()
	if !t.filled && own.perSecond > 0 {
		gained = 1
	}
	t.filled, t.filledAt = true, now
	if t.tokens < own.bucket {
		t.tokens = min(t.tokens+gained, own.bucket)
	}
}
