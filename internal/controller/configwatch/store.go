package configwatch

import (
	"log/slog"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"filbertdeck/internal/configservice"
	"filbertdeck/internal/decide/rollout"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/table"

	"filbertdeck/internal/blackboard"
)

// Store holds the documents in force and publishes them on the blackboard. It
// is safe for concurrent use; readers of the blackboard never wait for it.
type Store struct {
	log       *slog.Logger
	metrics   metrics.Registry
	now       func() time.Time
	startedAt time.Time

	mu          sync.Mutex
	docs        map[Section]*document
	table       *table.Table
	hosts       map[string]configservice.Host
	sortedHosts []configservice.Host
	targets     map[string]configservice.Target
	// tableTargets holds the targets of each service in the table
	// representation.
	tableTargets     map[string][]table.Target
	hostsConfirmedAt time.Time
	serviceState     ServiceState
	join             *rollout.Readiness
	ready            bool
	peersConfirmed   bool
	peerCount        int
	changed          chan struct{}
	writers          sectionWriters

	history *rollout.RevisionHistory
	// overlays holds the rows lost in a restore that this process detected.
	// They apply in overlaysEpoch until the document of kept rows is in force
	// in that epoch.
	overlays      map[string]rollout.Overlay
	overlaysEpoch uint64
}

type document struct {
	*rollout.Document
	inForceSince time.Time
	// newestAtPeers is the newest version that a peer is known to hold.
	newestAtPeers rollout.Version
}

type sectionWriters struct {
	table   *blackboard.Writer[table.Table]
	hosts   *blackboard.Writer[Hosts]
	targets *blackboard.Writer[Targets]
	rollout *blackboard.Writer[State]
}

// StoreConfig holds the dependencies of a Store; zero fields have defaults.
type StoreConfig struct {
	Log     *slog.Logger
	Metrics metrics.Registry
	// Now returns the current time; time.Now by default.
	Now func() time.Time
}

// NewStore returns a store and claims the board's sections.
func NewStore(board *Board, cfg StoreConfig) (*Store, error) {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	writers, err := claimSections(board)
	if err != nil {
		return nil, err
	}
	s := &Store{
		log: cfg.Log, metrics: cfg.Metrics, now: cfg.Now, startedAt: cfg.Now(),
		docs: map[Section]*document{}, hosts: map[string]configservice.Host{},
		targets: map[string]configservice.Target{}, join: rollout.NewReadiness(0), writers: writers,
		history: rollout.NewRevisionHistory(),
	}
	for _, name := range Sections {
		s.docs[name] = &document{Document: rollout.NewDocument()}
	}
	s.publishState()
	return s, nil
}

func claimSections(board *Board) (writers sectionWriters, err error) {
	if writers.table, err = board.Table.Claim(); err != nil {
		return writers, err
	}
	if writers.hosts, err = board.Hosts.Claim(); err != nil {
		return writers, err
	}
	if writers.targets, err = board.Targets.Claim(); err != nil {
		return writers, err
	}
	writers.rollout, err = board.Rollout.Claim()
	return writers, err
}

// Apply judges a delta from the service or a peer, puts it in force if the
// rollout rules allow it, and returns the verdict.
func (s *Store) Apply(name Section, delta rollout.Delta) rollout.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	doc, ok := s.docs[name]
	if !ok {
		return rollout.VerdictStale
	}
	verdict, changed := doc.Evaluate(delta)
	if verdict != rollout.VerdictApply {
		s.countVerdict(name, verdict)
		return verdict
	}
	if err := s.applyRows(name, delta, changed); err != nil {
		s.recordRefusalLocked(name, rollout.Refusal{Version: delta.Version, Reason: err.Error()})
		return rollout.VerdictRefused
	}
	doc.Commit(delta, changed)
	doc.inForceSince = s.now()
	if name != SectionKept && s.docs[SectionKept].Len() == 0 {
		// Without kept rows, the rows in force are exactly those that the
		// service held. The kept rows themselves have no revision in the
		// service and say nothing about its history.
		s.history.Record(string(name), delta.Head)
	}
	s.metrics.GetOrRegister("rollout."+string(name)+".taken", metrics.NewCounter).(metrics.Counter).Inc(1)
	s.log.Info("revision in force", "document", name, "version", delta.Version.String(), "rows_changed", len(changed))
	s.publish(name)
	return verdict
}

// applyRows validates the changed rows and stores their parsed form. If it
// returns an error, the stored rows are unchanged.
func (s *Store) applyRows(name Section, delta rollout.Delta, changed []rollout.Row) error {
	switch name {
	case SectionTable:
		return s.applyTableRows(delta, changed)
	case SectionHosts:
		return updateParsedRows(s.hosts, changed, configservice.ParseHostRow)
	case SectionTargets:
		return updateParsedRows(s.targets, changed, configservice.ParseTargetRow)
	}
	return nil
}

func (s *Store) applyTableRows(delta rollout.Delta, changed []rollout.Row) error {
	base := s.table
	if base == nil {
		base = &table.Table{
			Accounts: map[string]*table.Account{}, Services: map[string]*table.Service{},
			AccountByKeyHash: map[[32]byte]*table.Account{},
		}
	}
	changes := make([]table.RowChange, len(changed))
	for i, r := range changed {
		changes[i] = table.RowChange(r)
	}
	next, problems := base.Apply(delta.Version.OperatorEpoch(), delta.Version.Revision, changes)
	if err := problems.Err(); err != nil {
		return err
	}
	next.Restores = delta.Version.RestoreCount()
	s.table = next
	return nil
}

func updateParsedRows[T any](dst map[string]T, changed []rollout.Row, parse func(string) (T, bool)) error {
	parsed := make(map[string]T, len(changed))
	for _, r := range changed {
		if r.Text == "" {
			continue
		}
		value, ok := parse(r.Text)
		if !ok {
			return failure.New(failure.KindConfigUnreadable, "row %q is malformed", r.Key)
		}
		parsed[r.Key] = value
	}
	for _, r := range changed {
		delete(dst, r.Key)
	}
	for key, value := range parsed {
		dst[key] = value
	}
	return nil
}

// RecordRefusal records that a version of a document failed validation, here or
// at a peer, so that every node reports the same refusal. It reports whether
// the refusal is new.
func (s *Store) RecordRefusal(name Section, r rollout.Refusal) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recordRefusalLocked(name, r)
}

func (s *Store) recordRefusalLocked(name Section, r rollout.Refusal) bool {
	doc, ok := s.docs[name]
	if !ok || !doc.Refuse(r) {
		return false
	}
	s.metrics.GetOrRegister("rollout."+string(name)+".refused", metrics.NewCounter).(metrics.Counter).Inc(1)
	s.log.Warn("revision refused", "document", name, "version", r.Version.String(), "reason", r.Reason)
	s.publishState()
	s.notifyChanged()
	return true
}

// Head returns a document's version and digest.
func (s *Store) Head(name Section) rollout.Head {
	s.mu.Lock()
	defer s.mu.Unlock()
	doc, ok := s.docs[name]
	if !ok {
		return rollout.Head{}
	}
	return doc.Head()
}

// LatestRefusal returns the newest refusal of a document.
func (s *Store) LatestRefusal(name Section) rollout.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	doc, ok := s.docs[name]
	if !ok {
		return rollout.Refusal{}
	}
	return doc.Refused()
}

// DeltaSince returns the changes of a document that a peer at version from
// lacks.
func (s *Store) DeltaSince(name Section, from rollout.Version) rollout.Delta {
	s.mu.Lock()
	defer s.mu.Unlock()
	doc, ok := s.docs[name]
	if !ok {
		return rollout.Delta{}
	}
	return doc.DeltaSince(from)
}

// FullDelta returns a whole document.
func (s *Store) FullDelta(name Section) rollout.Delta { return s.DeltaSince(name, rollout.Version{}) }

// ConfirmHosts records that the service held the host list in force at a time.
// A time before the last recorded one has no effect.
func (s *Store) ConfirmHosts(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !at.After(s.hostsConfirmedAt) {
		return
	}
	s.hostsConfirmedAt = at
	if len(s.hosts) > 0 {
		s.publishHosts()
	}
}

// Changed returns a channel that is closed the next time a version is put in
// force or refused.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

func (s *Store) notifyChanged() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

func (s *Store) countVerdict(name Section, v rollout.Verdict) {
	counterName, ok := verdictCounters[v]
	if ok {
		s.metrics.GetOrRegister("rollout."+string(name)+"."+counterName, metrics.NewCounter).(metrics.Counter).Inc(1)
	}
}

// verdictCounters holds the last part of the names of the counters of deltas
// that were not applied. Deltas whose version is already in force are routine
// and are not counted.
var verdictCounters = map[rollout.Verdict]string{
	rollout.VerdictStale: "older", rollout.VerdictGap: "gap",
	rollout.VerdictConflict: "conflict", rollout.VerdictRefused: "refused_again",
}
