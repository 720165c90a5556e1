// Package mirror holds this process's copy of the published records: the newest
// record of each key, merged from the store and from other processes.
//
// All hosts read the same records at the same time, and the store refuses some
// hosts or is down while keys of client accounts are revoked and targets leave.
// A host that relied on the store alone would use old records while its
// neighbours have the new ones: for seconds it would still accept a revoked key,
// refuse a new one or send requests to a target that leaves.
//
// The store numbers all its changes with one counter, which goes back only when
// the store is restored from a copy, and that begins a new era. So the record
// with the later position, first by era, then by revision, is the newer
// statement of the store, wherever it came from. A removal is a record as well.
// Merging therefore gives the same result in any order and any number of times,
// and needs neither clocks nor agreement.
//
// A later position is not always later knowledge: the copy is older than what
// is held when the store is restored. restore.go says what then stands, and for
// how long. The configuration is ordered by its own version instead.
//
// The package is not safe for concurrent use.
package mirror

import (
	"slices"
	"strings"
	"time"

	"filbertdeck/internal/directory"
)

// Config holds the settings, which are durations on the monotonic clock; a
// field that is zero takes its default.
type Config struct {
	// RecoveryGrace is how long after the store's recovery a target whose entry
	// is missing is still considered alive: entries expire while the store is
	// down, because targets cannot renew them, and are written again within
	// about two seconds of the recovery.
	RecoveryGrace time.Duration
	// MinOutageForExpiry is the shortest outage of the store after which the
	// entries of live targets can have expired.
	MinOutageForExpiry time.Duration
	// RemovalRetention is how long a removal is kept. It must be longer than a
	// process can continue to send the removed record to others.
	RemovalRetention time.Duration
	// CopiedEntryTTL is how long after a restore a target that had been removed
	// before is not used although the copy has its entry.
	CopiedEntryTTL time.Duration
	// OperatorGrace is how long after a restore operators' drains, and their
	// ends, stand that the copy lacks.
	OperatorGrace time.Duration
}

// Defaults of Config.
const (
	// DefaultRecoveryGrace is slightly longer than the two seconds within which
	// targets write their entries again.
	DefaultRecoveryGrace = 2200 * time.Millisecond
	// DefaultMinOutageForExpiry is two heartbeats of 1.2 s. An entry expires
	// after three without a renewal, and the last renewal may have come up to
	// one heartbeat before the store went down.
	DefaultMinOutageForExpiry = 2400 * time.Millisecond
	// DefaultRemovalRetention covers any partition after which hosts rejoin by
	// gossip alone; the full snapshots of a reader cover longer ones.
	DefaultRemovalRetention = 5 * time.Minute
	// DefaultCopiedEntryTTL is four heartbeats of 1.2 s: the entry of a target
	// that no longer runs expires after three without a renewal.
	DefaultCopiedEntryTTL = 4800 * time.Millisecond
	// DefaultOperatorGrace leaves operators time to repeat what was lost. A data
	// centre that stays drained longer than necessary costs capacity; one that is
	// used again too early breaks what operators were promised.
	DefaultOperatorGrace = 10 * time.Second
)

// Mirror holds the newest record of each key.
type Mirror struct {
	cfg     Config
	records map[string]entry
	// position is the newest position up to which all changes are known.
	position directory.Position
	// removalFloor is the position after which every removal is known. Earlier
	// removals may be unknown: a snapshot only lacks the removed record, and
	// old removals are discarded.
	removalFloor directory.Position
	// previous is what was known when the era of position began here.
	previous eraEnd
	restore  Restore
	// changes counts the changes of records, amendments those of amended ones.
	changes, amendments uint64
	config              *directory.Config
	index               *directory.Index
	targets             map[string]*directory.ObservedTarget
	// departed holds the targets that were reported to leave, or were removed,
	// and not yet collected by the caller.
	departed []string
	// recoveredAt is when the store last answered after having been down for
	// long enough for entries to expire.
	recoveredAt time.Duration
	storeDown   bool
	// upToDateAt is the latest time at which nothing newer than the known
	// records is known to have been published.
	upToDateAt time.Duration
	// ignored counts the records that were older than the one held.
	ignored int64
	// settled names what became of records that a restore left in doubt, since
	// it was last collected.
	settled Settled
}

type entry struct {
	directory.Record
	receivedAt time.Duration
	// routingPosition is the position of the record's last change that matters
	// to requests; a heartbeat that only increments a counter does not.
	routingPosition directory.Position
	// amended is set if the record says more than the copy from which the store
	// was restored.
	amended bool
}

// changedSince reports whether a process that knows everything up to a position
// may lack a record. A record that was written again after a restore, with the
// content that it had here, is new to those who have seen the copy without it.
func (m *Mirror) changedSince(e entry, after directory.Position) bool {
	changedAt := e.routingPosition
	if changedAt.Era < e.Era && (changedAt.Era < after.Era || !m.mayBeCopied(e.Record)) {
		changedAt = e.Position()
	}
	return changedAt.After(after)
}

// New returns an empty mirror.
func New(cfg Config) *Mirror {
	if cfg.RecoveryGrace == 0 {
		cfg.RecoveryGrace = DefaultRecoveryGrace
	}
	if cfg.MinOutageForExpiry == 0 {
		cfg.MinOutageForExpiry = DefaultMinOutageForExpiry
	}
	if cfg.RemovalRetention == 0 {
		cfg.RemovalRetention = DefaultRemovalRetention
	}
	if cfg.CopiedEntryTTL == 0 {
		cfg.CopiedEntryTTL = DefaultCopiedEntryTTL
	}
	if cfg.OperatorGrace == 0 {
		cfg.OperatorGrace = DefaultOperatorGrace
	}
	return &Mirror{cfg: cfg, records: map[string]entry{}, targets: map[string]*directory.ObservedTarget{}, recoveredAt: -cfg.RecoveryGrace, index: directory.NewIndex(nil)}
}

// Position returns the store's position up to which all changes are known here.
func (m *Mirror) Position() directory.Position { return m.position }

// Changes returns a number that rises with each change of the records.
func (m *Mirror) Changes() uint64 { return m.changes }

// AmendmentChanges returns a number that rises with each change of Amendments.
func (m *Mirror) AmendmentChanges() uint64 { return m.amendments }

// IgnoredRecords returns how many records were not taken because a later one of
// their key is held.
func (m *Mirror) IgnoredRecords() int64 { return m.ignored }

// RecordStoreFailure records that the store did not answer.
func (m *Mirror) RecordStoreFailure() { m.storeDown = true }

// RecordStoreAnswer records that the store answered. If the store had been down for
// long enough, it starts the grace period for expired entries.
func (m *Mirror) RecordStoreAnswer(now time.Duration) {
	if m.storeDown && now-m.upToDateAt >= m.cfg.MinOutageForExpiry {
		m.recoveredAt = now
	}
	m.storeDown = false
}

// ConfirmUpToDate records that nothing newer than the known records had been published
// at the time at, because the store had answered some host.
func (m *Mirror) ConfirmUpToDate(at time.Duration) { m.upToDateAt = max(m.upToDateAt, at) }

// ApplySnapshot applies a full snapshot whose read began at the position readAt.
// A record that the snapshot lacks had been removed by then, or was lost if the
// snapshot is the first of an era; the configuration is exempt, since peers send
// it separately. ApplySnapshot reports whether anything changed that matters to
// requests.
func (m *Mirror) ApplySnapshot(now time.Duration, records []directory.Record, readAt directory.Position) bool {
	return m.applySnapshot(now, records, readAt, func(e entry) bool { return e.Lost || e.Era < readAt.Era })
}

// MergeSnapshot applies the full snapshot of another process like ApplySnapshot.
// The other process includes the records that it takes for lost.
func (m *Mirror) MergeSnapshot(now time.Duration, records []directory.Record, readAt directory.Position) bool {
	return m.applySnapshot(now, records, readAt, func(e entry) bool { return e.Era < readAt.Era })
}

// applySnapshot applies a full snapshot; isLost reports whether a record that the
// snapshot lacks is lost, not removed.
func (m *Mirror) applySnapshot(now time.Duration, records []directory.Record, readAt directory.Position, isLost func(entry) bool) bool {
	m.beginEra(now, readAt)
	if readAt.After(m.position) {
		m.removalFloor = readAt
	}
	present := make(map[string]bool, len(records))
	for _, r := range records {
		present[r.Key] = true
	}
	changed := false
	for key, e := range m.records {
		if present[key] || e.Position().After(readAt) || e.Deleted && !e.Lost {
			continue
		}
		missing := directory.Record{Key: key, Era: readAt.Era, Revision: readAt.Revision, Deleted: true, Lost: isLost(e)}
		changed = m.put(now, missing) || changed
	}
	return m.applyChanges(now, records, readAt) || changed
}

// ApplyChanges applies records. With them, all changes up to the position
// complete are known here; it is zero if the sender does not know such a
// position. ApplyChanges reports whether anything changed that matters to
// requests.
func (m *Mirror) ApplyChanges(now time.Duration, records []directory.Record, complete directory.Position) bool {
	m.beginEra(now, complete)
	return m.applyChanges(now, records, complete)
}

func (m *Mirror) applyChanges(now time.Duration, records []directory.Record, complete directory.Position) bool {
	changed := false
	for _, r := range records {
		changed = m.put(now, r) || changed
	}
	if complete.Era > m.position.Era {
		m.carryOver(complete)
		m.removalFloor = complete
	}
	if complete.After(m.position) {
		m.position = complete
	}
	return changed
}

// MergeFromPeer applies records received from another process and marks them to
// be forwarded, even those that change nothing here: the other process may have
// seen intermediate states that this one never did, such as a target that
// started and stopped.
func (m *Mirror) MergeFromPeer(now time.Duration, records []directory.Record, complete directory.Position) bool {
	changed := m.ApplyChanges(now, records, complete)
	for _, r := range records {
		if e, known := m.records[r.Key]; known && e.Position() == r.Position() {
			e.routingPosition = r.Position()
			m.records[r.Key] = e
		}
	}
	return changed
}

// put stores a record that is newer than the known one and reports whether the
// change matters to requests; a heartbeat that only increments a counter does
// not.
func (m *Mirror) put(now time.Duration, r directory.Record) bool {
	if r.Key == directory.ConfigKey {
		// An unreadable configuration revokes nothing: the last readable one
		// stays in force.
		return r.Config != nil && m.applyConfig(r.Config)
	}
	old, known := m.records[r.Key]
	switch order := r.Position().Compare(old.Position()); {
	case known && order == 0:
		return m.mergeAmendment(now, old, r)
	case known && order < 0, (!known || old.Deleted) && m.knownRemoved(r):
		m.ignored++
		return false
	}
	received := r
	if known {
		r = m.amend(old.Record, r)
	}
	r.Target = m.preserveLeaving(r.Target)
	return m.store(now, old, r, m.isAmendment(r) || r.Deleted != received.Deleted || r.Lost != received.Lost)
}

// store replaces a record and reports whether the change matters to requests.
func (m *Mirror) store(now time.Duration, old entry, r directory.Record, amended bool) bool {
	e := entry{Record: r, receivedAt: now, routingPosition: old.routingPosition, amended: amended}
	changed := m.apply(now, r, old.Record)
	// A removal is forwarded even if it changes nothing here, because peers may
	// hold a record that this process never had.
	// So is a record that says again what this process knew and others may not.
	if changed || r.Deleted || old.amended || m.writtenAgain(old.Record, r) {
		e.routingPosition = r.Position()
	}
	m.records[r.Key] = e
	m.changes++
	if amended || old.amended {
		m.amendments++
	}
	return changed
}

func (m *Mirror) apply(now time.Duration, r, old directory.Record) bool {
	switch {
	case r.Target != nil:
		changed := m.applyTarget(now, r.Target)
		return changed || old.Target == nil || old.Deleted != r.Deleted || old.Copied != r.Copied
	case old.Target != nil:
		m.departed = append(m.departed, old.Target.ID)
		return true
	}
	return r.DrainedDataCentre != "" || old.DrainedDataCentre != ""
}

// applyConfig ignores a configuration that is older than the one in force:
// versions only increase. The caller passes another content of the version in
// force only if all processes are to take it.
func (m *Mirror) applyConfig(c *directory.Config) bool {
	if m.config != nil && m.config.Version > c.Version {
		return false
	}
	m.config, m.index = c, directory.NewIndex(c)
	return true
}

// knownRemoved reports whether a record that does not exist here must have been
// removed by the position up to which all changes are known.
func (m *Mirror) knownRemoved(r directory.Record) bool {
	return !r.Deleted && !r.Position().After(m.position)
}

// preserveLeaving returns t, marked as leaving if the target is known to leave
// since its last start. The store may carry out a write of an earlier state
// after that of a later one.
func (m *Mirror) preserveLeaving(t *directory.Target) *directory.Target {
	if t == nil || t.Leaving {
		return t
	}
	if old := m.targets[t.ID]; old == nil || old.StartedUnixMilli != t.StartedUnixMilli || !old.Leaving {
		return t
	}
	leaving := *t
	leaving.Leaving = true
	return &leaving
}

// applyTarget records a target's state. A target that was restarted is a
// different one, even under the same id.
func (m *Mirror) applyTarget(now time.Duration, t *directory.Target) bool {
	old := m.targets[t.ID]
	next := &directory.ObservedTarget{Target: *t, FirstSeen: now, Published: true}
	if t.WarmUpRemaining > 0 {
		next.WarmAt = now + t.WarmUpRemaining
	}
	if old != nil && old.StartedUnixMilli == t.StartedUnixMilli {
		next.FirstSeen = old.FirstSeen
		if t.WarmUpRemaining > 0 && old.WarmAt > 0 {
			next.WarmAt = min(old.WarmAt, next.WarmAt)
		}
	}
	m.targets[t.ID] = next
	if t.Leaving && (old == nil || !old.Leaving || old.StartedUnixMilli != t.StartedUnixMilli) {
		m.departed = append(m.departed, t.ID)
	}
	return old == nil || old.Target != *t && !sameForRouting(old, next) || !old.Published
}

// sameForRouting reports whether two records of a target are equivalent for
// requests.
func sameForRouting(old, updated *directory.ObservedTarget) bool {
	oldTarget, newTarget := old.Target, updated.Target
	oldTarget.WarmUpRemaining, newTarget.WarmUpRemaining = 0, 0
	return oldTarget == newTarget && (old.WarmAt > 0) == (updated.WarmAt > 0)
}

// TakeDeparted returns the targets that were reported to leave, or whose entries were
// removed, since it was last called.
func (m *Mirror) TakeDeparted() []string {
	departed := m.departed
	m.departed = nil
	return departed
}

// ChangedSince returns the records, removals included, that had a change that
// matters to requests after a position, in the order of their positions. The
// configuration is not among them: it may be hundreds of times as long as all
// others together, and is sent separately.
func (m *Mirror) ChangedSince(after directory.Position) []directory.Record {
	var out []directory.Record
	for _, e := range m.records {
		if m.changedSince(e, after) {
			out = append(out, e.Record)
		}
	}
	slices.SortFunc(out, func(a, b directory.Record) int { return a.Position().Compare(b.Position()) })
	return out
}

// Delta returns the changes that bring a process that knows everything up to a
// position to the state known here. If removals since that position may be
// unknown here, it returns all existing records.
func (m *Mirror) Delta(after directory.Position) []directory.Record {
	if m.knowsRemovalsSince(after) {
		return m.ChangedSince(after)
	}
	return slices.DeleteFunc(m.ChangedSince(directory.Position{}), func(r directory.Record) bool { return r.Deleted && !r.Lost })
}

// DeltaBase returns the position at which a delta starts: the requested one or,
// where removals since then may be unknown here, zero, which stands for all
// existing records.
func (m *Mirror) DeltaBase(after directory.Position) directory.Position {
	if m.knowsRemovalsSince(after) {
		return after
	}
	return directory.Position{}
}

// View builds the snapshot on which decisions about requests are based.
func (m *Mirror) View(now time.Duration) *directory.View {
	m.expireRemovals(now)
	m.settleRestore(now)
	targets := map[string]*directory.ObservedTarget{}
	var drained []string
	for _, e := range m.records {
		if e.DrainedDataCentre != "" && !e.Copied {
			drained = append(drained, e.DrainedDataCentre)
		}
	}
	for id, t := range m.targets {
		targets[id] = m.withPublished(now, t)
	}
	slices.SortFunc(drained, strings.Compare)
	view := directory.NewViewFromIndex(m.position.Revision, m.index, targets, drained)
	view.Era = m.position.Era
	return view
}

// withPublished returns a target with Published set if its entry exists. An
// entry whose removal arrives within the grace period after the store's recovery
// counts as existing until the end of that period, because it may have expired
// only because the store was down. So does one that the copy of a restored store
// lacks.
func (m *Mirror) withPublished(now time.Duration, t *directory.ObservedTarget) *directory.ObservedTarget {
	e := m.records[directory.TargetKey(t.ID)]
	if e.Target != nil && !e.Copied {
		return t
	}
	out := *t
	removedDuringRecovery := e.Deleted && e.receivedAt >= m.recoveredAt && e.receivedAt < m.recoveredAt+m.cfg.RecoveryGrace
	out.Published = removedDuringRecovery && now < m.recoveredAt+m.cfg.RecoveryGrace
	return &out
}

// NextViewChange returns the time at which the view changes without a new record,
// or 0 if it does not.
func (m *Mirror) NextViewChange(now time.Duration) time.Duration {
	next := m.nextSettlement()
	if end := m.recoveredAt + m.cfg.RecoveryGrace; now < end && (next == 0 || end < next) {
		next = end
	}
	return next
}

// expireRemovals discards removals, and their targets, once no process can send
// the removed records any more.
func (m *Mirror) expireRemovals(now time.Duration) {
	for key, e := range m.records {
		if e.Deleted && now-e.receivedAt > m.cfg.RemovalRetention {
			m.raiseRemovalFloor(e.Position())
			delete(m.records, key)
			delete(m.targets, directory.TargetID(key))
		}
	}
}

// raiseRemovalFloor records that the removal at a position is no longer known.
func (m *Mirror) raiseRemovalFloor(removed directory.Position) {
	for _, floor := range []*directory.Position{&m.removalFloor, &m.previous.removalFloor} {
		if removed.After(*floor) {
			*floor = removed
		}
	}
}
