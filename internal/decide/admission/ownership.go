package admission

import (
	"time"

	"filbertdeck/internal/decide/slowstart"
)

// ownership is what the published host list says about this allocator.
type ownership struct {
	owner    bool
	revision uint64
	// observedAt is when the list was read, confirmedAt when it was last known
	// to be the newest.
	observedAt  time.Duration
	confirmedAt time.Duration
	// received is set once the owner is known, from a list or from Config.
	received bool
}

// applyTo passes the ownership on to a target's slow-start limiter.
func (o *ownership) applyTo(limiter *slowstart.Limiter) {
	if !o.received {
		return
	}
	limiter.SetOwner(o.observedAt, o.revision, o.owner)
	limiter.Confirm(o.confirmedAt)
}

// SetOwnership records whether the published host list of the given revision
// names this allocator as the pool's owner. It must be called for each list
// that is read, also when the answer is unchanged.
func (a *Allocator) SetOwnership(now time.Duration, revision uint64, owner bool) {
	a.ownership.owner, a.ownership.revision, a.ownership.observedAt, a.ownership.received = owner, revision, now, true
	for _, t := range a.targetOrder {
		t.slowStart.SetOwner(now, revision, owner)
	}
}

// ConfirmOwnership records that the host list in force here was the newest one at
// the time at. Without a confirmation every two seconds, cold targets receive
// only as much work as leaves capacity for other allocators that may also
// consider themselves owner of the pool; see package slowstart.
func (a *Allocator) ConfirmOwnership(at time.Duration) {
	a.ownership.confirmedAt = max(a.ownership.confirmedAt, at)
	for _, t := range a.targetOrder {
		t.slowStart.Confirm(at)
	}
}

// SetConfirmedOwner records and confirms the ownership from a list that was read
// just now and carries no revision.
func (a *Allocator) SetConfirmedOwner(now time.Duration, owner bool) {
	a.SetOwnership(now, a.ownership.revision, owner)
	a.ConfirmOwnership(now)
}
