package quota

import (
	"maps"
	"math"
	"slices"
	"time"

	"filbertdeck/internal/decide/admission"
	"filbertdeck/internal/decide/quota"
)

// rateMemory is the time constant of an account's measured rate: output comes
// in lumps with the entries' renewals, one a second.
const rateMemory = 2 * time.Second

// holder is one pool that runs here, with its leases.
type holder struct {
	pool   Pool
	leases *quota.Holder
	taken  time.Duration
	seen   time.Duration
	uses   []quota.Usage
	rates  map[string]float64
	// inForce is what the allocator was told last.
	inForce map[string]admission.QuotaGrant
}

func newHolder(now time.Duration, p Pool) *holder {
	return &holder{
		pool: p, leases: quota.NewHolder(quota.Config{}), taken: now, seen: now,
		rates: map[string]float64{}, inForce: map[string]admission.QuotaGrant{},
	}
}

// syncHolders matches the holders to the pools that run here.
func (c *Controller) syncHolders(now time.Duration) {
	running := c.cfg.Pools()
	for name, h := range c.holders {
		if running[name] != h.pool {
			c.retire(now, name, h)
		}
	}
	for name, p := range running {
		if c.holders[name] == nil {
			c.holders[name] = newHolder(now, p)
		}
	}
}

// retired is a part of a pool that was given up.
type retired struct {
	release quota.Release
	at      time.Duration
}

// retire gives a pool's parts up. Without it their owners take the pool for one
// that fell silent, and the account misses them for a minute each time that a
// pool moves with the host list.
func (c *Controller) retire(now time.Duration, name string, h *holder) {
	delete(c.holders, name)
	for _, r := range h.leases.DropIdle(math.MaxInt64, name, nil) {
		c.retired = append(c.retired, retired{r, now + releaseAfter})
	}
}

// dueReleases takes out the retired parts whose time has come.
func (c *Controller) dueReleases(now time.Duration) (due []quota.Release) {
	c.retired = slices.DeleteFunc(c.retired, func(r retired) bool {
		if now >= r.at {
			due = append(due, r.release)
		}
		return now >= r.at
	})
	return due
}

// look reads what the pool does, and books its tokens.
func (h *holder) look(now time.Duration, limits map[string]quota.Limits) {
	elapsed := now - h.seen
	h.seen = now
	h.uses = h.uses[:0]
	rates := map[string]float64{}
	for _, u := range h.pool.Uses() {
		limit, limited := limits[u.Account]
		if !limited {
			continue
		}
		h.leases.ChargeTokens(now, u.Account, u.ProducedTokens)
		rates[u.Account] = smooth(h.rates[u.Account], u.ProducedTokens, elapsed)
		use := quota.Usage{Account: u.Account, Running: u.Running, Waiting: u.Waiting, TokensPerSecond: rates[u.Account]}
		if use.Waiting > 0 {
			// How much the waiting requests will produce isn't known: the owner
			// shares the row's rate evenly among the pools that want it all.
			use.TokensPerSecond = limit.TokensPerSecond
		}
		h.uses = append(h.uses, use)
	}
	h.rates = rates
}

func smooth(rate float64, produced int, elapsed time.Duration) float64 {
	if elapsed <= 0 {
		return rate
	}
	part := 1 - math.Exp(-elapsed.Seconds()/rateMemory.Seconds())
	return rate + part*(float64(produced)/elapsed.Seconds()-rate)
}

// urgent tells whether requests wait that a demand could let start.
func (h *holder) urgent(now time.Duration, limits map[string]quota.Limits) bool {
	return slices.ContainsFunc(h.uses, func(u quota.Usage) bool {
		if u.Waiting == 0 {
			return false
		}
		full := limits[u.Account].Running > 0 && u.Running >= h.leases.RunningLimit(now, u.Account)
		return full || h.leases.NextRenewal(u.Account) <= now
	})
}

// parts gives what changed since the allocator was told last.
func (h *holder) parts(now time.Duration, limits map[string]quota.Limits) []admission.QuotaGrant {
	next := make(map[string]admission.QuotaGrant, len(h.uses))
	var changed []admission.QuotaGrant
	for _, u := range h.uses {
		p := h.part(now, u.Account, limits[u.Account])
		next[u.Account] = p
		if h.inForce[u.Account] != p {
			changed = append(changed, p)
		}
	}
	// An account that does nothing here just now keeps what is in force, until
	// the lease is over.
	for account, p := range h.inForce {
		if _, used := next[account]; !used && now < p.ExpiresAt {
			next[account] = p
		}
	}
	h.inForce = next
	return changed
}

func (h *holder) part(now time.Duration, account string, limits quota.Limits) admission.QuotaGrant {
	rate := quota.Limits{TokensPerSecond: limits.TokensPerSecond}
	p := admission.QuotaGrant{Account: account, ExpiresAt: h.leases.ExpiresAt(account)}
	p.MayStart = now < p.ExpiresAt && h.leases.MayStart(now, account, rate, 0)
	if limits.Running > 0 {
		p.MaxRunning = h.leases.RunningLimit(now, account)
		p.MayStart = p.MayStart && p.MaxRunning > 0
	}
	return p
}

// putInForce tells the allocators what changed.
func (c *Controller) putInForce(now time.Duration) {
	for _, name := range slices.Sorted(maps.Keys(c.holders)) {
		h := c.holders[name]
		if changed := h.parts(now, c.limits); len(changed) > 0 {
			h.pool.SetParts(c.start, changed)
		}
	}
}
