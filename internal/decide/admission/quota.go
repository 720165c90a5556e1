package admission

import (
	"time"

	"filbertdeck/internal/decide/fairqueue"
)

// QuotaGrant is the quota granted to this pool from an account's shared limits
// (package quota).
type QuotaGrant struct {
	Account string
	// MayStart is false while no request of the account may start.
	MayStart bool
	// MaxRunning bounds the account's leases here; 0 means that the account has no
	// such limit.
	MaxRunning int
	// ExpiresAt is when the quota grant expires. A process that was paused beyond
	// that time must not use it, because other pools have received the
	// account's limit by then.
	ExpiresAt time.Duration
}

// QuotaUsage is the use of this pool by an account with shared limits.
type QuotaUsage struct {
	Account          string
	Running, Waiting int
	// ProducedTokens counts the output tokens since the use was last read.
	ProducedTokens int
}

// quotaState is the quota grant in force of one account and its use.
type quotaState struct {
	QuotaGrant
	producedTokens int
}

// quotaTable holds the quota grants of the accounts that use this pool.
type quotaTable struct {
	byAccount map[string]*quotaState
	// nextExpiry is the earliest expiry of a quota grant that allows starts, or
	// 0.
	nextExpiry time.Duration
}

func (t *quotaTable) getOrCreate(account string) *quotaState {
	p := t.byAccount[account]
	if p == nil {
		p = &quotaState{}
		t.byAccount[account] = p
	}
	return p
}

func (t *quotaTable) addProduced(account string, tokens int) {
	if p := t.byAccount[account]; p != nil {
		p.producedTokens += tokens
	}
}

// SetQuotaGrant puts a quota grant in force. Before the first one and after its
// expiry the account's requests wait.
func (a *Allocator) SetQuotaGrant(now time.Duration, p QuotaGrant) {
	p.MayStart = p.MayStart && now < p.ExpiresAt
	a.quotas.getOrCreate(p.Account).QuotaGrant = p
	if p.MayStart && (a.quotas.nextExpiry == 0 || p.ExpiresAt < a.quotas.nextExpiry) {
		a.quotas.nextExpiry = p.ExpiresAt
	}
	a.updateLimit(p.Account)
}

// updateLimit applies the current limit to the account, if the queue keeps it.
func (a *Allocator) updateLimit(account string) {
	if a.queue.Lookup(account) != nil {
		a.queueAccount(account)
	}
}

// runningLimit returns the bound on an account's running requests in the form
// that the queue takes.
func (a *Allocator) runningLimit(account string, s Share) int {
	if !s.SharedLimits {
		return s.MaxRunning
	}
	p := a.quotas.getOrCreate(account)
	switch {
	case !p.MayStart || s.MaxRunning > 0 && p.MaxRunning == 0:
		return fairqueue.ZeroLimit
	case s.MaxRunning == 0:
		return 0
	default:
		return min(p.MaxRunning, s.MaxRunning)
	}
}

// expireQuotas disables the quota grants that have expired.
func (a *Allocator) expireQuotas(now time.Duration) {
	if a.quotas.nextExpiry == 0 || now < a.quotas.nextExpiry {
		return
	}
	a.quotas.nextExpiry = 0
	for account, p := range a.quotas.byAccount {
		if !p.MayStart {
			continue
		}
		if now >= p.ExpiresAt {
			p.MayStart = false
			a.updateLimit(account)
			continue
		}
		if a.quotas.nextExpiry == 0 || p.ExpiresAt < a.quotas.nextExpiry {
			a.quotas.nextExpiry = p.ExpiresAt
		}
	}
}

// TakeQuotaUsage returns the use of the pool by the accounts with shared limits,
// resets their token counts and forgets accounts without use and without a
// valid quota grant.
func (a *Allocator) TakeQuotaUsage(now time.Duration) []QuotaUsage {
	a.expireQuotas(now)
	var uses []QuotaUsage
	for account, p := range a.quotas.byAccount {
		u := QuotaUsage{Account: account, ProducedTokens: p.producedTokens}
		p.producedTokens = 0
		if q := a.queue.Lookup(account); q != nil {
			u.Running, u.Waiting = q.Running(), q.Waiting()
		}
		if u != (QuotaUsage{Account: account}) {
			uses = append(uses, u)
		} else if !p.MayStart {
			delete(a.quotas.byAccount, account)
		}
	}
	return uses
}
