package admission

import (
	"slices"
	"time"

	"filbertdeck/internal/decide/fairqueue"
)

// hold counts a waiting request among the suspects.
func (a *Allocator) hold(r *fairqueue.Request[Ask]) {
	if !r.Held {
		r.Held = true
		a.held = append(a.held, r)
		a.heldGrew = true
	}
}

func (a *Allocator) unhold(r *fairqueue.Request[Ask]) {
	if !r.Held {
		return
	}
	r.Held = false
	i := slices.Index(a.held, r)
	a.held = slices.Delete(a.held, i, i+1)
}

// refuseHeld answers suspects that can't make it. A target that dies leaves
// dozens of them, and they run one a target; those far behind would hear only
// when their time is over, though it is plain at once that it won't do.
func (a *Allocator) refuseHeld(now time.Duration) {
	a.heldGrew = false
	ahead := 0
	for _, t := range a.order {
		ahead += t.suspects
	}
	for i := 0; i < len(a.held); {
		r := a.held[i]
		ruling := a.suspects.rule(now, r.Value.Fingerprint)
		rounds := time.Duration(ahead / max(a.usable, 1))
		wait := ruling.wait + rounds*a.leases.residence
		switch {
		case !ruling.constrained():
			i++
		case now+wait > r.Deadline:
			a.refuseWaiting(r, RefusedDeadline, a.comeBack(wait))
		default:
			ahead++
			i++
		}
	}
}
