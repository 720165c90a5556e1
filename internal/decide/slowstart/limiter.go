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

// New returns a gate without a report, which has no room until it receives one.
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
func (g *Limiter) SetOwner(now time.Duration, revision uint64, owner bool) {
	g.tenure.SetOwner(now, revision, owner)
}

// Confirm records that the current host list was the newest one at the given
// time: the start of a read from the configuration service, or the send time of
// gossip from peers that know no newer list.
func (g *Limiter) Confirm(at time.Duration) { g.tenure.Confirm(at) }

// Observe records a report received at now. Reports may arrive late or out of
// order; one made before the latest is dropped.
func (g *Limiter) Observe(now time.Duration, r Report) {
	madeAt := now - r.Age
	if madeAt <= g.reportedAt {
		return
	}
	g.warmup.observe(madeAt, r)
	g.report, g.reportedAt, g.hasReport = r, madeAt, true
	g.lastAlive = max(g.lastAlive, madeAt)
	g.leases.confirmThrough(madeAt, r.Incarnation)
}

// RecordGrant records a grant. A lease that another allocator granted and that became
// known by a renewal is recorded in the same way, and also as started once it has
// produced tokens.
func (g *Limiter) RecordGrant(now time.Duration, lease uint64) {
	g.leases.add(now, lease, g.report.Incarnation)
}

// RecordStart records that the target was seen to work on the lease.
func (g *Limiter) RecordStart(now time.Duration, lease uint64) { g.leases.resolve(now, lease) }

// RecordProgress records that the target produced a token for the lease at the given
// time; for a renewal, use the send time of the previous one. It proves that the
// incarnation that started the lease is still running. A lease counts only once a
// report confirms it, because an earlier one may have started on an incarnation
// that is not known yet.
func (g *Limiter) RecordProgress(at time.Duration, lease uint64) {
	if g.hasReport && g.leases.confirmedBy(lease, g.report.Incarnation) {
		g.lastAlive = max(g.lastAlive, at)
	}
}

// RecordEnd removes a lease. finished is set if the target completed it. firstToken
// is the time to the first token; it is 0 if there was none or if it depends on
// the request, because a long prompt would be mistaken for a cold start.
func (g *Limiter) RecordEnd(now time.Duration, lease uint64, finished bool, firstToken time.Duration) {
	sameIncarnation := g.leases.grantedOn(lease, g.report.Incarnation)
	running := g.leases.leaseCount()
	g.leases.resolve(now, lease)
	g.leases.end(lease)
	if sameIncarnation && finished {
		g.warmup.finished(running, firstToken)
	}
}

// MarkSuspect treats the target as cold until reports show otherwise, because its
// connections broke or it failed while running requests.
func (g *Limiter) MarkSuspect(now time.Duration) {
	g.warmup.suspect()
	g.hasReport = false
	g.reportedAt = max(g.reportedAt, now)
}

// State returns the target's state.
func (g *Limiter) State(now time.Duration) State {
	if !g.hasReport || g.lastAlive <= now-g.cfg.ReportTTL {
		return Unknown
	}
	return g.warmup.state
}

// Room returns the number of requests that may be granted now.
func (g *Limiter) Room(now time.Duration) int {
	g.leases.expire(now)
	state := g.State(now)
	soleOwner := g.isSoleOwner(now)
	switch {
	case state == Warm, state == Settled && soleOwner:
		return g.warmRoom()
	case state == Cold, state == Settled:
		return g.coldRoom(now, soleOwner)
	default:
		return 0
	}
}

// warmRoom counts every unconfirmed grant as arrived and grants at most one burst
// per report.
func (g *Limiter) warmRoom() int {
	limit := unlimitedRoom
	burst := g.cfg.Burst
	if g.report.Capacity > 0 {
		limit = g.report.Capacity
		burst = max(burst, limit/4)
	}
	inUse := max(g.report.load()+len(g.leases.unconfirmed), g.leases.leaseCount())
	room := min(limit-inUse, burst-g.leases.grantedSince(g.reportedAt))
	return max(room, 0)
}

// coldRoom returns at most one, and only if a report confirms every grant made by
// this allocator. The package comment explains why this limits the whole fleet.
func (g *Limiter) coldRoom(now time.Duration, soleOwner bool) int {
	fresh := g.reportedAt > now-g.cfg.ReportTTL && g.reportedAt > g.tenure.StartedAt()
	if !g.tenure.IsOwner() || !fresh || len(g.leases.unconfirmed) > 0 {
		return 0
	}
	capacity := g.warmup.capacity()
	reserve := g.cfg.MaxOwners
	if capacity <= g.cfg.MaxOwners {
		if !soleOwner {
			return 0
		}
		reserve = 1
	}
	load := max(g.report.load(), g.leases.leaseCount())
	if load+reserve > capacity {
		return 0
	}
	return 1
}

// isSoleOwner reports whether no other allocator grants to this target and the
// report was made after the last grant of an earlier owner arrived.
func (g *Limiter) isSoleOwner(now time.Duration) bool {
	cfg := ownership.Config{ConfirmationTTL: g.cfg.ConfirmationTTL, ActionTTL: g.cfg.LeaseDuration}
	return g.tenure.IsExclusive(now, cfg) && g.reportedAt > g.tenure.ExclusiveFrom(cfg)
}
