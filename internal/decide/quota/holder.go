package quota

import "time"

// Holder keeps the leases of one pool. It is not safe for concurrent use.
type Holder struct {
	cfg    Config
	leases map[string]*holding
}

// holding is a lease as its holder sees it.
type holding struct {
	grant   Grant
	asked   time.Duration
	expires time.Duration
	// tokens may be below zero: generations of unknown length overdraw.
	tokens float64
	filled time.Duration
	// sent is when the last demand went out, retry the earliest next one.
	sent, retry time.Duration
}

// NewHolder returns a holder without leases.
func NewHolder(cfg Config) *Holder {
	return &Holder{cfg: cfg.withDefaults(), leases: map[string]*holding{}}
}

// ApplyGrant takes an answer to a demand that was sent at asked. An answer that was
// given before the one in force is dropped: the owner no longer counts it. An
// answer without a lease, of an owner that is new, leaves the lease of the one
// before in force.
func (h *Holder) ApplyGrant(asked time.Duration, g Grant) {
	l := h.leases[g.Account]
	if l == nil {
		l = &holding{filled: asked}
		h.leases[g.Account] = l
	}
	if g.LeaseDuration == 0 {
		l.retry = max(l.retry, asked+g.RetryAfter)
		return
	}
	if g.Serial < l.grant.Serial && asked < l.expires {
		return
	}
	l.asked = asked
	l.fill(asked, h.cfg.RateBurst)
	l.grant, l.expires = g, asked+g.LeaseDuration
}

// MayStart tells whether a request of the account may start while running of
// its requests are in progress here.
func (h *Holder) MayStart(now time.Duration, account string, limits Limits, running int) bool {
	if limits == (Limits{}) {
		return true
	}
	l := h.leases[account]
	if l == nil || now >= l.expires {
		return false
	}
	l.fill(now, h.cfg.RateBurst)
	inRunning := limits.Running == 0 || running < l.grant.Running
	inRate := limits.TokensPerSecond == 0 || (l.grant.TokensPerSecond > 0 && l.tokens >= 0)
	return inRunning && inRate
}

// RunningLimit is the number of requests that the account's lease allows here.
func (h *Holder) RunningLimit(now time.Duration, account string) int {
	l := h.leases[account]
	if l == nil || now >= l.expires {
		return 0
	}
	return l.grant.Running
}

// ChargeTokens books tokens as they are produced.
func (h *Holder) ChargeTokens(now time.Duration, account string, tokens int) {
	if l := h.leases[account]; l != nil {
		l.fill(now, h.cfg.RateBurst)
		l.tokens -= float64(tokens)
	}
}

// NextRenewal is when the account's next demand should be sent.
func (h *Holder) NextRenewal(account string) time.Duration {
	l := h.leases[account]
	if l == nil {
		return 0
	}
	return max(l.retry, l.asked+l.grant.RetryAfter)
}

// fill adds what the rate gives while the lease lives, up to the burst.
func (l *holding) fill(now, burst time.Duration) {
	until := min(now, l.expires)
	if until > l.filled {
		l.tokens += l.grant.TokensPerSecond * (until - l.filled).Seconds()
	}
	l.tokens = min(l.tokens, l.grant.TokensPerSecond*burst.Seconds())
	l.filled = max(l.filled, now)
}
