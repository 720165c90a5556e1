package quota

import (
	"cmp"
	"slices"
	"time"
)

// Usage is what one account does in a pool.
type Usage struct {
	Account string
	// Running requests are in progress, Waiting ones in the queue.
	Running, Waiting int
	// TokensPerSecond is the rate of the last seconds.
	TokensPerSecond float64
}

const (
	// headroom is the part of its demand that a holder asks for beyond it, so
	// that a burst need not wait for a round trip.
	headroom = 0.25
	// leastSpare is the least number of requests asked for beyond the demand,
	// for accounts that use little.
	leastSpare = 1
	// leastRate is the least rate asked for, in tokens a second: an account
	// that produced nothing in the last seconds may start again.
	leastRate = 50
)

// DueDemands gives the demands that should be sent now for the accounts that use this
// pool, the most urgent first, at most limit of them: one message carries those
// of an owner. An account that has nothing here, and whose lease is over, is
// dropped; the owner's lease of it ends by itself.
func (h *Holder) DueDemands(now time.Duration, holder string, uses []Usage, limit int) []Demand {
	h.DropIdle(now, holder, uses)
	due := make([]Usage, 0, len(uses))
	for _, u := range uses {
		if h.NextRenewal(u.Account) <= now || h.starved(now, u) {
			due = append(due, u)
		}
	}
	slices.SortFunc(due, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(h.expiry(a.Account), h.expiry(b.Account)), cmp.Compare(a.Account, b.Account))
	})
	due = due[:min(limit, len(due))]
	out := make([]Demand, len(due))
	for i, u := range due {
		out[i] = u.demand(holder, h.known(u.Account))
		h.asked(now, u.Account)
	}
	return out
}

// known is the serial number of the grant in force. After its end it still
// says which earlier ones can no longer be acted on.
func (h *Holder) known(account string) uint64 {
	if l := h.leases[account]; l != nil {
		return l.grant.Serial
	}
	return 0
}

func (u Usage) demand(holder string, known uint64) Demand {
	wanted := u.Running + u.Waiting
	spare := max(leastSpare, int(headroom*float64(wanted)))
	return Demand{
		Account: u.Account, Holder: holder, Running: u.Running, Waiting: u.Waiting + spare,
		TokensPerSecond: max(leastRate, (1+headroom)*u.TokensPerSecond), KnownSerial: known,
	}
}

// starved tells whether requests wait for more than the lease allows. Such an
// account asks again sooner than it would renew, but not in every step: an
// owner with nothing to give would be asked as often as requests come.
func (h *Holder) starved(now time.Duration, u Usage) bool {
	l := h.leases[u.Account]
	if l == nil || u.Waiting == 0 {
		return false
	}
	return u.Running >= h.RunningLimit(now, u.Account) && now-l.sent >= h.cfg.LeaseDuration/starvedShare
}

// starvedShare: a starved account asks ten times a lease.
const starvedShare = 10

// asked keeps a demand from being sent again before there was time for its
// answer.
func (h *Holder) asked(now time.Duration, account string) {
	l := h.leases[account]
	if l == nil {
		l = &holding{filled: now}
		h.leases[account] = l
	}
	l.sent = now
	l.retry = max(l.retry, now+h.cfg.LeaseDuration/starvedShare)
}

func (h *Holder) expiry(account string) time.Duration {
	if l := h.leases[account]; l != nil {
		return l.expires
	}
	return 0
}

// debtLife is how long a debt of tokens is remembered after the lease's end: an
// account must not shed it by pausing for a moment.
const debtLife = time.Minute

// DropIdle forgets the accounts that have nothing here and whose lease is over, and
// gives the releases that their owners should hear. Without them an owner takes
// such a holder for one that fell silent, and counts for a minute what it could
// have had: a small limit would be used up by pools that do nothing.
func (h *Holder) DropIdle(now time.Duration, holder string, uses []Usage) []Release {
	used := make(map[string]bool, len(uses))
	for _, u := range uses {
		used[u.Account] = true
	}
	var out []Release
	for account, l := range h.leases {
		if used[account] || now < l.expires || now < l.retry {
			continue
		}
		if l.grant.Serial > 0 {
			out = append(out, Release{Account: account, Holder: holder, KnownSerial: l.grant.Serial})
		}
		l.grant = Grant{}
		if l.tokens >= 0 || now >= l.expires+debtLife {
			delete(h.leases, account)
		}
	}
	slices.SortFunc(out, func(a, b Release) int { return cmp.Compare(a.Account, b.Account) })
	return out
}

// ExpiresAt is the end of the account's lease; 0 without one.
func (h *Holder) ExpiresAt(account string) time.Duration { return h.expiry(account) }
