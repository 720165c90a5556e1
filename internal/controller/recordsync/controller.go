// Package recordsync keeps the picture of what operators and targets publish
// up to date: it reads the store and puts the newest records on the
// blackboard. What to believe is decided in internal/decide/mirror.
package recordsync

import (
	"context"
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
	"filbertdeck/internal/wake"
)

// Figures of the reading.
const (
	// watchWait is how long a watch waits. It bounds how long this host takes to
	// notice that the store is gone, or that the connection has gone silent;
	// engines that are taken away meanwhile leave after one and a half seconds.
	// Each watch is a call of the store's, and changes are seconds apart.
	watchWait = 700 * time.Millisecond
	// callEvery is the least time between two calls. What operators publish
	// must be in force within two seconds and an engine that is taken away
	// leaves after one and a half; each call costs the store its time.
	callEvery = 200 * time.Millisecond
	// idleEvery is how often a host that doesn't read looks whether it should.
	idleEvery = 50 * time.Millisecond
	// Retries double from the first to the last pause, each drawn at random
	// from half of it up, so that hosts don't come back in step.
	firstPause = 100 * time.Millisecond
	lastPause  = time.Second
)

// Source is the store that operators and targets publish in.
type Source interface {
	// ReadAll gives all records and the revision at which the reading began.
	ReadAll(ctx context.Context) ([]directory.Record, uint64, error)
	// Watch gives the changes after a revision and the revision to go on from;
	// KindHistoryGone when they are no longer known.
	Watch(ctx context.Context, after uint64, wait time.Duration) ([]directory.Record, uint64, error)
}

// Board is this controller's part of the blackboard.
type Board struct {
	View blackboard.Section[directory.View]
}

// Config holds what the controller works with.
type Config struct {
	Source  Source
	Log     *slog.Logger
	Metrics metrics.Registry
	// Now is the steady clock of the process.
	Now func() time.Duration
	// ShouldRead tells whether this host is to read the store; nil means always.
	ShouldRead func() bool
}

// Controller reads the store into the mirror.
type Controller struct {
	cfg   Config
	out   *blackboard.Writer[directory.View]
	calls metrics.Counter

	mu     sync.Mutex
	mirror *mirror.Mirror
	// currentAt is the latest moment of which it is known that nothing newer
	// had been published than is believed here.
	currentAt time.Duration
	confirmed bool
	known     bool
	// viewUntil is when the view on the board changes by itself, 0 when it does
	// not.
	viewUntil time.Duration
	// reading is set while this host reads the store, lost while it can't.
	reading, lost bool
	// failedAt is when a call to the store last failed.
	failedAt time.Duration
	news     chan struct{}
	doc      *document
	peers    map[string]*peer
	// packed are the records that were given away last.
	packed  packedDelta
	silence storeoutage.Detector
	// announced is the newest revision of the configuration that a peer holds.
	announced uint64
}

// New returns a controller and claims the section of the view.
func New(cfg Config, board *Board) (*Controller, error) {
	out, err := board.View.Claim()
	if err != nil {
		return nil, err
	}
	c := &Controller{
		cfg: cfg, out: out, mirror: mirror.New(mirror.Config{}), doc: newDocument(), peers: map[string]*peer{}, news: make(chan struct{}, 1),
		calls: metrics.GetOrRegisterCounter("published.calls", cfg.Metrics),
	}
	c.gauge("published.revision", func() int64 { return int64(c.Revision()) })
	c.gauge("published.config_version", c.version)
	c.gauge("published.age_ms", c.ageMillis)
	c.gauge("published.store_lost", c.storeLost)
	return c, nil
}

func (c *Controller) gauge(name string, value func() int64) {
	c.cfg.Metrics.GetOrRegister(name, metrics.NewFunctionalGauge(value))
}

// version is that of the configuration in force, 0 while none is.
func (c *Controller) version() int64 {
	if view := c.out.Get(); view != nil && view.Config != nil {
		return int64(view.Config.Version)
	}
	return 0
}

// ageMillis is -1 while nothing was ever known to be current.
func (c *Controller) ageMillis() int64 {
	age, known := c.Age()
	if !known {
		return -1
	}
	return age.Milliseconds()
}

// storeLost is 1 while this host can't read the store, 0 else.
func (c *Controller) storeLost() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lost {
		return 1
	}
	return 0
}

// Run reads until ctx is done.
func (c *Controller) Run(ctx context.Context) {
	pause := firstPause
	whole := true
	for ctx.Err() == nil {
		if !c.role() {
			wake.Sleep(ctx, idleEvery)
			continue
		}
		begun := c.cfg.Now()
		err := c.step(ctx, whole)
		if ctx.Err() != nil {
			return
		}
		c.note(err)
		whole = err != nil && (whole || failure.KindOf(err) == failure.KindHistoryGone)
		switch {
		case err == nil:
			pause = firstPause
			wake.Sleep(ctx, callEvery-(c.cfg.Now()-begun))
		case failure.KindOf(err) == failure.KindHistoryGone:
		default:
			wake.Sleep(ctx, max(pause/2+rand.N(pause/2), min(failure.From(err).RetryAfter, lastPause)))
			pause = min(2*pause, lastPause)
		}
	}
}

// role tells whether this host is to read now.
func (c *Controller) role() bool {
	reads := c.cfg.ShouldRead == nil || c.cfg.ShouldRead()
	c.mu.Lock()
	defer c.mu.Unlock()
	if reads != c.reading {
		c.reading = reads
		c.cfg.Log.Info("role of reader changed", "reading", reads, "revision", c.mirror.Revision())
	}
	return reads
}

func (c *Controller) step(ctx context.Context, whole bool) error {
	c.calls.Inc(1)
	begun := c.cfg.Now()
	if whole {
		records, at, err := c.cfg.Source.ReadAll(ctx)
		if err != nil {
			return err
		}
		c.take(begun, records, func(m *mirror.Mirror, now time.Duration) bool { return m.ApplySnapshot(now, records, at) })
		return nil
	}
	records, at, err := c.watch(ctx, begun)
	if err != nil {
		return err
	}
	c.take(begun, records, func(m *mirror.Mirror, now time.Duration) bool { return m.ApplyChanges(now, records, at) })
	return nil
}

// watch waits at the store for changes. An answer that is overdue is noted
// before the call is given up.
func (c *Controller) watch(ctx context.Context, begun time.Duration) ([]directory.Record, uint64, error) {
	c.mu.Lock()
	patience := c.silence.AnswerTimeout()
	c.mu.Unlock()
	late := time.AfterFunc(watchWait+patience, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.overdue(begun+watchWait, "")
	})
	defer late.Stop()
	records, at, err := c.cfg.Source.Watch(ctx, c.watchFrom(), watchWait)
	if err == nil && len(records) == 0 {
		c.mu.Lock()
		c.silence.RecordAnswer(c.cfg.Now() - begun - watchWait)
		c.mu.Unlock()
	}
	return records, at, err
}

// take works news in and publishes a view when they matter.
func (c *Controller) take(currentAt time.Duration, records []directory.Record, apply func(*mirror.Mirror, time.Duration) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Now()
	c.mirror.StoreAnswered(now)
	c.confirm(currentAt)
	due := c.viewUntil > 0
	c.replaceConfig(records)
	news := apply(c.mirror, now)
	if news || due || !c.known {
		c.known = true
		c.publish(now, fromStore)
	}
	if news {
		c.tell()
	}
}

// replaceConfig takes the configuration among some records into the document
// that peers are told from, and puts the document's own in its place.
func (c *Controller) replaceConfig(records []directory.Record) {
	for i, r := range records {
		if r.Config == nil {
			continue
		}
		cfg, err := c.doc.replace(r.Config, r.Revision)
		if err != nil {
			c.cfg.Log.Error("configuration can't be told to peers", "revision", r.Revision, "error", err)
		}
		if cfg != nil {
			records[i].Config = cfg
		}
	}
}

// tell has other hosts told what is new here.
func (c *Controller) tell() {
	wake.Signal(c.news)
}

// NewsReady is received from when other hosts should hear at once: something was
// published, or the store was lost or is back.
func (c *Controller) NewsReady() <-chan struct{} { return c.news }

// fromStore is the source of what this host read from the store itself.
const fromStore = "store"

// publish puts what is known by now on the board; source is where the last
// change came from.
func (c *Controller) publish(now time.Duration, source string) {
	view := c.mirror.View(now)
	before := c.out.Get()
	if view.Config != nil && (before == nil || before.Config == nil || before.Config.Version != view.Config.Version) {
		c.cfg.Log.Info("configuration in force", "version", view.Config.Version, "revision", view.Revision, "routes", len(view.Config.Routes))
	}
	c.out.Publish(view)
	c.publishAgainAt(now, c.mirror.NextViewChange(now))
	if left := c.mirror.TakeDeparted(); len(left) > 0 {
		c.cfg.Log.Info("targets leave", "targets", left, "revision", view.Revision, "source", source, "age", c.ageAt(now))
	}
}

// publishAgainAt sees to it that the view is published again when it changes by
// itself at a time; 0 is never.
func (c *Controller) publishAgainAt(now, at time.Duration) {
	if at > 0 && at != c.viewUntil {
		time.AfterFunc(at-now, c.publishDue)
	}
	c.viewUntil = at
}

// publishDue publishes the view if it has changed by itself.
func (c *Controller) publishDue() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := c.cfg.Now(); c.viewUntil > 0 && now >= c.viewUntil {
		c.publish(now, fromStore)
	}
}

// note logs when the store is lost and when it is back.
func (c *Controller) note(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	gone := err != nil && failure.KindOf(err) != failure.KindHistoryGone
	if gone {
		c.mirror.StoreFailed()
		c.failedAt = c.cfg.Now()
	}
	if gone == c.lost {
		return
	}
	c.lost = gone
	c.tell()
	if gone {
		c.cfg.Log.Warn("store lost", "error", err, "revision", c.mirror.Revision())
		return
	}
	c.cfg.Log.Info("store back", "revision", c.mirror.Revision())
}

// watchFrom is the revision to watch from: that up to which everything is known
// here. A configuration that peers announced and that has not come yet is not:
// watched from behind it, the store would never give it, and if the peers that
// have it die this host would not get it from anybody.
func (c *Controller) watchFrom() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.complete()
}

// complete is watchFrom with the lock held.
func (c *Controller) complete() uint64 {
	if c.announced > c.doc.revision() {
		return min(c.mirror.Revision(), c.announced-1)
	}
	return c.mirror.Revision()
}

// Revision is the store's revision up to which all changes are known here, but
// for the configuration's.
func (c *Controller) Revision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mirror.Revision()
}
