// Package mirror holds this process's copy of the published records: the newest
// record of each key, merged from the store and from other processes.
//
// All hosts read the same records at the same time, and the store refuses some
// hosts or is down while keys of client accounts are revoked and targets leave.
// A host that relied on the store alone would use old records while its
// neighbours have the new ones: for seconds it would still accept a revoked key,
// refuse a new one or send requests to a target that leaves.
//
// The store numbers all its changes with one counter, so the record with the
// higher revision is the newer one, wherever it came from. A removal is a
// record as well. Merging therefore gives the same result in any order and any
// number of times, and needs neither clocks nor agreement.
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
)

// Mirror holds the newest record of each key.
type Mirror struct {
	cfg     Config
	records map[string]entry
	// revision is the newest revision up to which all changes are known.
	revision uint64
	// removalFloor is the revision after which every removal is known. Earlier
	// removals may be unknown: a snapshot only lacks the removed record, and
	// old removals are discarded.
	removalFloor uint64
	config       *directory.Config
	index        *directory.Index
	targets      map[string]*directory.ObservedTarget
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
}

type entry struct {
	directory.Record
	receivedAt time.Duration
	// routingRevision is the revision of the record's last change that matters
	// to requests; a heartbeat that only increments a counter does not.
	routingRevision uint64
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
	return &Mirror{cfg: cfg, records: map[string]entry{}, targets: map[string]*directory.ObservedTarget{}, recoveredAt: -cfg.RecoveryGrace, index: directory.NewIndex(nil)}
}

// Revision returns the store's revision up to which all changes are known here.
func (m *Mirror) Revision() uint64 { return m.revision }

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

// ApplySnapshot applies a full snapshot whose read began at readRevision. A
// record that the snapshot lacks had been removed by that revision, except for
// the configuration, which peers send separately. ApplySnapshot reports whether
// anything changed that matters to requests.
func (m *Mirror) ApplySnapshot(now time.Duration, records []directory.Record, readRevision uint64) bool {
	if readRevision > m.revision {
		m.removalFloor = readRevision
	}
	present := make(map[string]bool, len(records))
	for _, r := range records {
		present[r.Key] = true
	}
	changed := false
	for key, e := range m.records {
		if key != directory.ConfigKey && !present[key] && !e.Deleted && e.Revision <= readRevision {
			changed = m.put(now, directory.Record{Key: key, Revision: readRevision, Deleted: true}) || changed
		}
	}
	return m.ApplyChanges(now, records, readRevision) || changed
}

// ApplyChanges applies records. With them, all changes up to completeRevision
// are known here; it is 0 if the sender does not know such a revision.
// ApplyChanges reports whether anything changed that matters to requests.
func (m *Mirror) ApplyChanges(now time.Duration, records []directory.Record, completeRevision uint64) bool {
	changed := false
	for _, r := range records {
		changed = m.put(now, r) || changed
	}
	m.revision = max(m.revision, completeRevision)
	return changed
}

// MergeFromPeer applies records received from another process and marks them to
// be forwarded, even those that change nothing here: the other process may have
// seen intermediate states that this one never did, such as a target that
// started and stopped.
func (m *Mirror) MergeFromPeer(now time.Duration, records []directory.Record, completeRevision uint64) bool {
	changed := m.ApplyChanges(now, records, completeRevision)
	for _, r := range records {
		if e := m.records[r.Key]; e.Revision == r.Revision {
			e.routingRevision = r.Revision
			m.records[r.Key] = e
		}
	}
	return changed
}

// put stores a record that is newer than the known one and reports whether the
// change matters to requests; a heartbeat that only increments a counter does
// not.
func (m *Mirror) put(now time.Duration, r directory.Record) bool {
	old, known := m.records[r.Key]
	if known && old.Revision >= r.Revision || (!known || old.Deleted) && m.knownRemoved(r) {
		if !known || old.Revision > r.Revision {
			m.ignored++
		}
		return false
	}
	if r.ReadError != "" && old.Config != nil {
		// An unreadable configuration revokes nothing: the last readable one
		// stays in force.
		r.Config = old.Config
	}
	r.Target = m.preserveLeaving(r.Target)
	e := entry{r, now, old.routingRevision}
	changed := m.apply(now, r, old.Record)
	// A removal is forwarded even if it changes nothing here, because peers may
	// hold a record that this process never had.
	if changed || r.Deleted {
		e.routingRevision = r.Revision
	}
	m.records[r.Key] = e
	return changed
}

func (m *Mirror) apply(now time.Duration, r, old directory.Record) bool {
	switch {
	case r.Config != nil:
		return m.applyConfig(r.Config)
	case r.Target != nil:
		return m.applyTarget(now, r.Target) || old.Target == nil
	case old.Target != nil:
		m.departed = append(m.departed, old.Target.ID)
		return true
	}
	return r.DrainedDataCentre != "" || old.DrainedDataCentre != ""
}

// applyConfig ignores a configuration that is not newer: versions only
// increase.
func (m *Mirror) applyConfig(c *directory.Config) bool {
	if m.config != nil && m.config.Version >= c.Version {
		return false
	}
	m.config, m.index = c, directory.NewIndex(c)
	return true
}

// knownRemoved reports whether a record that does not exist here must have been
// removed by the revision up to which all changes are known. The configuration
// is exempt, since it may arrive later than the records around it.
func (m *Mirror) knownRemoved(r directory.Record) bool {
	return r.Key != directory.ConfigKey && !r.Deleted && r.Revision <= m.revision
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
// matters to requests after a revision, in the order of their revisions. The
// configuration is not among them: it may be hundreds of times as long as all
// others together, and is sent separately.
func (m *Mirror) ChangedSince(revision uint64) []directory.Record {
	var out []directory.Record
	for _, e := range m.records {
		if e.routingRevision > revision && e.Key != directory.ConfigKey {
			out = append(out, e.Record)
		}
	}
	slices.SortFunc(out, func(a, b directory.Record) int { return int(int64(a.Revision - b.Revision)) })
	return out
}

// Delta returns the changes that bring a process that knows everything up to a
// revision to the state known here. If removals since that revision may be
// unknown here, it returns all existing records.
func (m *Mirror) Delta(after uint64) []directory.Record {
	if after >= m.removalFloor {
		return m.ChangedSince(after)
	}
	return slices.DeleteFunc(m.ChangedSince(0), func(r directory.Record) bool { return r.Deleted })
}

// DeltaBase returns the revision at which a delta starts: the requested one or,
// where removals since then may be unknown here, 0, which stands for all
// existing records.
func (m *Mirror) DeltaBase(after uint64) uint64 {
	if after >= m.removalFloor {
		return after
	}
	return 0
}

// View builds the snapshot on which decisions about requests are based.
func (m *Mirror) View(now time.Duration) *directory.View {
	m.expireRemovals(now)
	targets := map[string]*directory.ObservedTarget{}
	var drained []string
	for _, e := range m.records {
		switch {
		case e.Deleted:
		case e.DrainedDataCentre != "":
			drained = append(drained, e.DrainedDataCentre)
		}
	}
	for id, t := range m.targets {
		targets[id] = m.withPublished(now, t)
	}
	slices.SortFunc(drained, strings.Compare)
	return directory.NewViewFromIndex(m.revision, m.index, targets, drained)
}

// withPublished returns a target with Published set if its entry exists. An
// entry whose removal arrives within the grace period after the store's recovery
// counts as existing until the end of that period, because it may have expired
// only because the store was down.
func (m *Mirror) withPublished(now time.Duration, t *directory.ObservedTarget) *directory.ObservedTarget {
	e := m.records[directory.TargetKey(t.ID)]
	if e.Target != nil && !e.Deleted {
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
	if end := m.recoveredAt + m.cfg.RecoveryGrace; now < end {
		return end
	}
	return 0
}

// expireRemovals discards removals, and their targets, once no process can send
// the removed records any more.
func (m *Mirror) expireRemovals(now time.Duration) {
	for key, e := range m.records {
		if e.Deleted && now-e.receivedAt > m.cfg.RemovalRetention {
			m.removalFloor = max(m.removalFloor, e.Revision)
			delete(m.records, key)
			delete(m.targets, directory.TargetID(key))
		}
	}
}
