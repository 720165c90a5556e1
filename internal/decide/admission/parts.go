package admission

import (
	"time"

	"filbertdeck/internal/decide/fairqueue"
)

// QuotaGrant is what this pool may use of an account's leased limits (package
// quota).
type QuotaGrant struct {
	Account string
	// MayStart is false while nothing of the account may start.
	MayStart bool
	// MaxRunning bounds its leases here; 0 means that the row has no such bound.
	MaxRunning int
	// ExpiresAt is the end of the lease. A process that was paused over it must not
	// go on by it: others have the account's limit by then.
	ExpiresAt time.Duration
}

// QuotaUsage is what an account with leased limits does in this pool.
type QuotaUsage struct {
	Account          string
	Running, Waiting int
	// ProducedTokens counts the output tokens since the last QuotaUses.
	ProducedTokens int
}

// part is the part in force of one account, and what it produced.
type part struct {
	QuotaGrant
	made int
}

// partTable holds the parts of the accounts that use this pool.
type partTable struct {
	byAccount map[string]*part
	// lapse is the earliest end of a part that allows something, 0 without one.
	lapse time.Duration
}

func (t *partTable) of(account string) *part {
	p := t.byAccount[account]
	if p == nil {
		p = &part{}
		t.byAccount[account] = p
	}
	return p
}

func (t *partTable) produced(account string, tokens int) {
	if p := t.byAccount[account]; p != nil {
		p.made += tokens
	}
}

// SetQuotaGrant puts a part in force. Until the first one, and after its end, the
// account's requests wait.
func (a *Allocator) SetQuotaGrant(now time.Duration, p QuotaGrant) {
	p.MayStart = p.MayStart && now < p.ExpiresAt
	a.parts.of(p.Account).QuotaGrant = p
	if p.MayStart && (a.parts.lapse == 0 || p.ExpiresAt < a.parts.lapse) {
		a.parts.lapse = p.ExpiresAt
	}
	a.applyLimit(p.Account)
}

// applyLimit brings a known account's place in the queue up to date.
func (a *Allocator) applyLimit(account string) {
	if a.queue.Known(account) != nil {
		a.account(account)
	}
}

// limit is the bound on an account's running requests as the queue takes it.
func (a *Allocator) limit(account string, s Share) int {
	if !s.SharedLimits {
		return s.MaxRunning
	}
	p := a.parts.of(account)
	switch {
	case !p.MayStart || s.MaxRunning > 0 && p.MaxRunning == 0:
		return fairqueue.NoneMayRun
	case s.MaxRunning == 0:
		return 0
	default:
		return min(p.MaxRunning, s.MaxRunning)
	}
}

// lapseParts ends the parts whose lease is over.
func (a *Allocator) lapseParts(now time.Duration) {
	if a.parts.lapse == 0 || now < a.parts.lapse {
		return
	}
	a.parts.lapse = 0
	for account, p := range a.parts.byAccount {
		if !p.MayStart {
			continue
		}
		if now >= p.ExpiresAt {
			p.MayStart = false
			a.applyLimit(account)
			continue
		}
		if a.parts.lapse == 0 || p.ExpiresAt < a.parts.lapse {
			a.parts.lapse = p.ExpiresAt
		}
	}
}

// TakeQuotaUsage tells what the accounts with leased limits do here, and forgets
// those that do nothing and hold nothing.
func (a *Allocator) TakeQuotaUsage(now time.Duration) []QuotaUsage {
	a.lapseParts(now)
	var uses []QuotaUsage
	for account, p := range a.parts.byAccount {
		u := QuotaUsage{Account: account, ProducedTokens: p.made}
		p.made = 0
		if q := a.queue.Known(account); q != nil {
			u.Running, u.Waiting = q.Running(), q.Waiting()
		}
		if u != (QuotaUsage{Account: account}) {
			uses = append(uses, u)
		} else if !p.MayStart {
			delete(a.parts.byAccount, account)
		}
	}
	return uses
}
