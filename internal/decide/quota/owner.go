package quota

import (
	"math"
	"time"

	"filbertdeck/internal/decide/ownership"
)

// Owner leases the limits of the accounts that one process owns. It is not
// safe for concurrent use. Times count from any fixed start.
type Owner struct {
	cfg      Config
	tenure   ownership.Tenure
	accounts map[string]*account
}

type account struct {
	leases map[string]*lease
}

// lease is what one holder has and wants.
type lease struct {
	demand Demand
	// running and rate are in force at the holder at most until expires. A
	// smaller lease may not have reached the holder, so the larger one counts
	// until its own end.
	running, rate held
	expires       time.Duration
}

// held is the largest amount that a holder may still believe to have.
type held struct {
	now       float64
	before    float64
	beforeEnd time.Duration
}

func (h *held) set(now, oldEnd time.Duration, amount float64) {
	if past := h.at(now); past > amount {
		h.before = past
		h.beforeEnd = max(h.beforeEnd, oldEnd)
	}
	h.now = amount
}

func (h *held) at(now time.Duration) float64 {
	if now < h.beforeEnd {
		return max(h.now, h.before)
	}
	return h.now
}

// NewOwner returns an owner of nothing.
func NewOwner(cfg Config) *Owner {
	return &Owner{cfg: cfg.withDefaults(), accounts: map[string]*account{}}
}

// SetOwner says whether the host list of the given revision makes this process
// an owner of accounts, and restarts its wait when that is new. A process that
// owns some accounts under one list and others under the next calls Forget for
// those it lost.
func (o *Owner) SetOwner(now time.Duration, revision uint64, owner bool) {
	o.tenure.Set(now, revision, owner)
}

// Confirm says that the host list was the newest at the moment at.
func (o *Owner) Confirm(at time.Duration) { o.tenure.Confirm(at) }

// Ask takes a demand, which also renews, and leases a part by demand.
func (o *Owner) Ask(now time.Duration, limits Limits, d Demand) Grant {
	l, a := o.book(now, d)
	if !o.tenure.Sole(now, o.cfg.tenure()) {
		return Grant{Account: d.Account, RetryAfter: max(o.tenure.SoleFrom(o.cfg.tenure())-now, o.cfg.LeaseFor/3)}
	}
	end := now + o.cfg.LeaseFor + o.cfg.Margin
	running := math.Floor(a.part(now, float64(limits.Running), l, runningOf))
	rate := a.part(now, limits.TokensPerSecond, l, rateOf)
	l.running.set(now, l.expires, running)
	l.rate.set(now, l.expires, rate)
	l.expires = end
	return Grant{
		Account: d.Account, Running: int(running), TokensPerSecond: rate,
		LeaseFor: o.cfg.LeaseFor, RetryAfter: o.cfg.LeaseFor / 3,
	}
}

func (o *Owner) book(now time.Duration, d Demand) (*lease, *account) {
	a := o.accounts[d.Account]
	if a == nil {
		a = &account{leases: map[string]*lease{}}
		o.accounts[d.Account] = a
	}
	a.expire(now, o.cfg.LingerFor)
	l := a.leases[d.Holder]
	if l == nil {
		l = &lease{expires: now}
		a.leases[d.Holder] = l
	}
	l.demand = d
	l.expires = max(l.expires, now)
	return l, a
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
		sum.Running += int(l.running.at(now))
		sum.TokensPerSecond += l.rate.at(now)
	}
	return sum
}

// Forget drops an account that another process owns now. Its leases go on at
// their holders; the next owner waits them out.
func (o *Owner) Forget(account string) { delete(o.accounts, account) }

// Release ends a holder's leases: it said that it holds and runs nothing.
func (o *Owner) Release(name, holder string) {
	if a := o.accounts[name]; a != nil {
		delete(a.leases, holder)
	}
}

// expire keeps the lease of a silent holder as what it may have in progress,
// since it may have started all of it after its last demand, and forgets that
// in the end.
func (a *account) expire(now, linger time.Duration) {
	for holder, l := range a.leases {
		if now < l.expires {
			continue
		}
		l.demand.Waiting, l.demand.TokensPerSecond = 0, 0
		l.running, l.rate = held{now: l.running.at(l.expires - 1)}, held{}
		if now >= l.expires+linger {
			delete(a.leases, holder)
		}
	}
}

// kind picks one of the two limits of a lease.
type kind func(*lease) (wanted float64, floor float64, h *held)

func runningOf(l *lease) (float64, float64, *held) {
	inUse := float64(l.demand.Running)
	return inUse + float64(l.demand.Waiting), inUse, &l.running
}

func rateOf(l *lease) (float64, float64, *held) {
	return l.demand.TokensPerSecond, 0, &l.rate
}

// part is what a holder gets: its max-min fair part of the limit by demand, no
// less than what it has in progress, and no more than the others leave.
func (a *account) part(now time.Duration, limit float64, own *lease, of kind) float64 {
	wanted, floor, _ := of(own)
	if limit == 0 {
		return 0
	}
	free := limit
	for _, l := range a.leases {
		if l != own {
			_, inUse, h := of(l)
			free -= max(h.at(now), inUse)
		}
	}
	fair := a.fair(limit, of)
	return max(0, min(free, max(floor, min(wanted, fair))))
}

// fair is the level up to which demands are met when the limit is filled evenly
// among them.
func (a *account) fair(limit float64, of kind) float64 {
	open, left := 0, limit
	level := 0.0
	for range len(a.leases) + 1 {
		open, left = 0, limit
		for _, l := range a.leases {
			if wanted, _, _ := of(l); wanted > level {
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
