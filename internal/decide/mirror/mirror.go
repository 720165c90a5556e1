// Package mirror keeps what is published as this process believes it: the
// newest record of each key, put together from the store and from other
// processes.
//
// Load pattern: the store turns some hosts away, or is down, while keys of
// client accounts are taken back and targets leave; every host reads the same
// records at the same time.
//
// What happens without it: a host that the store refuses acts on an old
// version while its neighbours hold the new one. One sees requests refused or
// served against an edit that has been in force elsewhere for seconds.
//
// How it works: the store numbers all its changes with one counter, so the
// record with the higher revision is the newer one wherever it was heard. A
// removal is a record as well. Merging is then the same in any order and any
// number of times, and needs neither clocks nor agreement.
//
// It is not safe for concurrent use.
package mirror

import (
	"slices"
	"strings"
	"time"

	"filbertdeck/internal/directory"
)

// Config holds the figures; both are times on the steady clock.
type Config struct {
	// RecoveryGrace is how long after the store's return a target whose entry is
	// gone is still taken for alive: entries lapse with the store and come
	// back within about two seconds.
	RecoveryGrace time.Duration
	// LapseAfter is how long the store must have been away for entries of live
	// targets to lapse.
	LapseAfter time.Duration
	// KeepGone is how long a removal is remembered. It must be longer than a
	// process can go on telling the removed record to others.
	KeepGone time.Duration
}

// Defaults of Config.
const (
	// DefaultRecoveryGrace: entries are back within about two seconds.
	DefaultRecoveryGrace = 2200 * time.Millisecond
	// DefaultLapseAfter: an entry lapses after three heartbeats, of 1.2 s, without
	// one; the last may have come just before the store went away.
	DefaultLapseAfter = 2400 * time.Millisecond
	// DefaultKeepGone covers any partition after which hosts rejoin by gossip
	// alone; the reader's whole readings cover the rest.
	DefaultKeepGone = 5 * time.Minute
)

// Mirror holds the newest records.
type Mirror struct {
	cfg     Config
	records map[string]entry
	// revision is the newest revision up to which everything is known.
	revision uint64
	// floor is the revision after which every removal is known. What was removed
	// before is not: a whole reading only lacks it, and old removals are forgotten.
	floor  uint64
	config *directory.Config
	index  *directory.Index
	seen   map[string]*directory.Seen
	// left are the targets that were heard to leave since Left was last called.
	left []string
	// returned is when the store last answered after it had been away for longer
	// than entries need to lapse.
	returned time.Duration
	away     bool
	// current is the latest moment of which it is known that nothing newer had
	// been published.
	current time.Duration
}

type entry struct {
	directory.Record
	heard time.Duration
	// matters is the revision of the record's last change that matters to
	// requests; a heartbeat that only counts up does not.
	matters uint64
}

// New returns an empty mirror.
func New(cfg Config) *Mirror {
	if cfg.RecoveryGrace == 0 {
		cfg.RecoveryGrace = DefaultRecoveryGrace
	}
	if cfg.LapseAfter == 0 {
		cfg.LapseAfter = DefaultLapseAfter
	}
	if cfg.KeepGone == 0 {
		cfg.KeepGone = DefaultKeepGone
	}
	return &Mirror{cfg: cfg, records: map[string]entry{}, seen: map[string]*directory.Seen{}, returned: -cfg.RecoveryGrace, index: directory.NewIndex(nil)}
}

// Revision is the store's revision up to which all changes are known here.
func (m *Mirror) Revision() uint64 { return m.revision }

// StoreFailed notes that the store did not answer.
func (m *Mirror) StoreFailed() { m.away = true }

// StoreAnswered notes that the store answered; it starts the grace for lapsed
// entries when the store had been away for long enough.
func (m *Mirror) StoreAnswered(now time.Duration) {
	if m.away && now-m.current >= m.cfg.LapseAfter {
		m.returned = now
	}
	m.away = false
}

// ConfirmUpToDate notes that nothing newer than what is known here was published at a
// time: the store had answered somebody.
func (m *Mirror) ConfirmUpToDate(at time.Duration) { m.current = max(m.current, at) }

// ApplySnapshot takes a complete reading that was begun at a revision: what it lacks
// was removed by then, but for the configuration, which peers pass on apart. It
// tells whether anything changed that matters to requests.
func (m *Mirror) ApplySnapshot(now time.Duration, records []directory.Record, at uint64) bool {
	if at > m.revision {
		m.floor = at
	}
	named := make(map[string]bool, len(records))
	for _, r := range records {
		named[r.Key] = true
	}
	changed := false
	for key, e := range m.records {
		if key != directory.ConfigKey && !named[key] && !e.Gone && e.Revision <= at {
			changed = m.put(now, directory.Record{Key: key, Revision: at, Gone: true}) || changed
		}
	}
	return m.ApplyChanges(now, records, at) || changed
}

// ApplyChanges takes records; at is the revision up to which they complete what was
// known, 0 when they don't say.
func (m *Mirror) ApplyChanges(now time.Duration, records []directory.Record, at uint64) bool {
	changed := false
	for _, r := range records {
		changed = m.put(now, r) || changed
	}
	m.revision = max(m.revision, at)
	return changed
}

// MergeFromPeer takes records that another process passed on, as Changes does, and passes
// them on in turn even if they change nothing here: that process may have known
// states in between that this one never did, such as a target that came and went.
func (m *Mirror) MergeFromPeer(now time.Duration, records []directory.Record, at uint64) bool {
	changed := m.ApplyChanges(now, records, at)
	for _, r := range records {
		if e := m.records[r.Key]; e.Revision == r.Revision {
			e.matters = r.Revision
			m.records[r.Key] = e
		}
	}
	return changed
}

// put keeps a record that is newer than the one known and tells whether it
// matters to requests: a heartbeat that only counts up does not.
func (m *Mirror) put(now time.Duration, r directory.Record) bool {
	old, known := m.records[r.Key]
	if known && old.Revision >= r.Revision || (!known || old.Gone) && m.removed(r) {
		return false
	}
	if r.Fault != "" && old.Config != nil {
		// An unreadable configuration takes nothing away: the last one holds.
		r.Config = old.Config
	}
	r.Target = m.stillLeaving(r.Target)
	e := entry{r, now, old.matters}
	matters := m.work(now, r, old.Record)
	// A removal is passed on even if it changes nothing here: peers may know what
	// this process never did.
	if matters || r.Gone {
		e.matters = r.Revision
	}
	m.records[r.Key] = e
	return matters
}

func (m *Mirror) work(now time.Duration, r, old directory.Record) bool {
	switch {
	case r.Config != nil:
		return m.takeConfig(r.Config)
	case r.Target != nil:
		return m.takeTarget(now, r.Target) || old.Target == nil
	case old.Target != nil:
		m.left = append(m.left, old.Target.ID)
		return true
	}
	return r.DrainedOut != "" || old.DrainedOut != ""
}

// takeConfig never goes back: versions only rise.
func (m *Mirror) takeConfig(c *directory.Config) bool {
	if m.config != nil && m.config.Version >= c.Version {
		return false
	}
	m.config, m.index = c, directory.NewIndex(c)
	return true
}

// removed tells whether a record of something that does not exist here was removed
// by the revision up to which everything is known. The configuration may come
// later than the records around it.
func (m *Mirror) removed(r directory.Record) bool {
	return r.Key != directory.ConfigKey && !r.Gone && r.Revision <= m.revision
}

// stillLeaving gives a target's record as one of a leaving target where it is
// known to leave in its present life. The store may carry out a write of an
// earlier state after that of a later one.
func (m *Mirror) stillLeaving(t *directory.Target) *directory.Target {
	if t == nil || t.Leaving {
		return t
	}
	if old := m.seen[t.ID]; old == nil || old.Started != t.Started || !old.Leaving {
		return t
	}
	leaving := *t
	leaving.Leaving = true
	return &leaving
}

// takeTarget follows a target's lives: one that started anew is another one,
// also under the same id.
func (m *Mirror) takeTarget(now time.Duration, t *directory.Target) bool {
	old := m.seen[t.ID]
	next := &directory.Seen{Target: *t, Since: now, Listed: true}
	if t.ColdFor > 0 {
		next.ColdUntil = now + t.ColdFor
	}
	if old != nil && old.Started == t.Started {
		next.Since = old.Since
		if t.ColdFor > 0 && old.ColdUntil > 0 {
			next.ColdUntil = min(old.ColdUntil, next.ColdUntil)
		}
	}
	m.seen[t.ID] = next
	if t.Leaving && (old == nil || !old.Leaving || old.Started != t.Started) {
		m.left = append(m.left, t.ID)
	}
	return old == nil || old.Target != *t && !sameStanding(old, next) || !old.Listed
}

// sameStanding tells whether two records of a target mean the same to
// requests.
func sameStanding(a, b *directory.Seen) bool {
	x, y := a.Target, b.Target
	x.ColdFor, y.ColdFor = 0, 0
	return x == y && (a.ColdUntil > 0) == (b.ColdUntil > 0)
}

// TakeDeparted gives the targets that were heard to leave, or whose entries went, since
// it was last called.
func (m *Mirror) TakeDeparted() []string {
	left := m.left
	m.left = nil
	return left
}

// Since gives the records that changed after a revision in what matters to
// requests, removals included, in the order of their revisions. The
// configuration is not among them: it may be hundreds of times as long as all
// others, and goes by its own way.
func (m *Mirror) Since(revision uint64) []directory.Record {
	var out []directory.Record
	for _, e := range m.records {
		if e.matters > revision && e.Key != directory.ConfigKey {
			out = append(out, e.Record)
		}
	}
	slices.SortFunc(out, func(a, b directory.Record) int { return int(int64(a.Revision - b.Revision)) })
	return out
}

// Delta gives what leads a process that knows everything up to a revision to
// what is known here: the changes since Base.
func (m *Mirror) Delta(after uint64) []directory.Record {
	if after >= m.floor {
		return m.Since(after)
	}
	return slices.DeleteFunc(m.Since(0), func(r directory.Record) bool { return r.Gone })
}

// DeltaBase gives the revision from which Delta leads: the one that it is asked for
// or, where removals since then may be unknown here, 0, which stands for all that
// exists.
func (m *Mirror) DeltaBase(after uint64) uint64 {
	if after >= m.floor {
		return after
	}
	return 0
}

// View builds the picture that requests are decided with.
func (m *Mirror) View(now time.Duration) *directory.View {
	m.forget(now)
	targets := map[string]*directory.Seen{}
	var drained []string
	for _, e := range m.records {
		switch {
		case e.Gone:
		case e.DrainedOut != "":
			drained = append(drained, e.DrainedOut)
		}
	}
	for id, s := range m.seen {
		targets[id] = m.standing(now, s)
	}
	slices.SortFunc(drained, strings.Compare)
	return directory.NewIndexedView(m.revision, m.index, targets, drained)
}

// standing gives a target with whether its entry stands. An entry that went
// while the store was away counts as standing for the grace after its return.
func (m *Mirror) standing(now time.Duration, s *directory.Seen) *directory.Seen {
	e := m.records[directory.TargetKey(s.ID)]
	if e.Target != nil && !e.Gone {
		return s
	}
	out := *s
	lapsed := e.Gone && e.heard >= m.returned && e.heard < m.returned+m.cfg.RecoveryGrace
	out.Listed = lapsed && now < m.returned+m.cfg.RecoveryGrace
	return &out
}

// NextViewChange is the time at which the view changes by itself, 0 when it does
// not.
func (m *Mirror) NextViewChange(now time.Duration) time.Duration {
	if end := m.returned + m.cfg.RecoveryGrace; now < end {
		return end
	}
	return 0
}

// forget drops removals and targets that nobody can bring back any more.
func (m *Mirror) forget(now time.Duration) {
	for key, e := range m.records {
		if e.Gone && now-e.heard > m.cfg.KeepGone {
			m.floor = max(m.floor, e.Revision)
			delete(m.records, key)
			delete(m.seen, directory.TargetOf(key))
		}
	}
}
