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

// Timing of calls to the configuration service.
const (
	// watchWait is how long the service may hold a watch open. It bounds the
	// age of the host list's confirmation. Thirty readers (three in each of ten
	// data centres) that call once a second use 30 of the service's 2,000 calls
	// a second.
	watchWait = time.Second
	// The retry delay doubles from minRetryDelay to maxRetryDelay. Each wait is
	// drawn at random between half of the delay and the whole, so that readers
	// do not retry in step after an outage of the service.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 5 * time.Second
	// minCallPause is the pause after each successful call. It prevents a tight
	// loop when the service answers watches immediately.
	minCallPause = 20 * time.Millisecond
)

// Source is the configuration service; *configservice.Client implements it.
type Source interface {
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (configservice.Response, error)
}

// Watcher reads the configuration service into the store while this process is
// one of its data centre's readers.
type Watcher struct {
	source Source
	store  *Store
	calls  metrics.Counter

	mu          sync.Mutex
	reader      bool
	roleChanged chan struct{}
	// cancelRead cancels the call in progress when this process stops being a
	// reader.
	cancelRead context.CancelFunc
}

// NewWatcher returns a watcher that is not a reader yet.
func NewWatcher(source Source, store *Store) *Watcher {
	return &Watcher{
		source: source, store: store, roleChanged: make(chan struct{}, 1),
		calls: metrics.GetOrRegisterCounter("configwatch.calls", store.metrics),
	}
}

// SetReader makes this process a reader of the service, or ends that role.
func (w *Watcher) SetReader(isReader bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reader == isReader {
		return
	}
	w.reader = isReader
	w.store.updateServiceState(func(s *ServiceState) { s.IsReader = isReader })
	w.store.log.Info("role of reader changed", "reader", isReader)
	if !isReader && w.cancelRead != nil {
		w.cancelRead()
	}
	wake.Signal(w.roleChanged)
}

// Run reads the service while this process is a reader, until ctx is done.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		readCtx, ok := w.readerContext(ctx)
		if !ok {
			select {
			case <-ctx.Done():
			case <-w.roleChanged:
			}
			continue
		}
		w.readUntilDone(readCtx)
	}
}

// readerContext returns a context that is cancelled when this process stops
// being a reader; false if it is not a reader.
func (w *Watcher) readerContext(ctx context.Context) (context.Context, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.reader {
		return nil, false
	}
	readCtx, cancel := context.WithCancel(ctx)
	w.cancelRead = cancel
	return readCtx, true
}

// readUntilDone reads the whole state, then its changes, until ctx is done.
func (w *Watcher) readUntilDone(ctx context.Context) {
	observed := newObservedState()
	retryDelay := minRetryDelay
	fullRead := true
	for ctx.Err() == nil {
		err := w.readOnce(ctx, observed, fullRead)
		// After a failure the service may have been restored and edited past
		// the revision seen here. Only a full read is free of the old state. A
		// call refused for overload does not require one.
		fullRead = err != nil && failure.KindOf(err) != failure.KindOverloaded
		if err == nil {
			retryDelay = minRetryDelay
			wake.Sleep(ctx, minCallPause)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		w.store.updateServiceState(func(s *ServiceState) { s.LastFailure = string(failure.KindOf(err)) })
		wait := max(retryDelay/2+rand.N(retryDelay/2), failure.FromError(err).RetryAfter)
		wake.Sleep(ctx, wait)
		retryDelay = min(2*retryDelay, maxRetryDelay)
	}
}

// readOnce makes one call and applies the answer to the store.
func (w *Watcher) readOnce(ctx context.Context, observed *observedState, fullRead bool) error {
	after, wait := observed.revision, watchWait
	if fullRead || after == 0 {
		after, wait, fullRead = 0, 0, true
	}
	requestedAt := w.store.now()
	w.calls.Inc(1)
	answer, err := w.source.Watch(ctx, "", after, wait)
	if err != nil {
		return err
	}
	if answer.Revision < after {
		// The service is stale or was restored, so its changes after the
		// requested revision are meaningless. Read the whole state.
		fullRead, requestedAt = true, w.store.now()
		w.calls.Inc(1)
		if answer, err = w.source.Watch(ctx, "", 0, 0); err != nil {
			return err
		}
	}
	w.applyAnswer(observed, observed.apply(answer, fullRead), fullRead, requestedAt)
	return nil
}

// applyAnswer applies the touched documents to the store and records what the
// answer shows about the service.
func (w *Watcher) applyAnswer(observed *observedState, touched []Section, fullRead bool, requestedAt time.Time) {
	rows := map[Section][]rollout.Row{}
	for _, obs := range observed.observations(touched) {
		obs.fullRead = fullRead
		rows[obs.section] = obs.delta.Rows
		w.offerObservation(observed, obs)
	}
	if fullRead {
		w.store.updateBaseline(observed, rows)
	} else {
		w.store.updateBaseline(observed, nil)
	}
	w.store.recordAnswer(observed, requestedAt)
}

func (w *Watcher) offerObservation(observed *observedState, obs observation) {
	if obs.droppedEntries > 0 {
		metrics.GetOrRegisterCounter("configwatch."+string(obs.section)+".dropped_entries", w.store.metrics).Inc(int64(obs.droppedEntries))
	}
	deltas := w.store.assignVersion(observed, obs)
	observed.heads[obs.section] = deltas[len(deltas)-1].delta.Head
	if obs.invalid != nil {
		version := deltas[0].delta.Version
		w.store.RecordRefusal(obs.section, rollout.Refusal{Version: version, Reason: obs.invalid.Error()})
		return
	}
	for _, delta := range deltas {
		w.store.Apply(delta.section, delta.delta)
	}
}
