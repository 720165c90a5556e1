package quota

import (
	"maps"
	"math"
	"slices"
	"time"

	"filbertdeck/internal/decide/admission"
	"filbertdeck/internal/decide/quota"
)

// rateTimeConstant is the time constant of the smoothed token rate of an
// account: output is reported in batches with the entries' renewals, once a
// second.
const rateTimeConstant = 2 * time.Second

// holder requests and keeps the leases of one pool that runs here.
type holder struct {
	pool       Pool
	leases     *quota.Holder
	startedAt  time.Duration
	measuredAt time.Duration
	uses       []quota.Usage
	rates      map[string]float64
	// applied holds the parts that the allocator was told last.
	applied map[string]admission.QuotaGrant
}

func newHolder(now time.Duration, p Pool) *holder {
	return &holder{
		pool: p, leases: quota.NewHolder(quota.Config{}), startedAt: now, measuredAt: now,
		rates: map[string]float64{}, applied: map[string]admission.QuotaGrant{},
	}
}

// syncHolders matches the holders to the pools that run here.
func (c *Controller) syncHolders(now time.Duration) {
	running := c.cfg.Pools()
	for name, h := range c.holders {
		if running[name] != h.pool {
			c.removeHolder(now, name, h)
		}
	}
	for name, p := range running {
		if c.holders[name] == nil {
			c.holders[name] = newHolder(now, p)
		}
	}
}

// pendingRelease is a part of a removed pool, to be released at dueAt.
type pendingRelease struct {
	release quota.Release
	dueAt   time.Duration
}

// removeHolder schedules the release of a removed pool's parts. Without the
// release their owners would treat the pool as silent, and the account would
// miss the parts for a minute each time that a new host list moves a pool.
func (c *Controller) removeHolder(now time.Duration, name string, h *holder) {
	delete(c.holders, name)
	for _, r := range h.leases.DropIdle(math.MaxInt64, name, nil) {
		c.pendingReleases = append(c.pendingReleases, pendingRelease{r, now + releaseDelay})
	}
}

// takeDueReleases removes and returns the releases that are due.
func (c *Controller) takeDueReleases(now time.Duration) (due []quota.Release) {
	c.pendingReleases = slices.DeleteFunc(c.pendingReleases, func(r pendingRelease) bool {
		if now >= r.dueAt {
			due = append(due, r.release)
		}
		return now >= r.dueAt
	})
	return due
}

// measure reads the pool's use of limited accounts and charges their tokens.
func (h *holder) measure(now time.Duration, limits map[string]quota.Limits) {
	elapsed := now - h.measuredAt
	h.measuredAt = now
	h.uses = h.uses[:0]
	rates := map[string]float64{}
	for _, u := range h.pool.Uses() {
		limit, limited := limits[u.Account]
		if !limited {
			continue
		}
		h.leases.ChargeTokens(now, u.Account, u.ProducedTokens)
		rates[u.Account] = smoothRate(h.rates[u.Account], u.ProducedTokens, elapsed)
		use := quota.Usage{Account: u.Account, Running: u.Running, Waiting: u.Waiting, TokensPerSecond: rates[u.Account]}
		if use.Waiting > 0 {
			// The output of waiting requests is unknown. They ask for the whole
			// rate, which the owner shares evenly among the pools that do so.
			use.TokensPerSecond = limit.TokensPerSecond
		}
		h.uses = append(h.uses, use)
	}
	h.rates = rates
}

func smoothRate(rate float64, produced int, elapsed time.Duration) float64 {
	if elapsed <= 0 {
		return rate
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/rateTimeConstant.Seconds())
	return rate + weight*(float64(produced)/elapsed.Seconds()-rate)
}

// hasUrgentDemand reports whether requests wait that a new lease could start.
func (h *holder) hasUrgentDemand(now time.Duration, limits map[string]quota.Limits) bool {
	return slices.ContainsFunc(h.uses, func(u quota.Usage) bool {
		if u.Waiting == 0 {
			return false
		}
		atLimit := limits[u.Account].Running > 0 && u.Running >= h.leases.RunningLimit(now, u.Account)
		return atLimit || h.leases.NextRenewal(u.Account) <= now
	})
}

// changedParts returns the parts that changed since the allocator was last told.
func (h *holder) changedParts(now time.Duration, limits map[string]quota.Limits) []admission.QuotaGrant {
	next := make(map[string]admission.QuotaGrant, len(h.uses))
	var changed []admission.QuotaGrant
	for _, u := range h.uses {
		p := h.currentPart(now, u.Account, limits[u.Account])
		next[u.Account] = p
		if h.applied[u.Account] != p {
			changed = append(changed, p)
		}
	}
	// An account that is idle at present keeps its part until the lease expires.
	for account, p := range h.applied {
		if _, used := next[account]; !used && now < p.ExpiresAt {
			next[account] = p
		}
	}
	h.applied = next
	return changed
}

func (h *holder) currentPart(now time.Duration, account string, limits quota.Limits) admission.QuotaGrant {
	rate := quota.Limits{TokensPerSecond: limits.TokensPerSecond}
	p := admission.QuotaGrant{Account: account, ExpiresAt: h.leases.ExpiresAt(account)}
	p.MayStart = now < p.ExpiresAt && h.leases.MayStart(now, account, rate, 0)
	if limits.Running > 0 {
		p.MaxRunning = h.leases.RunningLimit(now, account)
		p.MayStart = p.MayStart && p.MaxRunning > 0
	}
	return p
}

// applyParts passes the changed parts to the allocators.
func (c *Controller) applyParts(now time.Duration) {
	for _, name := range slices.Sorted(maps.Keys(c.holders)) {
		h := c.holders[name]
		if changed := h.changedParts(now, c.limits); len(changed) > 0 {
			h.pool.SetParts(c.start, changed)
		}
	}
}
