package quota

import (
	"cmp"
	"slices"
	"time"
)

// Usage is the usage of one account in a pool.
type Usage struct {
	Account string
	// Running is the number of requests in progress, Waiting the number in the
	// queue.
	Running, Waiting int
	// TokensPerSecond is the rate over the last seconds.
	TokensPerSecond float64
}

const (
	// headroomFraction is the fraction that a holder requests beyond its
	// demand, so that a burst need not wait for a round trip to the owner.
	headroomFraction = 0.25
	// minSpareRequests is the minimum number of requests beyond the demand, for
	// accounts with little usage.
	minSpareRequests = 1
	// minTokensPerSecond is the minimum rate that is requested: an account that
	// produced no tokens in the last seconds may start again.
	minTokensPerSecond = 50
)

// DueDemands returns the demands that should be sent now for the accounts that use
// this pool, the most urgent first and at most limit of them, because one
// message carries the demands for an owner. Accounts without usage whose lease
// has expired are dropped; the owner's lease of such an account expires by
// itself.
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
		out[i] = u.demand(holder, h.knownSerial(u.Account))
		h.recordSent(now, u.Account)
	}
	return out
}

// knownSerial returns the serial number of the grant in force. After the lease
// has expired, it still tells the owner which earlier grants can no longer be
// used.
func (h *Holder) knownSerial(account string) uint64 {
	if l := h.leases[account]; l != nil {
		return l.grant.Serial
	}
	return 0
}

func (u Usage) demand(holder string, knownSerial uint64) Demand {
	total := u.Running + u.Waiting
	spare := max(minSpareRequests, int(headroomFraction*float64(total)))
	return Demand{
		Account: u.Account, Holder: holder, Running: u.Running, Waiting: u.Waiting + spare,
		TokensPerSecond: max(minTokensPerSecond, (1+headroomFraction)*u.TokensPerSecond), KnownSerial: knownSerial,
	}
}

// starved reports whether requests wait because the lease is used up. The
// holder then sends the next demand earlier than the renewal is due, but not in
// every step: otherwise an owner with nothing left to grant would receive
// demands at the rate of requests.
func (h *Holder) starved(now time.Duration, u Usage) bool {
	l := h.leases[u.Account]
	if l == nil || u.Waiting == 0 {
		return false
	}
	return u.Running >= h.RunningLimit(now, u.Account) && now-l.sentAt >= h.cfg.LeaseDuration/retriesPerLease
}

// retriesPerLease is the number of demands per lease duration that a holder may
// send for a starved account.
const retriesPerLease = 10

// recordSent records that a demand was sent and delays the next one, to leave
// time for the answer.
func (h *Holder) recordSent(now time.Duration, account string) {
	l := h.leases[account]
	if l == nil {
		l = &heldLease{refilledAt: now}
		h.leases[account] = l
	}
	l.sentAt = now
	l.retryAt = max(l.retryAt, now+h.cfg.LeaseDuration/retriesPerLease)
}

func (h *Holder) expiry(account string) time.Duration {
	if l := h.leases[account]; l != nil {
		return l.expires
	}
	return 0
}

// debtRetention is how long a negative token balance is kept after the lease
// has expired, so that an account can't clear it by a short pause.
const debtRetention = time.Minute

// DropIdle removes the accounts without usage whose lease has expired, and returns
// the releases to send to their owners. Without a release the owner would treat
// the holder as silent and count for a minute what it could have had in
// progress: a small limit would be used up by idle pools.
func (h *Holder) DropIdle(now time.Duration, holder string, uses []Usage) []Release {
	used := make(map[string]bool, len(uses))
	for _, u := range uses {
		used[u.Account] = true
	}
	var out []Release
	for account, l := range h.leases {
		if used[account] || now < l.expires || now < l.retryAt {
			continue
		}
		if l.grant.Serial > 0 {
			out = append(out, Release{Account: account, Holder: holder, KnownSerial: l.grant.Serial})
		}
		l.grant = Grant{}
		if l.tokens >= 0 || now >= l.expires+debtRetention {
			delete(h.leases, account)
		}
	}
	slices.SortFunc(out, func(a, b Release) int { return cmp.Compare(a.Account, b.Account) })
	return out
}

// ExpiresAt returns when the account's lease expires; 0 without a lease.
func (h *Holder) ExpiresAt(account string) time.Duration { return h.expiry(account) }
