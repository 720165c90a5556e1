package configwatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"filbertdeck/internal/configservice"
	"filbertdeck/internal/decide/rollout"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/wake"
)

// Figures of the watch.
const (
	// watchWait is how long a watch waits. It bounds the age of a confirmation
	// of the host list. Thirty readers (three in each of ten data centres)
	// that ask once a second take 30 of the service's 2,000 calls.
	watchWait = time.Second
	// Retries double from the first to the last pause, each drawn at random
	// from half of it up, so that readers don't come back in step after the
	// service was down.
	firstPause = 100 * time.Millisecond
	lastPause  = 5 * time.Second
	// breather keeps a service that answers watches at once from being asked
	// in a tight loop.
	breather = 20 * time.Millisecond
)

// Source is the configuration service; *configservice.Client is one.
type Source interface {
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (configservice.Answer, error)
}

// Watcher reads the configuration service into the store while this process
// is one of its data centre's readers.
type Watcher struct {
	source Source
	store  *Store
	calls  metrics.Counter

	mu     sync.Mutex
	reader bool
	wake   chan struct{}
	// cancel ends the call in progress when the role goes.
	cancel context.CancelFunc
}

// NewWatcher returns a watcher that is no reader yet.
func NewWatcher(source Source, store *Store) *Watcher {
	return &Watcher{
		source: source, store: store, wake: make(chan struct{}, 1),
		calls: metrics.GetOrRegisterCounter("configwatch.calls", store.metrics),
	}
}

// SetReader gives or takes the role of a reader.
func (w *Watcher) SetReader(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reader == on {
		return
	}
	w.reader = on
	w.store.setService(func(s *ServiceState) { s.IsReader = on })
	w.store.log.Info("role of reader changed", "reader", on)
	if !on && w.cancel != nil {
		w.cancel()
	}
	wake.Signal(w.wake)
}

// Run watches until ctx is done.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		turn, ok := w.turn(ctx)
		if !ok {
			select {
			case <-ctx.Done():
			case <-w.wake:
			}
			continue
		}
		w.watch(turn)
	}
}

// turn gives a context that lasts as long as the role does.
func (w *Watcher) turn(ctx context.Context) (context.Context, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.reader {
		return nil, false
	}
	turn, cancel := context.WithCancel(ctx)
	w.cancel = cancel
	return turn, true
}

// watch reads the whole state, then its changes, until ctx is done.
func (w *Watcher) watch(ctx context.Context) {
	seen := newReading()
	pause := firstPause
	whole := true
	for ctx.Err() == nil {
		err := w.step(ctx, seen, whole)
		// After a failure nothing is known of what happened meanwhile: the
		// service may have been restored and edited past the revision seen
		// here. Only a whole reading is free of the old state.
		whole = err != nil && failure.KindOf(err) != failure.KindOverloaded
		if err == nil {
			pause = firstPause
			wake.Sleep(ctx, breather)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		w.store.setService(func(s *ServiceState) { s.LastFailure = string(failure.KindOf(err)) })
		wait := max(pause/2+rand.N(pause/2), failure.From(err).RetryAfter)
		wake.Sleep(ctx, wait)
		pause = min(2*pause, lastPause)
	}
}

// step makes one call and hands what it shows to the store.
func (w *Watcher) step(ctx context.Context, seen *reading, whole bool) error {
	after, wait := seen.revision, watchWait
	if whole || after == 0 {
		after, wait, whole = 0, 0, true
	}
	asked := w.store.now()
	w.calls.Inc(1)
	a, err := w.source.Watch(ctx, "", after, wait)
	if err != nil {
		return err
	}
	if a.Revision < after {
		// The service is stale or was restored: what changed after the
		// revision asked for says nothing about it. Read it whole.
		whole, asked = true, w.store.now()
		w.calls.Inc(1)
		if a, err = w.source.Watch(ctx, "", 0, 0); err != nil {
			return err
		}
	}
	w.hand(seen, seen.take(a, whole), whole, asked)
	return nil
}

// hand offers the touched documents and notes what the answer shows.
func (w *Watcher) hand(seen *reading, touched []Section, whole bool, asked time.Time) {
	rows := map[Section][]rollout.Row{}
	for _, obs := range seen.observe(touched) {
		obs.whole = whole
		rows[obs.section] = obs.delta.Rows
		w.offer(seen, obs)
	}
	if whole {
		w.store.remember(seen, rows)
	} else {
		w.store.remember(seen, nil)
	}
	w.store.answered(seen, asked)
}

func (w *Watcher) offer(seen *reading, obs observation) {
	if obs.dropped > 0 {
		metrics.GetOrRegisterCounter("configwatch."+string(obs.section)+".dropped_entries", w.store.metrics).Inc(int64(obs.dropped))
	}
	deltas := w.store.place(seen, obs)
	seen.heads[obs.section] = deltas[len(deltas)-1].delta.Head
	if obs.fault != nil {
		version := deltas[0].delta.Version
		w.store.Refuse(obs.section, rollout.Refusal{Version: version, Reason: obs.fault.Error()})
		return
	}
	for _, d := range deltas {
		w.store.Offer(d.section, d.delta)
	}
}
