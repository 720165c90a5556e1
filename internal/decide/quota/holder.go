package quota

import "time"

// Holder manages the leases of one pool. It is not safe for concurrent use.
type Holder struct {
	cfg    Config
	leases map[string]*heldLease
}

// heldLease is the holder's state of one lease.
type heldLease struct {
	grant        Grant
	grantAskedAt time.Duration
	expires      time.Duration
	// tokens is the balance of the token bucket. It may be negative, because
	// generations of unknown length can use more than was available.
	tokens     float64
	refilledAt time.Duration
	// sentAt is when the last demand was sent, retryAt the earliest time of the
	// next one.
	sentAt, retryAt time.Duration
}

// NewHolder returns a holder without leases.
func NewHolder(cfg Config) *Holder {
	return &Holder{cfg: cfg.withDefaults(), leases: map[string]*heldLease{}}
}

// ApplyGrant applies the answer to a demand that was sent at asked. An answer with
// a lower serial than the grant in force is dropped, because the owner no
// longer counts it. An answer without a lease, from a new owner, leaves the
// lease of the previous owner in force.
func (h *Holder) ApplyGrant(asked time.Duration, g Grant) {
	l := h.leases[g.Account]
	if l == nil {
		l = &heldLease{refilledAt: asked}
		h.leases[g.Account] = l
	}
	if g.LeaseDuration == 0 {
		l.retryAt = max(l.retryAt, asked+g.RetryAfter)
		return
	}
	if g.Serial < l.grant.Serial && asked < l.expires {
		return
	}
	l.grantAskedAt = asked
	l.refill(asked, h.cfg.RateBurst)
	l.grant, l.expires = g, asked+g.LeaseDuration
}

// MayStart reports whether a request of the account may start while the given
// number of its requests are in progress in this pool.
func (h *Holder) MayStart(now time.Duration, account string, limits Limits, running int) bool {
	if limits == (Limits{}) {
		return true
	}
	l := h.leases[account]
	if l == nil || now >= l.expires {
		return false
	}
	l.refill(now, h.cfg.RateBurst)
	withinRunning := limits.Running == 0 || running < l.grant.Running
	withinRate := limits.TokensPerSecond == 0 || (l.grant.TokensPerSecond > 0 && l.tokens >= 0)
	return withinRunning && withinRate
}

// RunningLimit returns the number of requests that the account's lease allows in
// this pool.
func (h *Holder) RunningLimit(now time.Duration, account string) int {
	l := h.leases[account]
	if l == nil || now >= l.expires {
		return 0
	}
	return l.grant.Running
}

// ChargeTokens subtracts produced tokens from the account's token balance.
func (h *Holder) ChargeTokens(now time.Duration, account string, tokens int) {
	if l := h.leases[account]; l != nil {
		l.refill(now, h.cfg.RateBurst)
		l.tokens -= float64(tokens)
	}
}

// NextRenewal returns when the account's next demand is due.
func (h *Holder) NextRenewal(account string) time.Duration {
	l := h.leases[account]
	if l == nil {
		return 0
	}
	return max(l.retryAt, l.grantAskedAt+l.grant.RetryAfter)
}

// refill adds tokens at the granted rate until the lease expires, up to the
// burst.
func (l *heldLease) refill(now, burst time.Duration) {
	refillUntil := min(now, l.expires)
	if refillUntil > l.refilledAt {
		l.tokens += l.grant.TokensPerSecond * (refillUntil - l.refilledAt).Seconds()
	}
	l.tokens = min(l.tokens, l.grant.TokensPerSecond*burst.Seconds())
	l.refilledAt = max(l.refilledAt, now)
}
