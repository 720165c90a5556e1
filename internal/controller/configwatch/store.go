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

// Store holds the documents in force and publishes them. It is safe for
// concurrent use; readers of the blackboard never wait for it.
type Store struct {
	log     *slog.Logger
	metrics metrics.Registry
	now     func() time.Time
	start   time.Time

	mu       sync.Mutex
	docs     map[Section]*document
	table    *table.Table
	hosts    map[string]configservice.Host
	hostList []configservice.Host
	targets  map[string]configservice.Target
	// tableTargets are the targets as the table's services have them.
	tableTargets map[string][]table.Target
	confirmed    time.Time
	service      ServiceState
	join         *rollout.Readiness
	ready        bool
	asked        bool
	peers        int
	changed      chan struct{}
	out          writers

	history *rollout.RevisionHistory
	// overlays were worked out here at a recognised restore; they count for
	// overlayEpoch until the document of kept rows is in force in it.
	overlays     map[string]rollout.Overlay
	overlayEpoch uint64
}

type document struct {
	*rollout.Document
	since time.Time
	// announced is the newest version that a peer is known to hold.
	announced rollout.Version
}

type writers struct {
	table   *blackboard.Writer[table.Table]
	hosts   *blackboard.Writer[Hosts]
	targets *blackboard.Writer[Targets]
	rollout *blackboard.Writer[State]
}

// StoreConfig holds what a Store works with; zero fields have defaults.
type StoreConfig struct {
	Log     *slog.Logger
	Metrics metrics.Registry
	// Now gives the time; time.Now by default.
	Now func() time.Time
}

// NewStore claims the board's sections.
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
	out, err := claim(board)
	if err != nil {
		return nil, err
	}
	s := &Store{
		log: cfg.Log, metrics: cfg.Metrics, now: cfg.Now, start: cfg.Now(),
		docs: map[Section]*document{}, hosts: map[string]configservice.Host{},
		targets: map[string]configservice.Target{}, join: rollout.NewReadiness(0), out: out,
		history: rollout.NewRevisionHistory(),
	}
	for _, name := range Sections {
		s.docs[name] = &document{Document: rollout.NewDocument()}
	}
	s.publishState()
	return s, nil
}

func claim(board *Board) (w writers, err error) {
	if w.table, err = board.Table.Claim(); err != nil {
		return w, err
	}
	if w.hosts, err = board.Hosts.Claim(); err != nil {
		return w, err
	}
	if w.targets, err = board.Targets.Claim(); err != nil {
		return w, err
	}
	w.rollout, err = board.Rollout.Claim()
	return w, err
}

// Offer takes a delta from the service or a peer, puts it in force when the
// rules say so, and tells what it meant.
func (s *Store) Offer(name Section, delta rollout.Delta) rollout.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	doc, ok := s.docs[name]
	if !ok {
		return rollout.VerdictStale
	}
	verdict, changed := doc.Evaluate(delta)
	if verdict != rollout.VerdictApply {
		s.count(name, verdict)
		return verdict
	}
	if err := s.prepare(name, delta, changed); err != nil {
		s.refuse(name, rollout.Refusal{Version: delta.Version, Reason: err.Error()})
		return rollout.VerdictRefused
	}
	doc.Commit(delta, changed)
	doc.since = s.now()
	if name != SectionKept && s.docs[SectionKept].Len() == 0 {
		// Rows in force are the service's rows as they are. Kept rows have no
		// revision of the service's own and prove nothing.
		s.history.Record(string(name), delta.Head)
	}
	s.metrics.GetOrRegister("rollout."+string(name)+".taken", metrics.NewCounter).(metrics.Counter).Inc(1)
	s.log.Info("revision in force", "document", name, "version", delta.Version.String(), "rows_changed", len(changed))
	s.publish(name)
	return verdict
}

// prepare validates the changed rows and keeps their parsed form. A document
// that it refuses leaves everything as it was.
func (s *Store) prepare(name Section, delta rollout.Delta, changed []rollout.Row) error {
	switch name {
	case SectionTable:
		return s.prepareTable(delta, changed)
	case SectionHosts:
		return prepareRows(s.hosts, changed, configservice.HostFromRow)
	case SectionTargets:
		return prepareRows(s.targets, changed, configservice.TargetFromRow)
	}
	return nil
}

func (s *Store) prepareTable(delta rollout.Delta, changed []rollout.Row) error {
	base := s.table
	if base == nil {
		base = &table.Table{
			Accounts: map[string]*table.Account{}, Services: map[string]*table.Service{},
			ByKey: map[[32]byte]*table.Account{},
		}
	}
	changes := make([]table.Change, len(changed))
	for i, r := range changed {
		changes[i] = table.Change(r)
	}
	next, faults := base.Apply(delta.Version.OperatorEpoch(), delta.Version.Revision, changes)
	if err := faults.Err(); err != nil {
		return err
	}
	next.Restores = delta.Version.RestoreCount()
	s.table = next
	return nil
}

func prepareRows[T any](into map[string]T, changed []rollout.Row, parse func(string) (T, bool)) error {
	parsed := make(map[string]T, len(changed))
	for _, r := range changed {
		if r.Text == "" {
			continue
		}
		v, ok := parse(r.Text)
		if !ok {
			return failure.New(failure.KindConfigUnreadable, "row %q is malformed", r.Key)
		}
		parsed[r.Key] = v
	}
	for _, r := range changed {
		delete(into, r.Key)
	}
	for k, v := range parsed {
		into[k] = v
	}
	return nil
}

// Refuse notes that the service holds a version that fails validation; also
// taken from peers, so that every node names the same refusal.
func (s *Store) Refuse(name Section, r rollout.Refusal) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refuse(name, r)
}

func (s *Store) refuse(name Section, r rollout.Refusal) bool {
	doc, ok := s.docs[name]
	if !ok || !doc.Refuse(r) {
		return false
	}
	s.metrics.GetOrRegister("rollout."+string(name)+".refused", metrics.NewCounter).(metrics.Counter).Inc(1)
	s.log.Warn("revision refused", "document", name, "version", r.Version.String(), "reason", r.Reason)
	s.publishState()
	s.wake()
	return true
}

// Head gives a document's version and digest.
func (s *Store) Head(name Section) rollout.Head {
	s.mu.Lock()
	defer s.mu.Unlock()
	doc, ok := s.docs[name]
	if !ok {
		return rollout.Head{}
	}
	return doc.Head()
}

// Refused gives the newest refusal of a document.
func (s *Store) Refused(name Section) rollout.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	doc, ok := s.docs[name]
	if !ok {
		return rollout.Refusal{}
	}
	return doc.Refused()
}

// Since gives what a peer at version from lacks of a document.
func (s *Store) Since(name Section, from rollout.Version) rollout.Delta {
	s.mu.Lock()
	defer s.mu.Unlock()
	doc, ok := s.docs[name]
	if !ok {
		return rollout.Delta{}
	}
	return doc.DeltaSince(from)
}

// All gives a whole document.
func (s *Store) All(name Section) rollout.Delta { return s.Since(name, rollout.Version{}) }

// Confirmed notes that the service held the host list in force at a time; an
// earlier time than the one known is no news.
func (s *Store) Confirmed(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !at.After(s.confirmed) {
		return
	}
	s.confirmed = at
	if len(s.hosts) > 0 {
		s.publishHosts()
	}
}

// Changed returns a channel that is closed at the next news: a version put in
// force or refused.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

func (s *Store) wake() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

func (s *Store) count(name Section, v rollout.Verdict) {
	word, ok := verdictNames[v]
	if ok {
		s.metrics.GetOrRegister("rollout."+string(name)+"."+word, metrics.NewCounter).(metrics.Counter).Inc(1)
	}
}

// verdictNames are the counters of deltas that were not taken; known ones are
// too ordinary to count.
var verdictNames = map[rollout.Verdict]string{
	rollout.VerdictStale: "older", rollout.VerdictGap: "gap",
	rollout.VerdictConflict: "conflict", rollout.VerdictRefused: "refused_again",
}
