package admission

import (
	"slices"
	"time"

	"filbertdeck/internal/decide/fairqueue"
)

// quarantine adds a waiting request to the quarantined suspects.
func (a *Allocator) quarantine(r *fairqueue.Request[Ask]) {
	if !r.Quarantined {
		r.Quarantined = true
		a.quarantined = append(a.quarantined, r)
		a.quarantineGrew = true
	}
}

func (a *Allocator) releaseQuarantine(r *fairqueue.Request[Ask]) {
	if !r.Quarantined {
		return
	}
	r.Quarantined = false
	i := slices.Index(a.quarantined, r)
	a.quarantined = slices.Delete(a.quarantined, i, i+1)
}

// refuseQuarantined refuses suspects that cannot be served before their
// deadlines. A crash of a target leaves dozens of suspects, which run one per
// target; those far behind would otherwise be refused only at their deadlines,
// although the wait is predictable at once.
func (a *Allocator) refuseQuarantined(now time.Duration) {
	a.quarantineGrew = false
	ahead := 0
	for _, t := range a.targetOrder {
		ahead += t.suspectLeases
	}
	for i := 0; i < len(a.quarantined); {
		r := a.quarantined[i]
		restriction := a.poison.restrictionFor(now, r.Value.Fingerprint)
		rounds := time.Duration(ahead / max(a.usableTargets, 1))
		wait := restriction.wait + rounds*a.leases.meanServiceTime
		switch {
		case !restriction.restricted():
			i++
		case now+wait > r.Deadline:
			a.refuseWaiting(r, RefusedDeadline, a.retryAfter(wait))
		default:
			ahead++
			i++
		}
	}
}
