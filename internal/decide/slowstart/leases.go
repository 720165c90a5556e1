package slowstart

import "time"

// flight keeps the leases on one target, and which of them no report covers.
type flight struct {
	leaseFor time.Duration
	unseen   []grant
	leases   map[uint64]lease
}

// lease remembers the incarnation that was known when the grant was made, and
// the one whose report covered it.
type lease struct {
	incarnation uint64
	covered     bool
	coveredBy   uint64
}

// grant is a grant that may not have arrived when the last report was taken.
type grant struct {
	lease   uint64
	at      time.Duration
	settled bool
	// done is when it was known to have arrived or never to arrive.
	done time.Duration
}

func (f *flight) add(now time.Duration, id, incarnation uint64) {
	if f.leases == nil {
		f.leases = map[uint64]lease{}
	}
	if _, known := f.leases[id]; known {
		return
	}
	f.leases[id] = lease{incarnation: incarnation}
	f.unseen = append(f.unseen, grant{lease: id, at: now})
}

func (f *flight) running() int { return len(f.leases) }

func (f *flight) grantedTo(id, incarnation uint64) bool {
	l, ok := f.leases[id]
	return ok && l.incarnation == incarnation
}

func (f *flight) coveredBy(id, incarnation uint64) bool {
	l := f.leases[id]
	return l.covered && l.coveredBy == incarnation
}

func (f *flight) end(id uint64) { delete(f.leases, id) }

// done notes that a report taken later covers the lease.
func (f *flight) done(now time.Duration, id uint64) {
	for i := range f.unseen {
		g := &f.unseen[i]
		if g.lease == id && !g.settled {
			g.settled, g.done = true, now
		}
	}
}

// expire settles the grants whose lease ran out: an entry sends nothing on a
// lease that is over.
func (f *flight) expire(now time.Duration) {
	for i := range f.unseen {
		g := &f.unseen[i]
		if !g.settled && g.at+f.leaseFor <= now {
			g.settled, g.done = true, g.at+f.leaseFor
		}
	}
}

// covered forgets the grants that a report taken at taken includes.
func (f *flight) covered(taken time.Duration, incarnation uint64) {
	f.expire(taken)
	kept := f.unseen[:0]
	for _, g := range f.unseen {
		if !g.settled || g.done >= taken {
			kept = append(kept, g)
			continue
		}
		f.cover(g.lease, incarnation)
	}
	f.unseen = kept
}

func (f *flight) cover(id, incarnation uint64) {
	if l, ok := f.leases[id]; ok && !l.covered {
		l.covered, l.coveredBy = true, incarnation
		f.leases[id] = l
	}
}

// since counts the unseen grants that were made after the report.
func (f *flight) since(taken time.Duration) int {
	n := 0
	for _, g := range f.unseen {
		if g.at >= taken {
			n++
		}
	}
	return n
}
