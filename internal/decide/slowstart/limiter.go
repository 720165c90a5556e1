package slowstart

import (
	"math"
	"time"

	"filbertdeck/internal/decide/ownership"
)

// unlimitedRoom is the limit of a warm target that does not report its capacity.
const unlimitedRoom = 1 << 20

// Limiter limits the requests that one allocator grants to one target. It is not
// safe for concurrent use. Times count from any fixed start, the same for all
// calls.
type Limiter struct {
	cfg    Config
	tenure ownership.Tenure
	leases leaseTracker
	warmup warmupTracker

	report     Report
	reportedAt time.Duration
	hasReport  bool
	// lastAlive is the last time at which the incarnation is known to have been
	// running, from a report or a token.
	lastAlive time.Duration
}

// New returns a limiter without a report. Room returns 0 until it has one.
func New(cfg Config) *Limiter {
	cfg = cfg.withDefaults()
	return &Limiter{
		cfg: cfg, leases: leaseTracker{leaseDuration: cfg.LeaseDuration}, warmup: newWarmupTracker(cfg),
		reportedAt: math.MinInt64,
	}
}

// SetOwner records whether the published host list of the given revision names
// this allocator as the pool's owner. Call it for each list that is read, even if
// the answer is unchanged.
func (l *Limiter) SetOwner(now time.Duration, revision uint64, owner bool) {
	l.tenure.SetOwner(now, revision, owner)
}

// Confirm records that the current host list was the newest one at the given
// time: the start of a read from the configuration service, or the send time of
// gossip from peers that know no newer list.
func (l *Limiter) Confirm(at time.Duration) { l.tenure.Confirm(at) }

// Observe records a report received at now. Reports may arrive late or out of
// order; one made before the latest is dropped.
func (l *Limiter) Observe(now time.Duration, r Report) {
	madeAt := now - r.Age
	if madeAt <= l.reportedAt {
		return
	}
	l.warmup.observe(madeAt, r)
	l.report, l.reportedAt, l.hasReport = r, madeAt, true
	l.lastAlive = max(l.lastAlive, madeAt)
	l.leases.confirmThrough(madeAt, r.Incarnation)
}

// RecordGrant records a grant. A lease that another allocator granted and that became
// known by a renewal is recorded in the same way, and also as started once it has
// produced tokens.
func (l *Limiter) RecordGrant(now time.Duration, lease uint64) {
	l.leases.add(now, lease, l.report.Incarnation)
}

// RecordStart records that the target was seen to work on the lease.
func (l *Limiter) RecordStart(now time.Duration, lease uint64) { l.leases.resolve(now, lease) }

// RecordProgress records that the target produced a token for the lease at the given
// time; for a renewal, use the send time of the previous one. It proves that the
// incarnation that started the lease is still running. A lease counts only once a
// report confirms it, because an earlier one may have started on an incarnation
// that is not known yet.
func (l *Limiter) RecordProgress(at time.Duration, lease uint64) {
	if l.hasReport && l.leases.confirmedBy(lease, l.report.Incarnation) {
		l.lastAlive = max(l.lastAlive, at)
	}
}

// RecordEnd removes a lease. finished is set if the target completed it. firstToken
// is the time to the first token; it is 0 if there was none or if it depends on
// the request, because a long prompt would be mistaken for a cold start.
func (l *Limiter) RecordEnd(now time.Duration, lease uint64, finished bool, firstToken time.Duration) {
	sameIncarnation := l.leases.grantedOn(lease, l.report.Incarnation)
	running := l.leases.leaseCount()
	l.leases.resolve(now, lease)
	l.leases.end(lease)
	if sameIncarnation && finished {
		l.warmup.finished(running, firstToken)
	}
}

// MarkSuspect treats the target as cold until reports show otherwise, because its
// connections broke or it failed while running requests.
func (l *Limiter) MarkSuspect(now time.Duration) {
	l.warmup.suspect()
	l.hasReport = false
	l.reportedAt = max(l.reportedAt, now)
}

// State returns the target's state.
func (l *Limiter) State(now time.Duration) State {
	if !l.hasReport || l.lastAlive <= now-l.cfg.ReportTTL {
		return Unknown
	}
	return l.warmup.state
}

// Room returns the number of requests that may be granted now.
func (l *Limiter) Room(now time.Duration) int {
	l.leases.expire(now)
	state := l.State(now)
	soleOwner := l.isSoleOwner(now)
	switch {
	case state == Warm, state == Settled && soleOwner:
		return l.warmRoom()
	case state == Cold, state == Settled:
		return l.coldRoom(now, soleOwner)
	default:
		return 0
	}
}

// warmRoom counts every unconfirmed grant as arrived and grants at most one burst
// per report.
func (l *Limiter) warmRoom() int {
	limit := unlimitedRoom
	burst := l.cfg.Burst
	if l.report.Capacity > 0 {
		limit = l.report.Capacity
		burst = max(burst, limit/4)
	}
	inUse := max(l.report.load()+len(l.leases.unconfirmed), l.leases.leaseCount())
	room := min(limit-inUse, burst-l.leases.grantedSince(l.reportedAt))
	return max(room, 0)
}

// coldRoom returns at most one, and only if a report confirms every grant made by
// this allocator. The package comment explains why this limits the whole fleet.
func (l *Limiter) coldRoom(now time.Duration, soleOwner bool) int {
	fresh := l.reportedAt > now-l.cfg.ReportTTL && l.reportedAt > l.tenure.StartedAt()
	if !l.tenure.IsOwner() || !fresh || len(l.leases.unconfirmed) > 0 {
		return 0
	}
	capacity := l.warmup.capacity()
	reserve := l.cfg.MaxOwners
	if capacity <= l.cfg.MaxOwners {
		if !soleOwner {
			return 0
		}
		reserve = 1
	}
	load := max(l.report.load(), l.leases.leaseCount())
	if load+reserve > capacity {
		return 0
	}
	return 1
}

// isSoleOwner reports whether no other allocator grants to this target and the
// report was made after the last grant of an earlier owner arrived.
func (l *Limiter) isSoleOwner(now time.Duration) bool {
	cfg := ownership.Config{ConfirmationTTL: l.cfg.ConfirmationTTL, ActionTTL: l.cfg.LeaseDuration}
	return l.tenure.IsExclusive(now, cfg) && l.reportedAt > l.tenure.ExclusiveFrom(cfg)
}
