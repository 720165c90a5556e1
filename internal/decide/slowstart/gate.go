package slowstart

import (
	"math"
	"time"

	"filbertdeck/internal/decide/ownership"
)

// unbounded is the room at a warm target that doesn't say what it bears.
const unbounded = 1 << 20

// Limiter holds what one allocator knows of one target. It is not safe for
// concurrent use. Times count from any fixed start, the same for all calls.
type Limiter struct {
	cfg    Config
	tenure ownership.Tenure
	flight flight
	warmth warmth

	report Report
	taken  time.Duration
	known  bool
	// alive is the latest moment at which the incarnation is known to have
	// lived, by a report or by a token.
	alive time.Duration
}

// New returns a gate without a report; it gives no room until one comes.
func New(cfg Config) *Limiter {
	cfg = cfg.withDefaults()
	return &Limiter{
		cfg: cfg, flight: flight{leaseFor: cfg.LeaseDuration}, warmth: newWarmth(cfg),
		taken: math.MinInt64,
	}
}

// SetOwner says whether the published host list of the given revision names
// this allocator as the pool's owner. Call it for each list that is read, also
// when the answer stays the same.
func (g *Limiter) SetOwner(now time.Duration, revision uint64, owner bool) {
	g.tenure.SetOwner(now, revision, owner)
}

// Confirm says that the host list in force here was the newest one at the
// moment at: a read of the configuration service that was begun then, or
// gossip, sent then, of peers that know no newer list.
func (g *Limiter) Confirm(at time.Duration) { g.tenure.Confirm(at) }

// Observe takes a report that was received at now. Reports may come late or
// out of order; one that was taken before the latest is dropped.
func (g *Limiter) Observe(now time.Duration, r Report) {
	taken := now - r.Age
	if taken <= g.taken {
		return
	}
	g.warmth.observe(taken, r)
	g.report, g.taken, g.known = r, taken, true
	g.alive = max(g.alive, taken)
	g.flight.covered(taken, r.Incarnation)
}

// RecordGrant books a grant. For a lease that another allocator granted and a
// renewal made known, call RecordGrant and, when it has produced tokens, Started.
func (g *Limiter) RecordGrant(now time.Duration, lease uint64) {
	g.flight.add(now, lease, g.report.Incarnation)
}

// RecordStart says that the target was seen to work on the lease.
func (g *Limiter) RecordStart(now time.Duration, lease uint64) { g.flight.done(now, lease) }

// RecordProgress says that the target produced a token for the lease at the moment
// at; of a renewal, take when the one before was sent. It proves that the incarnation which began the lease still lives. A lease
// counts only once a report covers it: an earlier one may have begun on an
// incarnation that is not known here yet.
func (g *Limiter) RecordProgress(at time.Duration, lease uint64) {
	if g.known && g.flight.coveredBy(lease, g.report.Incarnation) {
		g.alive = max(g.alive, at)
	}
}

// RecordEnd takes a lease off. finished says that the target completed it;
// firstToken is its time to the first token, 0 when there was none or when it
// depends on the request: a long prompt would be taken for a cold start.
func (g *Limiter) RecordEnd(now time.Duration, lease uint64, finished bool, firstToken time.Duration) {
	same := g.flight.grantedTo(lease, g.report.Incarnation)
	running := g.flight.running()
	g.flight.done(now, lease)
	g.flight.end(lease)
	if same && finished {
		g.warmth.finished(running, firstToken)
	}
}

// MarkSuspect makes the target cold until reports show otherwise: its connections
// broke, or it died while it ran requests.
func (g *Limiter) MarkSuspect(now time.Duration) {
	g.warmth.suspect()
	g.known = false
	g.taken = max(g.taken, now)
}

// State says how far the target is.
func (g *Limiter) State(now time.Duration) State {
	if !g.known || g.alive <= now-g.cfg.FreshFor {
		return Unknown
	}
	return g.warmth.state
}

// Room is the number of requests that may be granted now.
func (g *Limiter) Room(now time.Duration) int {
	g.flight.expire(now)
	state := g.State(now)
	sole := g.sole(now)
	switch {
	case state == Warm, state == Settled && sole:
		return g.warmRoom()
	case state == Cold, state == Settled:
		return g.coldRoom(now, sole)
	default:
		return 0
	}
}

// warmRoom counts every grant that no report covers as arrived, and keeps to
// one burst a report.
func (g *Limiter) warmRoom() int {
	limit := unbounded
	burst := g.cfg.Burst
	if g.report.Capacity > 0 {
		limit = g.report.Capacity
		burst = max(burst, limit/4)
	}
	used := max(g.report.load()+len(g.flight.unseen), g.flight.running())
	room := min(limit-used, burst-g.flight.since(g.taken))
	return max(room, 0)
}

// coldRoom gives one place, and only against a report that covers every grant
// made here. See the package comment for why this bounds the whole fleet.
func (g *Limiter) coldRoom(now time.Duration, sole bool) int {
	fresh := g.taken > now-g.cfg.FreshFor && g.taken > g.tenure.StartedAt()
	if !g.tenure.IsOwner() || !fresh || len(g.flight.unseen) > 0 {
		return 0
	}
	bears := g.warmth.bears()
	places := g.cfg.Claimants
	if bears <= g.cfg.Claimants {
		if !sole {
			return 0
		}
		places = 1
	}
	load := max(g.report.load(), g.flight.running())
	if load+places > bears {
		return 0
	}
	return 1
}

// sole tells whether no other allocator grants to this target, and the report
// was taken after the last grant of an earlier one arrived.
func (g *Limiter) sole(now time.Duration) bool {
	cfg := ownership.Config{ConfirmationTTL: g.cfg.ConfirmFor, ActionTTL: g.cfg.LeaseDuration}
	return g.tenure.IsExclusive(now, cfg) && g.taken > g.tenure.ExclusiveFrom(cfg)
}
