// Package ownership says how far a process may trust that it is the only owner
// of something: a pool's cold targets, an account's quota, the orders to an
// engine.
//
// Load pattern: hosts are replaced all day (3,200 at the target size), so the
// published host list changes every half minute, and with it the owners. The
// list reaches processes late, some during an outage not at all.
//
// What happens without it: the process that was the owner goes on as one while
// the next begins. Both fill the same cold target, lease the same quota or
// send orders to the same engine.
//
// How it works: an owner acts only for ConfirmFor after the list that names it
// was last known to be the newest, and a new owner waits until the last act of
// an earlier one has had its effect. Nobody writes anything and nobody votes.
// The confirmation has to be true: a configuration service that serves an old
// state to one side of a split fleet, and calls it current, breaks it. Users
// of this package say what they do about that.
package ownership

import (
	"cmp"
	"time"
)

// Config holds the figures of a tenure; the zero value of a field means its
// default.
type Config struct {
	// ConfirmationTTL is how long one confirmation of the host list counts. Default
	// 4 s: a watch that waits for one second and is counted from its beginning
	// is up to two seconds old when the next one is answered; twice that rides
	// out one lost answer. A longer time keeps an owner through more, and lets
	// its successor wait longer.
	ConfirmationTTL time.Duration
	// ActionTTL is how long an owner's act may take effect after it was decided:
	// the life of a lease. Default 3 s.
	ActionTTL time.Duration
}

const (
	defaultConfirmFor = 4 * time.Second
	defaultActFor     = 3 * time.Second
	// maxGap has to be less than ConfirmFor and ActFor together.
	maxGap = defaultConfirmFor
)

// Tenure is what the published list says of this process. The zero value is
// that of a process that owns nothing. Times count from any fixed start.
type Tenure struct {
	owner     bool
	revision  uint64
	began     time.Duration
	confirmed time.Duration
	ever      bool
}

// SetOwner says whether the list of the given revision names this process. Call it
// for each list that is read, also when the answer stays the same, and before
// that list is confirmed.
//
// A tenure starts anew when the list changed and the one before was not
// confirmed lately: a list in between, that was never read here, may have named
// another process, with an act still on its way. One would notice by a cold
// target that has one request too many after two changes of the list. A gap
// of less than maxGap can't hide such an owner, since it had no time to become
// sole. Revisions can't tell: other values of the service raise them too.
func (t *Tenure) SetOwner(now time.Duration, revision uint64, owner bool) {
	unseen := revision != t.revision && (!t.ever || now-t.confirmed > maxGap)
	if owner && (!t.owner || unseen) {
		t.began = now
	}
	t.owner, t.revision = owner, revision
}

// Confirm says that the list in force here was the newest at the moment at: a
// read of the configuration service that was begun then, or gossip, sent then,
// of peers that know no newer one.
func (t *Tenure) Confirm(at time.Duration) {
	t.confirmed = max(t.confirmed, at)
	t.ever = true
}

// IsOwner tells whether the list names this process.
func (t *Tenure) IsOwner() bool { return t.owner }

// Revision is the list's revision.
func (t *Tenure) Revision() uint64 { return t.revision }

// StartedAt is when the list was first seen to name this process.
func (t *Tenure) StartedAt() time.Duration { return t.began }

// ExclusiveFrom is the moment from which no act of an earlier owner takes effect.
// An earlier owner acts for ConfirmFor after its last confirmation, which came
// before this tenure began, and its last act takes effect within ActFor.
func (t *Tenure) ExclusiveFrom(cfg Config) time.Duration {
	return t.began + cmp.Or(cfg.ConfirmationTTL, defaultConfirmFor) + cmp.Or(cfg.ActionTTL, defaultActFor)
}

// IsExclusive tells whether this process is the only one that acts as owner now.
func (t *Tenure) IsExclusive(now time.Duration, cfg Config) bool {
	confirmed := t.ever && now-t.confirmed <= cmp.Or(cfg.ConfirmationTTL, defaultConfirmFor)
	return t.owner && confirmed && now > t.ExclusiveFrom(cfg)
}
