package slowstart

import "time"

// leaseTracker holds the leases on one target and the grants that no report has
// confirmed yet.
type leaseTracker struct {
	leaseDuration time.Duration
	unconfirmed   []grant
	leases        map[uint64]lease
}

// lease holds the incarnation known when the grant was made, and the one whose
// report confirmed it.
type lease struct {
	incarnation uint64
	confirmed   bool
	confirmedBy uint64
}

// grant is a grant that may not have arrived when the last report was made.
type grant struct {
	lease     uint64
	grantedAt time.Duration
	resolved  bool
	// resolvedAt is when the grant was known to have arrived or never to arrive.
	resolvedAt time.Duration
}

func (t *leaseTracker) add(now time.Duration, id, incarnation uint64) {
	if t.leases == nil {
		t.leases = map[uint64]lease{}
	}
	if _, known := t.leases[id]; known {
		return
	}
	t.leases[id] = lease{incarnation: incarnation}
	t.unconfirmed = append(t.unconfirmed, grant{lease: id, grantedAt: now})
}

func (t *leaseTracker) leaseCount() int { return len(t.leases) }

func (t *leaseTracker) grantedOn(id, incarnation uint64) bool {
	l, ok := t.leases[id]
	return ok && l.incarnation == incarnation
}

func (t *leaseTracker) confirmedBy(id, incarnation uint64) bool {
	l := t.leases[id]
	return l.confirmed && l.confirmedBy == incarnation
}

func (t *leaseTracker) end(id uint64) { delete(t.leases, id) }

// resolve records that any later report includes the lease.
func (t *leaseTracker) resolve(now time.Duration, id uint64) {
	for i := range t.unconfirmed {
		g := &t.unconfirmed[i]
		if g.lease == id && !g.resolved {
			g.resolved, g.resolvedAt = true, now
		}
	}
}

// expire resolves the grants whose lease ran out, because an entry sends nothing
// on an expired lease.
func (t *leaseTracker) expire(now time.Duration) {
	for i := range t.unconfirmed {
		g := &t.unconfirmed[i]
		if !g.resolved && g.grantedAt+t.leaseDuration <= now {
			g.resolved, g.resolvedAt = true, g.grantedAt+t.leaseDuration
		}
	}
}

// confirmThrough removes the grants that a report made at madeAt includes, and
// marks their leases as confirmed by the given incarnation.
func (t *leaseTracker) confirmThrough(madeAt time.Duration, incarnation uint64) {
	t.expire(madeAt)
	remaining := t.unconfirmed[:0]
	for _, g := range t.unconfirmed {
		if !g.resolved || g.resolvedAt >= madeAt {
			remaining = append(remaining, g)
			continue
		}
		t.confirm(g.lease, incarnation)
	}
	t.unconfirmed = remaining
}

func (t *leaseTracker) confirm(id, incarnation uint64) {
	if l, ok := t.leases[id]; ok && !l.confirmed {
		l.confirmed, l.confirmedBy = true, incarnation
		t.leases[id] = l
	}
}

// grantedSince returns the number of unconfirmed grants made since reportedAt.
func (t *leaseTracker) grantedSince(reportedAt time.Duration) int {
	n := 0
	for _, g := range t.unconfirmed {
		if g.grantedAt >= reportedAt {
			n++
		}
	}
	return n
}
