// Package lifecycle follows a serving process from its start to its stop: whether the
// balancer may send it callers, and which requests are still in progress. The
// order of a stop is decided in internal/decide/drain; this package gives it a
// clock and counts the requests.
package lifecycle

import (
	"context"
	"net/http"
	"sync"
	"time"

	"filbertdeck/internal/decide/drain"
	"filbertdeck/internal/failure"
)

const (
	// stepEvery is how often a stop looks whether it may go on.
	stepEvery = 20 * time.Millisecond
	// retryStopping is told to callers who still come: the balancer sends the
	// next try elsewhere.
	retryStopping = time.Second
)

// Lifecycle is safe for concurrent use.
type Lifecycle struct {
	ready func() error
	start time.Time

	mu      sync.Mutex
	stop    *drain.Shutdown
	running int
}

// New returns a lifecycle; ready tells what is missing until callers can be
// served. notice is how long a stop stays open after it was announced, wait
// how long it waits for requests in progress, 0 for as long as they last.
func New(ready func() error, notice, wait time.Duration) *Lifecycle {
	return NewWithStopConfig(ready, drain.ShutdownConfig{
		MinAnnounce: notice, QuietPeriod: notice, MaxAnnounce: 3 * notice, LingerDuration: notice, DrainTimeout: wait,
	})
}

// NewWithStopConfig is New with the figures of the stop given one by one.
func NewWithStopConfig(ready func() error, stop drain.ShutdownConfig) *Lifecycle {
	return &Lifecycle{ready: ready, start: time.Now(), stop: drain.NewShutdown(stop)}
}

func (l *Lifecycle) now() time.Duration { return time.Since(l.start) }

// BeginRequest counts a request in progress; the returned function must be called
// when it ends. It fails while the process refuses new work.
func (l *Lifecycle) BeginRequest() (end func(), err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stop.NoteArrival(l.now())
	if !l.stop.AcceptsNew() {
		return nil, failure.New(failure.KindStopping, "the process is stopping").WithRetryAfter(retryStopping)
	}
	l.running++
	return l.end, nil
}

func (l *Lifecycle) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
}

// InProgress counts the requests in progress.
func (l *Lifecycle) InProgress() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running
}

// Ready tells why the balancer should send no callers, nil when it may.
func (l *Lifecycle) Ready() error {
	l.mu.Lock()
	open := l.stop.Ready()
	l.mu.Unlock()
	if !open {
		return failure.New(failure.KindStopping, "the process is stopping")
	}
	return l.ready()
}

// Stop goes through the steps of a planned stop until it is done or ctx ends.
func (l *Lifecycle) Stop(ctx context.Context) error {
	ticker := time.NewTicker(stepEvery)
	defer ticker.Stop()
	for !l.step() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return failure.Wrap(ctx.Err(), failure.KindStopping, "%d requests were in progress at the end of the stop", l.InProgress())
		}
	}
	if l.cut() {
		return failure.New(failure.KindStopping, "%d requests were in progress at the end of the stop", l.InProgress())
	}
	return nil
}

func (l *Lifecycle) step() (done bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stop.Begin(l.now())
	return l.stop.Step(l.now(), l.running) == drain.Done
}

func (l *Lifecycle) cut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stop.CutWork()
}

// Healthz answers that the process lives.
func (l *Lifecycle) Healthz(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusNoContent)
}

// Readyz answers whether the balancer may send callers.
func (l *Lifecycle) Readyz(w http.ResponseWriter, _ *http.Request) {
	if err := l.Ready(); err != nil {
		failure.Write(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
