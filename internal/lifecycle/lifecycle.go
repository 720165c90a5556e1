// Package lifecycle tracks a server process from its start to its stop: whether
// the load balancer may send it requests, and how many requests are in
// progress. internal/decide/drain decides the steps of a stop; this package
// provides its clock and its request counts.
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
	// stepInterval is the interval at which a stop checks for its next step.
	stepInterval = 20 * time.Millisecond
	// stoppingRetryAfter is the retry delay for callers that are rejected during
	// a stop: the load balancer sends the retry to another host.
	stoppingRetryAfter = time.Second
)

// Lifecycle is the state of a server process. It is safe for concurrent use.
type Lifecycle struct {
	checkReady func() error
	startedAt  time.Time

	mu         sync.Mutex
	stop       *drain.Shutdown
	inProgress int
}

// New returns a lifecycle. ready returns an error while the process can't serve
// requests yet. notice is how long a stopping process still accepts requests
// after it reports not ready. wait limits how long a stop waits for requests in
// progress; 0 means no limit.
func New(ready func() error, notice, wait time.Duration) *Lifecycle {
	return NewWithStopConfig(ready, drain.ShutdownConfig{
		MinAnnounce: notice, QuietPeriod: notice, MaxAnnounce: 3 * notice, LingerDuration: notice, DrainTimeout: wait,
	})
}

// NewWithStopConfig is New with each duration of the stop set separately.
func NewWithStopConfig(ready func() error, stop drain.ShutdownConfig) *Lifecycle {
	return &Lifecycle{checkReady: ready, startedAt: time.Now(), stop: drain.NewShutdown(stop)}
}

func (l *Lifecycle) now() time.Duration { return time.Since(l.startedAt) }

// BeginRequest registers a request in progress. The caller must call the returned
// function when the request ends. It fails while the process rejects new
// requests.
func (l *Lifecycle) BeginRequest() (end func(), err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stop.RecordArrival(l.now())
	if !l.stop.AcceptsNew() {
		return nil, failure.New(failure.KindStopping, "the process is stopping").WithRetryAfter(stoppingRetryAfter)
	}
	l.inProgress++
	return l.end, nil
}

func (l *Lifecycle) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inProgress--
}

// InProgress returns the number of requests in progress.
func (l *Lifecycle) InProgress() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inProgress
}

// Ready returns nil if the load balancer may send requests, and otherwise the
// reason why it may not.
func (l *Lifecycle) Ready() error {
	l.mu.Lock()
	accepting := l.stop.Ready()
	l.mu.Unlock()
	if !accepting {
		return failure.New(failure.KindStopping, "the process is stopping")
	}
	return l.checkReady()
}

// Stop performs a graceful stop. It returns an error if requests were still in
// progress at the time limit or when ctx ended.
func (l *Lifecycle) Stop(ctx context.Context) error {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for !l.step() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return failure.Wrap(ctx.Err(), failure.KindStopping, "%d requests were in progress at the end of the stop", l.InProgress())
		}
	}
	if l.interrupted() {
		return failure.New(failure.KindStopping, "%d requests were in progress at the end of the stop", l.InProgress())
	}
	return nil
}

// AwaitIdle waits until no request is in progress or ctx is done.
func (l *Lifecycle) AwaitIdle(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for l.InProgress() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (l *Lifecycle) step() (done bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stop.Begin(l.now())
	return l.stop.Step(l.now(), l.inProgress) == drain.Done
}

func (l *Lifecycle) interrupted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stop.TimedOut()
}

// Healthz is the liveness endpoint.
func (l *Lifecycle) Healthz(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusNoContent)
}

// Readyz is the readiness endpoint for the load balancer.
func (l *Lifecycle) Readyz(w http.ResponseWriter, _ *http.Request) {
	if err := l.Ready(); err != nil {
		failure.Write(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
