package admission

import (
	"time"

	"filbertdeck/internal/decide/slowstart"
)

// ownership is what the published host list says of this allocator.
type ownership struct {
	owner     bool
	revision  uint64
	at        time.Duration
	confirmed time.Duration
	known     bool
}

func (o *ownership) tell(g *slowstart.Limiter) {
	if !o.known {
		return
	}
	g.SetOwner(o.at, o.revision, o.owner)
	g.Confirm(o.confirmed)
}

// SetOwnership says whether the published host list of the given revision
// names this allocator as the pool's owner. Call it for each list that is
// read, also when the answer stays the same.
func (a *Allocator) SetOwnership(now time.Duration, revision uint64, owner bool) {
	a.owner.owner, a.owner.revision, a.owner.at, a.owner.known = owner, revision, now, true
	for _, t := range a.order {
		t.gate.SetOwner(now, revision, owner)
	}
}

// ConfirmOwnership says that the host list in force here was the newest one at the
// moment at. Without a confirmation every two seconds cold targets get work
// only while that leaves room for other allocators which may believe they own
// the pool; see slowstart.
func (a *Allocator) ConfirmOwnership(at time.Duration) {
	a.owner.confirmed = max(a.owner.confirmed, at)
	for _, t := range a.order {
		t.gate.Confirm(at)
	}
}

// SetConfirmedOwner is SetOwnership and Confirm in one, for a list that was read just
// now and carries no revision.
func (a *Allocator) SetConfirmedOwner(now time.Duration, owner bool) {
	a.SetOwnership(now, a.owner.revision, owner)
	a.ConfirmOwnership(now)
}
