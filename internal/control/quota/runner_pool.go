package quota

import (
	"time"

	"filbertdeck/internal/control/poolmanager"
	"filbertdeck/internal/control/poolrunner"
	"filbertdeck/internal/decide/admission"
)

// RunningPools returns a function that lists the pools that a manager runs.
func RunningPools(m *poolmanager.Manager) func() map[string]Pool {
	return func() map[string]Pool {
		out := map[string]Pool{}
		m.ForEach(func(p poolmanager.Plan, r *poolrunner.Runner) { out[p.ID] = runnerPool{r} })
		return out
	}
}

// runnerPool implements Pool with the runner of a pool.
type runnerPool struct{ *poolrunner.Runner }

// Uses implements Pool.
func (r runnerPool) Uses() []admission.QuotaUsage { return r.QuotaUses() }

// SetParts implements Pool.
func (r runnerPool) SetParts(start time.Time, parts []admission.QuotaGrant) {
	r.Do(func(a *admission.Allocator, now time.Duration) {
		for _, p := range parts {
			// The end is converted from the controller's clock when the event runs:
			// time that the event waited in the queue must not extend the lease.
			p.ExpiresAt = now + time.Until(start.Add(p.ExpiresAt))
			a.SetQuotaGrant(now, p)
		}
	})
}
