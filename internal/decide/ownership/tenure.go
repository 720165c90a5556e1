// Package ownership decides whether a process may act as the only owner of
// something: a pool's cold targets, an account's quota, the orders to an
// engine.
//
// Hosts are replaced all day (3,200 at the target size), so the published host
// list changes every half minute, and the owners with it. Processes receive the
// list late, and during an outage some of them not at all. Without further
// rules an earlier owner would keep acting while the next one begins: both
// would fill the same cold target, lease the same quota or send orders to the
// same engine.
//
// Therefore an owner acts only for a fixed time after the list that names it
// was last known to be the newest, and a new owner waits until the last action
// of an earlier one has taken effect. This needs no writes and no votes. It
// does rely on true confirmations: a configuration service that serves an old
// state to one side of a partitioned fleet as the current one breaks it. The
// users of this package document how they handle that.
package ownership

import (
	"cmp"
	"time"
)

// Config holds the settings of a tenure; a field that is zero takes its
// default.
type Config struct {
	// ConfirmationTTL is how long a confirmation of the host list is valid. The
	// default is 4 s: a watch call waits for one second and counts from its
	// start, so it is up to two seconds old when the next one is answered;
	// twice that tolerates one lost answer. A longer time keeps an owner
	// through longer outages, and makes its successor wait longer.
	ConfirmationTTL time.Duration
	// ActionTTL is the longest time from an owner's decision to act until the
	// action takes effect: the lifetime of a lease. The default is 3 s.
	ActionTTL time.Duration
}

const (
	defaultConfirmationTTL = 4 * time.Second
	defaultActionTTL       = 3 * time.Second
	// maxConfirmationGap is the longest time without a confirmation in which
	// this process cannot have missed a list under which another one became
	// exclusive. It must be less than the sum of ConfirmationTTL and ActionTTL,
	// which is how long a new owner waits.
	maxConfirmationGap = defaultConfirmationTTL
)

// Tenure is this process's state of ownership by the published list. The zero
// value is that of a process that owns nothing. Times count from any fixed
// start.
type Tenure struct {
	owner         bool
	revision      uint64
	startedAt     time.Duration
	confirmedAt   time.Duration
	everConfirmed bool
}

// SetOwner records whether the list of the given revision names this process. It
// must be called for each list that is read, even if the owner stays the same,
// and before that list is confirmed.
//
// The tenure starts again if the list changed and the previous one was not
// confirmed recently: a list in between that this process never read may have
// named another process, whose action may still be in flight. The effect would
// be a cold target with one request too many after two changes of the list. A
// gap of at most maxConfirmationGap can't hide such an owner, since it was too
// short for that owner's own wait to end. Revisions can't show a missed list, because
// changes of the service's other values raise them too.
func (t *Tenure) SetOwner(now time.Duration, revision uint64, owner bool) {
	mayHaveMissedList := revision != t.revision && (!t.everConfirmed || now-t.confirmedAt > maxConfirmationGap)
	if owner && (!t.owner || mayHaveMissedList) {
		t.startedAt = now
	}
	t.owner, t.revision = owner, revision
}

// Confirm records that the list in force here was the newest at the time at: a
// read of the configuration service was begun then, or peers that know no newer
// list sent gossip then.
func (t *Tenure) Confirm(at time.Duration) {
	t.confirmedAt = max(t.confirmedAt, at)
	t.everConfirmed = true
}

// IsOwner reports whether the list names this process.
func (t *Tenure) IsOwner() bool { return t.owner }

// Revision returns the revision of the list.
func (t *Tenure) Revision() uint64 { return t.revision }

// StartedAt returns the time at which the list was first seen to name this process.
func (t *Tenure) StartedAt() time.Duration { return t.startedAt }

// ExclusiveFrom returns the time from which no action of an earlier owner takes
// effect. An earlier owner acts for at most ConfirmationTTL after its last
// confirmation, which came before this tenure began, and its last action takes
// effect within ActionTTL.
func (t *Tenure) ExclusiveFrom(cfg Config) time.Duration {
	return t.startedAt + cmp.Or(cfg.ConfirmationTTL, defaultConfirmationTTL) + cmp.Or(cfg.ActionTTL, defaultActionTTL)
}

// IsExclusive reports whether this process is the only one that acts as owner now.
func (t *Tenure) IsExclusive(now time.Duration, cfg Config) bool {
	recentlyConfirmed := t.everConfirmed && now-t.confirmedAt <= cmp.Or(cfg.ConfirmationTTL, defaultConfirmationTTL)
	return t.owner && recentlyConfirmed && now > t.ExclusiveFrom(cfg)
}
