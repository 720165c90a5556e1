package quota

import (
	"math"
	"slices"
	"time"

	"filbertdeck/internal/decide/ownership"
)

// Owner leases the limits of the accounts that one process owns. It is not safe
// for concurrent use. Times are durations since any fixed start.
type Owner struct {
	cfg          Config
	accounts     map[string]*ownedAccount
	listRevision uint64
	listSince    time.Duration
	listKnown    bool
	confirmedAt  time.Duration
	serial       uint64
}

// serialBits is the number of low bits of a serial that hold a counter. The
// high bits hold the revision of the host list, so that the serials of a later
// owner are higher.
const serialBits = 32

// ownedAccount is an account that this process owns, since its tenure began.
type ownedAccount struct {
	tenure ownership.Tenure
	leases map[string]*lease
}

// lease is the owner's state of one holder: its last demand and the grants that
// it may have received.
type lease struct {
	demand  Demand
	running runningGrants
	rate    rateGrants
	expires time.Duration
}

// runningGrants holds the grants of requests in progress that a holder may have
// received.
type runningGrants struct {
	grants     []runningGrant
	lastSerial uint64
	// inProgress is the number of requests that the holder had in progress by
	// its last demand.
	inProgress int
}

type runningGrant struct {
	serial  uint64
	running int
	// countedUntil is when even a delayed demand that was sent before the end
	// of the grant has arrived. From then on, demands include the requests that
	// were started by this grant.
	countedUntil time.Duration
}

// acknowledge removes the grants before the one that the holder uses, and those
// past countedUntil. A serial that this owner has not given to the holder comes
// from another owner and is ignored.
func (g *runningGrants) acknowledge(now time.Duration, d Demand) {
	g.inProgress = d.Running
	knownSerial := d.KnownSerial
	if knownSerial > g.lastSerial {
		knownSerial = 0
	}
	g.grants = slices.DeleteFunc(g.grants, func(grant runningGrant) bool { return grant.serial < knownSerial || grant.countedUntil <= now })
}

func (g *runningGrants) add(grant runningGrant) {
	g.grants = append(g.grants, grant)
	g.lastSerial = grant.serial
}

// maxRunning returns the largest number of requests that the holder may have in
// progress.
func (g *runningGrants) maxRunning() float64 {
	maximum := g.inProgress
	for _, grant := range g.grants {
		maximum = max(maximum, grant.running)
	}
	return float64(maximum)
}

// rateGrants holds the rates that a holder may still use. The grant of a
// smaller rate may not reach the holder, so a larger one counts until its own
// expiry, and no longer: if each renewal extended it, a pool that once had the
// whole rate would be counted with all of it for as long as it renews, and the
// other pools would get nothing.
type rateGrants struct{ grants []rateGrant }

type rateGrant struct {
	tokensPerSecond float64
	expires         time.Duration
}

func (r *rateGrants) add(now, expires time.Duration, tokensPerSecond float64) {
	r.grants = slices.DeleteFunc(r.grants, func(g rateGrant) bool { return g.expires <= now || g.tokensPerSecond <= tokensPerSecond })
	r.grants = append(r.grants, rateGrant{tokensPerSecond, expires})
}

func (r *rateGrants) maxRate(now time.Duration) float64 {
	maximum := 0.0
	for _, g := range r.grants {
		if now < g.expires {
			maximum = max(maximum, g.tokensPerSecond)
		}
	}
	return maximum
}

// NewOwner returns an owner without accounts.
func NewOwner(cfg Config) *Owner {
	return &Owner{cfg: cfg.withDefaults(), accounts: map[string]*ownedAccount{}}
}

// SetOwnedAccounts sets the accounts that this process owns by the host list of the
// given revision (see package pools). It must be called for each host list that
// is read and whenever accounts are added or removed. An account that is new in
// the table counts as owned since the host list was first seen, because no
// other process can have leased it by this list. When an account moves to
// another process, its leases remain in force at their holders, and the next
// owner waits until they have expired.
func (o *Owner) SetOwnedAccounts(now time.Duration, revision uint64, owned []string) {
	ownedSince := now
	if revision == o.listRevision && o.listKnown {
		ownedSince = o.listSince
	} else {
		o.listRevision, o.listSince, o.listKnown = revision, now, true
	}
	old := o.accounts
	o.accounts = make(map[string]*ownedAccount, len(owned))
	for _, name := range owned {
		a := old[name]
		if a == nil {
			a = &ownedAccount{leases: map[string]*lease{}}
			a.tenure.SetOwner(ownedSince, revision, true)
		}
		a.tenure.Confirm(o.confirmedAt)
		a.tenure.SetOwner(now, revision, true)
		o.accounts[name] = a
	}
}

// ConfirmHostList records that the host list was the newest at the given time.
func (o *Owner) ConfirmHostList(at time.Duration) { o.confirmedAt = max(o.confirmedAt, at) }

// HandleDemand handles a demand, which also renews the holder's lease, and grants a part
// of the limits by demand.
func (o *Owner) HandleDemand(now time.Duration, limits Limits, d Demand) Grant {
	a := o.accounts[d.Account]
	if a == nil {
		return Grant{Account: d.Account, NotOwner: true, RetryAfter: o.cfg.LeaseDuration / 3}
	}
	l := a.recordDemand(now, d, o.cfg.SilentHolderGrace)
	a.tenure.Confirm(o.confirmedAt)
	if !a.tenure.IsExclusive(now, o.cfg.ownershipConfig()) {
		return Grant{Account: d.Account, RetryAfter: max(a.tenure.ExclusiveFrom(o.cfg.ownershipConfig())-now, o.cfg.LeaseDuration/3)}
	}
	end := now + o.cfg.LeaseDuration + o.cfg.ExpiryMargin
	running := a.grantableRunning(now, limits.Running, l)
	rate := a.grantable(now, limits.TokensPerSecond, l, rateAmounts)
	o.serial = max(o.serial, o.listRevision<<serialBits) + 1
	l.running.add(runningGrant{o.serial, running, end + o.cfg.LeaseDuration})
	l.rate.add(now, end, rate)
	l.expires = end
	return Grant{
		Account: d.Account, Running: running, TokensPerSecond: rate,
		LeaseDuration: o.cfg.LeaseDuration, RetryAfter: o.cfg.LeaseDuration / 3, Serial: o.serial,
	}
}

func (a *ownedAccount) recordDemand(now time.Duration, d Demand, grace time.Duration) *lease {
	a.expire(now, grace)
	l := a.leases[d.Holder]
	if l == nil {
		l = &lease{expires: now}
		a.leases[d.Holder] = l
	}
	l.demand = d
	l.running.acknowledge(now, d)
	l.expires = max(l.expires, now)
	return l
}

// TotalLeased returns the sum of what all holders may use of an account's
// limits.
func (o *Owner) TotalLeased(now time.Duration, name string) Limits {
	a := o.accounts[name]
	if a == nil {
		return Limits{}
	}
	a.expire(now, o.cfg.SilentHolderGrace)
	var sum Limits
	for _, l := range a.leases {
		sum.Running += int(l.running.maxRunning())
		sum.TokensPerSecond += l.rate.maxRate(now)
	}
	return sum
}

// Release ends a holder's lease after the holder has reported that it neither
// holds a lease nor has requests in progress. A release that does not name the
// last grant is ignored: a later demand of the same holder has overtaken it.
func (o *Owner) Release(r Release) {
	a := o.accounts[r.Account]
	if a == nil {
		return
	}
	if l := a.leases[r.Holder]; l != nil && l.running.lastSerial == r.KnownSerial {
		delete(a.leases, r.Holder)
	}
}

// expire ends the leases of silent holders. What they may have in progress
// remains counted for the grace period.
func (a *ownedAccount) expire(now, grace time.Duration) {
	for holder, l := range a.leases {
		if now < l.expires {
			continue
		}
		l.demand.Waiting, l.demand.TokensPerSecond = 0, 0
		l.rate = rateGrants{}
		if now >= l.expires+grace {
			delete(a.leases, holder)
		}
	}
}

// amountsFunc returns, for one of the two limits of a lease, the amount that
// the holder wants and the amount that it may have.
type amountsFunc func(l *lease, now time.Duration) (wanted, held float64)

func runningAmounts(l *lease, _ time.Duration) (float64, float64) {
	return float64(l.demand.Running + l.demand.Waiting), l.running.maxRunning()
}

func rateAmounts(l *lease, now time.Duration) (float64, float64) {
	return l.demand.TokensPerSecond, l.rate.maxRate(now)
}

// grantable returns the amount to grant to a holder: its max-min fair share of
// the limit, and no more than the other holders leave.
func (a *ownedAccount) grantable(now time.Duration, limit float64, requester *lease, amounts amountsFunc) float64 {
	free := limit
	for _, l := range a.leases {
		if l != requester {
			_, held := amounts(l, now)
			free -= held
		}
	}
	wanted, _ := amounts(requester, now)
	return max(0, min(free, wanted, a.fairLevel(now, limit, amounts)))
}

// grantableRunning is grantable for whole requests. If a limit of three is
// shared by four pools, the fair shares are below one each; rounded down, no
// pool could start any request, and the account would wait forever below its
// limit. The remainder after rounding down is therefore granted in units of one
// to the pools that want more, in rotation.
func (a *ownedAccount) grantableRunning(now time.Duration, limit int, requester *lease) int {
	level := math.Floor(a.fairLevel(now, float64(limit), runningAmounts))
	remaining, unsatisfied := float64(limit), []string(nil)
	for holder, l := range a.leases {
		wanted, _ := runningAmounts(l, now)
		remaining -= min(wanted, level)
		if wanted > level {
			unsatisfied = append(unsatisfied, holder)
		}
	}
	slices.Sort(unsatisfied)
	if index := slices.Index(unsatisfied, requester.demand.Holder); index >= 0 {
		rotation := int(now/rotationInterval) % len(unsatisfied)
		if float64((index-rotation+len(unsatisfied))%len(unsatisfied)) < remaining {
			level++
		}
	}
	free := float64(limit)
	for _, l := range a.leases {
		if l != requester {
			free -= l.running.maxRunning()
		}
	}
	wanted, _ := runningAmounts(requester, now)
	return int(max(0, min(free, wanted, level)))
}

// rotationInterval is how long a pool keeps a unit that can't be shared. It is
// long enough for some generations, and short enough that another pool's wait
// is short compared with the time that callers wait.
const rotationInterval = 5 * time.Second

// fairLevel returns the max-min fair level: the amount up to which each demand
// is met.
func (a *ownedAccount) fairLevel(now time.Duration, limit float64, amounts amountsFunc) float64 {
	level := 0.0
	for range len(a.leases) + 1 {
		unsatisfied, remaining := 0, limit
		for _, l := range a.leases {
			if wanted, _ := amounts(l, now); wanted > level {
				unsatisfied++
			} else {
				remaining -= wanted
			}
		}
		if unsatisfied == 0 {
			return limit
		}
		next := remaining / float64(unsatisfied)
		if next <= level {
			return level
		}
		level = next
	}
	return level
}
