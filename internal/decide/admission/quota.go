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
	// MaxRunning bounds the account's leases in this pool. 0 means that the
	// account has no such limit.
	MaxRunning int
	// ExpiresAt is when the quota grant expires. A process that was paused
	// beyond that time must not use it, because the quota has been granted to
	// other pools by then.
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
	state := t.byAccount[account]
	if state == nil {
		state = &quotaState{}
		t.byAccount[account] = state
	}
	return state
}

func (t *quotaTable) addProduced(account string, tokens int) {
	if state := t.byAccount[account]; state != nil {
		state.producedTokens += tokens
	}
}

// SetQuotaGrant puts a quota grant in force. Before the first one and after its
// expiry the account's requests wait.
func (a *Allocator) SetQuotaGrant(now time.Duration, grant QuotaGrant) {
	grant.MayStart = grant.MayStart && now < grant.ExpiresAt
	a.quotas.getOrCreate(grant.Account).QuotaGrant = grant
	if grant.MayStart && (a.quotas.nextExpiry == 0 || grant.ExpiresAt < a.quotas.nextExpiry) {
		a.quotas.nextExpiry = grant.ExpiresAt
	}
	a.updateLimit(grant.Account)
}

// updateLimit applies the current limit to the account, if the queue keeps it.
func (a *Allocator) updateLimit(account string) {
	if a.queue.Lookup(account) != nil {
		a.upsertAccount(account)
	}
}

// runningLimit returns the bound on an account's running requests in the form
// that the queue takes.
func (a *Allocator) runningLimit(account string, s Share) int {
	if !s.SharedLimits {
		return s.MaxRunning
	}
	state := a.quotas.getOrCreate(account)
	switch {
	case !state.MayStart || s.MaxRunning > 0 && state.MaxRunning == 0:
		return fairqueue.ZeroLimit
	case s.MaxRunning == 0:
		return 0
	default:
		return min(state.MaxRunning, s.MaxRunning)
	}
}

// expireQuotas disables the quota grants that have expired.
func (a *Allocator) expireQuotas(now time.Duration) {
	if a.quotas.nextExpiry == 0 || now < a.quotas.nextExpiry {
		return
	}
	a.quotas.nextExpiry = 0
	for account, state := range a.quotas.byAccount {
		if !state.MayStart {
			continue
		}
		if now >= state.ExpiresAt {
			state.MayStart = false
			a.updateLimit(account)
			continue
		}
		if a.quotas.nextExpiry == 0 || state.ExpiresAt < a.quotas.nextExpiry {
			a.quotas.nextExpiry = state.ExpiresAt
		}
	}
}

// TakeQuotaUsage returns the use of the pool by the accounts with shared limits,
// resets their token counts and forgets accounts without use and without a
// valid quota grant.
func (a *Allocator) TakeQuotaUsage(now time.Duration) []QuotaUsage {
	a.expireQuotas(now)
	var usages []QuotaUsage
	for account, state := range a.quotas.byAccount {
		usage := QuotaUsage{Account: account, ProducedTokens: state.producedTokens}
		state.producedTokens = 0
		if queueAccount := a.queue.Lookup(account); queueAccount != nil {
			usage.Running, usage.Waiting = queueAccount.Running(), queueAccount.Waiting()
		}
		if usage != (QuotaUsage{Account: account}) {
			usages = append(usages, usage)
		} else if !state.MayStart {
			delete(a.quotas.byAccount, account)
		}
	}
	return usages
}
