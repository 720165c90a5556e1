package quota

import (
	"math"
	"slices"
	"time"

	"filbertdeck/internal/decide/ownership"
)

// Owner leases the limits of the accounts that one process owns. It is not
// safe for concurrent use. Times count from any fixed start.
type Owner struct {
	cfg       Config
	accounts  map[string]*account
	revision  uint64
	listSince time.Duration
	listed    bool
	confirmed time.Duration
	serial    uint64
}

// serialBits are a serial's lower bits; the list's revision leads, so that the
// serials of a later owner are higher.
const serialBits = 32

// account is one that this process owns, since its tenure began.
type account struct {
	tenure ownership.Tenure
	leases map[string]*lease
}

// lease is what one holder has and wants.
type lease struct {
	demand  Demand
	running issued
	rate    held
	expires time.Duration
}

// issued is the grants of running requests that a holder may have received.
type issued struct {
	grants []issue
	last   uint64
	// inUse is what the holder had in progress by its last demand.
	inUse int
}

type issue struct {
	serial  uint64
	running int
	// over is when even a demand that was sent before the grant's end, and was
	// late, has arrived: what was started by the grant shows in demands.
	over time.Duration
}

// heard drops the grants before the one that the holder acts on, and those that
// are over. A serial that was never given here is another owner's, and says
// nothing.
func (g *issued) heard(now time.Duration, d Demand) {
	g.inUse = d.Running
	known := d.KnownSerial
	if known > g.last {
		known = 0
	}
	g.grants = slices.DeleteFunc(g.grants, func(i issue) bool { return i.serial < known || i.over <= now })
}

func (g *issued) add(i issue) {
	g.grants = append(g.grants, i)
	g.last = i.serial
}

// most is the largest number that the holder may have in progress.
func (g *issued) most() float64 {
	most := g.inUse
	for _, i := range g.grants {
		most = max(most, i.running)
	}
	return float64(most)
}

// held is the rates that a holder may still believe to have. A smaller lease may
// not reach it, so a larger one counts until its own end, and no longer: were
// the end moved on with each renewal, a pool that once had the whole rate would
// be counted with it for as long as it asks, and the others would get nothing.
type held struct{ grants []rateGrant }

type rateGrant struct {
	amount float64
	end    time.Duration
}

func (h *held) set(now, end time.Duration, amount float64) {
	h.grants = slices.DeleteFunc(h.grants, func(g rateGrant) bool { return g.end <= now || g.amount <= amount })
	h.grants = append(h.grants, rateGrant{amount, end})
}

func (h *held) at(now time.Duration) float64 {
	most := 0.0
	for _, g := range h.grants {
		if now < g.end {
			most = max(most, g.amount)
		}
	}
	return most
}

// NewOwner returns an owner of nothing.
func NewOwner(cfg Config) *Owner {
	return &Owner{cfg: cfg.withDefaults(), accounts: map[string]*account{}}
}

// SetOwnedAccounts says which accounts this process owns by the host list of the given
// revision (see pools.Accounts). Call it for each list that is read and when
// accounts come and go. An account that is new to the table is owned since the
// list was first seen: nobody else has leased it by this list. The leases of an
// account that another process owns now go on at their holders; the next owner
// waits them out.
func (o *Owner) SetOwnedAccounts(now time.Duration, revision uint64, owned []string) {
	began := now
	if revision == o.revision && o.listed {
		began = o.listSince
	} else {
		o.revision, o.listSince, o.listed = revision, now, true
	}
	old := o.accounts
	o.accounts = make(map[string]*account, len(owned))
	for _, name := range owned {
		a := old[name]
		if a == nil {
			a = &account{leases: map[string]*lease{}}
			a.tenure.SetOwner(began, revision, true)
		}
		a.tenure.Confirm(o.confirmed)
		a.tenure.SetOwner(now, revision, true)
		o.accounts[name] = a
	}
}

// ConfirmHostList says that the host list was the newest at the moment at.
func (o *Owner) ConfirmHostList(at time.Duration) { o.confirmed = max(o.confirmed, at) }

// HandleDemand takes a demand, which also renews, and leases a part by demand.
func (o *Owner) HandleDemand(now time.Duration, limits Limits, d Demand) Grant {
	a := o.accounts[d.Account]
	if a == nil {
		return Grant{Account: d.Account, NotOwner: true, RetryAfter: o.cfg.LeaseDuration / 3}
	}
	l := a.book(now, d, o.cfg.LingerFor)
	a.tenure.Confirm(o.confirmed)
	if !a.tenure.IsExclusive(now, o.cfg.tenure()) {
		return Grant{Account: d.Account, RetryAfter: max(a.tenure.ExclusiveFrom(o.cfg.tenure())-now, o.cfg.LeaseDuration/3)}
	}
	end := now + o.cfg.LeaseDuration + o.cfg.Margin
	running := a.runningPart(now, limits.Running, l)
	rate := a.part(now, limits.TokensPerSecond, l, rateOf)
	o.serial = max(o.serial, o.revision<<serialBits) + 1
	l.running.add(issue{o.serial, running, end + o.cfg.LeaseDuration})
	l.rate.set(now, end, rate)
	l.expires = end
	return Grant{
		Account: d.Account, Running: running, TokensPerSecond: rate,
		LeaseDuration: o.cfg.LeaseDuration, RetryAfter: o.cfg.LeaseDuration / 3, Serial: o.serial,
	}
}

func (a *account) book(now time.Duration, d Demand, linger time.Duration) *lease {
	a.expire(now, linger)
	l := a.leases[d.Holder]
	if l == nil {
		l = &lease{expires: now}
		a.leases[d.Holder] = l
	}
	l.demand = d
	l.running.heard(now, d)
	l.expires = max(l.expires, now)
	return l
}

// Leased is the sum of what all holders may believe to have of an account.
func (o *Owner) Leased(now time.Duration, name string) Limits {
	a := o.accounts[name]
	if a == nil {
		return Limits{}
	}
	a.expire(now, o.cfg.LingerFor)
	var sum Limits
	for _, l := range a.leases {
		sum.Running += int(l.running.most())
		sum.TokensPerSecond += l.rate.at(now)
	}
	return sum
}

// Release ends a holder's leases: it said that it holds and runs nothing, and
// which grant it knew then. A release that was overtaken by a later demand of
// the same holder says nothing of the lease that this one was given.
func (o *Owner) Release(r Release) {
	a := o.accounts[r.Account]
	if a == nil {
		return
	}
	if l := a.leases[r.Holder]; l != nil && l.running.last == r.KnownSerial {
		delete(a.leases, r.Holder)
	}
}

// expire ends the leases of silent holders. What they may have in progress
// still counts, and is forgotten in the end.
func (a *account) expire(now, linger time.Duration) {
	for holder, l := range a.leases {
		if now < l.expires {
			continue
		}
		l.demand.Waiting, l.demand.TokensPerSecond = 0, 0
		l.rate = held{}
		if now >= l.expires+linger {
			delete(a.leases, holder)
		}
	}
}

// kind picks one of the two limits of a lease: what the holder wants, and what
// it may have.
type kind func(l *lease, now time.Duration) (wanted, held float64)

func runningOf(l *lease, _ time.Duration) (float64, float64) {
	return float64(l.demand.Running + l.demand.Waiting), l.running.most()
}

func rateOf(l *lease, now time.Duration) (float64, float64) {
	return l.demand.TokensPerSecond, l.rate.at(now)
}

// part is what a holder gets: its max-min fair part of the limit by demand, and
// no more than the others leave.
func (a *account) part(now time.Duration, limit float64, own *lease, of kind) float64 {
	free := limit
	for _, l := range a.leases {
		if l != own {
			_, held := of(l, now)
			free -= held
		}
	}
	wanted, _ := of(own, now)
	return max(0, min(free, wanted, a.fair(now, limit, of)))
}

// runningPart is part for whole requests. Fair parts of a limit of three among
// four pools are below one each: rounded down, nobody ever runs anything, and
// the account waits for ever below its limit. What rounding down leaves goes in
// ones to the pools that want more, by turns.
func (a *account) runningPart(now time.Duration, limit int, own *lease) int {
	level := math.Floor(a.fair(now, float64(limit), runningOf))
	left, open := float64(limit), []string(nil)
	for holder, l := range a.leases {
		wanted, _ := runningOf(l, now)
		left -= min(wanted, level)
		if wanted > level {
			open = append(open, holder)
		}
	}
	slices.Sort(open)
	if at := slices.Index(open, own.demand.Holder); at >= 0 {
		turn := int(now/turnFor) % len(open)
		if float64((at-turn+len(open))%len(open)) < left {
			level++
		}
	}
	free := float64(limit)
	for _, l := range a.leases {
		if l != own {
			free -= l.running.most()
		}
	}
	wanted, _ := runningOf(own, now)
	return int(max(0, min(free, wanted, level)))
}

// turnFor is how long a pool keeps a place that is too small to be shared: some
// generations, so that the next pool's wait is short against what callers wait.
const turnFor = 5 * time.Second

// fair is the level up to which demands are met when the limit is filled evenly
// among them.
func (a *account) fair(now time.Duration, limit float64, of kind) float64 {
	level := 0.0
	for range len(a.leases) + 1 {
		open, left := 0, limit
		for _, l := range a.leases {
			if wanted, _ := of(l, now); wanted > level {
				open++
			} else {
				left -= wanted
			}
		}
		if open == 0 {
			return limit
		}
		next := left / float64(open)
		if next <= level {
			return level
		}
		level = next
	}
	return level
}
