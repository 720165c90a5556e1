package mirror

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"filbertdeck/internal/directory"
)

// This file decides what stands after the store was restored from a copy.
//
// The copy lacks the last changes before the restore, so by position alone it
// would replace newer knowledge by older: requests would go to targets that had
// left, and to a data centre that operators had drained. Operators and targets
// repeat what was lost, but until then the store does not have it. So what is
// known from the era before stands against records that the copy may hold:
//
//   - A configuration stands by its own version, for good.
//   - A target that said it leaves does so until it starts again. A later start
//     of a target stands against an earlier one.
//   - A record that the copy lacks is lost, not removed. A lost target is used,
//     and a lost drain holds, until it had time to be repeated.
//   - A record that was removed before the restore is in doubt in the copy. Such
//     a target is not used, and such a drain does not hold, until its writer had
//     time to remove it again.
//
// Everything written after the restore replaces what is known from before.
//
// A host that reads the copy may have known less than others of what it lacks.
// So hosts tell each other the records that they amended, whatever positions they
// hold. A host of the earlier era gets the changes since its position if it knew
// no more of that era than the one that tells it; otherwise it gets all records.

// Restore is what is known of the restore that began an era of the store.
type Restore struct {
	// Era is 0 if no restore is known.
	Era uint64
	// CopyRevision bounds the revisions of the records in the copy: the records
	// after it were written after the restore.
	CopyRevision uint64
	// SeenAt is when a host first read the restored store, on the monotonic
	// clock.
	SeenAt time.Duration
}

// eraEnd is what was known when an era was replaced by the next here.
type eraEnd struct{ position, removalFloor directory.Position }

// Settled names the records that a restore had left in doubt.
type Settled struct {
	// Gone were lost and not repeated, Adopted are in the copy and were not
	// removed again.
	Gone, Adopted []string
}

// Restore returns what is known of the store's last restore.
func (m *Mirror) Restore() Restore { return m.restore }

// RecordRestore records what another process knows of a restore.
func (m *Mirror) RecordRestore(told Restore) {
	switch {
	case told.Era == 0 || told.Era < m.restore.Era || told.Era < m.position.Era:
	case told.Era > m.restore.Era:
		m.restore = told
	default:
		m.restore.CopyRevision = min(m.restore.CopyRevision, told.CopyRevision)
		m.restore.SeenAt = min(m.restore.SeenAt, told.SeenAt)
	}
}

// beginEra prepares for records up to a position of a later era. A process that
// has no records of an earlier one has nothing that could stand against the copy.
func (m *Mirror) beginEra(now time.Duration, at directory.Position) {
	if at.Era <= m.position.Era || !m.holdsEarlier(at.Era) {
		return
	}
	m.RecordRestore(Restore{Era: at.Era, CopyRevision: at.Revision, SeenAt: now})
	m.previous = eraEnd{m.position, m.removalFloor}
}

// holdsEarlier reports whether anything from before an era is held.
func (m *Mirror) holdsEarlier(era uint64) bool {
	if m.position != (directory.Position{}) {
		return true
	}
	for _, e := range m.records {
		if e.Era < era {
			return true
		}
	}
	return false
}

// CanEnter reports whether changes that another process selected lead from what is
// held here to a position of a later era. They do not if a record held here was
// written after the copy was taken: the store may lack it, or have it again.
func (m *Mirror) CanEnter(changes []directory.Record, to directory.Position) bool {
	changed := make(map[string]bool, len(changes))
	for _, r := range changes {
		changed[r.Key] = true
	}
	for key, e := range m.records {
		if e.Era < to.Era && !e.Deleted && !changed[key] && (m.restore.Era != to.Era || e.Revision > m.restore.CopyRevision) {
			return false
		}
	}
	return true
}

// carryOver moves the records that the copy has unchanged to the era that begins,
// and those that were lost in an earlier one and are still missing.
func (m *Mirror) carryOver(to directory.Position) {
	for key, e := range m.records {
		switch {
		case e.Era == to.Era:
			continue
		case e.Lost:
			e.Era, e.Revision, e.routingPosition = to.Era, to.Revision, to
		case !e.Deleted && e.Revision <= m.restore.CopyRevision:
			e.Era = to.Era
		}
		m.records[key] = e
	}
	m.changes++
}

// mayBeCopied reports whether a record may come from the copy.
func (m *Mirror) mayBeCopied(r directory.Record) bool {
	return r.Era == m.restore.Era && r.Era > 0 && r.Revision <= m.restore.CopyRevision
}

// writtenAgain reports whether a record was written again after a restore.
func (m *Mirror) writtenAgain(old, r directory.Record) bool {
	return old.Era < r.Era && (old.Revision != r.Revision || !m.mayBeCopied(r))
}

// amend returns a record with what the one held adds to it.
func (m *Mirror) amend(old, r directory.Record) directory.Record {
	switch {
	case r.Lost && !old.Lost && (old.Deleted || old.Copied || old.Era == r.Era) && m.compareStart(r) <= 0:
		// Another process found it missing. Here it is known to have been removed
		// before, or to have been there after the restore.
		r.Lost, r.Target, r.DrainedDataCentre = false, nil, ""
	case r.Lost:
		r.Target = laterState(old.Target, r.Target)
		if r.DrainedDataCentre == "" {
			r.DrainedDataCentre = old.DrainedDataCentre
		}
	case r.Deleted || old.Era == r.Era || !m.mayBeCopied(r):
	case old.Copied, old.Deleted && !old.Lost && old.Revision >= r.Revision:
		r.Copied = m.compareStart(r) <= 0
		if m.compareStart(r) < 0 {
			// The copy has the entry of an earlier start than the one removed.
			r = directory.Record{Key: r.Key, Era: r.Era, Revision: r.Revision, Deleted: true}
		}
	case old.Target != nil && r.Target != nil && old.Target.StartedUnixMilli > r.Target.StartedUnixMilli:
		// The copy has the entry of an earlier start.
		r.Deleted, r.Lost, r.Target = true, true, old.Target
	}
	return r
}

// compareStart compares the start of a record's target with the last one known
// here; it is 0 if there is nothing to compare.
func (m *Mirror) compareStart(r directory.Record) int {
	if r.Target == nil || m.targets[r.Target.ID] == nil {
		return 0
	}
	return cmp.Compare(r.Target.StartedUnixMilli, m.targets[r.Target.ID].StartedUnixMilli)
}

// laterState returns the later of two states of a target, which may be nil: that
// of the later start or, of one start, the leaving one.
func laterState(a, b *directory.Target) *directory.Target {
	switch {
	case a == nil:
		return b
	case b == nil, a.StartedUnixMilli > b.StartedUnixMilli, a.StartedUnixMilli == b.StartedUnixMilli && a.Leaving:
		return a
	}
	return b
}

func sameState(a, b *directory.Target) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// mergeAmendment merges two records of one position, of which one may have been
// amended by another process.
func (m *Mirror) mergeAmendment(now time.Duration, old entry, r directory.Record) bool {
	if !m.amendsAt(now) {
		return false
	}
	merged := old.Record
	switch {
	case old.Deleted && !old.Lost:
	case old.Lost && r.Lost:
		merged.Target = laterState(old.Target, r.Target)
	case old.Lost && r.Deleted:
		merged = r
	case r.Lost:
		merged = r
	case r.Copied && now < m.doubtEnd(r):
		merged.Copied = true
	case r.Target != nil && old.Target != nil && r.Target.Lifetime() == old.Target.Lifetime():
		merged.Target = laterState(old.Target, r.Target)
	}
	if merged.Copied == old.Copied && merged.Lost == old.Lost && sameState(merged.Target, old.Target) {
		return false
	}
	return m.store(now, old, merged, true)
}

// isAmendment reports whether a record may say more than the copy.
func (m *Mirror) isAmendment(r directory.Record) bool {
	return r.Lost || r.Copied || r.Target != nil && r.Target.Leaving && m.mayBeCopied(r)
}

// amendsAt reports whether processes tell each other at a time how they amended
// the copy.
func (m *Mirror) amendsAt(now time.Duration) bool {
	return m.restore.Era > 0 && now < m.restore.SeenAt+m.cfg.OperatorGrace
}

// Amendments returns, for a while after a restore, the records that say more
// than the copy. Other processes that hold the same position may not know them.
func (m *Mirror) Amendments(now time.Duration) []directory.Record {
	if !m.amendsAt(now) {
		return nil
	}
	var out []directory.Record
	for _, e := range m.records {
		if e.amended && e.Era == m.restore.Era {
			out = append(out, e.Record)
		}
	}
	slices.SortFunc(out, func(a, b directory.Record) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// knowsRemovalsSince reports whether every removal after a position is known
// here. A process that is still in the previous era, and knew no more of it than
// this one, lacks only what this one has seen since.
func (m *Mirror) knowsRemovalsSince(after directory.Position) bool {
	if after.Compare(m.removalFloor) >= 0 {
		return true
	}
	last := m.previous
	return last.position.Era < m.position.Era && after.Era == last.position.Era && !after.After(last.position) && after.Compare(last.removalFloor) >= 0
}

// doubtEnd returns the time at which a record is settled that a restore left in
// doubt.
func (m *Mirror) doubtEnd(r directory.Record) time.Duration {
	switch {
	case r.DrainedDataCentre != "":
		return m.restore.SeenAt + m.cfg.OperatorGrace
	case r.Lost:
		return m.restore.SeenAt + m.cfg.RecoveryGrace
	}
	return m.restore.SeenAt + m.cfg.CopiedEntryTTL
}

// settleRestore ends the doubt about the records whose time has passed: the
// store's state stands.
func (m *Mirror) settleRestore(now time.Duration) {
	for key, e := range m.records {
		if !e.Lost && !e.Copied || now < m.doubtEnd(e.Record) {
			continue
		}
		if e.Lost {
			m.settled.Gone = append(m.settled.Gone, key)
			if e.Target != nil {
				m.departed = append(m.departed, e.Target.ID)
			}
			e.Target, e.DrainedDataCentre = nil, ""
			if e.Era == m.position.Era {
				// The store still lacked it at the position held.
				e.Revision = max(e.Revision, m.position.Revision)
			}
		} else {
			m.settled.Adopted = append(m.settled.Adopted, key)
		}
		e.Lost, e.Copied, e.amended = false, false, false
		m.records[key] = e
		m.changes++
		m.amendments++
	}
}

// nextSettlement returns when the next record is settled, 0 if none is in doubt.
func (m *Mirror) nextSettlement() time.Duration {
	next := time.Duration(0)
	for _, e := range m.records {
		if end := m.doubtEnd(e.Record); (e.Lost || e.Copied) && (next == 0 || end < next) {
			next = end
		}
	}
	return next
}

// Doubts returns the number of records that are lost, and of those in the copy
// that had been removed before.
func (m *Mirror) Doubts() (lost, copied int) {
	for _, e := range m.records {
		if e.Lost {
			lost++
		}
		if e.Copied {
			copied++
		}
	}
	return lost, copied
}

// TakeSettled returns the records settled since it was last called.
func (m *Mirror) TakeSettled() Settled {
	settled := m.settled
	m.settled = Settled{}
	return settled
}
