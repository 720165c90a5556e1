package quota

import (
	"time"

	"filbertdeck/internal/control/poolmanager"
	"filbertdeck/internal/control/poolrunner"
	"filbertdeck/internal/decide/admission"
)

// Running lists the pools that a manager runs.
func Running(m *poolmanager.Manager) func() map[string]Pool {
	return func() map[string]Pool {
		out := map[string]Pool{}
		m.Each(func(p poolmanager.Plan, r *poolrunner.Runner) { out[p.ID] = runner{r} })
		return out
	}
}

// runner is a Pool on its own goroutine.
type runner struct{ *poolrunner.Runner }

// Uses implements Pool.
func (r runner) Uses() []admission.QuotaUsage { return r.QuotaUses() }

// SetParts implements Pool.
func (r runner) SetParts(start time.Time, parts []admission.QuotaGrant) {
	r.Do(func(a *admission.Allocator, now time.Duration) {
		for _, p := range parts {
			// The end is a point in time on the controller's clock; an event that
			// waited must not make the lease longer.
			p.ExpiresAt = now + time.Until(start.Add(p.ExpiresAt))
			a.SetQuotaGrant(now, p)
		}
	})
}
