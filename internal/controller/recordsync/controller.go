// Package recordsync keeps an up-to-date view of the configuration that
// operators publish and the records that targets publish. It reads the store
// and writes the newest records to the blackboard. internal/decide/mirror
// decides which records are valid.
package recordsync

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"filbertdeck/internal/blackboard"
	"filbertdeck/internal/decide/mirror"
	"filbertdeck/internal/decide/storeoutage"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/httpcheck"
	"filbertdeck/internal/wake"
)

// Timing of calls to the store.
const (
	// watchWait is how long the store may hold a watch open. It bounds the time
	// in which this host notices that the store is unreachable or that the
	// connection no longer carries data; engines that are taken away in the
	// meantime leave after one and a half seconds. Each watch costs the store a
	// call, and changes are seconds apart.
	watchWait = 700 * time.Millisecond
	// minCallInterval is the minimum time between two calls. A published
	// configuration must be in force within two seconds, and an engine that is
	// taken away leaves after one and a half; a shorter interval would cost the
	// store more calls.
	minCallInterval = 200 * time.Millisecond
	// roleCheckInterval is how often a host that does not read the store checks
	// whether it should.
	roleCheckInterval = 50 * time.Millisecond
	// The retry delay doubles from minRetryDelay to maxRetryDelay. Each wait is
	// drawn at random between half of the delay and the whole, so that hosts do
	// not retry in step.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
)

// Source is the store in which operators and targets publish.
type Source interface {
	// ReadAll returns all records and the position at which the read began.
	ReadAll(ctx context.Context) (directory.Reading, error)
	// Watch returns the changes after a revision of the store's current era and
	// the position to continue from; KindHistoryGone if the store does not have
	// these changes.
	Watch(ctx context.Context, after uint64, wait time.Duration) (directory.Reading, error)
}

// Board holds the blackboard section that this package writes.
type Board struct {
	View blackboard.Section[directory.View]
}

// Config holds the settings and dependencies of a Controller.
type Config struct {
	Source  Source
	Log     *slog.Logger
	Metrics metrics.Registry
	// Now is the monotonic clock of the process.
	Now func() time.Duration
	// ShouldRead reports whether this host is to read the store; nil means always.
	ShouldRead func() bool
}

// Controller reads the store and maintains the mirror.
type Controller struct {
	cfg        Config
	viewWriter *blackboard.Writer[directory.View]
	calls      metrics.Counter
	// historyGone counts the answers that the store no longer has the requested
	// changes.
	historyGone metrics.Counter
	// ignoredRecords counts the records of the store that were not taken because
	// a later one is held.
	ignoredRecords metrics.Counter
	// unreadableEras counts the answers of the store whose era can't be read.
	unreadableEras metrics.Counter
	// invalidAnswers counts the invalid responses of the store.
	invalidAnswers metrics.Counter

	mu     sync.Mutex
	mirror *mirror.Mirror
	// currentAt is the latest time at which the records held here are known to
	// have been current.
	currentAt     time.Duration
	everCurrent   bool
	viewPublished bool
	// nextViewChange is the time at which the view on the board changes without
	// new records; 0 if it does not.
	nextViewChange time.Duration
	// isReader is set while this host reads the store, storeFailed while its
	// calls to the store fail.
	isReader, storeFailed bool
	// failedAt is the time of the last failed call to the store.
	failedAt   time.Duration
	newsSignal chan struct{}
	doc        *document
	peers      map[string]*peerState
	// sentAmendments holds what peers were last sent of Amendments.
	sentAmendments map[string]sentAmendments
	// compressedRecords are the records sent last.
	compressedRecords compressedRecords
	silence           storeoutage.Detector
	// configAt is the position up to which all changes of the configuration are
	// known here.
	configAt        directory.Position
	announcedConfig configAnnouncement
	// needsAllRecords is set while this host can enter the store's era only with
	// all records: changes of them do not apply to what it holds.
	needsAllRecords bool
	// historyLost is set while the store's last answer was that it no longer has
	// the requested changes.
	historyLost bool
}

// New returns a controller and claims the section of the view.
func New(cfg Config, board *Board) (*Controller, error) {
	writer, err := board.View.Claim()
	if err != nil {
		return nil, err
	}
	c := &Controller{
		cfg: cfg, viewWriter: writer, mirror: mirror.New(mirror.Config{}), doc: newDocument(), peers: map[string]*peerState{}, sentAmendments: map[string]sentAmendments{}, newsSignal: make(chan struct{}, 1),
		calls:          metrics.GetOrRegisterCounter("published.calls", cfg.Metrics),
		historyGone:    metrics.GetOrRegisterCounter("published.history_gone", cfg.Metrics),
		ignoredRecords: metrics.GetOrRegisterCounter("published.records_ignored", cfg.Metrics),
		unreadableEras: metrics.GetOrRegisterCounter("published.unreadable_eras", cfg.Metrics),
		invalidAnswers: metrics.GetOrRegisterCounter("published.answers_invalid", cfg.Metrics),
	}
	c.registerGauge("published.revision", func() int64 { return int64(c.Position().Revision) })
	c.registerGauge("published.era", func() int64 { return int64(c.Position().Era) })
	c.registerGauge("published.config_version", c.configVersion)
	c.registerGauge("published.age_ms", c.ageMillis)
	c.registerGauge("published.store_lost", c.storeLostValue)
	return c, nil
}

func (c *Controller) registerGauge(name string, value func() int64) {
	c.cfg.Metrics.GetOrRegister(name, metrics.NewFunctionalGauge(value))
}

// configVersion returns the version of the configuration in force, 0 if there
// is none.
func (c *Controller) configVersion() int64 {
	if view := c.viewWriter.Get(); view != nil && view.Config != nil {
		return int64(view.Config.Version)
	}
	return 0
}

// ageMillis returns Age in milliseconds, -1 if the records were never known to
// be current.
func (c *Controller) ageMillis() int64 {
	age, known := c.Age()
	if !known {
		return -1
	}
	return age.Milliseconds()
}

// storeLostValue returns 1 while calls of this host to the store fail, and 0
// otherwise.
func (c *Controller) storeLostValue() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storeFailed {
		return 1
	}
	return 0
}

// Run reads the store while this host is to do so, until ctx is done.
func (c *Controller) Run(ctx context.Context) {
	retryDelay := minRetryDelay
	needsFullRead := false
	// gonePause is the pause before the next full read. It grows while a watch
	// finds the history gone right after each full read.
	gonePause := time.Duration(0)
	for ctx.Err() == nil {
		if !c.updateRole() {
			wake.Sleep(ctx, roleCheckInterval)
			continue
		}
		startedAt := c.cfg.Now()
		// Records that came from peers are as good as those of the store: a host
		// that takes over the role of a reader watches from where it is.
		fullRead := needsFullRead || !c.canWatch()
		err := c.readOnce(ctx, fullRead)
		if ctx.Err() != nil {
			return
		}
		c.recordCallResult(err)
		switch {
		case err == nil:
			if !fullRead {
				gonePause = 0
			}
			needsFullRead, retryDelay = false, minRetryDelay
			wake.Sleep(ctx, minCallInterval-(c.cfg.Now()-startedAt))
		case failure.KindOf(err) == failure.KindHistoryGone:
			needsFullRead = true
			wake.Sleep(ctx, gonePause)
			gonePause = min(max(2*gonePause, minRetryDelay), maxRetryDelay)
		default:
			wake.Sleep(ctx, max(retryDelay/2+rand.N(retryDelay/2), min(failure.FromError(err).RetryAfter, maxRetryDelay)))
			retryDelay = min(2*retryDelay, maxRetryDelay)
		}
	}
}

// updateRole updates and returns whether this host is to read the store.
func (c *Controller) updateRole() bool {
	isReader := c.cfg.ShouldRead == nil || c.cfg.ShouldRead()
	c.mu.Lock()
	defer c.mu.Unlock()
	if isReader != c.isReader {
		c.isReader = isReader
		c.cfg.Log.Info("role of reader changed", "reading", isReader, "position", c.mirror.Position())
	}
	return isReader
}

func (c *Controller) readOnce(ctx context.Context, fullRead bool) error {
	c.calls.Inc(1)
	startedAt := c.cfg.Now()
	if fullRead {
		read, err := c.cfg.Source.ReadAll(ctx)
		if err != nil {
			return err
		}
		if c.placeInEra(&read, c.Position().Era) < 0 {
			return failure.New(failure.KindConfigUnreadable, "the store answered from era %d, which is over", read.At.Era)
		}
		c.applyReading(startedAt, read, (*mirror.Mirror).ApplySnapshot)
		return nil
	}
	from := c.completePosition()
	read, err := c.watch(ctx, startedAt, from.Revision)
	if err != nil {
		return err
	}
	if c.placeInEra(&read, from.Era) != 0 {
		return failure.New(failure.KindHistoryGone, "the store answered from era %d, which does not continue the changes held", read.At.Era)
	}
	c.applyReading(startedAt, read, (*mirror.Mirror).ApplyChanges)
	return nil
}

// placeInEra sets the era of records read from the store, and compares it with
// the one known when the call was made: 1 if the store was restored meanwhile, -1
// if the answer is from before a restore. An answer whose era is missing or can't
// be read counts as one of the era known.
func (c *Controller) placeInEra(read *directory.Reading, known uint64) int {
	if read.EraError != "" {
		if c.unreadableEras.Count() == 0 {
			c.cfg.Log.Warn("store's era can't be read", "error", read.EraError, "known", known)
		}
		c.unreadableEras.Inc(1)
	}
	if read.At.Era == 0 {
		read.At.Era = known
	}
	for i := range read.Records {
		read.Records[i].Era = read.At.Era
	}
	return cmp.Compare(read.At.Era, known)
}

// watch waits for changes in the store after a revision. It records an overdue answer before the
// call times out.
func (c *Controller) watch(ctx context.Context, startedAt time.Duration, after uint64) (directory.Reading, error) {
	c.mu.Lock()
	answerTimeout := c.silence.AnswerTimeout()
	c.mu.Unlock()
	overdueTimer := time.AfterFunc(watchWait+answerTimeout, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.recordOverdue(startedAt+watchWait, "")
	})
	defer overdueTimer.Stop()
	read, err := c.cfg.Source.Watch(ctx, after, watchWait)
	if err == nil && len(read.Records) == 0 {
		c.mu.Lock()
		c.silence.RecordAnswer(c.cfg.Now() - startedAt - watchWait)
		c.mu.Unlock()
	}
	return read, err
}

// applyReading applies what the store returned to the mirror, and publishes a
// view if it changed.
func (c *Controller) applyReading(
	currentAt time.Duration, read directory.Reading,
	apply func(*mirror.Mirror, time.Duration, []directory.Record, directory.Position) bool,
) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, previous, ignored := c.cfg.Now(), c.mirror.Position(), c.mirror.IgnoredRecords()
	c.mirror.RecordStoreAnswer(now)
	c.confirmCurrent(currentAt)
	viewChangePending := c.nextViewChange > 0
	c.replaceConfig(read.Records)
	changed := apply(c.mirror, now, read.Records, read.At)
	c.needsAllRecords = false
	c.configAt = laterOf(c.configAt, read.At)
	c.ignoredRecords.Inc(c.mirror.IgnoredRecords() - ignored)
	c.logRestore(previous, sourceStore)
	if changed || viewChangePending || !c.viewPublished {
		c.viewPublished = true
		c.publish(now, sourceStore)
	}
	if changed || c.mirror.Position().Era != previous.Era {
		c.signalNews()
	}
}

func laterOf(p, q directory.Position) directory.Position {
	if q.After(p) {
		return q
	}
	return p
}

// logRestore logs that this host entered another era of the store, if it did
// since it was at the position previous.
func (c *Controller) logRestore(previous directory.Position, source string) {
	position := c.mirror.Position()
	if position.Era == previous.Era || previous == (directory.Position{}) {
		return
	}
	restore := c.mirror.Restore()
	lost, copied := c.mirror.Doubts()
	c.cfg.Log.Warn("store was restored", "before", previous, "position", position, "source", source, "seen", c.cfg.Now()-restore.SeenAt,
		"copy_revision", restore.CopyRevision, "lost", lost, "removed_before", copied, "config", c.doc.version())
}

// replaceConfig stores the configuration among the records, if any, in the
// document from which peers are updated, and replaces it in the records by the
// document's own. One that is not newer than that in force is dropped.
func (c *Controller) replaceConfig(records []directory.Record) {
	for i, r := range records {
		if r.Config == nil {
			continue
		}
		cfg, err := c.doc.replaceConfig(r.Config)
		if err != nil {
			c.cfg.Log.Error("failed to encode configuration for peers", "position", r.Position(), "error", err)
			continue
		}
		if held := c.doc.version(); r.Config.Version < held {
			c.cfg.Log.Warn("configuration not taken", "version", r.Config.Version, "position", r.Position(), "held", held)
		}
		records[i].Config = cfg
	}
}

// signalNews requests that other hosts are sent the changes.
func (c *Controller) signalNews() {
	wake.Signal(c.newsSignal)
}

// NewsReady returns a channel that receives a value when other hosts should be
// updated immediately: something was published, or calls to the store began to
// fail or to succeed.
func (c *Controller) NewsReady() <-chan struct{} { return c.newsSignal }

// sourceStore is the source of records that this host read from the store
// itself.
const sourceStore = "store"

// publish publishes the current view on the board; source names the origin of
// the last change.
func (c *Controller) publish(now time.Duration, source string) {
	view := c.mirror.View(now)
	previous := c.viewWriter.Get()
	if view.Config != nil && (previous == nil || previous.Config == nil || previous.Config.Version != view.Config.Version) {
		c.cfg.Log.Info("configuration in force", "version", view.Config.Version, "era", view.Era, "revision", view.Revision, "routes", len(view.Config.Routes))
	}
	c.viewWriter.Publish(view)
	c.schedulePublish(now, c.mirror.NextViewChange(now))
	if departed := c.mirror.TakeDeparted(); len(departed) > 0 {
		c.cfg.Log.Info("targets leave", "targets", departed, "era", view.Era, "revision", view.Revision, "source", source, "age", c.ageAt(now))
	}
	if settled := c.mirror.TakeSettled(); len(settled.Gone)+len(settled.Adopted) > 0 {
		c.cfg.Log.Info("records settled after a restore", "gone", settled.Gone, "adopted", settled.Adopted, "era", view.Era, "revision", view.Revision)
	}
}

// schedulePublish arranges that the view is published again at a time at which
// it changes without new records; 0 means never.
func (c *Controller) schedulePublish(now, at time.Duration) {
	if at > 0 && at != c.nextViewChange {
		time.AfterFunc(at-now, c.publishIfDue)
	}
	c.nextViewChange = at
}

// publishIfDue publishes the view if the time of its next change has come.
func (c *Controller) publishIfDue() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := c.cfg.Now(); c.nextViewChange > 0 && now >= c.nextViewChange {
		c.publish(now, sourceStore)
	}
}

// recordCallResult records and logs when calls to the store begin to fail and
// when they succeed again.
func (c *Controller) recordCallResult(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	gone := err != nil && failure.KindOf(err) == failure.KindHistoryGone
	if gone {
		c.historyGone.Inc(1)
		if !c.historyLost {
			c.cfg.Log.Info("store does not have the changes since the held position", "position", c.mirror.Position(), "error", err)
		}
	}
	c.historyLost = gone
	var invalid *httpcheck.Error
	if errors.As(err, &invalid) {
		c.invalidAnswers.Inc(1)
	}
	failed := err != nil && !gone
	if failed {
		c.mirror.RecordStoreFailure()
		c.failedAt = c.cfg.Now()
	}
	if failed == c.storeFailed {
		return
	}
	c.storeFailed = failed
	c.signalNews()
	if failed {
		c.cfg.Log.Warn("store lost", "error", err, "position", c.mirror.Position())
		return
	}
	c.cfg.Log.Info("store back", "position", c.mirror.Position())
}

// completePosition returns the position up to which this host holds all
// changes, from which it watches the store. A configuration that peers announced
// and that has not arrived is not among them: a watch from a later position would
// never return it, and if the peers that hold it failed, this host would not get
// it at all.
func (c *Controller) completePosition() directory.Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	if position := c.mirror.Position(); c.configAt.After(position) {
		return position
	}
	return c.configAt
}

// canWatch reports whether a watch can continue from what this host holds. Without
// the changes of the configuration in the current era it can't.
func (c *Controller) canWatch() bool {
	complete := c.completePosition()
	return complete != directory.Position{} && complete.Era == c.Position().Era
}

// Position returns the store's position up to which this host holds all changes
// except those of the configuration.
func (c *Controller) Position() directory.Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mirror.Position()
}
